"""Orders to the engines of this data centre, given by the holder of their lease."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.leases.instants import read_instant
from greengagelatch.orders.group import EngineGroup
from greengagelatch.orders.permission import has_turn
from greengagelatch.orders.rules import Fencing, OrderRules, read_fencing

from ..ordering import EngineCaller
from ..placement_groups import PlacementGroups
from . import Controller
from .drain import DRAIN_STARTED

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.config.snapshot import Snapshot
    from greengagelatch.events import EventBus
    from greengagelatch.leases.state import LeaseState
    from greengagelatch.orders import OrderClient
    from greengagelatch.orders.group import EngineStep
    from greengagelatch.settings import Settings

    from ..metrics import Metrics
    from ..placement_groups import PlacementGroup
    from .leases import LeasesController
    from .targets import TargetsController

__all__ = ("OrdersController",)

logger = logging.getLogger(__name__)

#: seconds between two looks at what is due
TICK = 0.25


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
        self._snapshot = snapshot
        self._get_store_age = get_store_age
        self._clock = clock
        self._margin: float = settings["leases.margin"]
        self._loads_per_minute: float = settings["orders.loads_per_minute"]
        self._rules = OrderRules(
            timeout=settings["orders.timeout"],
            longest=settings["orders.longest"],
            interval=settings["orders.interval"],
            margin=self._margin,
        )
        self._caller = EngineCaller(
            client=client,
            leases=leases,
            directory=targets,
            rules=self._rules,
            may_order=lambda: not self._draining,
            clock=clock,
            random_source=random_source,
            metrics=metrics,
        )
        self._groups = PlacementGroups(
            data_centre=settings["instance.data_centre"], targets=targets
        )
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
        for group in self._groups.list_groups():
            engines = group.engines
            groups[group.name] = {
                "fencing": self._read_fencing(group).value,
                "placed": group.placed,
                "overflowing": group.overflow.overflowing,
                "fence": 0 if engines is None else engines.fence,
                "configuration_current": group.configuration_current,
                "last_error": group.last_error,
                "engines": {}
                if engines is None
                else engines.dump(now, group.placement),
            }
        return {"draining": self._draining, "groups": groups}

    @Service.task
    async def _run_forever(self) -> None:
        while not self.should_stop:
            self._groups.update(self._clock.now(), self._snapshot())
            self._tell_leases()
            for group in self._groups.list_groups():
                self._serve(group)
            # the service's own sleep starts a task each time
            await asyncio.sleep(TICK)

    def _note_drain(self) -> None:
        # at once, and not at the next tick: no order begins after this
        self._draining = True
        self._tell_leases()

    def _tell_leases(self) -> None:
        wanted = set()
        busy = set()
        for group in self._groups.list_groups():
            if group.has_open_order:
                busy.add(group.name)
            if group.placed and not self._draining:
                wanted.add(group.name)
        self._leases.want(wanted, busy=busy)

    # one group

    def _serve(self, group: PlacementGroup) -> None:
        tenure = self._leases.find(group.name)
        if tenure is None or not tenure.held:
            group.engines = None
            group.configuration_current = False
            return
        now = self._clock.now()
        if group.engines is None or group.engines.fence != tenure.fence:
            group.configuration_current = False
            group.engines = EngineGroup(fence=tenure.fence, rules=self._rules, now=now)
        steps = group.engines.plan(
            now,
            group.targets,
            group.placement,
            loads_per_minute=self._loads_per_minute / len(self._groups),
            may_order=self._may_order(group, tenure),
        )
        for step in steps:
            call = asyncio.create_task(self._call(group, group.engines, step))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def _may_order(self, group: PlacementGroup, tenure: LeaseState) -> bool:
        if self._draining or not group.placed:
            return False
        group.configuration_current = group.configuration_current or self._is_current(
            tenure
        )
        if not group.configuration_current:
            return False
        now = read_instant(self._clock)
        fencing = self._read_fencing(group)
        return has_turn(tenure, now, rules=self._rules, fencing=fencing)

    def _is_current(self, tenure: LeaseState) -> bool:
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

    def _read_fencing(self, group: PlacementGroup) -> Fencing:
        service = self._snapshot().services.get(group.service)
        return Fencing.IGNORED if service is None else read_fencing(service)

    async def _call(
        self, group: PlacementGroup, engines: EngineGroup, step: EngineStep
    ) -> None:
        target = group.targets.get(step.target_id)
        try:
            if target is None:
                # it has left since, and its record goes with the next plan
                engines.fail(self._clock.now(), step, self._rules.interval)
            elif step.order is None:
                group.last_error = await self._caller.read_state(engines, step, target)
            else:
                group.last_error = await self._caller.send_order(
                    group.name, self._read_fencing(group), engines, step, target
                )
        except Exception:
            logger.exception("call to engine %s failed", step.target_id)
            engines.end_order(self._clock.now(), step, settled=False)
