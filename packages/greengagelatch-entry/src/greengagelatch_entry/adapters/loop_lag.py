"""How late the event loop runs what is due."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagelatch.clock import Clock

__all__ = ("LoopLag",)

#: seconds between two samples
INTERVAL = 0.5
#: samples kept: one minute
SAMPLES = 120


class LoopLag:
    """Samples by how much a sleep is overrun.

    Whatever blocks the loop holds up all requests alike. Each of them then looks
    slow without a cause of its own; the lag shows that the cause is shared.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._samples: deque[float] = deque(maxlen=SAMPLES)

    async def sample(self) -> float:
        """Wait for one interval and return the lag seen, in seconds."""
        due = self._clock.now() + INTERVAL
        await asyncio.sleep(INTERVAL)
        lag = max(0.0, self._clock.now() - due)
        self._samples.append(lag)
        return lag

    def dump(self) -> dict[str, float]:
        """Return the last and the greatest lag of the last minute, in seconds."""
        if not self._samples:
            return {}
        return {"last": self._samples[-1], "greatest": max(self._samples)}
