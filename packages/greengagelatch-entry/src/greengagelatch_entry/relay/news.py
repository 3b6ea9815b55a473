"""What peers have heard of the store, asked for while it can't be reached."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.peers import MemberState
from greengagelatch.relay.messages import News, NewsQuery
from greengagelatch.relay.news import decode_target, encode_target

from ..controllers import Controller

if TYPE_CHECKING:
    import random

    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.targets import TargetBook

    from ..metrics import Metrics
    from .configuration import ConfigurationFollower
    from .following import StoreFollower
    from .listing import ListingFollower

__all__ = ("NewsController",)

#: seconds between two questions
INTERVAL = 0.35
#: seconds of the store's silence after which peers are asked; a watch that waits
#: is silent that long by itself
SILENCE = 1.6
TIMEOUT = 0.6


class NewsController(Controller):
    """Asks a peer, another one each time, while the store is out of reach.

    The store may turn some instances away while it serves others and the operator.
    An instance that only waited for it would go on with withdrawn keys and routes,
    and send work to targets that leave.
    """

    name = "news"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        follower: StoreFollower,
        configuration: ConfigurationFollower,
        listing: ListingFollower,
        book: TargetBook,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._follower = follower
        self._configuration = configuration
        self._listing = listing
        self._book = book
        self._random = random_source
        self._metrics = metrics
        self._learnt = 0
        peers.handle(NewsQuery, self._answer)

    def dump(self) -> dict[str, Any]:
        return {"learnt_from_peers": self._learnt}

    @Service.task
    async def _ask_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(INTERVAL)
            if not self._follower.reached or self._follower.silence > SILENCE:
                await self._ask_one()

    async def _ask_one(self) -> None:
        own = self._peers.instance_id
        others = [
            member.instance_id
            for member in self._peers.members()
            if member.instance_id != own and member.state is not MemberState.DEAD
        ]
        if not others:
            return
        question = NewsQuery(self._configuration.revision, self._listing.revision)
        reply = await self._peers.ask(self._random.choice(others), question, TIMEOUT)
        if isinstance(reply, Err) or not isinstance(reply.ok_value, News):
            self._metrics.count("news.unanswered")
            return
        self._take(reply.ok_value)

    def _take(self, news: News) -> None:
        if news.configuration:
            self._learnt += 1
            self._configuration.take(
                news.configuration, news.configuration_revision, "peer"
            )
        if not news.listed:
            return
        targets = tuple(filter(None, map(decode_target, news.targets)))
        self._listing.take_news(targets, news.listing_revision)

    def _answer(self, sender: str, query: NewsQuery) -> News:
        configuration = self._configuration
        newer = configuration.revision > query.configuration_revision
        listed = (
            self._listing.informed and self._listing.revision > query.listing_revision
        )
        return News(
            configuration_revision=configuration.revision,
            configuration=configuration.value if newer else b"",
            listing_revision=self._listing.revision,
            listed=listed,
            targets=tuple(map(encode_target, self._book.list_all())) if listed else (),
        )
