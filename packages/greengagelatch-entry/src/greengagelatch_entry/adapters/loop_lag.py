"""Sampling of event loop lag."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagelatch.clock import Clock

__all__ = ("LoopLag",)

#: seconds between two samples
SAMPLE_INTERVAL = 0.5
#: samples retained: one minute
MAX_SAMPLES = 120


class LoopLag:
    """Measures by how much a sleep overruns its duration.

    Code that blocks the event loop delays all requests alike. The lag tells this
    shared cause from causes in a single request.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)

    async def sample(self) -> float:
        """Sleep for one interval and return the measured lag in seconds."""
        due = self._clock.now() + SAMPLE_INTERVAL
        await asyncio.sleep(SAMPLE_INTERVAL)
        lag = max(0.0, self._clock.now() - due)
        self._samples.append(lag)
        return lag

    def dump(self) -> dict[str, float]:
        """Return the latest and the maximum lag of the last minute, in seconds."""
        if not self._samples:
            return {}
        return {"last": self._samples[-1], "greatest": max(self._samples)}
