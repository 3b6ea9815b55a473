"""Runs one cell of the matrix and collects its records."""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from greengagelatch.claims.sharding import (
    choose_shard,
    create_key,
    name_head,
    rank_instances,
)

from ..waiting import wait_until
from .bench import NORTH, PLACES, PLACES_WITH_SPARE, Bench
from .cells import (
    CHANGE_STEPS,
    LEASED_STEPS,
    REQUEST_STEPS,
    STOP_STEPS,
    TAKEOVER_STEPS,
)
from .checker import Violation, check
from .clients import ClientRequest
from .collecting import create_run_record
from .faults import BURST_MARKER, FAULTS
from .objects import BOOKING, WORKSPACE, create_engines, create_placement
from .processes import close_loop, create_loop
from .sessions import ORDERS
from .steps import Step
from .traffic import (
    RECOVERY_SECONDS,
    send_background_requests,
    verify_recovery,
    warm_up,
)

if TYPE_CHECKING:
    from .cells import Cell
    from .processes import SimulatedProcess
    from .records import RunRecord
    from .serving import ServingInstance

__all__ = ("CellResult", "run_cell")

PROBE = "probe"
PROBE_CHANGE = "change-probe"
#: duration of a fault, in seconds
FAULT_SECONDS = 6.0
#: seconds of recovery after a fault that makes no instance unreachable to others
SHORT_RECOVERY_SECONDS = 6.0
#: duration in seconds of a pause that is shorter than a lease
SHORT_PAUSE = 2.0
PAUSE = "process paused"
#: seconds after a fault within which engines must hold the requested models: the
#: lease expires, and its next holder waits until the former one's orders are done
ORDERS_RECOVERY_SECONDS = 22.0
#: seconds within which engines must hold their first model
PLACEMENT_TIMEOUT = 40.0
#: id of the change that places the first model, and the models
PLACED = "placed"
FIRST_MODEL = "model-1"
SECOND_MODEL = "model-2"
NORTHERN_ENGINES = f"{ORDERS}/{NORTH}"
#: offsets in seconds at which background requests are sent
TRAFFIC_OFFSETS = (0.0, 0.4, 1.5, 3.0, 5.0)
#: factor by which replies take longer while an instance stops
SLOW_REPLY = 30.0
#: number of claim shards; must equal ``claims.shards`` in the instances' settings
SHARDS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class CellResult:
    """Outcome of one cell."""

    cell: Cell
    seed: int
    violations: tuple[Violation, ...]
    #: times at which the fault was injected and removed
    fault_interval: tuple[float, float]
    #: why the fault was not injected; empty if it was
    not_injected: str
    record: RunRecord

    def count_in_time(self) -> tuple[int, int]:
        """Return the number of requests sent during the fault, and of those in time.

        A retried request counts once; those of bursts are excluded.
        """
        begun, fault_ended = self.fault_interval
        outcomes: dict[str, bool] = {}
        for attempt in self.record.attempts:
            if not begun <= attempt.sent <= fault_ended or attempt.marker.startswith(
                BURST_MARKER
            ):
                continue
            in_time = (
                attempt.result is not None and attempt.answered <= attempt.deadline
            )
            outcomes[attempt.marker] = outcomes.get(attempt.marker, False) or in_time
        return len(outcomes), sum(outcomes.values())


@dataclass(slots=True)
class _Timing:
    """Times of the fault, and the instances' pauses."""

    began: float = 0.0
    fault_ended: float = 0.0
    pauses: dict[str, list[tuple[float, float]]] = field(default_factory=dict)


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Run a cell in a new event loop."""
    loop = create_loop()
    runner = _CellRunner(cell, seed)
    try:
        return loop.run_until_complete(runner.run())
    finally:
        instances = runner.bench.instances if runner.bench else ()
        close_loop(loop, [one.process for one in instances])


class _CellRunner:
    def __init__(self, cell: Cell, seed: int) -> None:
        self.bench: Bench | None = None
        self._cell = cell
        self._seed = seed
        self._timing = _Timing()
        self._fault_over = asyncio.Event()
        self._injected = False

    async def run(self) -> CellResult:
        """Run the cell from the start of all instances to the checks."""
        bench = self.bench = self._create_bench()
        await bench.start()
        await warm_up(bench)
        if self._cell.step in LEASED_STEPS:
            await self._prepare_engines()
        self._schedule_fault()
        self._start_operation()
        await self._generate_traffic()
        await verify_recovery(bench, self._timing.fault_ended, self._recovery_seconds)
        record = create_run_record(
            bench,
            fault_ended=self._timing.fault_ended,
            pauses=self._timing.pauses,
            expected_model=self._find_expected_model(),
        )
        not_injected = "" if self._injected else "the step was not reached"
        return CellResult(
            cell=self._cell,
            seed=self._seed,
            violations=tuple(check(record)),
            fault_interval=(self._timing.began, self._timing.fault_ended),
            not_injected=not_injected,
            record=record,
        )

    def _create_bench(self) -> Bench:
        # one instance must remain if both the holder of a role and its successor fail
        spare = self._cell.step in (Step.CONFIGURATION_WATCHER, Step.ORDER_LEASE)
        # engines check fencing tokens in half of the cells, and in the other half
        # with the next seed
        number = zlib.crc32(str(self._cell).encode()) + self._seed
        return Bench(
            self._seed,
            places=PLACES_WITH_SPARE if spare else PLACES,
            engines_check=number % 2 == 0,
        )

    async def _prepare_engines(self) -> None:
        """Place a first model on the engines, unless the step acquires the lease."""
        bench = self.bench
        if self._cell.step is Step.LEASE_HELD:
            return
        await bench.operate(
            bench.instances[0], PLACED, self._create_placement_objects(FIRST_MODEL)
        )
        engines = [one.engine for one in bench.targets.values() if one.service == "llm"]
        await wait_until(
            lambda: all(engine.models == (FIRST_MODEL,) for engine in engines),
            timeout=PLACEMENT_TIMEOUT,
            what="first orders",
        )
        bench.announcer.forget(NORTHERN_ENGINES)

    def _create_placement_objects(self, model: str) -> tuple[Any, ...]:
        service = create_engines(checks=self.bench.engines_check)
        return service, create_placement(model)

    def _find_expected_model(self) -> str:
        """Return the model that the configuration in force places on engines."""
        in_force = [one.list_changes() for one in self.bench.instances if one.alive]
        if any(PROBE_CHANGE in changes for changes in in_force):
            return SECOND_MODEL if self._cell.step in LEASED_STEPS else ""
        if any(PLACED in changes for changes in in_force):
            return FIRST_MODEL
        return ""

    def _schedule_fault(self) -> None:
        step = self._cell.step
        announcer = self.bench.announcer
        if step is Step.CONFIGURATION_WATCHER:
            # the watcher is killed when there is a new head to read
            announcer.add_listener(Step.HEAD_SWAPPED, PROBE_CHANGE, self._inject_faults)
            return
        if step is Step.ORDER_LEASE:
            announcer.add_listener(
                Step.ORDER_SENT, NORTHERN_ENGINES, self._inject_faults
            )
            return
        subject = PROBE
        if step in CHANGE_STEPS:
            subject = PROBE_CHANGE
        elif step in LEASED_STEPS:
            subject = NORTHERN_ENGINES
        announcer.add_listener(step, subject, self._inject_faults)

    def _start_operation(self) -> None:
        """Start the operation that reaches the step."""
        bench = self.bench
        first, second, third = bench.instances[:3]
        step = self._cell.step
        if step in REQUEST_STEPS or step in STOP_STEPS:
            self._send_probe(first, second)
        elif step is Step.CLAIM_WRITER:
            self._send_probe(third, second)
        elif step is Step.CONFIGURATION_WATCHER:
            spare = next(one for one in bench.instances if not _is_watcher(one))
            bench.submit(spare, PROBE_CHANGE, {"by": PROBE_CHANGE})
        elif step in LEASED_STEPS:
            bench.submit_objects(
                third, PROBE_CHANGE, self._create_placement_objects(SECOND_MODEL)
            )
        else:
            bench.submit(first, PROBE_CHANGE, {"by": PROBE_CHANGE})
        if step in STOP_STEPS:
            self._slow_replies()
            first.stop()
            self._announce_stop_step(first)

    def _slow_replies(self) -> None:
        """Slow replies down so that one is still in flight as the stop ends."""
        for target in self.bench.targets.values():
            if target.service == "llm":
                target.slowness = SLOW_REPLY

    def _send_probe(self, first: ServingInstance, second: ServingInstance) -> None:
        """Send the probe, whose claim is written by the second instance."""
        bench = self.bench
        third = next(one for one in bench.instances if one not in (first, second))
        request = ClientRequest(marker=PROBE, pipeline=BOOKING, keyed=True)
        names = [one.name for one in bench.instances]
        # the claim writer depends on the key alone: try keys until it is the second
        suffix = 0
        while True:
            key = create_key(WORKSPACE, request.pipeline, request.key)
            ranked = rank_instances(name_head(choose_shard(key, SHARDS)), names)
            if ranked[0] == second.name or suffix > 64:
                break
            suffix += 1
            request = ClientRequest(
                marker=PROBE, pipeline=BOOKING, keyed=True, key_suffix=str(suffix)
            )
        bench.call(request, first, second, third)

    def _announce_stop_step(self, instance: ServingInstance) -> None:
        async def watch() -> None:
            drain = instance.parts.drain
            wanted = self._cell.step.value
            await wait_until(lambda: drain.state.value == wanted, what=wanted)
            self.bench.announcer.announce(self._cell.step, PROBE, instance.process)

        self.bench.spawn(watch())

    def _inject_faults(self, process: SimulatedProcess) -> None:
        """Inject the faults and schedule their removal."""
        bench = self.bench
        loop = asyncio.get_running_loop()
        subject = bench.find(process.name)
        if self._cell.step in REQUEST_STEPS:
            subject = bench.instances[0]
        elif self._cell.step in TAKEOVER_STEPS:
            subject = self._kill_role_holder(subject)
        self._injected = True
        self._timing.began = loop.time()
        for name in self._cell.faults:
            FAULTS[name].inject(bench, subject)
        if not subject.process.running and not subject.process.killed:
            pause = (loop.time(), loop.time() + self._fault_seconds)
            self._timing.pauses[subject.name] = [pause]
        bench.spawn(self._remove_faults(subject))

    def _kill_role_holder(self, announced: ServingInstance) -> ServingInstance:
        """Kill the holder of the role and return the instance that gets the fault."""
        bench = self.bench
        holder = announced
        if self._cell.step is Step.CONFIGURATION_WATCHER:
            holder = next(one for one in bench.instances if _is_watcher(one))
        holder.kill()
        if self._cell.step is not Step.CLAIM_WRITER:
            return next(one for one in bench.instances if _is_successor(one, holder))
        # the instance that waits for a response of the killed one
        return bench.instances[2]

    @property
    def _recovery_seconds(self) -> float:
        if self._cell.step in LEASED_STEPS:
            return ORDERS_RECOVERY_SECONDS
        affects_membership = any(
            FAULTS[name].affects_membership for name in self._cell.faults
        )
        if (
            affects_membership
            or self._cell.step in TAKEOVER_STEPS
            or self._cell.step in STOP_STEPS
        ):
            return RECOVERY_SECONDS
        return SHORT_RECOVERY_SECONDS

    @property
    def _fault_seconds(self) -> float:
        if self._cell.step in LEASED_STEPS and PAUSE in self._cell.faults:
            return SHORT_PAUSE
        return FAULT_SECONDS

    async def _remove_faults(self, subject: ServingInstance) -> None:
        await asyncio.sleep(self._fault_seconds)
        for name in self._cell.faults:
            FAULTS[name].remove(self.bench, subject)
        self._timing.fault_ended = asyncio.get_running_loop().time()
        self._fault_over.set()

    async def _generate_traffic(self) -> None:
        """Send background requests and make a change while the fault lasts."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number, offset in enumerate(TRAFFIC_OFFSETS):
            await asyncio.sleep(max(0.0, begun + offset - loop.time()))
            send_background_requests(self.bench, number)
            if number == 1:
                self._begin_to_leave()
            if number == 2:
                self._make_change()
        try:
            async with asyncio.timeout(FAULT_SECONDS * 2):
                await self._fault_over.wait()
        except TimeoutError:
            self._timing.fault_ended = loop.time()

    def _begin_to_leave(self) -> None:
        leaving = next(iter(self.bench.targets.values()))
        leaving.start_draining()
        self.bench.list_target(leaving)

    def _make_change(self) -> None:
        for instance in reversed(self.bench.instances):
            if instance.process.running and instance.alive:
                self.bench.submit(instance, "change-during", {"during": "yes"})
                return


def _is_watcher(instance: ServingInstance) -> bool:
    """Whether an instance watches the configuration head in the store."""
    watching: bool = instance.controllers["configuration"].dump()["watching"]
    return watching


def _is_successor(instance: ServingInstance, lost: ServingInstance) -> bool:
    """Whether an instance can take over the role of the lost one."""
    return instance is not lost and instance.data_centre == lost.data_centre
