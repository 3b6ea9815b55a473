"""News between instances of targets that have asked one of them for rest."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.rest_messages import TargetRestsUpdate

from .neighbour_news import NeighbourNewsController

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.target_rests import TargetRests
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics

__all__ = ("RestNewsController",)

#: seconds for which a rest is told to the neighbours
NEWS_SECONDS = 1.0
#: seconds that news lose at each instance, so that none circulate for good
HOP_SECONDS = 0.1
#: most targets in one update
MAX_ROWS = 256


class RestNewsController(NeighbourNewsController):
    """Tells the neighbours which targets rest, and passes on what they tell.

    The target hasn't asked them. They spare the requests that can't be sent again, each
    of which it may reject.
    """

    name = "rest_news"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        rests: TargetRests,
        target_table: TargetTable,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(peers=peers)
        self._rests = rests
        self._target_table = target_table
        self._clock = clock
        self._metrics = metrics
        #: monotonic times at which a rest was learnt and at which it ends, oldest first
        self._news: dict[Incarnation, tuple[float, float]] = {}
        peers.handle(TargetRestsUpdate, self._receive)

    def announce(self, incarnation: Incarnation, seconds: float) -> None:
        """Tell the neighbours of a target that rests from now on."""
        now = self._clock.now()
        self._news.pop(incarnation, None)
        self._news[incarnation] = now, now + seconds
        self.handle_change()

    def tell_carrier(
        self, peer_id: str, incarnation: Incarnation, seconds: float
    ) -> None:
        """Tell the peer through which a target was asked that it wants rest."""
        row = incarnation.target_id, incarnation.started_ms, seconds
        self._peers.send(peer_id, TargetRestsUpdate((row,), carried=True))

    def create_update(self) -> TargetRestsUpdate | None:
        now = self._clock.now()
        for incarnation, (learnt_at, _) in tuple(self._news.items()):
            if learnt_at > now - NEWS_SECONDS and len(self._news) <= MAX_ROWS:
                break
            del self._news[incarnation]
        rows = tuple(
            (one.target_id, one.started_ms, until - now)
            for one, (_, until) in self._news.items()
            if until > now
        )
        return TargetRestsUpdate(rows) if rows else None

    def record_sent(self) -> None:
        self._metrics.count("rest_news.updates_sent")

    def dump(self) -> dict[str, Any]:
        return {"told": [str(one) for one in self._news]}

    def _receive(self, sender: str, update: TargetRestsUpdate) -> None:
        self._metrics.count("rest_news.updates_received")
        now = self._clock.now()
        for target_id, started_ms, seconds in update.rows:
            incarnation = Incarnation(target_id, started_ms)
            left = seconds - HOP_SECONDS
            # also not from one that is gone, whose state would be kept for good
            if left <= 0 or not self._target_table.is_available(incarnation):
                continue
            if update.carried:
                self._rests.record(incarnation, seconds, now)
                continue
            if self._rests.record_news(incarnation, left, now):
                self.announce(incarnation, left)
