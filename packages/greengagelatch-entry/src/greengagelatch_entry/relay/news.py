"""What peers have heard of the store, asked for where it is not heard itself."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.peers import MemberState
from greengagelatch.relay.messages import PeerSyncAnswer, PeerSyncQuery
from greengagelatch.relay.target_rows import decode_target, encode_target

from ..controllers import Controller

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import Member, PeerNetwork
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics
    from .configuration import ConfigurationFollower
    from .crashes import CrashBoard
    from .following import StoreFollower
    from .listing import ListingFollower

__all__ = ("NewsController",)

#: seconds between two questions: with a peer's watch and one question, what the
#: store has accepted is in force here half a second later
INTERVAL = 0.4
#: seconds of the store's silence after which peers are asked; a watch that waits
#: is silent that long by itself
SILENCE = 1.6
TIMEOUT = 0.6
#: bytes of a configuration that a peer may tell, so that a broken one can't fill the
#: memory: eight times what the store holds in one value
MAX_CONFIGURATION = 8 * 1024 * 1024
#: level at which configurations are compressed: routes are much alike, so that the
#: fastest one makes them a tenth as long; a link of 10 Mbit/s takes 0.1 s for 125 kB
LEVEL = 1


class NewsController(Controller):
    """Asks a peer, another one each time, where the store is not heard itself.

    The store may turn some instances away while it serves others and the operator.
    An instance that only waited for it would go on with withdrawn keys and routes,
    and send work to targets that leave. In a large fleet those that leave the store
    to others ask these all the time.

    :param list_listeners: returns the instances that follow the store
    """

    name = "news"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        list_listeners: Callable[[], frozenset[str]],
        data_centre: str,
        follower: StoreFollower,
        configuration: ConfigurationFollower,
        listing: ListingFollower,
        crashes: CrashBoard,
        book: TargetTable,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._list_listeners = list_listeners
        self._data_centre = data_centre
        self._follower = follower
        self._configuration = configuration
        self._listing = listing
        self._crashes = crashes
        self._book = book
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._learnt = 0
        #: whether the last question was answered
        self._answered = True
        #: the configuration in force, compressed, and its revision
        self._packed = (0, b"")
        peers.handle(PeerSyncQuery, self._answer)

    def dump(self) -> dict[str, Any]:
        return {"learnt_from_peers": self._learnt}

    @Service.task
    async def _ask_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(INTERVAL)
            follower = self._follower
            if follower.resting or not follower.reached or follower.silence > SILENCE:
                await self._ask_one()

    async def _ask_one(self) -> None:
        peer = self._choose_peer()
        if peer is None:
            return
        question = PeerSyncQuery(
            self._configuration.revision,
            self._listing.revision,
            self._crashes.revision,
        )
        asked = self._clock.now()
        reply = await self._peers.ask(peer, question, TIMEOUT)
        self._answered = not isinstance(reply, Err)
        if isinstance(reply, Err) or not isinstance(reply.ok_value, PeerSyncAnswer):
            self._metrics.count("news.unanswered")
            return
        self._take(reply.ok_value, self._clock.now() - asked)

    def _choose_peer(self) -> str | None:
        """Return whom to ask: one that follows the store, a near one if it answers.

        Where the store is out of reach for this instance, those near it may be no
        better off, so that any of the others is asked.
        """
        own = self._peers.instance_id
        others = [
            member
            for member in self._peers.members()
            if member.instance_id != own and member.state is not MemberState.DEAD
        ]
        if self._follower.resting:
            listeners = self._list_listeners()
            listening = [one for one in others if one.instance_id in listeners]
            others = self._select_near(listening) or listening or others
        return self._random.choice(others).instance_id if others else None

    def _select_near(self, members: list[Member]) -> list[Member]:
        if not self._answered:
            return []
        return [one for one in members if one.data_centre == self._data_centre]

    def _take(self, news: PeerSyncAnswer, seconds: float) -> None:
        """Take in news that were asked for so many seconds ago."""
        if news.configuration:
            self._learnt += 1
            value = _unpack(news.configuration)
            if value is None:
                self._metrics.count("news.unreadable")
                return
            self._configuration.take(value, news.configuration_revision, "peer")
        if news.listed:
            targets = tuple(filter(None, map(decode_target, news.targets)))
            self._listing.take_news(targets, news.listing_revision)
        self._crashes.take_news(news.crashes)
        if news.heard_seconds is not None:
            self._follower.note_news(news.heard_seconds + seconds)

    def _answer(self, sender: str, query: PeerSyncQuery) -> PeerSyncAnswer:
        configuration = self._configuration
        newer = configuration.revision > query.configuration_revision
        listed = (
            self._listing.informed and self._listing.revision > query.listing_revision
        )
        return PeerSyncAnswer(
            heard_seconds=self._follower.silence,
            configuration_revision=configuration.revision,
            configuration=self._pack() if newer else b"",
            listing_revision=self._listing.revision,
            listed=listed,
            targets=tuple(map(encode_target, self._book.list_all())) if listed else (),
            crashes=self._crashes.list_newer(query.crashes_revision),
        )

    def _pack(self) -> bytes:
        """Return the configuration in force, compressed once for all that ask."""
        revision = self._configuration.revision
        if self._packed[0] != revision:
            self._packed = (revision, zlib.compress(self._configuration.value, LEVEL))
        return self._packed[1]


def _unpack(packed: bytes) -> bytes | None:
    """Return a configuration as it was before; ``None`` if it can't be read."""
    unpacking = zlib.decompressobj()
    try:
        value = unpacking.decompress(packed, MAX_CONFIGURATION)
    except zlib.error:
        return None
    return None if unpacking.unconsumed_tail else value
