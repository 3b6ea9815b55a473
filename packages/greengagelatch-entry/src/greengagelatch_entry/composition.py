"""The composition root: builds and wires all components of the daemon."""

from __future__ import annotations

import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.clock import SystemClock
from greengagelatch.config.policy_resolution import resolve_policy
from greengagelatch.events import EventBus
from greengagelatch.load.admission import AdmissionRule, EstimateAdmission
from greengagelatch.load.deadlines import DeadlinePlan
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.scheduler import Scheduler
from greengagelatch.relay.quarantine import Quarantine

from .adapters.callers import CallersServer
from .adapters.instances import HttpInstanceList
from .adapters.operators import OperatorsServer
from .adapters.operators_configuration import add_configuration_routes
from .adapters.orders import HttpOrderClient
from .adapters.peers import PeerHub
from .adapters.port_probe import PortProbe
from .adapters.state_dump import StateDump
from .adapters.store import HttpStore
from .adapters.targets import HttpTargetClient
from .controllers import Controller
from .controllers.claims import ClaimsController
from .controllers.configuration import ConfigurationController
from .controllers.crash_report_gossip import CrashReportGossip
from .controllers.drain import DrainController
from .controllers.leases import LeasesController
from .controllers.listing import ListingController
from .controllers.orders import OrdersController
from .controllers.quotas import QuotasController
from .controllers.scheduling import SchedulingController, read_scheduler_rule
from .controllers.targets import TargetsController
from .filters import Handler, chain
from .filters.deduplication import DeduplicationFilter
from .filters.feasibility import FeasibilityFilter
from .filters.lookup import SNAPSHOT_KEY, LookupFilter
from .filters.observe import ObserveFilter
from .filters.pipeline_handler import PipelineHandler
from .filters.quota import QuotaFilter
from .filters.request_parser import RequestParser
from .filters.stop import StopFilter
from .filters.traffic_split import TrafficSplitFilter
from .in_flight_requests import InFlightRequests
from .limits import (
    read_caller_limits,
    read_request_limits,
    read_retry_rules,
    read_target_limits,
)
from .logs import LogLevel, RequestLog
from .metrics import Metrics
from .peer_assisted_prober import PeerAssistedProber
from .pipeline_runner import PipelineRunner
from .relay.crash_detector import CrashDetector
from .relay.crash_evidence import RefusalEvidence
from .relay.decisions import DecisionLog
from .stage_caller import StageCaller
from .stage_quarantine import DirectoryAvailability, SharedStageQuarantine
from .status import StatusView

if TYPE_CHECKING:
    from greengagelatch.config.objects import Stage
    from greengagelatch.config.policy_resolution import Weights
    from greengagelatch.settings import Settings

    from .filters import Exchange
    from .logs import LogOutput

__all__ = ("Parts", "compose")


@dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The components of one daemon."""

    #: in start order
    controllers: tuple[Controller, ...]
    callers: CallersServer
    operators: OperatorsServer
    peers: PeerHub
    drain: DrainController
    #: IP address of the callers' listener
    host: str
    #: closes the clients of targets and of the platform
    close: Callable[[], Awaitable[None]]
    #: signal handlers by signal number
    signals: dict[int, Callable[[], None]]

    def list_addresses(self) -> dict[str, str]:
        """Return the listening addresses of this instance by name."""
        ports = {
            "callers": self.callers.port,
            "operators": self.operators.port,
            "peers": self.peers.port,
        }
        return {name: f"{self.host}:{port}" for name, port in ports.items()}


def compose(settings: Settings, log_output: LogOutput | None = None) -> Parts:
    """Build and wire all components without starting them."""
    return _Composer(settings, log_output).compose()


class _Composer:
    """Holds the shared dependencies while the components are wired."""

    def __init__(self, settings: Settings, log_output: LogOutput | None) -> None:
        self.settings = settings
        self.log_output = log_output
        self.clock = SystemClock()
        self.random = random.Random(settings["instance.seed"] or None)
        self.events = EventBus()
        self.in_flight = InFlightRequests()
        self.metrics = Metrics(settings["statsd.address"])

    def compose(self) -> Parts:
        self.store = HttpStore(
            address=self.settings["platform.store"],
            timeout=self.settings["platform.timeout"],
            metrics=self.metrics,
        )
        self.instance_list = HttpInstanceList(
            address=self.settings["platform.instances"],
            timeout=self.settings["platform.timeout"],
            metrics=self.metrics,
        )
        self._build_state()
        self._build_orders()
        self._build_request_path()
        self._build_servers()
        return Parts(
            controllers=self._list_controllers(),
            callers=self.callers,
            operators=self.operators,
            peers=self.peers,
            drain=self.drain,
            host=self.settings["callers.listen"].rpartition(":")[0],
            close=self._close,
            signals={
                signal.SIGTERM: self.drain.request_stop,
                signal.SIGINT: self.drain.request_stop,
            },
        )

    def _build_state(self) -> None:
        common = {
            "clock": self.clock,
            "random_source": self.random,
            "events": self.events,
            "settings": self.settings,
            "metrics": self.metrics,
        }
        self.peers = PeerHub(**common)
        self.listing = ListingController(
            instance_list=self.instance_list, peers=self.peers, **common
        )
        self.targets = TargetsController(peers=self.peers, **common)
        self.configuration = ConfigurationController(
            store=self.store,
            peers=self.peers,
            data_centre=self.settings["instance.data_centre"],
            clock=self.clock,
            random_source=self.random,
            events=self.events,
            settings=self.settings,
            metrics=self.metrics,
        )
        self.claims = ClaimsController(
            store=self.store,
            peers=self.peers,
            clock=self.clock,
            random_source=self.random,
            settings=self.settings,
            metrics=self.metrics,
            instance_id=self.settings["instance.id"],
        )

        self.quarantine = Quarantine()
        self.decisions = DecisionLog(clock=self.clock, metrics=self.metrics)
        target_table = DirectoryAvailability(self.targets)
        self.crash_detector = CrashDetector(
            replicator=CrashReportGossip(
                quarantine=self.quarantine,
                peers=self.peers,
                clock=self.clock,
                metrics=self.metrics,
            ),
            quarantine=self.quarantine,
            target_table=target_table,
            evidence=RefusalEvidence(
                prober=PeerAssistedProber(
                    port_probe=PortProbe(),
                    peers=self.peers,
                    find_target=self.targets.find_target,
                    random_source=self.random,
                ),
                target_table=target_table,
                random_source=self.random,
            ),
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.quotas = QuotasController(
            peers=self.peers,
            clock=self.clock,
            random_source=self.random,
            settings=self.settings,
            metrics=self.metrics,
            instance_id=self.settings["instance.id"],
        )

    def _build_orders(self) -> None:
        timeout = self.settings["orders.timeout"]
        self.order_client = HttpOrderClient(timeout=timeout, metrics=self.metrics)
        self.leases = LeasesController(
            store=self.store,
            peers=self.peers,
            clock=self.clock,
            settings=self.settings,
            metrics=self.metrics,
            longest_action=timeout,
        )
        self.orders = OrdersController(
            leases=self.leases,
            client=self.order_client,
            targets=self.targets,
            snapshot=lambda: self.configuration.snapshot,
            get_store_age=self.configuration.get_store_age,
            clock=self.clock,
            random_source=self.random,
            events=self.events,
            settings=self.settings,
            metrics=self.metrics,
        )

    def _build_request_path(self) -> None:
        durations = DurationTracker()
        plan = DeadlinePlan(
            durations=durations,
            find_pipeline=lambda name: self.configuration.snapshot.pipelines.get(name),
        )
        scheduler = Scheduler(
            directory=self.targets,
            rule=read_scheduler_rule(self.settings),
            data_centre=self.settings["instance.data_centre"],
            random_source=self.random,
            weigh=lambda workspace: 1.0,
            count_senders=self.targets.estimate_users,
            estimate_remaining=plan.estimate_remaining,
            durations=durations,
            now=self.clock.now(),
            find_weights=self._find_weights,
        )
        self.admission = EstimateAdmission(
            rule=AdmissionRule(), find_service=scheduler.find_service
        )
        self.scheduling = SchedulingController(
            scheduler=scheduler,
            directory=self.targets,
            clock=self.clock,
            events=self.events,
            metrics=self.metrics,
        )
        self.client = HttpTargetClient(
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            limits=read_target_limits(self.settings),
        )
        self.stage_caller = StageCaller(
            dispatcher=self.scheduling,
            directory=self.targets,
            client=self.client,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            durations=durations,
            retry_rules=read_retry_rules(self.settings),
            quarantine=SharedStageQuarantine(
                quarantine=self.quarantine,
                crash_detector=self.crash_detector,
                clock=self.clock,
            ),
            decisions=self.decisions,
        )
        runner = PipelineRunner(
            stage_caller=self.stage_caller,
            clock=self.clock,
            metrics=self.metrics,
            plan=plan,
            find_priority=self._find_priority,
        )
        self.handler = self._build_chain(runner)

    def _build_chain(self, runner: PipelineRunner) -> Handler:
        log = RequestLog(LogLevel[self.settings["log.level"].upper()])
        filters = (
            ObserveFilter(clock=self.clock, metrics=self.metrics, log=log),
            StopFilter(in_flight=self.in_flight),
            LookupFilter(snapshot=lambda: self.configuration.snapshot),
            QuotaFilter(quotas=self.quotas, after_claim=False),
            DeduplicationFilter(claims=self.claims),
            QuotaFilter(quotas=self.quotas, after_claim=True),
            TrafficSplitFilter(),
            FeasibilityFilter(
                admission=self.admission, clock=self.clock, metrics=self.metrics
            ),
        )
        return chain(filters, PipelineHandler(runner=runner))

    def _build_servers(self) -> None:
        identifier = RequestParser(
            clock=self.clock,
            random_source=self.random,
            snapshot=lambda: self.configuration.snapshot,
            limits=read_request_limits(self.settings),
        )
        self.callers = CallersServer(
            listen=self.settings["callers.listen"],
            handler=self.handler,
            identifier=identifier,
            clock=self.clock,
            metrics=self.metrics,
            draining=lambda: self.drain.draining,
            limits=read_caller_limits(self.settings),
        )
        self.drain = DrainController(
            clock=self.clock,
            events=self.events,
            metrics=self.metrics,
            balancer_lag=self.settings["drain.balancer_lag"],
            max_drain_seconds=self.settings["drain.longest"],
            close_listener=self.callers.close_listener,
            wait_idle=self.callers.wait_idle,
            abort_requests=self.in_flight.abort_all,
        )
        status = StatusView(
            settings=self.settings,
            configuration=self.configuration,
            drain=self.drain,
            peers=self.peers,
            targets=self.targets,
            ready=self._is_ready,
        )
        self.operators = OperatorsServer(
            listen=self.settings["operators.listen"],
            state_dump=StateDump(
                settings=self.settings,
                metrics=self.metrics,
                controllers=self._map_controllers,
                log_output=self.log_output,
            ),
            status=status.describe,
            ready=self._is_ready,
            drain=self.drain.start_drain,
            mark_leaving=self.targets.mark_leaving,
            metrics=self.metrics,
            routes=[lambda app: add_configuration_routes(app, self.configuration)],
        )

    async def _close(self) -> None:
        await self.stage_caller.close()
        await self.client.close()
        await self.order_client.close()
        await self.instance_list.close()
        await self.store.close()

    def _list_controllers(self) -> tuple[Controller, ...]:
        return (
            self.peers,
            self.listing,
            self.configuration,
            self.targets,
            self.leases,
            self.orders,
            self.scheduling,
            self.claims,
            self.quotas,
            self.crash_detector,
            self.drain,
            self.operators,
            self.callers,
        )

    def _map_controllers(self) -> dict[str, Controller]:
        return {controller.name: controller for controller in self._list_controllers()}

    def _is_ready(self) -> bool:
        # without a first listing no target is known, and requests would be refused
        # that other instances behind the load balancer can answer
        synced = self.configuration.ready and self.listing.listing is not None
        return synced and not self.drain.draining

    def _find_weights(self, workspace: str, pipeline: str) -> Weights:
        return resolve_policy(self.configuration.snapshot, workspace, pipeline).weights

    def _find_priority(self, exchange: Exchange, stage: Stage) -> int:
        request = exchange.request
        snapshot = exchange.context[SNAPSHOT_KEY]
        policy = resolve_policy(
            snapshot, request.workspace, request.pipeline, stage.service
        )
        return policy.priority
