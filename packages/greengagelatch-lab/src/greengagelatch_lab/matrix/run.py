"""Runs one cell of the matrix and collects what it left behind."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.claims.scope import (
    choose_shard,
    create_key,
    name_head,
    rank_instances,
)
from greengagelatch.config.requests import Settled, Unsettled

from ..waiting import wait_until
from .bench import Bench
from .callers import Wish
from .cells import CHANGE_STEPS, REQUEST_STEPS, STOP_STEPS
from .checker import Breach, check
from .faults import FAULTS
from .objects import BOOKING, WORKSPACE
from .processes import close_loop, create_loop
from .records import AskRecord, ChangeRecord, ChangeState, InstanceRecord, RunRecord
from .steps import Step

if TYPE_CHECKING:
    from .bench import Change
    from .cells import Cell
    from .front import Ask
    from .instance import EntryInstance
    from .processes import SimulatedProcess

__all__ = ("CellResult", "run_cell")

PROBE = "probe"
PROBE_CHANGE = "change-probe"
#: seconds for which a fault lasts
LASTING = 6.0
#: seconds after its end until everything has to be as before
SETTLING = 22.0
#: seconds from the fault's beginning at which other requests come
PULSES = (0.0, 0.4, 1.5, 3.0, 5.0)
#: claim shards; see the settings of the bench's instances
SHARDS = 4


@dataclass(frozen=True, slots=True)
class CellResult:
    """Outcome of one cell."""

    cell: Cell
    seed: int
    breaches: tuple[Breach, ...]
    #: whether the step was reached, so that the fault came about
    reached: bool
    record: RunRecord


@dataclass(slots=True)
class _Timing:
    """When the fault began and ended, and who stood still."""

    began: float = 0.0
    healed: float = 0.0
    subject: str = ""
    pauses: dict[str, list[tuple[float, float]]] = field(default_factory=dict)


def run_cell(cell: Cell, seed: int) -> CellResult:
    """Run a cell in a loop of its own."""
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
        self._begun = False

    async def run(self) -> CellResult:
        """Play the cell from the start of all instances to the checks."""
        bench = self.bench = Bench(self._seed)
        await bench.start()
        await self._warm_up()
        self._arm()
        self._provoke()
        await self._play()
        await self._conclude()
        record = self._collect()
        return CellResult(
            self._cell, self._seed, tuple(check(record)), self._begun, record
        )

    async def _warm_up(self) -> None:
        """Have each instance use its connections once."""
        bench = self.bench
        await asyncio.sleep(4.0)
        for number, instance in enumerate(bench.instances):
            bench.call(Wish(marker=f"warm-{number}"), instance)
            bench.call(
                Wish(marker=f"warm-key-{number}", pipeline=BOOKING, keyed=True),
                instance,
            )
        await bench.finish()
        await asyncio.sleep(0.3)

    def _arm(self) -> None:
        step = self._cell.step
        subject = PROBE if step not in CHANGE_STEPS else PROBE_CHANGE
        if step is Step.CONFIGURATION_WATCHER:
            subject = PROBE_CHANGE
        self.bench.announcer.await_step(step, subject, self._begin)

    def _provoke(self) -> None:
        """Set in motion what comes to the step."""
        bench = self.bench
        first, second, third = bench.instances
        step = self._cell.step
        if step in REQUEST_STEPS or step in STOP_STEPS:
            self._send_probe(first, second)
        elif step is Step.CLAIM_WRITER:
            self._send_probe(third, second)
        else:
            bench.submit(first, PROBE_CHANGE, {"by": PROBE_CHANGE})
        if step in STOP_STEPS:
            first.stop()
            self._await_stop(first)

    def _send_probe(self, first: EntryInstance, second: EntryInstance) -> None:
        """Send the watched request; its claim is written by the second instance."""
        bench = self.bench
        third = next(one for one in bench.instances if one not in (first, second))
        wish = Wish(marker=PROBE, pipeline=BOOKING, keyed=True)
        names = [one.name for one in bench.instances]
        # the writer of a key depends on the key alone: take one that suits
        suffix = 0
        while True:
            key = create_key(WORKSPACE, wish.pipeline, wish.key)
            ranked = rank_instances(name_head(choose_shard(key, SHARDS)), names)
            if ranked[0] == second.name or suffix > 64:
                break
            suffix += 1
            wish = Wish(
                marker=PROBE, pipeline=BOOKING, keyed=True, key_suffix=str(suffix)
            )
        bench.call(wish, first, second, third)

    def _await_stop(self, instance: EntryInstance) -> None:
        async def watch() -> None:
            drain = instance.parts.drain
            wanted = self._cell.step.value
            await wait_until(lambda: drain.state.value == wanted, what=wanted)
            self.bench.announcer.announce(self._cell.step, PROBE, instance.process)

        self.bench.spawn(watch())

    def _begin(self, process: SimulatedProcess) -> None:
        """Bring the faults about, and plan their end."""
        bench = self.bench
        loop = asyncio.get_running_loop()
        subject = self._choose_subject(process)
        self._begun = True
        self._timing.began = loop.time()
        self._timing.subject = subject.name
        if self._cell.step in (Step.CLAIM_WRITER, Step.CONFIGURATION_WATCHER):
            holder = bench.find(process.name)
            holder.kill()
        for name in self._cell.faults:
            FAULTS[name].begin(bench, subject)
        if not subject.process.running and not subject.process.killed:
            pause = (loop.time(), loop.time() + LASTING)
            self._timing.pauses[subject.name] = [pause]
        bench.spawn(self._heal(subject))

    def _choose_subject(self, process: SimulatedProcess) -> EntryInstance:
        bench = self.bench
        if self._cell.step in REQUEST_STEPS:
            return bench.instances[0]
        if self._cell.step in (Step.CLAIM_WRITER, Step.CONFIGURATION_WATCHER):
            others = [one for one in bench.instances if one.name != process.name]
            return others[-1]
        return bench.find(process.name)

    async def _heal(self, subject: EntryInstance) -> None:
        await asyncio.sleep(LASTING)
        for name in self._cell.faults:
            FAULTS[name].end(self.bench, subject)
        self._timing.healed = asyncio.get_running_loop().time()
        self._fault_over.set()

    async def _play(self) -> None:
        """Send other requests and make a change while the fault lasts."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        for number, offset in enumerate(PULSES):
            await asyncio.sleep(max(0.0, begun + offset - loop.time()))
            self._send_pulse(number)
            if number == 1:
                self._begin_to_leave()
            if number == 2:
                self._make_change()
        try:
            async with asyncio.timeout(LASTING * 2):
                await self._fault_over.wait()
        except TimeoutError:
            self._timing.healed = loop.time()

    def _send_pulse(self, number: int) -> None:
        for place, instance in enumerate(self.bench.instances):
            if not instance.front.listening:
                continue
            name = f"{number}-{place}"
            self.bench.call(Wish(marker=f"draft-{name}"), instance)
            book = Wish(marker=f"book-{name}", pipeline=BOOKING, stream=False)
            self.bench.call(book, instance)
            others = [one for one in self.bench.instances if one is not instance]
            keyed = Wish(marker=f"keyed-{name}", pipeline=BOOKING, keyed=True)
            self.bench.call(keyed, instance, *others)

    def _begin_to_leave(self) -> None:
        leaving = next(iter(self.bench.targets.values()))
        leaving.begin_to_leave()
        self.bench.list_target(leaving)

    def _make_change(self) -> None:
        for instance in reversed(self.bench.instances):
            if instance.process.running and instance.alive:
                self.bench.submit(instance, "change-during", {"during": "yes"})
                return

    async def _conclude(self) -> None:
        """Wait until all is settled, and see that everything works again."""
        bench = self.bench
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._timing.healed + SETTLING - loop.time()))
        for place, instance in enumerate(bench.instances):
            if not instance.front.listening or instance.stopping:
                continue
            for name, wish in self._create_last(place):
                bench.last.add(name)
                bench.call(wish, instance)
        await bench.finish()

    def _create_last(self, place: int) -> list[tuple[str, Wish]]:
        wishes = (
            Wish(marker=f"last-draft-{place}"),
            Wish(marker=f"last-keyed-{place}", pipeline=BOOKING, keyed=True),
        )
        return [(wish.marker, wish) for wish in wishes]

    # records

    def _collect(self) -> RunRecord:
        bench = self.bench
        reached: dict[str, set[str]] = {}
        for step, subject in bench.announcer.reached:
            reached.setdefault(step.value, set()).add(subject)
        return RunRecord(
            asks=[self._describe_ask(ask) for ask in bench.asks],
            changes=[_describe_change(change) for change in bench.changes],
            instances=[self._describe_instance(one) for one in bench.instances],
            targets=bench.record,
            healed=self._timing.healed,
            ended=asyncio.get_running_loop().time(),
            reached={step: frozenset(found) for step, found in reached.items()},
        )

    def _describe_ask(self, ask: Ask) -> AskRecord:
        answer = ask.answers[0] if ask.answers else None
        refusal = None if answer is None else answer.refusal
        verdict = ""
        if answer is not None:
            verdict = answer.verdict.name.lower().replace("_", "-")
        return AskRecord(
            marker=ask.marker,
            request=ask.request_id,
            instance=ask.instance,
            sent=ask.sent,
            deadline=ask.deadline,
            repeatable="X-Repeatable" not in ask.headers,
            keyed="Idempotency-Key" in ask.headers,
            stream=ask.stream,
            tokens=tuple(ask.tokens),
            answers=len(ask.answers),
            answered=ask.answered,
            verdict=verdict,
            result=None if refusal is not None or answer is None else answer.result,
            code="" if refusal is None else refusal.code.value,
            retry_after_ms=None if refusal is None else refusal.retry_after_ms,
            refused=ask.refused,
            reset=ask.reset,
            must_succeed=ask.marker in self.bench.last,
        )

    def _describe_instance(self, instance: EntryInstance) -> InstanceRecord:
        changes = instance.configuration.head.changes
        finished = None
        if instance.stopping:
            finished = instance.exit_code == 0
        return InstanceRecord(
            name=instance.name,
            killed=instance.process.killed,
            stopping=instance.stopping,
            finished=finished,
            pauses=tuple(self._timing.pauses.get(instance.name, ())),
            generations=tuple(instance.generations),
            changes=frozenset(entry.change_id for entry in changes),
        )


def _describe_change(change: Change) -> ChangeRecord:
    state = ChangeState.UNKNOWN
    generation = 0
    match change.outcome:
        case Settled(generation=generation):
            state = ChangeState.SETTLED
        case None | Unsettled():
            pass
        case _:
            state = ChangeState.REJECTED
    return ChangeRecord(
        change_id=change.change_id,
        state=state,
        generation=generation,
        settled=change.settled,
    )
