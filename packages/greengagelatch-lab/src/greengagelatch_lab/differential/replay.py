"""Replays a history on a system and checks the record of the run."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..matrix.bench import Bench
from ..matrix.checker import Violation, check
from ..matrix.clients import ClientRequest
from ..matrix.collecting import create_run_record
from ..matrix.faults import FAULTS
from ..matrix.instance import EntryInstance
from ..matrix.objects import BOOKING, DRAFT
from ..matrix.processes import close_loop, create_loop
from ..matrix.traffic import verify_recovery, warm_up
from .histories import ChangeEvent, FaultEvent, LeaveEvent, RequestEvent, StopEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..matrix.records import RunRecord
    from ..matrix.serving import ServingInstance
    from .histories import Event, History

__all__ = ("replay_history",)


def replay_history(
    history: History, create: Callable[..., ServingInstance] = EntryInstance
) -> list[Violation]:
    """Replay a history on a system and return the violated guarantees."""
    loop = create_loop()
    player = _HistoryRunner(history, create)
    try:
        return check(loop.run_until_complete(player.run()))
    finally:
        instances = player.bench.instances if player.bench else ()
        close_loop(loop, [one.process for one in instances])


class _HistoryRunner:
    def __init__(
        self, history: History, create: Callable[..., ServingInstance]
    ) -> None:
        self.bench: Bench | None = None
        self._history = history
        self._create = create
        self._pauses: dict[str, list[tuple[float, float]]] = {}
        self._active_faults: set[str] = set()

    async def run(self) -> RunRecord:
        """Replay all events, then verify that the system recovers."""
        bench = self.bench = Bench(self._history.seed, create=self._create)
        await bench.start()
        await warm_up(bench)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        pending_ends: list[tuple[float, FaultEvent]] = []
        for number, event in enumerate(sorted(self._history.events, key=_get_time)):
            await self._sleep_until(started_at + event.at, pending_ends)
            self._begin(number, event, pending_ends)
        await self._sleep_until(float("inf"), pending_ends)
        healed = loop.time()
        await verify_recovery(bench, healed)
        return create_run_record(bench, fault_ended=healed, pauses=self._pauses)

    async def _sleep_until(
        self, time: float, pending_ends: list[tuple[float, FaultEvent]]
    ) -> None:
        """Sleep until ``time``, and remove faults as their durations expire."""
        loop = asyncio.get_running_loop()
        while pending_ends:
            due = min(pending_ends, key=lambda end: end[0])
            if due[0] > time:
                break
            pending_ends.remove(due)
            await asyncio.sleep(max(0.0, due[0] - loop.time()))
            self._end(due[1])
        if time != float("inf"):
            await asyncio.sleep(max(0.0, time - loop.time()))

    def _begin(
        self, number: int, event: Event, pending_ends: list[tuple[float, FaultEvent]]
    ) -> None:
        bench = self.bench
        match event:
            case RequestEvent():
                self._send(number, event)
            case ChangeEvent():
                instance = bench.instances[event.instance]
                if instance.process.running and instance.alive:
                    labels = {"by": f"change-{number}"}
                    bench.submit(instance, f"change-{number}", labels)
            case LeaveEvent():
                target = list(bench.targets.values())[event.target]
                target.start_draining()
                bench.list_target(target)
            case StopEvent():
                instance = bench.instances[event.instance]
                if instance.alive:
                    instance.stop()
            case FaultEvent():
                self._begin_fault(event, pending_ends)

    def _begin_fault(
        self, event: FaultEvent, pending_ends: list[tuple[float, FaultEvent]]
    ) -> None:
        # of two overlapping faults of one kind, the end of the first would end both
        if event.name in self._active_faults:
            return
        self._active_faults.add(event.name)
        loop = asyncio.get_running_loop()
        instance = self.bench.instances[event.instance]
        was_running = instance.process.running
        FAULTS[event.name].inject(self.bench, instance)
        end = loop.time() + event.duration
        if was_running and not instance.process.running and instance.alive:
            self._pauses.setdefault(instance.name, []).append((loop.time(), end))
        pending_ends.append((end, event))

    def _end(self, event: FaultEvent) -> None:
        self._active_faults.discard(event.name)
        FAULTS[event.name].remove(self.bench, self.bench.instances[event.instance])

    def _send(self, number: int, event: RequestEvent) -> None:
        bench = self.bench
        wish = ClientRequest(
            marker=f"r{number}",
            pipeline=BOOKING if event.booking else DRAFT,
            keyed=event.keyed,
            stream=event.stream,
            budget=event.budget,
        )
        first = bench.instances[event.instance]
        others = [one for one in bench.instances if one is not first]
        bench.call(wish, first, *others)


def _get_time(event: Event) -> float:
    return event.at
