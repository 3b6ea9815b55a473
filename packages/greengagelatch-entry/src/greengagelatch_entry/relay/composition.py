"""Composition root of an instance that proxies opaque requests."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from greengagelatch.clock import SystemClock
from greengagelatch.connection_limits import ConnectionLimits, find_max_connections
from greengagelatch.events import EventBus
from greengagelatch.peers import MemberState
from greengagelatch.relay.byte_account import create_account_rule
from greengagelatch.relay.targets import TargetTable

from ..adapters.peers import PeerHub
from ..controllers import Controller
from ..controllers.drain import DrainController
from ..controllers.listing import LISTING_RECEIVED
from ..descriptors import find_descriptor_limit
from ..in_flight_requests import InFlightRequests
from .configuration import ConfigurationFollower
from .crash_parts import compose_crash_parts
from .decisions import DecisionLog
from .evacuation import EvacuationFollower
from .follower_selection import FollowerSelection
from .front import RelayFront
from .known_instances import KnownInstances
from .leaving_news import LeavingNewsController
from .link_parts import compose_link_parts
from .listing import ListingFollower
from .memory import MemoryController
from .ownership import Ownership
from .parts import RelayAdapters, RelayParts, RelaySettings, SharedParts
from .peer_settings import create_peer_settings
from .peer_sync import PeerSyncController
from .prometheus import PrometheusMetrics
from .readiness import ReadinessServer
from .registry import RegistryController
from .request_path import compose_explainer, compose_filters, compose_runners
from .retry_budgets import RetryBudgets
from .stage_parts import compose_stage_parts
from .store_follower import StoreFollower
from .stream_version_exchange import StreamVersionExchange
from .target_notices import TargetNotices
from .target_parts import compose_target_parts
from .usage import UsageController
from .version_history import VersionHistory

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation

__all__ = ("compose_relay",)

#: lower bound on the instances assumed to share a retry budget. It exceeds the usual
#: fleet size, so that an instance without full membership takes too small a share
ASSUMED_INSTANCES = 10
#: most connections of callers, however many descriptors there are
MAX_CONNECTIONS = 2400


def compose_relay(
    settings: RelaySettings,
    adapters: RelayAdapters,
    reload: Callable[[], None] = lambda: None,
    read_busy_seconds: Callable[[], float] = lambda: 0.0,
) -> RelayParts:
    """Build and wire all components without starting them.

    :param reload: reloads the settings file
    :param read_busy_seconds: returns the cumulative busy time of the event loop
    """
    return _Composer(settings, adapters, reload, read_busy_seconds).compose()


class _Composer:
    """Holds the shared dependencies while the components are wired."""

    def __init__(
        self,
        settings: RelaySettings,
        adapters: RelayAdapters,
        reload: Callable[[], None],
        read_busy_seconds: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.adapters = adapters
        self.reload = reload
        self.read_busy_seconds = read_busy_seconds
        self.clock = SystemClock()
        self.random = random.Random()
        self.events = EventBus()
        self.in_flight = InFlightRequests()
        self.metrics = PrometheusMetrics()
        self.decisions = DecisionLog(clock=self.clock, metrics=self.metrics)

    def compose(self) -> RelayParts:
        self.store = self.adapters.create_store(self.metrics)
        self._build_shared_parts()
        self._build_state()
        self._build_followers()
        self._build_request_path()
        self._build_servers()
        return RelayParts(
            controllers=self._list_controllers(),
            front=self.front,
            drain=self.drain,
            close=self._close,
            signals={
                # a second signal must not cut short the drain begun by the first
                signal.SIGTERM: self.drain.start_drain,
                signal.SIGINT: self.drain.start_drain,
                signal.SIGHUP: self.reload,
            },
        )

    def _build_shared_parts(self) -> None:
        self.target_table = TargetTable()
        self.memory = MemoryController(
            rule=create_account_rule(self.settings.capacity.memory_bytes),
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.known_instances = KnownInstances(
            own=self.settings.peers_listen,
            list_members=lambda: self.peers.members(),
            find_registration=lambda: self.registry.registered_at,
            find_confirmation=lambda: self.follower.confirmed_at,
            clock=self.clock,
        )
        self.registry = RegistryController(
            store=self.store,
            instance_id=self.settings.instance_id,
            data_centre=self.settings.data_centre,
            address=self.settings.peers_listen,
            capacity=self.settings.capacity.bundles,
            events=self.events,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.events.connect(LISTING_RECEIVED, self.known_instances.apply_listing)
        self.peers = PeerHub(
            clock=self.clock,
            random_source=self.random,
            events=self.events,
            settings=create_peer_settings(self.settings),
            metrics=self.metrics,
            capacity=self.settings.capacity.bundles,
        )
        self.shared = SharedParts(
            settings=self.settings,
            adapters=self.adapters,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            decisions=self.decisions,
            memory=self.memory,
            store=self.store,
            peers=self.peers,
            target_table=self.target_table,
        )

    def _build_state(self) -> None:
        self.configuration = ConfigurationFollower(
            codec=self.adapters.deployments, clock=self.clock, decisions=self.decisions
        )
        self.ownership = Ownership(
            peers=self.peers, clock=self.clock, decisions=self.decisions
        )
        self.targets = compose_target_parts(
            self.shared,
            known_instances=self.known_instances,
            find_service=self.configuration.find_service,
            list_candidates=self.ownership.list_candidates,
            min_instances=ASSUMED_INSTANCES,
        )
        self.listing = ListingFollower(
            codec=self.adapters.listings,
            target_table=self.target_table,
            cold_targets=self.targets.cold,
            on_removed=self._forget_target,
            find_services=self.configuration.find_services,
            find_cold_seconds=lambda service: (
                self.configuration.find_service(service).cold_seconds
            ),
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.configuration.callbacks.append(self.listing.check_services)
        self.leaving_news = LeavingNewsController(
            peers=self.peers,
            listing=self.listing,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.evacuation = EvacuationFollower(
            codec=self.adapters.evacuations,
            target_table=self.target_table,
            on_ended=self.listing.handle_evacuation_ended,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.links = compose_link_parts(
            self.shared,
            notices=TargetNotices(
                codec=self.adapters.targets,
                on_leaving=self.leaving_news.record_answer,
                rests=self.targets.rests,
                on_carried_rest=self.targets.rest_news.tell_carrier,
                clock=self.clock,
                decisions=self.decisions,
            ),
            rests=self.targets.rests,
            is_stopping=lambda: self.drain.draining,
            find_service=self.configuration.find_service,
            count_instances=self._count_instances,
        )
        self.connections = self.links.connections
        self.crashes = compose_crash_parts(
            self.shared,
            dialer=self.links.dialer,
            reachability=self.links.reachability,
            is_store_reachable=lambda: self.follower.reachable,
        )
        self.retry_budgets = RetryBudgets(
            rule=self.settings.retry_budget,
            clock=self.clock,
            count_instances=self._count_instances,
        )

    def _build_followers(self) -> None:
        self.version_history = VersionHistory(
            store=self.store,
            peers=self.peers,
            target_table=self.target_table,
            list_services=self.configuration.list_streaming_services,
            list_instances=self._list_registered,
            find_confirmed_at=lambda: self.follower.confirmed_at,
            is_first_start=self.settings.is_first_start,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.follower_selection = FollowerSelection(self.peers)
        self.follower = StoreFollower(
            store=self.store,
            subscribers=(
                self.configuration,
                # before the listing: targets of an evacuated data centre may be new
                self.evacuation,
                self.listing,
                self.version_history,
                self.registry,
                self.crashes.reports,
                self.crashes.locks,
            ),
            is_follower=self.follower_selection.is_follower,
            has_dependents=self.follower_selection.has_dependents,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.peer_sync = PeerSyncController(
            peers=self.peers,
            list_followers=self.follower_selection.list_followers,
            data_centre=self.settings.data_centre,
            follower=self.follower,
            configuration=self.configuration,
            listing=self.listing,
            evacuation=self.evacuation,
            version_history=self.version_history,
            crash_reports=self.crashes.reports,
            target_table=self.target_table,
            cold_targets=self.targets.cold,
            brittle_news=self.targets.brittle_news,
            rate_limit_news=self.targets.rate_limit_news,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
        )

    def _build_request_path(self) -> None:
        self.stages = compose_stage_parts(
            self.shared,
            find_profile=self.configuration.find_maker,
            list_routes=self.configuration.list_routes,
            connections=self.connections,
            crashes=self.crashes,
            load_balancer=self.targets.load_balancer,
            limits=self.targets.maker_limits,
            ownership=self.ownership,
        )
        self.stream_versions = StreamVersionExchange(
            peers=self.peers,
            target_table=self.target_table,
            history=self.version_history,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        runners = compose_runners(
            self.shared,
            load_balancer=self.targets.load_balancer,
            connections=self.connections,
            crashes=self.crashes,
            budgets=self.retry_budgets,
            stages=self.stages.runner,
            permits=self.targets.permit_exchange,
            versions=self.stream_versions,
            find_stop_deadline=lambda: self.drain.drain_deadline,
            is_closing=lambda: self.front.closing,
        )
        self.handler = compose_filters(
            self.shared,
            runners,
            in_flight=self.in_flight,
            crashes=self.crashes,
            find_table=lambda: self.configuration.table,
            find_stop_time=lambda: self.drain.started_at,
            find_stop_deadline=lambda: self.drain.drain_deadline,
        )

    def _build_servers(self) -> None:
        self.front = RelayFront(
            listen=self.settings.callers_listen,
            codec=self.adapters.callers,
            handler=self.handler,
            find_limits=self.configuration.find_limits,
            is_draining=lambda: self.drain.draining,
            connection_limits=self._create_connection_limits(),
            on_limit=self._record_limit,
            memory=self.memory,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.drain = DrainController(
            clock=self.clock,
            events=self.events,
            metrics=self.metrics,
            balancer_lag=self.settings.balancer_lag,
            max_drain_seconds=self.settings.longest_drain,
            close_listener=self.front.close_listener,
            wait_idle=self._wait_idle,
            abort_requests=self._abort_requests,
        )
        self.readiness = ReadinessServer(
            listen=self.settings.readiness_listen,
            readiness_path=self.settings.readiness_path,
            metrics_listen=self.settings.metrics_listen,
            metrics_path=self.settings.metrics_path,
            is_ready=self._is_ready,
            metrics=self.metrics,
            describe=self._describe,
            explain=compose_explainer(
                self.shared,
                load_balancer=self.targets.load_balancer,
                find_table=lambda: self.configuration.table,
                list_unrecorded=self.version_history.list_unrecorded,
            ).explain,
            on_limit=self._record_limit,
        )
        self.usage = UsageController(
            capacity=self.settings.capacity,
            read_busy_seconds=self.read_busy_seconds,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def _create_connection_limits(self) -> ConnectionLimits:
        """Return the limits on connections of callers."""
        return ConnectionLimits(
            max_connections=find_max_connections(
                find_descriptor_limit(self.settings.capacity.descriptors),
                MAX_CONNECTIONS,
            ),
            max_read_ahead=self.memory.max_head_bytes,
            max_unread=self.memory.max_unread,
        )

    def _record_limit(self, listener: str, limit: str, peer: str) -> None:
        self.decisions.log_decision(
            "connection-limit", listener=listener, limit=limit, peer=peer
        )

    def _list_registered(self) -> frozenset[str] | None:
        """Return the addresses of the registered instances; ``None``: not known."""
        if not self.follower.is_following:
            return None
        return self.registry.list_addresses()

    def _count_instances(self) -> int:
        """Return how many instances share retry budgets, with a lower bound."""
        alive = sum(
            member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            for member in self.peers.members()
        )
        return max(alive, ASSUMED_INSTANCES)

    def _list_controllers(self) -> tuple[Controller, ...]:
        return (
            self.peers,
            self.links.tunnels,
            self.registry,
            self.crashes.reports,
            self.crashes.detector,
            self.targets.brittle_news,
            self.targets.slot_loans,
            self.targets.rate_limit_news,
            self.targets.rest_news,
            self.leaving_news,
            self.targets.permit_exchange,
            self.version_history,
            self.stream_versions,
            self.links.probes,
            self.crashes.locks,
            self.follower,
            self.peer_sync,
            self.stages.local_executor,
            self.stages.executor,
            self.drain,
            self.front,
            self.readiness,
            self.usage,
            self.memory,
        )

    def _is_ready(self) -> bool:
        synced = self.configuration.table is not None and self.listing.synced
        return synced and not self.drain.draining

    async def _wait_idle(self, timeout: float) -> bool:
        """Wait until no request of a caller or a peer is in flight.

        A request may begin at one of the servers while another one is waited for.
        """
        servers = (self.front, self.stages.executor, self.links.tunnels)
        end = self.clock.now() + timeout
        while not all(server.is_idle() for server in servers):
            for server in servers:
                if not await server.wait_idle(max(0.0, end - self.clock.now())):
                    return False
        return True

    def _abort_requests(self) -> None:
        self.in_flight.abort_all()
        self.links.tunnels.abort_all()

    def _forget_target(self, incarnation: Incarnation) -> None:
        self.connections.close_idle(incarnation)
        self.crashes.detector.record_removal(incarnation)
        self.links.reachability.forget(incarnation)
        end = self.target_table.find_end(incarnation)
        may_return = end is not None and not end.evidence.is_final
        self.targets.forget(incarnation, may_return=may_return)
        self.stages.local_executor.record_removal(incarnation)

    def _describe(self) -> dict[str, Any]:
        parts = {part.name: part.dump() for part in self._list_controllers()}
        parts["configuration"] = self.configuration.dump()
        parts["listing"] = self.listing.dump()
        parts["evacuation"] = self.evacuation.dump()
        return {
            "instance": self.settings.instance_id,
            "data_centre": self.settings.data_centre,
            **parts,
            "targets": self.targets.load_balancer.describe(self.clock.now()),
            "cold_targets": self.targets.cold.describe(self.clock.now()),
            "brittle_targets": {
                **self.targets.brittle.describe(self.clock.now()),
                **self.targets.maker_limits.brittle.describe(self.clock.now()),
            },
            "target_rests": self.targets.rests.describe(self.clock.now()),
            "links": {
                "idle": self.connections.count_idle(),
                "tunnelled": self.links.tunnel_dialer.count_open(),
            },
            "metrics": self.metrics.dump(),
        }

    async def _close(self) -> None:
        self.connections.close_all_idle()
        await self.links.tunnel_dialer.close()
        await self.store.close()
