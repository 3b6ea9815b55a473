"""Instances of which the decision code is real, over a model of the store and peers."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from result import Ok, Result

from greengagelatch.relay.cold_targets import ColdTargets
from greengagelatch.relay.deployment import (
    Deployment,
    Route,
    RoutedService,
    RoutedWorkspace,
    RouteKind,
)
from greengagelatch.relay.targets import TargetTable
from greengagelatch_entry.relay.codecs import DeploymentCodec, EvacuationCodec
from greengagelatch_entry.relay.configuration import ConfigurationFollower
from greengagelatch_entry.relay.evacuation import EvacuationFollower
from greengagelatch_entry.relay.filters import RouteFilter
from greengagelatch_entry.relay.follower_selection import FollowerSelection
from greengagelatch_entry.relay.listing import ListingFollower
from greengagelatch_entry.relay.peer_sync import PeerSyncController
from greengagelatch_entry.relay.store_follower import StoreFollower, StoreSubscriber
from greengagelatch_entry.relay.stream_version_exchange import StreamVersionExchange
from greengagelatch_entry.relay.version_history import VersionHistory

from ..stage_load.instances import NullTelemetry
from ..stage_load.virtual_time import LoopClock
from ..standins.peers import MemoryPeers
from .store import StoreChannel
from .targets import ModelListingCodec

if TYPE_CHECKING:
    import random

    from greengagelatch.config.problems import Problem
    from greengagelatch.peers.codec import Message
    from greengagelatch.store.ranges import Changes, Scan

    from ..standins.peers import MemoryNetwork
    from .store import ModelStore

__all__ = (
    "CONFIGURATION_KEY",
    "HOST",
    "PLAIN_SERVICE",
    "REGISTRY_PREFIX",
    "STREAM_SERVICE",
    "ModelInstance",
    "encode_configuration",
)

CONFIGURATION_KEY = "operator/configuration"
HOST = "callers.example"
#: service of requests that are answered at once, and service of streams
PLAIN_SERVICE, STREAM_SERVICE = "desk", "llm"
#: prefix of the keys by which instances are registered
REGISTRY_PREFIX = "instances/"
#: bounds of the seconds of a message between instances
MESSAGE_SECONDS = (0.001, 0.02)
#: seconds for which callers wait
TIMEOUT_SECONDS = 10.0


def encode_configuration(version: int, keys: tuple[str, ...]) -> bytes:
    """Return the value of a configuration that :class:`ModelDeploymentCodec` decodes.

    :param keys: API keys in force
    """
    return json.dumps({"version": version, "keys": keys}).encode()


class ModelDeploymentCodec(DeploymentCodec):
    """Decodes configurations with two fixed routes."""

    key = CONFIGURATION_KEY

    def decode(
        self, value: bytes, revision: int
    ) -> Result[tuple[Deployment, tuple[Problem, ...]], Problem]:
        fields = json.loads(value)
        services = {
            name: RoutedService(name=name) for name in (PLAIN_SERVICE, STREAM_SERVICE)
        }
        workspace = RoutedWorkspace(name="w", keys=tuple(fields["keys"]))
        deployment = Deployment(
            version=fields["version"],
            revision=revision,
            routes=(
                _create_route(PLAIN_SERVICE, RouteKind.SAFE),
                _create_route(STREAM_SERVICE, RouteKind.STREAMING),
            ),
            services=services,
            workspaces=(workspace,),
            requires_key=True,
        )
        return Ok((deployment, ()))


def _create_route(service: str, kind: RouteKind) -> Route:
    return Route(
        name=service,
        host=HOST,
        prefix=f"/{service}/",
        kind=kind,
        timeout=TIMEOUT_SECONDS,
        objective=1.0,
        split=((service, 1.0),),
        max_attempts=3,
        resumable=kind is RouteKind.STREAMING,
    )


class _NoEvacuationCodec(EvacuationCodec):
    prefix = "operator/evacuations/"

    def read_data_centre(self, key: str) -> str:
        return key.removeprefix(self.prefix)


class _NoNews:
    """Stands in for replicated state that no schedule changes."""

    revision = 0

    def list_newer(self, revision: int) -> tuple[()]:
        return ()

    def list_rows(self) -> tuple[()]:
        return ()

    def apply(self, rows: object, elapsed: float) -> None:
        pass

    def apply_updates(self, rows: object) -> None:
        pass


class _Registry(StoreSubscriber):
    """The names of the instances that are registered in the store."""

    prefix = REGISTRY_PREFIX

    def __init__(self) -> None:
        self.names: frozenset[str] = frozenset()

    def apply_scan(self, scan: Scan) -> None:
        self.names = frozenset(entry.key for entry in scan.entries)

    def apply_changes(self, changes: Changes) -> None:
        self.names |= {entry.key for entry in changes.written}
        self.names -= {key for key, _ in changes.removed}


class _DelayedPeers(MemoryPeers):
    """Peers whose messages take some time."""

    def __init__(
        self, network: MemoryNetwork, instance_id: str, random_source: random.Random
    ) -> None:
        super().__init__(network, instance_id)
        self._random = random_source

    async def receive(self, sender: str, message: Message) -> Message | None:
        await asyncio.sleep(self._random.uniform(*MESSAGE_SECONDS))
        return await super().receive(sender, message)


class ModelInstance:
    """What one instance knows of targets, keys and versions, and how it decides."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        *,
        store: ModelStore,
        network: MemoryNetwork,
        random_source: random.Random,
        is_first_start: bool,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        #: key by which it is registered
        self.key = REGISTRY_PREFIX + name
        self.channel = StoreChannel(store, random_source)
        self.table = TargetTable()
        self._random = random_source
        self._clock = LoopClock()
        self._telemetry = NullTelemetry()
        self._cold = ColdTargets()
        self._registry = _Registry()
        self._join(network)
        self._build_followers(is_first_start)
        self._build_sync()
        self.route_filter = RouteFilter(
            find_table=lambda: self.configuration.table,
            find_stop_deadline=lambda: float("inf"),
            regions={},
        )
        self._controllers = (
            self.history,
            self.versions,
            self.follower,
            self.sync,
        )

    @property
    def is_ready(self) -> bool:
        """Whether it serves requests."""
        return self.configuration.table is not None and self.listing.synced

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0: none."""
        deployment = self.configuration.deployment
        return deployment.version if deployment else 0

    async def start(self) -> None:
        """Start its tasks."""
        for controller in self._controllers:
            await controller.start()

    async def kill(self) -> None:
        """End its tasks at once, without handing anything over."""
        self.versions.on_stop = _stop_nothing
        for controller in reversed(self._controllers):
            await controller.stop()

    def _list_registered(self) -> frozenset[str] | None:
        return self._registry.names if self.follower.is_following else None

    def _join(self, network: MemoryNetwork) -> None:
        network.join(self.name, self.data_centre)
        self.peers = _DelayedPeers(network, self.name, self._random)
        network._peers[self.name] = self.peers

    def _build_followers(self, is_first_start: bool) -> None:
        clock, telemetry = self._clock, self._telemetry
        self.configuration = ConfigurationFollower(
            codec=ModelDeploymentCodec(), clock=clock, decisions=telemetry
        )
        self.listing = ListingFollower(
            codec=ModelListingCodec(),
            target_table=self.table,
            cold_targets=self._cold,
            on_removed=lambda incarnation: None,
            find_services=self.configuration.find_services,
            find_cold_seconds=lambda service: 0.0,
            clock=clock,
            metrics=telemetry,
            decisions=telemetry,
        )
        self.evacuation = EvacuationFollower(
            codec=_NoEvacuationCodec(),
            target_table=self.table,
            on_ended=self.listing.handle_evacuation_ended,
            metrics=telemetry,
            decisions=telemetry,
        )
        self.history = VersionHistory(
            store=self.channel,
            peers=self.peers,
            target_table=self.table,
            list_services=self.configuration.list_streaming_services,
            list_instances=self._list_registered,
            find_confirmed_at=lambda: self.follower.confirmed_at,
            is_first_start=is_first_start,
            clock=clock,
            random_source=self._random,
            metrics=telemetry,
            decisions=telemetry,
        )
        self.versions = StreamVersionExchange(
            peers=self.peers,
            target_table=self.table,
            history=self.history,
            clock=clock,
            metrics=telemetry,
            decisions=telemetry,
        )

    def _build_sync(self) -> None:
        clock, telemetry = self._clock, self._telemetry
        selection = FollowerSelection(self.peers)
        self.follower = StoreFollower(
            store=self.channel,
            subscribers=(
                self.configuration,
                self.evacuation,
                self.listing,
                self.history,
                self._registry,
            ),
            is_follower=selection.is_follower,
            has_dependents=selection.has_dependents,
            clock=clock,
            random_source=self._random,
            metrics=telemetry,
            decisions=telemetry,
        )
        self.sync = PeerSyncController(
            peers=self.peers,
            list_followers=selection.list_followers,
            data_centre=self.data_centre,
            follower=self.follower,
            configuration=self.configuration,
            listing=self.listing,
            evacuation=self.evacuation,
            version_history=self.history,
            crash_reports=_NoNews(),
            target_table=self.table,
            cold_targets=self._cold,
            brittle_news=_NoNews(),
            rate_limit_news=_NoNews(),
            clock=clock,
            random_source=self._random,
            metrics=telemetry,
        )


async def _stop_nothing() -> None:
    """Replace what an instance does as it stops: one that is killed does nothing."""
