"""Composition root of an instance that proxies opaque requests."""

from __future__ import annotations

import random
import signal
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.peers import MemberState
from greengagelatch.relay.admission import DeadlineAdmission
from greengagelatch.relay.batches import CrossRequestBatching
from greengagelatch.relay.brittle_services import BrittleServices, BrittleSource
from greengagelatch.relay.brittle_targets import BrittleTargets
from greengagelatch.relay.cold_targets import ColdTargets
from greengagelatch.relay.groups import CapacityBasedOwnership
from greengagelatch.relay.idle_connections import count_idle_connections
from greengagelatch.relay.load_balancer import LoadBalancer
from greengagelatch.relay.placed_batches import PlacedBatching
from greengagelatch.relay.quarantine import Quarantine
from greengagelatch.relay.reachability import Reachability
from greengagelatch.relay.targets import TargetTable

from ..adapters.peers import PeerHub
from ..controllers import Controller
from ..controllers.drain import DrainController
from ..controllers.listing import LISTING_RECEIVED
from ..filters import chain
from ..in_flight_requests import InFlightRequests
from .brittle_admission import BrittleAdmission
from .brittle_news import BrittleNewsController
from .bundle_quarantine import SharedBundleQuarantine
from .configuration import ConfigurationFollower
from .crash_detector import CrashDetector
from .crash_evidence import RefusalEvidence
from .crash_report_replicator import CrashReportReplicator
from .decisions import DecisionLog
from .evacuation import EvacuationFollower
from .filters import (
    ObserveFilter,
    QuarantineFilter,
    RouteFilter,
    RunHandler,
    SplitFilter,
    StopFilter,
)
from .follower_selection import FollowerSelection
from .forwarding_stage_executor import ForwardingStageExecutor
from .front import RelayFront
from .known_instances import KnownInstances
from .listing import ListingFollower
from .local_stage_executor import LocalStageExecutor
from .ownership import Ownership
from .parts import RelayAdapters, RelayParts, RelaySettings
from .peer_settings import create_peer_settings
from .peer_sync import PeerSyncController
from .prometheus import PrometheusMetrics
from .reachability_probes import ReachabilityController
from .readiness import ReadinessServer
from .registry import RegistryController
from .retry_budgets import RetryBudgets
from .route_latencies import RouteLatencies
from .routed_dialer import RoutedDialer
from .stage_groups import MakerGroups
from .stage_pool import StagePool
from .stages import StageRunner
from .store_follower import StoreFollower
from .streams import StreamRunner
from .suspect_admission import SuspectAdmission
from .suspect_locks import SuspectLocks
from .target_connections import TargetConnectionPool
from .target_dialers import DirectDialer
from .target_sender import TargetSender
from .tunnel_dialer import PeerTunnelDialer
from .tunnel_frames import TUNNEL_PATH
from .tunnel_server import TunnelServer
from .unary import UnaryRunner
from .usage import UsageController

if TYPE_CHECKING:
    from greengagelatch.relay.groups import MakerGroup
    from greengagelatch.relay.incarnations import Incarnation

__all__ = ("compose_relay",)

#: lower bound on the instances assumed to share a retry budget. It exceeds the usual
#: fleet size, so that an instance without full membership takes too small a share
ASSUMED_INSTANCES = 10
#: lower bound on the instances assumed to own the same service at a time: several
#: may batch its pieces while their views of the membership differ
ASSUMED_OWNERS = 3


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
        self._build_state()
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

    def _build_state(self) -> None:
        self.target_table = TargetTable()
        self.quarantine = Quarantine()
        self.known_instances = KnownInstances(
            own=self.settings.peers_listen,
            list_members=lambda: self.peers.members(),
            find_registration=lambda: self.registry.registered_at,
            find_confirmation=lambda: self.follower.confirmed_at,
            clock=self.clock,
        )
        self.cold_targets = ColdTargets(
            own=self.settings.peers_listen,
            rule=self.settings.cold_targets,
            find_instances=self.known_instances.find_addresses,
            find_rate=lambda service: (
                self.configuration.find_service(service).cold_rate
            ),
        )
        self.brittle_services = BrittleServices(
            on_begun=self._handle_brittle_service,
            on_ended=self._log_brittle_service_ended,
        )
        self.brittle_targets = BrittleTargets(
            own=self.settings.peers_listen,
            find_instances=self._find_sharing_instances,
            find_wall_seconds=self.clock.wall,
            services=self.brittle_services,
            on_changed=self._log_brittle_target,
        )
        # the owner of a group of makers sends all calls to them
        self.brittle_makers = BrittleTargets(
            services=self.brittle_services, on_changed=self._log_brittle_target
        )
        self.load_balancer = LoadBalancer(
            target_table=self.target_table,
            cold_targets=self.cold_targets,
            data_centre=self.settings.data_centre,
            random_source=self.random,
            brittle_targets=self.brittle_targets,
        )
        self.configuration = ConfigurationFollower(
            codec=self.adapters.deployments, clock=self.clock, decisions=self.decisions
        )
        self.listing = ListingFollower(
            codec=self.adapters.listings,
            target_table=self.target_table,
            cold_targets=self.cold_targets,
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
        self.evacuation = EvacuationFollower(
            codec=self.adapters.evacuations,
            target_table=self.target_table,
            on_ended=self.listing.handle_evacuation_ended,
            metrics=self.metrics,
            decisions=self.decisions,
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
        self.brittle_news = BrittleNewsController(
            peers=self.peers,
            services=self.brittle_services,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.direct_dialer = DirectDialer(self.metrics)
        self.reachability = Reachability(
            instance_id=self.settings.instance_id,
            data_centre=self.settings.data_centre,
            random_source=self.random,
        )
        self.tunnel_dialer = PeerTunnelDialer(peers=self.peers, metrics=self.metrics)
        self.tunnels = TunnelServer(
            target_table=self.target_table,
            dialer=self.direct_dialer,
            is_stopping=lambda: self.drain.draining,
            is_reachable=self.reachability.is_reachable,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.peers.serve_path(TUNNEL_PATH, self.tunnels.accept)
        self.dialer = RoutedDialer(
            direct=self.direct_dialer,
            tunnels=self.tunnel_dialer,
            reachability=self.reachability,
            peers=self.peers,
            on_bypassed=lambda incarnation: self.connections.close_idle(incarnation),
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.reachability_probes = ReachabilityController(
            dialer=self.dialer,
            reachability=self.reachability,
            target_table=self.target_table,
            clock=self.clock,
        )
        self.connections = TargetConnectionPool(
            dialer=self.dialer,
            find_idle_limit=self._find_idle_limit,
            is_reachable=self.reachability.is_reachable,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.crash_reports = CrashReportReplicator(
            instance_id=self.settings.instance_id,
            quarantine=self.quarantine,
            store=self.store,
            peers=self.peers,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.crash_detector = CrashDetector(
            replicator=self.crash_reports,
            quarantine=self.quarantine,
            target_table=self.target_table,
            evidence=RefusalEvidence(
                dialer=self.dialer,
                reachability=self.reachability,
                target_table=self.target_table,
                random_source=self.random,
            ),
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.follower_selection = FollowerSelection(self.peers)
        self.suspect_locks = SuspectLocks(
            instance_id=self.settings.instance_id,
            store=self.store,
            is_store_reachable=lambda: self.follower.reachable,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.suspects = SuspectAdmission(
            quarantine=self.quarantine,
            locks=self.suspect_locks,
            crash_detector=self.crash_detector,
            clock=self.clock,
            decisions=self.decisions,
        )
        self.follower = StoreFollower(
            store=self.store,
            subscribers=(
                self.configuration,
                # before the listing: targets of an evacuated data centre may be new
                self.evacuation,
                self.listing,
                self.registry,
                self.crash_reports,
                self.suspect_locks,
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
            crash_reports=self.crash_reports,
            target_table=self.target_table,
            cold_targets=self.cold_targets,
            brittle_news=self.brittle_news,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
        )
        self.retry_budgets = RetryBudgets(
            rule=self.settings.retry_budget,
            clock=self.clock,
            count_instances=self._count_instances,
        )
        self.stage_retry_budgets = RetryBudgets(
            rule=self.settings.retry_budget,
            clock=self.clock,
            count_instances=self._count_owners,
        )

    def _build_request_path(self) -> None:
        self.bundle_quarantine = SharedBundleQuarantine(
            quarantine=self.quarantine,
            locks=self.suspect_locks,
            crash_detector=self.crash_detector,
            clock=self.clock,
        )
        self.maker_groups = MakerGroups(
            rule=CapacityBasedOwnership(),
            target_table=self.target_table,
            list_members=self.peers.members,
            find_profile=self.configuration.find_maker,
        )
        self.local_executor = LocalStageExecutor(
            create_pool=self._create_pool, find_group=self.maker_groups.find_group
        )
        self.ownership = Ownership(
            peers=self.peers, clock=self.clock, decisions=self.decisions
        )
        self.stage_executor = ForwardingStageExecutor(
            local=self.local_executor,
            groups=self.maker_groups,
            ownership=self.ownership,
            peers=self.peers,
            data_centre=self.settings.data_centre,
            find_profile=self.configuration.find_maker,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        stages = StageRunner(
            executor=self.stage_executor,
            clock=self.clock,
            decisions=self.decisions,
            data_centre=self.settings.data_centre,
            load_balancer=self.load_balancer,
            target_table=self.target_table,
        )
        common = {
            "sender": TargetSender(
                connections=self.connections,
                codec=self.adapters.targets,
                load_balancer=self.load_balancer,
                target_table=self.target_table,
                crash_detector=self.crash_detector,
                clock=self.clock,
                decisions=self.decisions,
            ),
            "load_balancer": self.load_balancer,
            "budgets": self.retry_budgets,
            "suspects": self.suspects,
            "brittle": BrittleAdmission(
                load_balancer=self.load_balancer,
                clock=self.clock,
                random_source=self.random,
                metrics=self.metrics,
            ),
            "clock": self.clock,
            "decisions": self.decisions,
        }
        streams = StreamRunner(
            stages=stages,
            codec=self.adapters.targets,
            times=RouteLatencies(),
            admission=DeadlineAdmission(),
            **common,
        )

        def find_stop_deadline() -> float:
            return self.drain.drain_deadline

        filters = (
            ObserveFilter(
                find_stop_time=lambda: self.drain.started_at,
                clock=self.clock,
                metrics=self.metrics,
                decisions=self.decisions,
            ),
            StopFilter(in_flight=self.in_flight, find_stop_deadline=find_stop_deadline),
            RouteFilter(
                find_table=lambda: self.configuration.table,
                find_stop_deadline=find_stop_deadline,
                regions=self.settings.regions,
            ),
            QuarantineFilter(suspects=self.suspects),
            SplitFilter(random_source=self.random),
        )
        last = RunHandler(unary=UnaryRunner(**common), streams=streams)
        self.handler = chain(filters, last)

    def _build_servers(self) -> None:
        self.front = RelayFront(
            listen=self.settings.callers_listen,
            codec=self.adapters.callers,
            handler=self.handler,
            find_limits=self.configuration.find_limits,
            is_draining=lambda: self.drain.draining,
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
        )
        self.usage = UsageController(
            capacity=self.settings.capacity,
            read_busy_seconds=self.read_busy_seconds,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def _create_pool(self, group: MakerGroup) -> StagePool:
        return StagePool(
            group,
            list_makers=lambda: self.maker_groups.list_makers(group),
            find_profile=lambda: self.configuration.find_maker(group.service),
            is_exclusive=lambda: self.ownership.is_exclusive(group),
            quarantine=self.bundle_quarantine,
            policy=PlacedBatching(CrossRequestBatching()),
            target_table=self.target_table,
            connections=self.connections,
            codec=self.adapters.targets,
            budgets=self.stage_retry_budgets,
            brittle_makers=self.brittle_makers,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def _find_sharing_instances(self) -> Collection[str]:
        """Return the instances that share the limits of brittle targets.

        Until all that may exist are known, those known are taken for all: requests
        would not be sent at all otherwise.
        """
        return self.known_instances.find_addresses() or self.known_instances.addresses

    def _log_brittle_target(self, incarnation: Incarnation, limit: int | None) -> None:
        self.decisions.log_state_change(
            "brittle-target",
            target=str(incarnation),
            brittle=limit is not None,
            limit=limit or 0,
        )

    def _handle_brittle_service(
        self, service: str, limit: int, source: BrittleSource
    ) -> None:
        self.decisions.log_state_change(
            "brittle-service",
            service=service,
            brittle=True,
            limit=limit,
            source=source.value,
        )
        self.brittle_news.handle_change()

    def _log_brittle_service_ended(self, service: str) -> None:
        self.decisions.log_state_change(
            "brittle-service", service=service, brittle=False, limit=0, source="lapse"
        )

    def _count_instances(self) -> int:
        """Return how many instances share retry budgets, with a lower bound."""
        alive = sum(
            member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            for member in self.peers.members()
        )
        return max(alive, ASSUMED_INSTANCES)

    def _count_owners(self) -> int:
        """Return how many instances share the retry budgets of stage calls."""
        return max(ASSUMED_OWNERS, self.maker_groups.count_max_groups())

    def _find_idle_limit(self, incarnation: Incarnation) -> int:
        """Return the maximum number of idle connections to a target."""
        target = self.target_table.find_listed(incarnation.target_id)
        service = self.configuration.find_service(target.service) if target else None
        return count_idle_connections(
            service.max_connections if service else 0,
            self._count_instances(),
            self.settings.instance_id,
            incarnation.target_id,
        )

    def _list_controllers(self) -> tuple[Controller, ...]:
        return (
            self.peers,
            self.tunnels,
            self.registry,
            self.crash_reports,
            self.crash_detector,
            self.brittle_news,
            self.reachability_probes,
            self.suspect_locks,
            self.follower,
            self.peer_sync,
            self.local_executor,
            self.stage_executor,
            self.drain,
            self.front,
            self.readiness,
            self.usage,
        )

    def _is_ready(self) -> bool:
        synced = self.configuration.table is not None and self.listing.synced
        return synced and not self.drain.draining

    async def _wait_idle(self, timeout: float) -> bool:
        """Wait until no request of a caller or a peer is in flight."""
        end = self.clock.now() + timeout
        if not await self.front.wait_idle(timeout):
            return False
        if not await self.stage_executor.wait_idle(max(0.0, end - self.clock.now())):
            return False
        return await self.tunnels.wait_idle(max(0.0, end - self.clock.now()))

    def _abort_requests(self) -> None:
        self.in_flight.abort_all()
        self.tunnels.abort_all()

    def _forget_target(self, incarnation: Incarnation) -> None:
        self.connections.close_idle(incarnation)
        self.crash_detector.record_removal(incarnation)
        self.reachability.forget(incarnation)
        self.load_balancer.forget(incarnation)
        self.cold_targets.forget(incarnation)
        self.brittle_targets.forget(incarnation)
        self.brittle_makers.forget(incarnation)
        self.local_executor.record_removal(incarnation)

    def _describe(self) -> dict[str, Any]:
        parts = {part.name: part.dump() for part in self._list_controllers()}
        parts["configuration"] = self.configuration.dump()
        parts["listing"] = self.listing.dump()
        parts["evacuation"] = self.evacuation.dump()
        return {
            "instance": self.settings.instance_id,
            "data_centre": self.settings.data_centre,
            **parts,
            "targets": self.load_balancer.describe(self.clock.now()),
            "cold_targets": self.cold_targets.describe(self.clock.now()),
            "brittle_targets": {
                **self.brittle_targets.describe(self.clock.now()),
                **self.brittle_makers.describe(self.clock.now()),
            },
            "links": {
                "idle": self.connections.count_idle(),
                "tunnelled": self.tunnel_dialer.count_open(),
            },
            "metrics": self.metrics.dump(),
        }

    async def _close(self) -> None:
        self.connections.close_all_idle()
        await self.tunnel_dialer.close()
        await self.store.close()
