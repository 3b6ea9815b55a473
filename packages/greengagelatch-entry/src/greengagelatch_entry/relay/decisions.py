"""Rate-limited log of request decisions and log of state changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ..logs import truncate

if TYPE_CHECKING:
    from greengagelatch.clock import Clock

    from ..metrics import Metrics

__all__ = ("DecisionLog",)

#: token bucket of the decision log: lines per second, and lines in a burst. Lines
#: beyond it are dropped and counted; one line costs about a twentieth of the processor
#: time of a request
LINES_PER_SECOND = 120.0
BURST_LINES = 600.0


class DecisionLog:
    """Writes one line per decision, limited by a token bucket.

    Without the limit, an overloaded process would spend much of its processor time
    on logging. Dropped lines are counted, and the next line carries the count.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tokens = BURST_LINES
        self._refilled_at = clock.now()
        self._dropped = 0

    def log_decision(self, kind: str, **fields: Any) -> None:
        """Log a decision on a request, unless the rate limit is exceeded."""
        self._metrics.count(f"decisions.{kind}")
        now = self._clock.now()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            self._metrics.count("decisions.dropped")
            return
        self._tokens -= 1
        if self._dropped:
            fields["left_out_before"] = self._dropped
            self._dropped = 0
        self._write(kind, fields)

    def log_state_change(self, kind: str, **fields: Any) -> None:
        """Log a change in this instance's view of the system, without a rate limit."""
        self._metrics.count(f"beliefs.{kind}")
        self._write(kind, fields)

    def _write(self, kind: str, fields: dict[str, Any]) -> None:
        logged = {
            name: truncate(value) if isinstance(value, str) else value
            for name, value in fields.items()
        }
        eliot.log_message(f"greengagelatch:{kind}", **logged)
