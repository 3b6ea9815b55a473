"""Placement orders to the engines of this data centre, sent by the lease holder."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.leases.instants import read_instant
from greengagelatch.orders.group import EngineGroup
from greengagelatch.orders.permission import may_order
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
    from greengagelatch.orders.group import EngineCall
    from greengagelatch.settings import Settings

    from ..metrics import Metrics
    from ..placement_groups import PlacementGroup
    from .leases import LeasesController
    from .targets import TargetsController

__all__ = ("OrdersController",)

logger = logging.getLogger(__name__)

#: seconds between two planning rounds
TICK = 0.25


class OrdersController(Controller):
    """Reconciles engines with the state that the placement policies specify.

    Without a placement policy it makes no call. It is not on the request path:
    callers are unaffected while the store or an engine is unreachable.

    :param get_store_age: returns the seconds since the configuration of this
        instance was last confirmed as the newest
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
            max_execution=settings["orders.longest"],
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
        events.connect(DRAIN_STARTED, self._handle_drain)

    async def on_stop(self) -> None:
        """Cancel calls to engines; a group with an order in flight keeps its lease."""
        for task in self._calls:
            task.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        self._update_leases()

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
            self._update_leases()
            for group in self._groups.list_groups():
                self._reconcile(group)
            # Service.sleep would create a task on each tick
            await asyncio.sleep(TICK)

    def _handle_drain(self) -> None:
        # immediately rather than on the next tick, so that no new order is sent
        self._draining = True
        self._update_leases()

    def _update_leases(self) -> None:
        desired = set()
        busy = set()
        for group in self._groups.list_groups():
            if group.has_open_order:
                busy.add(group.name)
            if group.placed and not self._draining:
                desired.add(group.name)
        self._leases.set_desired_groups(desired, busy=busy)

    # one group

    def _reconcile(self, group: PlacementGroup) -> None:
        lease_state = self._leases.find(group.name)
        if lease_state is None or not lease_state.held:
            group.engines = None
            group.configuration_current = False
            return
        now = self._clock.now()
        if group.engines is None or group.engines.fence != lease_state.fence:
            group.configuration_current = False
            group.engines = EngineGroup(
                fence=lease_state.fence, rules=self._rules, now=now
            )
        engine_calls = group.engines.plan(
            now,
            group.targets,
            group.placement,
            loads_per_minute=self._loads_per_minute / len(self._groups),
            may_order=self._may_order(group, lease_state),
        )
        for engine_call in engine_calls:
            task = asyncio.create_task(self._call(group, group.engines, engine_call))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    def _may_order(self, group: PlacementGroup, lease_state: LeaseState) -> bool:
        if self._draining or not group.placed:
            return False
        group.configuration_current = group.configuration_current or self._is_current(
            lease_state
        )
        if not group.configuration_current:
            return False
        now = read_instant(self._clock)
        fencing = self._read_fencing(group)
        return may_order(lease_state, now, rules=self._rules, fencing=fencing)

    def _is_current(self, lease_state: LeaseState) -> bool:
        """Whether the configuration was confirmed as the newest under this lease.

        The previous holder may have acted on a newer generation than this instance
        has. Orders from the older one would revert the engines to a state that an
        operator has replaced, until this instance learns of the change as well.
        """
        age = self._get_store_age()
        if age is None:
            return False
        # the age is too low by the latency of the call that confirmed it
        return self._clock.now() - age >= lease_state.acquired + self._margin

    def _read_fencing(self, group: PlacementGroup) -> Fencing:
        service = self._snapshot().services.get(group.service)
        return Fencing.IGNORED if service is None else read_fencing(service)

    async def _call(
        self, group: PlacementGroup, engines: EngineGroup, engine_call: EngineCall
    ) -> None:
        target = group.targets.get(engine_call.target_id)
        try:
            if target is None:
                # it has left since; the next plan removes its record
                engines.handle_failure(
                    self._clock.now(), engine_call, self._rules.interval
                )
            elif engine_call.order is None:
                group.last_error = await self._caller.read_state(
                    engines, engine_call, target
                )
            else:
                group.last_error = await self._caller.send_order(
                    group.name, self._read_fencing(group), engines, engine_call, target
                )
        except Exception:
            logger.exception("call to engine %s failed", engine_call.target_id)
            engines.handle_order_end(self._clock.now(), engine_call, settled=False)
