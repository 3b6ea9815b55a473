"""Replication of the operator configuration to this instance."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err, Ok, Result

from greengagelatch.config.gossip import choose_watchers
from greengagelatch.config.head import HEAD_KEY, Head, decode_head, find_change
from greengagelatch.config.replica import Replica
from greengagelatch.membership.backoff import compute_backoff

from ..configuration.driver import ChangeDriver
from ..configuration.gossip import GenerationGossip
from ..configuration.learner import Learner
from ..configuration.report import ChangeLookup, MemberGeneration
from ..configuration.serving import ConfigServer
from ..configuration.shards import ShardReader
from . import Controller

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from greengagelatch.clock import Clock
    from greengagelatch.config.records import Record
    from greengagelatch.config.requests import ChangeOutcome, ChangeRequest
    from greengagelatch.config.snapshot import Snapshot
    from greengagelatch.events import EventBus
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.settings import Settings
    from greengagelatch.store import Entry, Store, StoreError

    from ..metrics import Metrics

__all__ = ("CONFIGURATION_CHANGED", "ConfigurationController")

logger = logging.getLogger(__name__)

#: emitted with the snapshot whenever this instance adopts a newer generation
CONFIGURATION_CHANGED = "configuration-changed"

#: seconds between two checks whether this instance watches the head in the store
WATCHER_CHECK_INTERVAL = 1.0

#: minimum and maximum back-off in seconds after a failed call
RETRY_BASE = 0.2
RETRY_MAX = 5.0

#: seconds to wait for peers before an instance without a configuration reads the
#: shards from the store, and before one that is not a watcher queries the store at all
PEER_WAIT = 1.0
STORE_FALLBACK_DELAY = 3.0
#: seconds between two checks for a configuration from peers at start-up
START_CHECK_INTERVAL = 0.1

#: peers queried at the same time by an instance without a configuration
START_FANOUT = 2


class ConfigurationController(Controller):
    """Holds the newest generation of the configuration known to this instance.

    A few instances of each data centre, the watchers, watch the head in the store.
    The others learn of a new generation by gossip and fetch it from a peer. An
    instance whose configuration has not been confirmed as the newest for
    ``configuration.stale_after`` seconds reads the head itself, because the watchers
    may be partitioned from the store while it is not.
    """

    name = "configuration"

    def __init__(
        self,
        *,
        store: Store,
        peers: PeerNetwork,
        clock: Clock,
        random_source: Random,
        events: EventBus,
        settings: Settings,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        super().__init__()
        self._store = store
        self._peers = peers
        self._clock = clock
        self._random = random_source
        self._events = events
        self._metrics = metrics
        self._data_centre = data_centre
        self._watch_wait: float = settings["configuration.watch_wait"]
        self._gossip_interval: float = settings["configuration.gossip_interval"]
        self._stale_after: float = settings["configuration.stale_after"]
        self._replica = Replica()
        #: store revision of the newest head that was applied
        self._revision = 0
        self._fetch_needed = asyncio.Event()
        self._adopt_lock = asyncio.Lock()
        reader = ShardReader(store=store, replica=self._replica, metrics=metrics)
        self._learner = Learner(
            replica=self._replica,
            reader=reader,
            peers=peers,
            metrics=metrics,
            fetch_timeout=settings["configuration.fetch_timeout"],
            on_adopted=self._handle_adopted,
        )
        self._driver = ChangeDriver(
            store=store,
            reader=reader,
            clock=clock,
            random_source=random_source,
            metrics=metrics,
            timeout=settings["configuration.change_timeout"],
            get_generation=lambda: self._replica.generation,
            on_settled=self._learner.adopt,
        )
        self._gossip = GenerationGossip(
            replica=self._replica,
            peers=peers,
            clock=clock,
            random_source=random_source,
            data_centre=data_centre,
            fetch_timeout=settings["configuration.fetch_timeout"],
            on_newer_generation=self._fetch_needed.set,
        )
        ConfigServer(replica=self._replica, peers=peers, metrics=metrics)
        events.declare(CONFIGURATION_CHANGED)

    # queries and changes

    @property
    def snapshot(self) -> Snapshot:
        """Objects in force on this instance; empty before the first generation."""
        return self._replica.snapshot

    @property
    def ready(self) -> bool:
        """Whether any configuration is known."""
        return self._replica.generation > 0

    @property
    def head(self) -> Head:
        """Head of the generation in force on this instance."""
        return self._replica.head

    @property
    def instance_id(self) -> str:
        """Id of this instance."""
        return self._peers.instance_id

    @property
    def data_centre(self) -> str:
        """Data centre of this instance."""
        return self._data_centre

    def list_records(self) -> Mapping[str, Record]:
        """Return all records in force by ``KIND/NAME``, deleted ones included."""
        return self._replica.list_records()

    def find_generation(self, instance_id: str) -> int | None:
        """Return the last reported generation of an instance; ``None`` if unknown."""
        return self._gossip.find_generation(instance_id)

    def get_store_age(self) -> float | None:
        """Return seconds since this generation was last confirmed as the newest."""
        return self._gossip.get_store_age()

    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        """Apply a change and return its outcome."""
        return await self._driver.change(request)

    async def find_change(self, change_id: str) -> Result[ChangeLookup, StoreError]:
        """Look up a change in the local head, then in the newest head of the store."""
        head = self._replica.head
        entry = find_change(head, change_id)
        if entry is not None:
            return Ok(ChangeLookup(head, entry))
        answer = await self._read_head()
        if answer.is_err():
            return Err(answer.err_value)
        if answer.ok_value is None:
            return Ok(ChangeLookup(head, None))
        decoded = decode_head(answer.ok_value.value)
        if decoded.is_err():
            return Ok(ChangeLookup(head, None))
        newest = decoded.ok_value
        return Ok(ChangeLookup(newest, find_change(newest, change_id)))

    async def list_generations(
        self, *, refresh: bool = False
    ) -> tuple[MemberGeneration, ...]:
        """Return every known entry instance with its generation in force.

        :param refresh: query all members instead of returning their last reports.
        """
        members = self._peers.members()
        if refresh:
            await self._gossip.query_members(members)
        return tuple(self._gossip.describe(member) for member in members)

    def dump(self) -> dict[str, Any]:
        head = self._replica.head
        return {
            "generation": head.generation,
            "objects": {
                "pipelines": len(self.snapshot.pipelines),
                "services": len(self.snapshot.services),
                "workspaces": len(self.snapshot.workspaces),
                "policies": len(self.snapshot.policies),
            },
            "shards": len(head.shards),
            "bytes": self._replica.bytes_held,
            "recent_changes": len(head.changes),
            "store_revision": self._revision,
            "store_age_seconds": self.get_store_age(),
            "watching": self._is_watcher(),
        }

    # replication from the store

    @Service.task
    async def _watch_forever(self) -> None:
        failures = 0
        while not self.should_stop:
            if not self._is_watcher():
                failures = 0
                await self.sleep(WATCHER_CHECK_INTERVAL)
                continue
            started_at = self._clock.now()
            previous_revision = self._revision
            if await self._watch_once():
                failures = 0
                # a watch may return at once without a change, for example while no
                # head exists; avoid a tight loop, as the store meters each call
                min_interval = min(WATCHER_CHECK_INTERVAL, self._watch_wait)
                if (
                    self._revision == previous_revision
                    and self._clock.now() - started_at < min_interval
                ):
                    await self.sleep(min_interval)
                continue
            failures += 1
            await self._back_off(failures)

    async def _watch_once(self) -> bool:
        answer = await self._store.watch(HEAD_KEY, self._revision, self._watch_wait)
        if answer.is_err():
            self._metrics.count("configuration.failed_watches")
            return False
        entry = answer.ok_value
        if entry is None:
            self._gossip.confirm_newest()
            return True
        return await self._adopt_entry(entry)

    async def _adopt_entry(self, entry: Entry) -> bool:
        # serialised, or the watch and the start-up would each read all shards
        async with self._adopt_lock:
            if not self.ready:
                await self._wait_for_peers()
            adopted = await self._learner.adopt_entry(entry)
        if not adopted:
            return False
        # advance only now, so that a head with unreadable shards is watched again
        if entry.revision >= self._revision:
            self._revision = entry.revision
            self._gossip.confirm_newest()
        return True

    async def _read_head(self) -> Result[Entry | None, StoreError]:
        answer = await self._store.get(HEAD_KEY)
        entry = answer.ok()
        if entry is not None:
            await self._adopt_entry(entry)
        return answer

    @Service.task
    async def _bootstrap(self) -> None:
        failures = 0
        started_at = self._clock.now()
        while not self.should_stop and not self.ready:
            await self._query_peers()
            prefers_peers = self._clock.now() - started_at < STORE_FALLBACK_DELAY
            if prefers_peers and not self._is_watcher():
                await self.sleep(START_CHECK_INTERVAL)
                continue
            answer = await self._read_head()
            if answer.is_ok() and answer.ok_value is None:
                # no configuration exists yet; the watch reports the first one
                return
            failures += 1
            if not self.ready:
                await self._back_off(failures)

    async def _wait_for_peers(self) -> None:
        """Wait a bounded time for a peer to provide the first configuration.

        The store holds the configuration in up to 256 shards and meters each read.
        When a data centre restarts, all its instances would read the shards at the
        same time, and the store would miss the deadlines of all other calls for
        several seconds.
        """
        end = self._clock.now() + PEER_WAIT
        queried = False
        while not self.ready and self._clock.now() < end:
            if not queried and self._gossip.list_reachable_peers():
                queried = True
                await self._query_peers()
            await self.sleep(START_CHECK_INTERVAL)

    async def _query_peers(self) -> None:
        others = self._gossip.list_reachable_peers()
        count = min(START_FANOUT, len(others))
        await self._gossip.query_members(self._random.sample(others, count))

    def _is_watcher(self) -> bool:
        watchers = choose_watchers(self._peers.members(), self._data_centre)
        # without any watcher in its view, an instance has to watch the head itself
        return not watchers or self.instance_id in watchers

    async def _back_off(self, failures: int) -> None:
        delay = compute_backoff(
            failures, base=RETRY_BASE, longest=RETRY_MAX, random_source=self._random
        )
        await self.sleep(delay)

    # replication from peers

    @Service.task
    async def _gossip_forever(self) -> None:
        while not self.should_stop:
            jitter = self._random.uniform(0.5, 1.5)
            await self.sleep(self._gossip_interval * jitter)
            self._metrics.gauge("configuration.generation", self._replica.generation)
            self._gossip.advertise_to_random_peer()
            fleet_size = 1 + len(self._gossip.list_reachable_peers())
            if self._is_stale() and self._random.random() * fleet_size < 1:
                # the probability falls with the fleet size, which keeps the read rate
                # of the whole fleet independent of its size
                self._metrics.count("configuration.stale_reads")
                await self._read_head()

    @Service.task
    async def _fetch_forever(self) -> None:
        failures = 0
        while not self.should_stop:
            await self.wait(self._fetch_needed)
            candidates = self._gossip.list_newer_peers()
            if not candidates:
                self._fetch_needed.clear()
                failures = 0
                continue
            if await self._learner.adopt_from_peer(self._random.choice(candidates)):
                failures = 0
                continue
            failures += 1
            await self._back_off(failures)

    def _is_stale(self) -> bool:
        age = self.get_store_age()
        return age is None or age > self._stale_after

    def _handle_adopted(self) -> None:
        generation = self._replica.generation
        logger.info("adopted configuration generation %s", generation)
        self._metrics.gauge("configuration.generation", generation)
        self._metrics.count("configuration.adopted")
        self._events.emit(CONFIGURATION_CHANGED, self._replica.snapshot)
        self._gossip.advertise_new_generation()
