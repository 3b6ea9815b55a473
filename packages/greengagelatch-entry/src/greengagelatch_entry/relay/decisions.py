"""Log lines on decisions and beliefs, bounded in number."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import eliot

from ..logs import truncate

if TYPE_CHECKING:
    from greengagelatch.clock import Clock

    from ..metrics import Metrics

__all__ = ("DecisionLog",)

#: lines in a second, and in a burst, beyond which lines are dropped and counted; a
#: line costs about a twentieth of a request's processor time
LINES_PER_SECOND = 120.0
BURST_LINES = 600.0


class DecisionLog:
    """Writes one line for each decision, as long as there are not too many.

    Under load a process would otherwise spend its processor on lines about being
    short of it. What is left out is counted, and the count is logged.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tokens = BURST_LINES
        self._refilled_at = clock.now()
        self._dropped = 0

    def log_decision(self, kind: str, **fields: Any) -> None:
        """Log one decision about a request; it may be left out under load."""
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
        """Log a change of what this process believes; it is never left out."""
        self._metrics.count(f"beliefs.{kind}")
        self._write(kind, fields)

    def _write(self, kind: str, fields: dict[str, Any]) -> None:
        logged = {
            name: truncate(value) if isinstance(value, str) else value
            for name, value in fields.items()
        }
        eliot.log_message(f"greengagelatch:{kind}", **logged)
