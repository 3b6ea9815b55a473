"""What owners tell of their queues, and whom this instance tells of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.relay.groups import MakerGroup
from greengagelatch.relay.messages import StageWaits
from greengagelatch.relay.queue_waits import QueueWait

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork

__all__ = ("QueueWords",)

#: seconds for which an owner's word about its queue counts
WAIT_LIFE = 0.6
#: seconds between two words about queues, and the least wait worth a word
TELL_INTERVAL = 0.15
LEAST_TOLD = 0.05
#: words a second that an instance sends at the most: with hundreds that ask, each
#: hears less often
MOST_WORDS = 500.0
#: seconds for which a peer that asked is told of queues
ASKER_LIFE = 10.0


class QueueWords:
    """Tells peers that ask how long queues are, and remembers what they tell.

    Without it they would begin requests behind a queue that they don't see.
    """

    def __init__(self, *, peers: PeerNetwork, clock: Clock) -> None:
        self._peers = peers
        self._clock = clock
        #: what owners told of their queues, and when
        self._waits: dict[MakerGroup, tuple[QueueWait, float]] = {}
        #: peers that asked lately, and until when they are told of queues
        self._askers: dict[str, float] = {}
        self._told: set[MakerGroup] = set()

    def note_asker(self, instance_id: str) -> None:
        """Take in that a peer asks for stage work."""
        self._askers[instance_id] = self._clock.now() + ASKER_LIFE

    def find_interval(self) -> float:
        """Return the seconds until peers are to be told again."""
        return max(TELL_INTERVAL, len(self._askers) / MOST_WORDS)

    def tell(self, waits: list[tuple[MakerGroup, QueueWait]]) -> None:
        """Tell those that asked lately how long this instance's queues are."""
        now = self._clock.now()
        for asker, until in tuple(self._askers.items()):
            if until <= now:
                del self._askers[asker]
        rows = [
            (group, wait)
            for group, wait in waits
            if wait.total >= LEAST_TOLD or group in self._told
        ]
        self._told = {group for group, wait in rows if wait.total >= LEAST_TOLD}
        if not rows:
            return
        message = _encode(rows)
        for asker in self._askers:
            self._peers.send(asker, message)

    def take(self, message: StageWaits) -> list[tuple[MakerGroup, QueueWait]]:
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

    def keep(self, group: MakerGroup, wait: QueueWait) -> None:
        """Keep the word of a group's owner."""
        self._waits[group] = (wait, self._clock.now())

    def find(self, group: MakerGroup) -> QueueWait:
        """Return what a group's owner told; no wait if it told nothing of late."""
        wait, told = self._waits.get(group, (QueueWait(), 0.0))
        if self._clock.now() - told > WAIT_LIFE:
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
        )
    )
