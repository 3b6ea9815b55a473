"""Reports of queue waits, sent by owners of makers and received from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.groups import MakerGroup
from greengagelatch.relay.messages import StageWaits
from greengagelatch.relay.queue_waits import QueueWait, RankWait

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork

__all__ = ("QueueWaitReports",)

#: seconds after which a received report expires
REPORT_TTL = 0.6
#: seconds between two reports, and the shortest wait that is reported, in seconds
REPORT_INTERVAL = 0.15
MIN_REPORTED_WAIT = 0.05
#: maximum rate of report messages that an instance sends: with hundreds of
#: subscribers, each one receives reports less often
MAX_REPORTS_PER_SECOND = 500.0
#: seconds for which a peer that sent a bundle receives reports
SUBSCRIPTION_SECONDS = 10.0


class QueueWaitReports:
    """Sends queue waits to the peers that use them, and keeps those received.

    Without reports, peers would admit requests behind a queue that they cannot see.
    """

    def __init__(self, *, peers: PeerNetwork, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        #: latest wait reported by each group's owner, and when it was received
        self._waits: dict[MakerGroup, tuple[QueueWait, float]] = {}
        #: peers that sent bundles recently, and the end of their subscription
        self._subscribers: dict[str, float] = {}
        self._reported: set[MakerGroup] = set()

    def add_subscriber(self, instance_id: str) -> None:
        """Subscribe a peer that has sent a bundle."""
        self._subscribers[instance_id] = self._clock.now() + SUBSCRIPTION_SECONDS

    def find_interval(self) -> float:
        """Return the seconds until the next report is due."""
        return max(REPORT_INTERVAL, len(self._subscribers) / MAX_REPORTS_PER_SECOND)

    def publish(self, waits: list[tuple[MakerGroup, QueueWait]]) -> None:
        """Send this instance's queue waits to the subscribers."""
        now = self._clock.now()
        for subscriber, until in tuple(self._subscribers.items()):
            if until <= now:
                del self._subscribers[subscriber]
        rows = [
            (group, wait)
            for group, wait in waits
            if wait.total >= MIN_REPORTED_WAIT or group in self._reported
        ]
        self._reported = {
            group for group, wait in rows if wait.total >= MIN_REPORTED_WAIT
        }
        if not rows:
            return
        message = _encode(rows)
        for subscriber in self._subscribers:
            self._peers.send(subscriber, message)

    def decode(self, message: StageWaits) -> list[tuple[MakerGroup, QueueWait]]:
        """Return the waits in a report, which apply only after :meth:`store`."""
        former = [
            (MakerGroup(service), QueueWait(*waits))
            for service, *waits in message.waits
        ]
        by_rank: dict[MakerGroup, list[RankWait]] = {}
        for service, data_centre, *waits in message.ranks:
            group = MakerGroup(service, data_centre)
            by_rank.setdefault(group, []).append(RankWait(*waits))
        queues = []
        for service, data_centre, *waits in message.queues:
            group = MakerGroup(service, data_centre)
            ranks = tuple(by_rank.get(group, ()))
            queues.append((group, QueueWait(*waits, by_rank=ranks)))
        return former + queues

    def store(self, group: MakerGroup, wait: QueueWait) -> None:
        """Store the wait that the owner of a group reported."""
        self._waits[group] = (wait, self._clock.now())

    def find_wait(self, group: MakerGroup) -> QueueWait:
        """Return the reported wait of a group; no wait if the report has expired."""
        wait, received_at = self._waits.get(group, (QueueWait(), 0.0))
        if self._clock.now() - received_at > REPORT_TTL:
            return QueueWait()
        return wait


def _encode(rows: list[tuple[MakerGroup, QueueWait]]) -> StageWaits:
    return StageWaits(
        queues=tuple(
            (
                group.service,
                group.data_centre,
                round(wait.urgent, 3),
                round(wait.total, 3),
                round(wait.call, 3),
            )
            for group, wait in rows
        ),
        ranks=tuple(
            (
                group.service,
                group.data_centre,
                one.rank,
                round(one.urgent, 3),
                round(one.total, 3),
            )
            for group, wait in rows
            for one in wait.by_rank
        ),
    )
