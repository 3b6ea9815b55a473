"""Accounting for a request at its engine, before and after its first event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.target_speeds import Answer

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer

__all__ = ("PrefillTracker",)


#: kind of work that first events are compared by; its size is in prompt tokens
PREFILL = "prefill"


class PrefillTracker:
    """Accounts for a request at its engine: first in prefill, then in decoding."""

    def __init__(
        self, fleet: LoadBalancer, incarnation: Incarnation, tokens: float, now: float
    ) -> None:
        self.fleet = fleet
        self._incarnation = incarnation
        self._tokens = tokens
        self._sent_at = now
        self._in_prefill = True
        self._work = fleet.estimate_work(incarnation, tokens, now)
        fleet.start(incarnation, tokens)
        self._requests = fleet.count_requests(incarnation, now)

    def record_first_event(self, now: float) -> bool:
        """Record the first event; return whether the request was still in prefill."""
        if not self._finish_prefill():
            return False
        answer = Answer(
            requests=self._requests,
            kind=PREFILL,
            size=self._work,
            seconds=now - self._sent_at,
        )
        self.fleet.record_answer(self._incarnation, answer, now)
        return True

    def end(self) -> None:
        """Record the end of the attempt."""
        self._finish_prefill()
        self.fleet.finish(self._incarnation)

    def _finish_prefill(self) -> bool:
        if not self._in_prefill:
            return False
        self._in_prefill = False
        self.fleet.finish_prefill(self._incarnation, self._tokens)
        return True
