"""Accounting for a request at its engine, before and after its first event."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer

__all__ = ("PrefillTracker",)


class PrefillTracker:
    """Accounts for a request at its engine: first in prefill, then in decoding."""

    def __init__(
        self, fleet: LoadBalancer, incarnation: Incarnation, tokens: float
    ) -> None:
        self.fleet = fleet
        self._incarnation = incarnation
        self._tokens = tokens
        self._in_prefill = True
        fleet.start(incarnation, tokens)

    def finish_prefill(self) -> bool:
        """Record the first event; return whether the request was still in prefill."""
        if not self._in_prefill:
            return False
        self._in_prefill = False
        self.fleet.finish_prefill(self._incarnation, self._tokens)
        return True

    def end(self) -> None:
        """Record the end of the attempt."""
        self.finish_prefill()
        self.fleet.finish(self._incarnation)
