"""Exchange of the platform's instance listing between entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Ok

from greengagelatch.instances import Instance, Listing
from greengagelatch.instances.messages import ListingPage, ListingQuery
from greengagelatch.instances.rows import build_page, decode_row
from greengagelatch.peers import MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork

    from .metrics import Metrics

__all__ = ("ListingExchange",)

#: timeout in seconds of the query for one page
QUERY_TIMEOUT_SECONDS = 2.0

#: maximum rows of a listing that is accepted from a peer
MAX_ROWS = 100_000

#: average rate in rows per second, about 1 kB, at which listings are fetched from
#: peers; a long listing must not exceed the limits on peer traffic
ROWS_PER_SECOND = 12


class ListingExchange:
    """Serves the listing to peers, and fetches it from them.

    :param get_newest: returns the newest listing known to this instance
    """

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        get_newest: Callable[[], Listing | None],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._get_newest = get_newest
        self._next_query_at = clock.now()
        #: instance that the newest listing was fetched from; empty if none
        self.learnt_from = ""
        peers.handle(ListingQuery, self._answer_query)

    async def fetch(self) -> Listing | None:
        """Fetch a listing from a random peer if it has a newer one.

        Return ``None`` if it has none, and while the rate limit defers queries after
        the last fetched listing.
        """
        peers = self._list_peers()
        if not peers or self._clock.now() < self._next_query_at:
            return None
        peer = self._random.choice(peers)
        newest = self._get_newest()
        known_as_of = -1 if newest is None else newest.as_of
        listing = await self._fetch_from(peer, known_as_of)
        if listing is None or listing.as_of <= known_as_of:
            return None
        self.learnt_from = peer
        query_interval = len(listing.instances) / ROWS_PER_SECOND
        self._next_query_at = self._clock.now() + query_interval
        return listing

    async def _fetch_from(self, peer: str, known_as_of: int) -> Listing | None:
        pages: list[ListingPage] = []
        count = 0
        while not pages or count < pages[0].total:
            query = ListingQuery(known_as_of, count)
            match await self._peers.ask(peer, query, QUERY_TIMEOUT_SECONDS):
                case Ok(ListingPage() as page) if _continues(pages, page, count):
                    pages.append(page)
                    count += len(page.rows)
                case _:
                    self._metrics.count("instances.failed_questions")
                    return None
        return Listing(pages[0].as_of, self._decode_rows(pages))

    def _decode_rows(self, pages: list[ListingPage]) -> tuple[Instance, ...]:
        instances = []
        for page in pages:
            for row in page.rows:
                instance = decode_row(row)
                if instance is None:
                    # one invalid row must not discard the whole listing
                    self._metrics.count("instances.bad_rows")
                    continue
                instances.append(instance)
        return tuple(instances)

    def _answer_query(self, sender: str, query: ListingQuery) -> ListingPage:
        newest = self._get_newest()
        if newest is None or newest.as_of <= query.as_of or query.offset < 0:
            return ListingPage()
        return build_page(newest, query.offset)

    def _list_peers(self) -> list[str]:
        own_id = self._peers.instance_id
        return [
            member.instance_id
            for member in self._peers.members()
            if member.state is not MemberState.DEAD and member.instance_id != own_id
        ]


def _continues(pages: list[ListingPage], page: ListingPage, count: int) -> bool:
    """Whether a page continues the listing of the pages before it.

    The peer may have loaded a newer listing since. If pages of both were joined,
    instances that are in both listings could be missing from the result.
    """
    if page.total > MAX_ROWS or page.offset != count:
        return False
    if not pages:
        return page.total == 0 or len(page.rows) > 0
    first = pages[0]
    return (page.as_of, page.total) == (first.as_of, first.total) and bool(page.rows)
