"""Anti-entropy: pulling the state of the store from peers."""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.peers import MemberState
from greengagelatch.relay.evacuations import Evacuation
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.messages import PeerSyncAnswer, PeerSyncQuery
from greengagelatch.relay.target_rows import (
    decode_targets,
    encode_target,
    encode_versions,
)

from ..controllers import Controller

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import Member, PeerNetwork
    from greengagelatch.relay.cold_targets import ColdTargets
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics
    from .brittle_news import BrittleNewsController
    from .configuration import ConfigurationFollower
    from .crash_report_replicator import CrashReportReplicator
    from .evacuation import EvacuationFollower
    from .listing import ListingFollower
    from .rate_limit_news import RateLimitNewsController
    from .store_follower import StoreFollower
    from .version_history import VersionHistory

__all__ = ("PeerSyncController",)

#: seconds between two queries; a change that a peer has received from its watch is
#: active here within half a second
POLL_INTERVAL = 0.4
#: staleness in seconds above which peers are queried; a pending watch alone leaves the
#: state unconfirmed for about that long
STALENESS_THRESHOLD = 1.6
#: seconds to wait for the answer of a peer
QUERY_TIMEOUT = 0.6
#: maximum size in bytes of a decompressed configuration, so that a faulty peer can't
#: exhaust the memory; eight times the maximum size of a value in the store
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
#: zlib level for configurations. Routes are repetitive, so that the fastest level
#: reduces them to a tenth; a link of 10 Mbit/s transfers 125 kB in 0.1 s
COMPRESSION_LEVEL = 1


class PeerSyncController(Controller):
    """Queries a random peer periodically unless the store is followed directly.

    The store may reject some instances while it serves others and the operators. An
    instance that only waited for it would keep using revoked keys and removed routes,
    and send requests to targets that are leaving. In a large fleet, passive instances
    query the followers all the time.

    :param list_followers: returns the instances that watch the store
    """

    name = "news"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        list_followers: Callable[[], frozenset[str]],
        data_centre: str,
        follower: StoreFollower,
        configuration: ConfigurationFollower,
        listing: ListingFollower,
        evacuation: EvacuationFollower,
        version_history: VersionHistory,
        crash_reports: CrashReportReplicator,
        target_table: TargetTable,
        cold_targets: ColdTargets,
        brittle_news: BrittleNewsController,
        rate_limit_news: RateLimitNewsController,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._list_followers = list_followers
        self._data_centre = data_centre
        self._follower = follower
        self._configuration = configuration
        self._listing = listing
        self._evacuation = evacuation
        self._version_history = version_history
        self._crash_reports = crash_reports
        self._target_table = target_table
        self._cold_targets = cold_targets
        self._brittle_news = brittle_news
        self._rate_limit_news = rate_limit_news
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._adopted = 0
        #: whether the last query was answered
        self._last_query_answered = True
        #: revision of the active configuration, and its compressed value
        self._compressed = (0, b"")
        peers.handle(PeerSyncQuery, self._handle_query)

    def dump(self) -> dict[str, Any]:
        return {"learnt_from_peers": self._adopted}

    @Service.task
    async def _poll_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(POLL_INTERVAL)
            follower = self._follower
            if (
                # also while it still follows the store: reports let it stop
                follower.is_replaceable
                or not follower.reachable
                or follower.staleness > STALENESS_THRESHOLD
            ):
                await self._query_peer()

    async def _query_peer(self) -> None:
        peer = self._choose_peer()
        if peer is None:
            return
        query = PeerSyncQuery(
            self._configuration.revision,
            self._listing.revision,
            self._crash_reports.revision,
            self._evacuation.revision,
            self._version_history.revision,
        )
        sent_at = self._clock.now()
        reply = await self._peers.ask(peer, query, QUERY_TIMEOUT)
        self._last_query_answered = not isinstance(reply, Err)
        if isinstance(reply, Err) or not isinstance(reply.ok_value, PeerSyncAnswer):
            self._metrics.count("news.unanswered")
            return
        self._apply(reply.ok_value, self._clock.now() - sent_at)

    def _choose_peer(self) -> str | None:
        """Return the peer to query.

        An instance that is no follower prefers followers in its own data centre, unless
        the last query failed. If this instance can't reach the store, its neighbours
        may not reach it either, so that any other instance may be chosen; after a query
        that failed, one in the own data centre is: the others may be unreachable, and a
        process that has restarted beside this one knows no peer until it is dialled.
        """
        own = self._peers.instance_id
        others = [
            member
            for member in self._peers.members()
            if member.instance_id != own and member.state is not MemberState.DEAD
        ]
        if self._follower.is_replaceable:
            followers = self._list_followers()
            candidates = [one for one in others if one.instance_id in followers]
            if self._last_query_answered:
                candidates = self._select_same_data_centre(candidates) or candidates
            others = candidates or others
        elif not self._last_query_answered:
            others = self._select_same_data_centre(others) or others
        return self._random.choice(others).instance_id if others else None

    def _select_same_data_centre(self, members: list[Member]) -> list[Member]:
        return [one for one in members if one.data_centre == self._data_centre]

    def _apply(self, update: PeerSyncAnswer, elapsed: float) -> None:
        """Apply the state of a peer.

        :param elapsed: seconds since the query was sent
        """
        if update.configuration:
            self._adopted += 1
            value = _decompress(update.configuration)
            if value is None:
                self._metrics.count("news.unreadable")
                return
            self._configuration.apply(value, update.configuration_revision, "peer")
        # before the listing: the targets of an evacuated data centre may be new here
        self._evacuation.apply_peer_evacuations(
            tuple(Evacuation(*row) for row in update.evacuations),
            update.evacuations_revision,
        )
        # before the listing: a lone version would be taken for the only one
        self._version_history.apply_peer_record(
            update.versions, update.versions_written, update.versions_revision
        )
        if update.listed:
            targets = tuple(decode_targets(update.targets, update.target_versions))
            self._listing.apply_peer_listing(targets, update.listing_revision)
        for target_id, started_ms, seconds in update.cold_targets:
            self._listing.record_cold(
                Incarnation(target_id, started_ms),
                # as of the query: peers that ask each other would prolong it else
                seconds - elapsed,
                "peer",
            )
        self._brittle_news.apply(update.brittle_services, elapsed)
        self._rate_limit_news.apply(update.rate_limits, elapsed)
        self._crash_reports.apply_updates(update.crashes)
        if update.heard_seconds is not None:
            self._follower.record_peer_report(update.heard_seconds + elapsed)

    def _handle_query(self, sender: str, query: PeerSyncQuery) -> PeerSyncAnswer:
        configuration = self._configuration
        newer = configuration.revision > query.configuration_revision
        listed = (
            self._listing.synced and self._listing.revision > query.listing_revision
        )
        evacuation = self._evacuation
        evacuations_newer = evacuation.revision > query.evacuations_revision
        targets = self._target_table.list_all() if listed else ()
        history = self._version_history
        versions_newer = history.revision > query.versions_revision
        return PeerSyncAnswer(
            heard_seconds=self._follower.reported_staleness,
            configuration_revision=configuration.revision,
            configuration=self._compress_configuration() if newer else b"",
            listing_revision=self._listing.revision,
            listed=listed,
            targets=tuple(map(encode_target, targets)),
            target_versions=encode_versions(targets),
            crashes=self._crash_reports.list_newer(query.crashes_revision),
            evacuations_revision=evacuation.revision if evacuations_newer else 0,
            evacuations=tuple(
                (one.data_centre, one.revision) for one in evacuation.list_active()
            )
            if evacuations_newer
            else (),
            cold_targets=tuple(
                (one.target_id, one.started_ms, seconds)
                for one, seconds in self._cold_targets.list_cold(self._clock.now())
            ),
            brittle_services=self._brittle_news.list_rows(),
            rate_limits=self._rate_limit_news.list_rows(),
            versions_revision=history.revision if versions_newer else 0,
            versions=history.value if versions_newer else b"",
            versions_written=history.written_at if versions_newer else 0,
        )

    def _compress_configuration(self) -> bytes:
        """Return the active configuration, compressed once per revision."""
        revision = self._configuration.revision
        if self._compressed[0] != revision:
            self._compressed = (
                revision,
                zlib.compress(self._configuration.value, COMPRESSION_LEVEL),
            )
        return self._compressed[1]


def _decompress(compressed: bytes) -> bytes | None:
    """Return a decompressed configuration; ``None`` if malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(compressed, MAX_CONFIGURATION_BYTES)
    except zlib.error:
        return None
    return None if decompressor.unconsumed_tail else value
