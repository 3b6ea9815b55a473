"""What owners tell of their queues, and whom this instance tells of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.groups import MakerGroup
from greengagelatch.relay.messages import StageWaits
from greengagelatch.relay.queue_waits import QueueWait

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork

__all__ = ("QueueWaitReports",)

#: seconds for which an owner's word about its queue counts
REPORT_TTL = 0.6
#: seconds between two words about queues, and the least wait worth a word
REPORT_INTERVAL = 0.15
MIN_REPORTED_WAIT = 0.05
#: words a second that an instance sends at the most: with hundreds that ask, each
#: hears less often
MAX_REPORTS_PER_SECOND = 500.0
#: seconds for which a peer that asked is told of queues
SUBSCRIPTION_SECONDS = 10.0


class QueueWaitReports:
    """Tells peers that ask how long queues are, and remembers what they tell.

    Without it they would begin requests behind a queue that they don't see.
    """

    def __init__(self, *, peers: PeerNetwork, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        #: what owners told of their queues, and when
        self._waits: dict[MakerGroup, tuple[QueueWait, float]] = {}
        #: peers that asked lately, and until when they are told of queues
        self._subscribers: dict[str, float] = {}
        self._reported: set[MakerGroup] = set()

    def add_subscriber(self, instance_id: str) -> None:
        """Take in that a peer asks for stage work."""
        self._subscribers[instance_id] = self._clock.now() + SUBSCRIPTION_SECONDS

    def find_interval(self) -> float:
        """Return the seconds until peers are to be told again."""
        return max(REPORT_INTERVAL, len(self._subscribers) / MAX_REPORTS_PER_SECOND)

    def publish(self, waits: list[tuple[MakerGroup, QueueWait]]) -> None:
        """Tell those that asked lately how long this instance's queues are."""
        now = self._clock.now()
        for subscriber, until in tuple(self._subscribers.items()):
            if until <= now:
                del self._subscribers[subscriber]
        rows = [
            (group, wait)
            for group, wait in waits
            if wait.whole >= MIN_REPORTED_WAIT or group in self._reported
        ]
        self._reported = {
            group for group, wait in rows if wait.whole >= MIN_REPORTED_WAIT
        }
        if not rows:
            return
        message = _encode(rows)
        for subscriber in self._subscribers:
            self._peers.send(subscriber, message)

    def decode(self, message: StageWaits) -> list[tuple[MakerGroup, QueueWait]]:
        """Return what a peer tells of its queues; it counts once it is kept."""
        former = [
            (MakerGroup(service), QueueWait(*waits))
            for service, *waits in message.waits
        ]
        queues = [
            (MakerGroup(service, data_centre), QueueWait(*waits))
            for service, data_centre, *waits in message.queues
        ]
        return former + queues

    def store(self, group: MakerGroup, wait: QueueWait) -> None:
        """Keep the word of a group's owner."""
        self._waits[group] = (wait, self._clock.now())

    def find_wait(self, group: MakerGroup) -> QueueWait:
        """Return what a group's owner told; no wait if it told nothing of late."""
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
                round(wait.whole, 3),
                round(wait.call, 3),
            )
            for group, wait in rows
        )
    )
