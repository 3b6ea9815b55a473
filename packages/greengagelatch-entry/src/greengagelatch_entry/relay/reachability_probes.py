"""Probes of targets that are bypassed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from mode import Service

from ..controllers import Controller
from .target_dialers import create_destination

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.reachability import Reachability
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from .routed_dialer import RoutedDialer

__all__ = ("ReachabilityController",)

#: seconds between two checks of whether a probe is due
TICK = 0.1
#: most probes at a time
MAX_PROBES = 64


class ReachabilityController(Controller):
    """Probes bypassed targets until they are reached directly again."""

    name = "reachability"

    def __init__(
        self,
        *,
        dialer: RoutedDialer,
        reachability: Reachability,
        target_table: TargetTable,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._dialer = dialer
        self._reachability = reachability
        self._target_table = target_table
        self._clock = clock
        self._probes: dict[Incarnation, asyncio.Task[None]] = {}

    @Service.task
    async def _probe_forever(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(TICK)
            for incarnation in self._reachability.choose_probes(self._clock.now()):
                self._start_probe(incarnation)

    def _start_probe(self, incarnation: Incarnation) -> None:
        if incarnation in self._probes or len(self._probes) >= MAX_PROBES:
            return
        target = self._target_table.find_listed(incarnation.target_id)
        if target is None or target.incarnation != incarnation:
            self._reachability.forget(incarnation)
            return
        task = asyncio.create_task(self._probe(target))
        self._probes[incarnation] = task
        task.add_done_callback(lambda _: self._probes.pop(incarnation, None))

    async def _probe(self, target: ListedTarget) -> None:
        if await self._dialer.probe(create_destination(target)) is not None:
            return
        # the others of the service are likely to be reachable again, too
        for incarnation in self._reachability.list_bypassed(target.service):
            self._start_probe(incarnation)

    async def on_stop(self) -> None:
        """Cancel the probes."""
        tasks = tuple(self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        return self._reachability.describe(self._clock.now())
