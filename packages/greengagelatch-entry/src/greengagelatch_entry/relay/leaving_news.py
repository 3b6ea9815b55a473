"""News between instances of targets that have said that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.leaving_messages import TargetLeavingsUpdate

from .neighbour_news import NeighbourNewsController

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork

    from ..metrics import Metrics
    from .listing import ListingFollower

__all__ = ("LeavingNewsController",)

#: seconds for which a leaving is told to the neighbours
NEWS_SECONDS = 3.0
#: most targets in one update
MAX_ROWS = 256


class LeavingNewsController(NeighbourNewsController):
    """Ends the use of targets that leave by their own word, here and at the others.

    The store may take the word of a target many seconds later. Without the news, each
    instance would learn it by a request of its own, which the target may not end any
    more.
    """

    name = "leavings"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        listing: ListingFollower,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(peers=peers)
        self._listing = listing
        self._clock = clock
        self._metrics = metrics
        #: monotonic times at which leavings were learnt that are told, oldest first
        self._learnt_at: dict[Incarnation, float] = {}
        peers.handle(TargetLeavingsUpdate, self._receive)

    def record_answer(self, incarnation: Incarnation) -> None:
        """Record that a target has answered that it leaves."""
        self._record(incarnation, "answer")

    def create_update(self) -> TargetLeavingsUpdate | None:
        oldest = self._clock.now() - NEWS_SECONDS
        for incarnation, learnt_at in tuple(self._learnt_at.items()):
            if learnt_at > oldest and len(self._learnt_at) <= MAX_ROWS:
                break
            del self._learnt_at[incarnation]
        rows = tuple((one.target_id, one.started_ms) for one in self._learnt_at)
        return TargetLeavingsUpdate(rows) if rows else None

    def record_sent(self) -> None:
        self._metrics.count("leavings.updates_sent")

    def dump(self) -> dict[str, Any]:
        return {"told": [str(one) for one in self._learnt_at]}

    def _receive(self, sender: str, update: TargetLeavingsUpdate) -> None:
        self._metrics.count("leavings.updates_received")
        for target_id, started_ms in update.rows:
            self._record(Incarnation(target_id, started_ms), "peer")

    def _record(self, incarnation: Incarnation, origin: str) -> None:
        if not self._listing.record_leaving(incarnation, origin):
            return
        self._learnt_at[incarnation] = self._clock.now()
        self.handle_change()
