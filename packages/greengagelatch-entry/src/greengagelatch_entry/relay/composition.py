"""The composition root of an instance that passes opaque requests on."""

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
from greengagelatch.relay.deployment import CallerLimits
from greengagelatch.relay.groups import CapacityBasedOwnership
from greengagelatch.relay.idle_connections import count_idle_connections
from greengagelatch.relay.load_balancer import LoadBalancer
from greengagelatch.relay.quarantine import Quarantine
from greengagelatch.relay.store_followers import choose_followers
from greengagelatch.relay.targets import TargetTable

from ..adapters.peers import PeerHub
from ..controllers import Controller
from ..controllers.drain import DrainController
from ..filters import chain
from ..inflight import InFlight
from .budgets import RepeatBudgets
from .configuration import ConfigurationFollower
from .crash_watch import CrashWatch
from .crashes import CrashBoard
from .decisions import DecisionLog
from .desk import LocalDesk
from .filters import (
    ObserveFilter,
    QuarantineFilter,
    RouteFilter,
    RunHandler,
    SplitFilter,
    StopFilter,
)
from .following import StoreFollower
from .front import RelayFront
from .links import TargetLinks
from .listing import ListingFollower
from .news import NewsController
from .owned_desk import OwnedDesk
from .ownership import Ownership
from .parts import RelayAdapters, RelayParts, RelayRules
from .peer_settings import create_peer_settings
from .piece_suspects import WatchedPieces
from .plain import PlainRunner
from .prometheus import PrometheusMetrics
from .readiness import ReadinessServer
from .registry import RegistryController
from .run_times import RunTimes
from .sending import TargetSender
from .stage_groups import MakerGroups
from .stage_pool import StagePool
from .stages import StageRunner
from .streams import StreamRunner
from .usage import UsageController

if TYPE_CHECKING:
    from greengagelatch.peers import Member
    from greengagelatch.relay.groups import MakerGroup
    from greengagelatch.relay.incarnations import Incarnation


__all__ = ("compose_relay",)

#: instances assumed to share a budget before others are known; more than there
#: usually are, so that the share errs on the safe side
ASSUMED_INSTANCES = 10
#: instances that may gather the pieces of one service at the same time, while they
#: don't agree on who is alive
ASSUMED_OWNERS = 3


def compose_relay(
    rules: RelayRules,
    adapters: RelayAdapters,
    reload: Callable[[], None] = lambda: None,
    read_work: Callable[[], float] = lambda: 0.0,
) -> RelayParts:
    """Build and wire all parts; nothing is started yet.

    :param reload: reads the settings file again
    :param read_work: returns the seconds that the event loop has been at work
    """
    return _Composer(rules, adapters, reload, read_work).compose()


class _Composer:
    """Holds what most parts are built from while they are wired."""

    def __init__(
        self,
        rules: RelayRules,
        adapters: RelayAdapters,
        reload: Callable[[], None],
        read_work: Callable[[], float],
    ) -> None:
        self.rules = rules
        self.adapters = adapters
        self.reload = reload
        self.read_work = read_work
        self.clock = SystemClock()
        self.random = random.Random()
        self.events = EventBus()
        self.in_flight = InFlight()
        self.metrics = PrometheusMetrics()
        self.decisions = DecisionLog(clock=self.clock, metrics=self.metrics)
        self.listeners: frozenset[str] = frozenset()
        #: members by which these were chosen
        self.listening_members: tuple[Member, ...] = ()

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
                # a second signal must not cut what the first one lets finish
                signal.SIGTERM: self.drain.start_drain,
                signal.SIGINT: self.drain.start_drain,
                signal.SIGHUP: self.reload,
            },
        )

    def _build_state(self) -> None:
        self.book = TargetTable()
        self.quarantine = Quarantine()
        self.fleet = LoadBalancer(
            target_table=self.book,
            data_centre=self.rules.data_centre,
            random_source=self.random,
        )
        self.links = TargetLinks(
            count_kept=self._count_kept, clock=self.clock, metrics=self.metrics
        )
        self.configuration = ConfigurationFollower(
            codec=self.adapters.deployments,
            clock=self.clock,
            decisions=self.decisions,
        )
        self.listing = ListingFollower(
            codec=self.adapters.listings,
            book=self.book,
            note_gone=self._note_gone,
            find_services=self._find_services,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.configuration.listeners.append(self.listing.check_services)
        self.registry = RegistryController(
            store=self.store,
            instance_id=self.rules.instance_id,
            data_centre=self.rules.data_centre,
            address=self.rules.peers_listen,
            capacity=self.rules.capacity.bundles,
            events=self.events,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.peers = PeerHub(
            clock=self.clock,
            random_source=self.random,
            events=self.events,
            settings=create_peer_settings(self.rules),
            metrics=self.metrics,
            capacity=self.rules.capacity.bundles,
        )
        self.crashes = CrashBoard(
            instance_id=self.rules.instance_id,
            quarantine=self.quarantine,
            store=self.store,
            peers=self.peers,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.crash_watch = CrashWatch(
            board=self.crashes,
            quarantine=self.quarantine,
            book=self.book,
            links=self.links,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.follower = StoreFollower(
            store=self.store,
            subscribers=(
                self.configuration,
                self.listing,
                self.registry,
                self.crashes,
            ),
            is_listener=lambda: self.peers.instance_id in self._list_listeners(),
            is_relied_on=self._is_relied_on,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        self.news = NewsController(
            peers=self.peers,
            list_listeners=self._list_listeners,
            data_centre=self.rules.data_centre,
            follower=self.follower,
            configuration=self.configuration,
            listing=self.listing,
            crashes=self.crashes,
            book=self.book,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
        )
        self.budgets = RepeatBudgets(
            rule=self.rules.repeats,
            clock=self.clock,
            count_instances=self._count_instances,
        )
        self.stage_budgets = RepeatBudgets(
            rule=self.rules.repeats,
            clock=self.clock,
            count_instances=self._count_owners,
        )

    def _build_request_path(self) -> None:
        self.groups = MakerGroups(
            rule=CapacityBasedOwnership(),
            book=self.book,
            list_members=self.peers.members,
            find_profile=self._find_maker,
        )
        self.local_desk = LocalDesk(
            create_pool=self._create_pool, find_group=self.groups.find_group
        )
        self.ownership = Ownership(
            peers=self.peers, clock=self.clock, decisions=self.decisions
        )
        self.desk = OwnedDesk(
            local=self.local_desk,
            groups=self.groups,
            ownership=self.ownership,
            peers=self.peers,
            data_centre=self.rules.data_centre,
            find_profile=self._find_maker,
            clock=self.clock,
            random_source=self.random,
            metrics=self.metrics,
            decisions=self.decisions,
        )
        stages = StageRunner(
            desk=self.desk,
            clock=self.clock,
            decisions=self.decisions,
            data_centre=self.rules.data_centre,
            fleet=self.fleet,
            book=self.book,
        )
        common = {
            "sender": TargetSender(
                links=self.links,
                codec=self.adapters.targets,
                fleet=self.fleet,
                book=self.book,
                crashes=self.crash_watch,
                clock=self.clock,
                decisions=self.decisions,
            ),
            "fleet": self.fleet,
            "budgets": self.budgets,
            "quarantine": self.quarantine,
            "clock": self.clock,
        }
        streams = StreamRunner(
            stages=stages,
            codec=self.adapters.targets,
            times=RunTimes(),
            admission=DeadlineAdmission(),
            **common,
        )

        def find_end() -> float:
            return self.drain.ends_at

        filters = (
            ObserveFilter(
                find_stop=lambda: self.drain.started_at,
                clock=self.clock,
                metrics=self.metrics,
                decisions=self.decisions,
            ),
            StopFilter(in_flight=self.in_flight, find_end=find_end),
            RouteFilter(find_table=lambda: self.configuration.table, find_end=find_end),
            QuarantineFilter(quarantine=self.quarantine, clock=self.clock),
            SplitFilter(random_source=self.random),
        )
        last = RunHandler(plain=PlainRunner(**common), streams=streams)
        self.handler = chain(filters, last)

    def _build_servers(self) -> None:
        self.front = RelayFront(
            listen=self.rules.callers_listen,
            codec=self.adapters.callers,
            handler=self.handler,
            bounds=self._find_bounds,
            draining=lambda: self.drain.draining,
            clock=self.clock,
            metrics=self.metrics,
        )
        self.drain = DrainController(
            clock=self.clock,
            events=self.events,
            metrics=self.metrics,
            balancer_lag=self.rules.balancer_lag,
            longest=self.rules.longest_drain,
            close_listener=self.front.close_listener,
            wait_idle=self._wait_idle,
            break_off=self.in_flight.break_off,
        )
        self.readiness = ReadinessServer(
            listen=self.rules.readiness_listen,
            readiness_path=self.rules.readiness_path,
            metrics_listen=self.rules.metrics_listen,
            metrics_path=self.rules.metrics_path,
            ready=self._is_ready,
            metrics=self.metrics,
            describe=self._describe,
        )
        self.usage = UsageController(
            capacity=self.rules.capacity,
            read_work=self.read_work,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def _create_pool(self, group: MakerGroup) -> StagePool:
        return StagePool(
            group,
            list_makers=lambda: self.groups.list_makers(group),
            find_profile=lambda: self._find_maker(group.service),
            is_sole=lambda: self.ownership.is_sole(group),
            suspects=WatchedPieces(
                quarantine=self.quarantine, crashes=self.crash_watch, clock=self.clock
            ),
            policy=CrossRequestBatching(),
            book=self.book,
            links=self.links,
            codec=self.adapters.targets,
            budgets=self.stage_budgets,
            clock=self.clock,
            metrics=self.metrics,
            decisions=self.decisions,
        )

    def _count_instances(self) -> int:
        """Return how many instances share budgets, rather too many than too few."""
        alive = sum(
            member.state in (MemberState.ALIVE, MemberState.SUSPECT)
            for member in self.peers.members()
        )
        return max(alive, ASSUMED_INSTANCES)

    def _count_owners(self) -> int:
        """Return how many instances share budgets of stage work."""
        return max(ASSUMED_OWNERS, self.groups.count_most())

    def _count_kept(self, incarnation: Incarnation) -> int:
        """Return how many idle connections may be kept to a target."""
        target = self.book.find_listed(incarnation.target_id)
        deployment = self.configuration.deployment
        service = None
        if target is not None and deployment is not None:
            service = deployment.services.get(target.service)
        return count_idle_connections(
            service.max_connections if service else 0,
            self._count_instances(),
            self.rules.instance_id,
            incarnation.target_id,
        )

    def _list_listeners(self) -> frozenset[str]:
        members = self.peers.members()
        if members is not self.listening_members:
            # asked for several times a second, and changes rarely
            self.listening_members = members
            self.listeners = choose_followers(
                {
                    member.instance_id: member.data_centre
                    for member in members
                    if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
                }
            )
        return self.listeners

    def _is_relied_on(self) -> bool:
        """Whether others leave the store to this instance."""
        listeners = self._list_listeners()
        if self.peers.instance_id not in listeners:
            return False
        return len(listeners) < len(self.listening_members)

    def _list_controllers(self) -> tuple[Controller, ...]:
        return (
            self.peers,
            self.registry,
            self.crashes,
            self.crash_watch,
            self.follower,
            self.news,
            self.local_desk,
            self.desk,
            self.drain,
            self.front,
            self.readiness,
            self.usage,
        )

    def _find_services(self) -> Collection[str] | None:
        deployment = self.configuration.deployment
        return deployment.services if deployment else None

    def _find_maker(self, service: str):
        deployment = self.configuration.deployment
        found = deployment.services.get(service) if deployment else None
        return found.maker if found else None

    def _find_bounds(self) -> CallerLimits:
        deployment = self.configuration.deployment
        return deployment.limits if deployment else CallerLimits()

    def _is_ready(self) -> bool:
        informed = self.configuration.table is not None and self.listing.informed
        return informed and not self.drain.draining

    async def _wait_idle(self, timeout: float) -> bool:
        """Wait until neither a caller nor a peer waits for this instance."""
        end = self.clock.now() + timeout
        if not await self.front.wait_idle(timeout):
            return False
        return await self.desk.wait_idle(max(0.0, end - self.clock.now()))

    def _note_gone(self, incarnation: Incarnation) -> None:
        self.links.drop(incarnation)
        self.crash_watch.note_gone(incarnation)
        self.fleet.forget(incarnation)
        self.local_desk.note_gone(incarnation)

    def _describe(self) -> dict[str, Any]:
        parts = {part.name: part.dump() for part in self._list_controllers()}
        parts["configuration"] = self.configuration.dump()
        parts["listing"] = self.listing.dump()
        return {
            "instance": self.rules.instance_id,
            "data_centre": self.rules.data_centre,
            **parts,
            "targets": self.fleet.describe(self.clock.now()),
            "links": {"idle": self.links.count_idle()},
            "metrics": self.metrics.dump(),
        }

    async def _close(self) -> None:
        self.links.drop_all()
        await self.store.close()
