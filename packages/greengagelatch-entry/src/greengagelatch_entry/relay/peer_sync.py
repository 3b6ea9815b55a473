"""What peers have heard of the store, asked for where it is not heard itself."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.peers import MemberState
from greengagelatch.relay.messages import News, NewsQuery
from greengagelatch.relay.news import decode_target, encode_target

from ..controllers import Controller

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import Member, PeerNetwork
    from greengagelatch.relay.targets import TargetBook

    from ..metrics import Metrics
    from .configuration import ConfigurationFollower
    from .crashes import CrashBoard
    from .listing import ListingFollower
    from .store_follower import StoreFollower

__all__ = ("PeerSyncController",)

#: seconds between two questions: with a peer's watch and one question, what the
#: store has accepted is in force here half a second later
POLL_INTERVAL = 0.4
#: seconds of the store's silence after which peers are asked; a watch that waits
#: is silent that long by itself
STALENESS_THRESHOLD = 1.6
QUERY_TIMEOUT = 0.6
#: bytes of a configuration that a peer may tell, so that a broken one can't fill the
#: memory: eight times what the store holds in one value
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
#: level at which configurations are compressed: routes are much alike, so that the
#: fastest one makes them a tenth as long; a link of 10 Mbit/s takes 0.1 s for 125 kB
COMPRESSION_LEVEL = 1


class PeerSyncController(Controller):
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
        book: TargetBook,
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
        self._adopted = 0
        #: whether the last question was answered
        self._last_query_answered = True
        #: the configuration in force, compressed, and its revision
        self._compressed = (0, b"")
        peers.handle(NewsQuery, self._handle_query)

    def dump(self) -> dict[str, Any]:
        return {"learnt_from_peers": self._adopted}

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(POLL_INTERVAL)
            follower = self._follower
            if (
                follower.passive
                or not follower.reachable
                or follower.staleness > STALENESS_THRESHOLD
            ):
                await self._query_peer()

    async def _query_peer(self) -> None:
        peer = self._choose_peer()
        if peer is None:
            return
        query = NewsQuery(
            self._configuration.revision,
            self._listing.revision,
            self._crashes.revision,
        )
        sent_at = self._clock.now()
        reply = await self._peers.ask(peer, query, QUERY_TIMEOUT)
        self._last_query_answered = not isinstance(reply, Err)
        if isinstance(reply, Err) or not isinstance(reply.ok_value, News):
            self._metrics.count("news.unanswered")
            return
        self._apply(reply.ok_value, self._clock.now() - sent_at)

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
        if self._follower.passive:
            listeners = self._list_listeners()
            followers = [one for one in others if one.instance_id in listeners]
            others = self._select_same_data_centre(followers) or followers or others
        return self._random.choice(others).instance_id if others else None

    def _select_same_data_centre(self, members: list[Member]) -> list[Member]:
        if not self._last_query_answered:
            return []
        return [one for one in members if one.data_centre == self._data_centre]

    def _apply(self, update: News, elapsed: float) -> None:
        """Take in news that were asked for so many seconds ago."""
        if update.configuration:
            self._adopted += 1
            value = _decompress(update.configuration)
            if value is None:
                self._metrics.count("news.unreadable")
                return
            self._configuration.apply(value, update.configuration_revision, "peer")
        if update.listed:
            targets = tuple(filter(None, map(decode_target, update.targets)))
            self._listing.apply_peer_listing(targets, update.listing_revision)
        self._crashes.take_news(update.crashes)
        if update.heard_seconds is not None:
            self._follower.record_peer_report(update.heard_seconds + elapsed)

    def _handle_query(self, sender: str, query: NewsQuery) -> News:
        configuration = self._configuration
        newer = configuration.revision > query.configuration_revision
        listed = (
            self._listing.synced and self._listing.revision > query.listing_revision
        )
        return News(
            heard_seconds=self._follower.staleness,
            configuration_revision=configuration.revision,
            configuration=self._compress_configuration() if newer else b"",
            listing_revision=self._listing.revision,
            listed=listed,
            targets=tuple(map(encode_target, self._book.list_all())) if listed else (),
            crashes=self._crashes.list_newer(query.crashes_revision),
        )

    def _compress_configuration(self) -> bytes:
        """Return the configuration in force, compressed once for all that ask."""
        revision = self._configuration.revision
        if self._compressed[0] != revision:
            self._compressed = (
                revision,
                zlib.compress(self._configuration.value, COMPRESSION_LEVEL),
            )
        return self._compressed[1]


def _decompress(compressed: bytes) -> bytes | None:
    """Return a configuration as it was before; ``None`` if it can't be read."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(compressed, MAX_CONFIGURATION_BYTES)
    except zlib.error:
        return None
    return None if decompressor.unconsumed_tail else value
