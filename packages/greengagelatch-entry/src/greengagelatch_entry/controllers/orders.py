"""Orders to the engines of this data centre, given by the holder of their lease."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.leases.instants import read_instant
from greengagelatch.orders.group import EngineGroup
from greengagelatch.orders.permission import has_turn
from greengagelatch.orders.rules import Fencing, OrderRules, read_fencing
from greengagelatch.placement.demand import (
    Demand,
    DemandRule,
    is_preferred,
    measure_load,
)
from greengagelatch.placement.wanted import find_placements

from ..ordering import EngineCaller
from . import Controller
from .drain import DRAIN_STARTED

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.config.effects import Placement
    from greengagelatch.config.snapshot import Snapshot
    from greengagelatch.events import EventBus
    from greengagelatch.leases.tenure import Tenure
    from greengagelatch.orders import OrderClient
    from greengagelatch.orders.group import EngineStep
    from greengagelatch.settings import Settings
    from greengagelatch.targets import Target

    from ..metrics import Metrics
    from .leases import LeasesController
    from .targets import TargetsController

__all__ = ("OrdersController",)

logger = logging.getLogger(__name__)

#: seconds between two looks at what is due
TICK = 0.2

DEMAND_RULE = DemandRule()


@dataclass(slots=True)
class _Group:
    """The engines of one service in this data centre."""

    service: str
    placement: Placement
    demand: Demand = field(default_factory=Demand)
    #: ``None`` while the lease is not held
    engines: EngineGroup | None = None
    #: whether the configuration was proved the newest under this tenure
    current: bool = False
    #: last call that came to nothing, for the state dump
    error: str = ""

    @property
    def ordering(self) -> bool:
        """Whether an order is under way, or may still be."""
        return self.engines is not None and self.engines.ordering


class OrdersController(Controller):
    """Brings engines to the state that placement policies name.

    Without such a policy it makes no call. It serves no request: what it can't do
    while the store or an engine is out of reach changes nothing for callers.

    :param get_store_age: seconds since the configuration here was surely the newest
    """

    name = "orders"

    def __init__(
        self,
        *,
        leases: LeasesController,
        client: OrderClient,
        targets: TargetsController,
        snapshot: Callable[[], Snapshot],
        get_store_age: Callable[[], float | None],
        clock: Clock,
        random_source: random.Random,
        events: EventBus,
        settings: Settings,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._leases = leases
        self._targets = targets
        self._snapshot = snapshot
        self._get_store_age = get_store_age
        self._clock = clock
        self._data_centre: str = settings["instance.data_centre"]
        self._margin: float = settings["leases.margin"]
        self._loads_per_minute: float = settings["orders.loads_per_minute"]
        self._rules = OrderRules(
            timeout=settings["orders.timeout"],
            longest=settings["orders.longest"],
            interval=settings["orders.interval"],
            margin=settings["leases.margin"],
        )
        self._caller = EngineCaller(
            client=client,
            leases=leases,
            directory=targets,
            rules=self._rules,
            open=lambda: not self._draining,
            clock=clock,
            random_source=random_source,
            metrics=metrics,
        )
        self._groups: dict[str, _Group] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self._draining = False
        events.declare(DRAIN_STARTED)
        events.connect(DRAIN_STARTED, self._note_drain)

    async def on_stop(self) -> None:
        """Stop waiting for engines; an order under way keeps its lease to the end."""
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        self._tell_leases()

    def dump(self) -> dict[str, Any]:
        now = self._clock.now()
        groups = {}
        for name, group in sorted(self._groups.items()):
            engines = group.engines
            groups[name] = {
                "fencing": self._read_fencing(group).value,
                "placed": self._is_placed(group),
                "overflowing": group.demand.overflowing,
                "fence": 0 if engines is None else engines.fence,
                "configuration_current": group.current,
                "last_error": group.error,
                "engines": {}
                if engines is None
                else engines.dump(now, group.placement),
            }
        return {"draining": self._draining, "groups": groups}

    @Service.task
    async def _run_forever(self) -> None:
        while not self.should_stop:
            self._update_groups()
            self._tell_leases()
            for name, group in self._groups.items():
                self._serve(name, group)
            await self.sleep(TICK)

    def _note_drain(self) -> None:
        # at once, and not at the next tick: no order begins after this
        self._draining = True
        self._tell_leases()

    # which groups there are

    def _update_groups(self) -> None:
        placements = find_placements(self._snapshot())
        groups = {}
        for service, placement in placements.items():
            name = f"{self._data_centre}/{service}"
            group = self._groups.get(name) or _Group(service, placement)
            group.placement = placement
            self._update_demand(group)
            groups[name] = group
        for name, group in self._groups.items():
            # with its policy gone it has still to end what it began, or its lease
            # would be given up and the next holder begin too early
            if name not in groups and group.ordering:
                groups[name] = group
        self._groups = groups

    def _update_demand(self, group: _Group) -> None:
        if is_preferred(group.placement, self._data_centre):
            return
        aside = {
            target.target_id for target, aside in self._targets.list_targets() if aside
        }
        load = measure_load(
            group.placement,
            (
                candidate
                for candidate in self._targets.candidates(group.service)
                if candidate.target.target_id not in aside
            ),
        )
        group.demand = group.demand.update(self._clock.now(), load, DEMAND_RULE)

    def _is_placed(self, group: _Group) -> bool:
        preferred = is_preferred(group.placement, self._data_centre)
        return preferred or group.demand.overflowing

    def _tell_leases(self) -> None:
        wanted = set()
        busy = set()
        for name, group in self._groups.items():
            if group.ordering:
                busy.add(name)
            if not self._draining and self._is_placed(group):
                wanted.add(name)
        self._leases.want(wanted, busy=busy)

    # one group

    def _serve(self, name: str, group: _Group) -> None:
        tenure = self._leases.find(name)
        if tenure is None or not tenure.held:
            group.engines = None
            group.current = False
            return
        now = read_instant(self._clock)
        if group.engines is None or group.engines.fence != tenure.fence:
            group.current = False
            group.engines = EngineGroup(
                fence=tenure.fence, rules=self._rules, now=now.monotonic
            )
        steps = group.engines.plan(
            now.monotonic,
            [target.target_id for target in self._list_engines(group)],
            group.placement,
            loads_per_minute=self._loads_per_minute / len(self._groups),
            may_order=self._may_order(group, tenure),
        )
        for step in steps:
            call = asyncio.create_task(self._call(name, group, group.engines, step))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def _list_engines(self, group: _Group) -> list[Target]:
        return [
            target
            for target, _ in self._targets.list_targets()
            if target.service == group.service
            and target.data_centre == self._data_centre
        ]

    def _may_order(self, group: _Group, tenure: Tenure) -> bool:
        if self._draining or not self._is_placed(group):
            return False
        group.current = group.current or self._is_current(tenure)
        if not group.current:
            return False
        now = read_instant(self._clock)
        fencing = self._read_fencing(group)
        return has_turn(tenure, now, rules=self._rules, fencing=fencing)

    def _is_current(self, tenure: Tenure) -> bool:
        """Whether the configuration was the newest at some time of this tenure.

        The former holder may have acted on a newer one than this instance knows as
        yet. Its orders would be undone, and the engines would go back to what an
        operator has replaced, until this instance learns of the change too.
        """
        age = self._get_store_age()
        if age is None:
            return False
        # an age is too low by as long as the proof was on its way
        return self._clock.now() - age >= tenure.acquired + self._margin

    def _read_fencing(self, group: _Group) -> Fencing:
        service = self._snapshot().services.get(group.service)
        return Fencing.IGNORED if service is None else read_fencing(service)

    # one call

    async def _call(
        self, name: str, group: _Group, engines: EngineGroup, step: EngineStep
    ) -> None:
        target = self._find_target(group, step.target_id)
        try:
            if target is None:
                engines.fail(self._clock.now(), step, self._rules.interval)
                return
            if step.order is None:
                group.error = await self._caller.read(engines, step, target)
                return
            fencing = self._read_fencing(group)
            group.error = await self._caller.order(name, fencing, engines, step, target)
        except Exception:
            logger.exception("call to engine %s failed", step.target_id)
            engines.end_order(self._clock.now(), step, settled=False)

    def _find_target(self, group: _Group, target_id: str) -> Target | None:
        for target in self._list_engines(group):
            if target.target_id == target_id:
                return target
        return None
