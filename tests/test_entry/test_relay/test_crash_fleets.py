"""Simulations of several instances to which one request comes that crashes engines.

Each instance has its own quarantine, and each report reaches it at its own time.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import pytest
from result import Ok

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.part_quarantine import PartQuarantine
from greengagelatch.relay.quarantine import AMBIGUOUS_CRASH_LIMIT, Quarantine
from greengagelatch.relay.requests import RefusedError
from greengagelatch.relay.targets import ListedTarget
from greengagelatch.store import Lease, WriteOutcome, WriteResult
from greengagelatch.verdict import Verdict
from greengagelatch_entry.relay.crash_detector import CrashDetector
from greengagelatch_entry.relay.suspect_admission import SuspectAdmission
from greengagelatch_entry.relay.suspect_locks import SuspectLocks
from greengagelatch_lab.stage_load.instances import NullTelemetry
from greengagelatch_lab.stage_load.virtual_time import (
    LoopClock,
    run_in_virtual_time,
)

BAD = "bad"
#: seconds for which a caller waits for its answer
DEADLINE_SECONDS = 6.0
#: seconds until a dial shows that an engine has crashed
DIAL_SECONDS = 0.01
#: seconds after the third crash until all instances must know of it, and the crashing
#: requests that may reach engines after that
DETECTION_SECONDS, MAX_LATE_ARRIVALS = 3.0, 3


@dataclass(frozen=True, kw_only=True)
class Conditions:
    """Conditions of one simulation; ranges are in seconds."""

    instances: int = 9
    engines: int = 5
    seconds: float = 60.0
    restart_seconds: float = 3.0
    #: delay of a report to the other instances
    report: tuple[float, float] = (0.02, 0.3)
    #: delay of a call to the store
    store: tuple[float, float] = (0.004, 0.012)
    #: whether the store takes calls
    store_up: bool = True
    #: time that a request is queued on an engine, and that a harmless one then runs
    queued: tuple[float, float] = (0.0, 0.4)
    runs: tuple[float, float] = (0.0, 0.3)
    #: time after its start at which the crashing request crashes its engine
    crash_delay: tuple[float, float] = (0.02, 0.12)
    harmless_per_second: float = 25.0
    bad_per_second: float = 2.0
    #: crashes that no request causes
    crashes_per_second: float = 0.7
    #: engines to which one attempt is sent, attempts of one caller, and the pause
    #: between these
    sends: int = 2
    attempts: int = 2
    pause: tuple[float, float] = (0.1, 0.1)


@dataclass(eq=False)
class Engine:
    listed: ListedTarget
    running: dict[asyncio.Future[bool], str] = field(default_factory=dict)


@dataclass
class Result:
    """What callers and engines have seen."""

    answered: int = 0
    failed: int = 0
    refused_harmless: int = 0
    crashes: int = 0
    #: crashes under the crashing request, and its arrivals at engines
    crash_times: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)

    def count_late_arrivals(self) -> int:
        if len(self.crash_times) < 3:
            return 0
        known = self.crash_times[2] + DETECTION_SECONDS
        return sum(moment > known for moment in self.arrivals)


class LockStore:
    """The calls by which locks are made, each with a delay."""

    def __init__(self, conditions: Conditions, random_source: random.Random) -> None:
        self._conditions = conditions
        self._random = random_source
        self._numbers = itertools.count(1)
        self._leases: dict[str, str] = {}
        self.calls = 0

    async def grant_lease(self, ttl):
        await self._delay()
        number = next(self._numbers)
        asyncio.get_running_loop().call_later(ttl, self._expire, str(number))
        return Ok(Lease(str(number), ttl, number))

    async def swap(self, key, value, expected, *, lease_id=""):
        await self._delay()
        if key in self._leases.values():
            return WriteResult(WriteOutcome.CONFLICT)
        self._leases[lease_id] = key
        return WriteResult(WriteOutcome.APPLIED, 1)

    async def revoke_lease(self, lease_id):
        await self._delay()
        self._expire(lease_id)
        return WriteResult(WriteOutcome.APPLIED, 1)

    def _expire(self, lease_id: str) -> None:
        self._leases.pop(lease_id, None)

    async def _delay(self) -> None:
        self.calls += 1
        await asyncio.sleep(self._random.uniform(*self._conditions.store))


class Instance:
    """One entry instance, with the decisions of the product."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.quarantine = Quarantine()
        telemetry = NullTelemetry()
        self.locks = SuspectLocks(
            instance_id=name,
            store=fleet.store,
            is_store_reachable=lambda: fleet.conditions.store_up,
            clock=fleet.clock,
            metrics=telemetry,
        )
        self.detector = CrashDetector(
            replicator=SimpleNamespace(
                publish=lambda report: fleet.publish(
                    self, lambda one, now: one.record_crash(report, now)
                ),
                publish_survival=lambda digest: fleet.publish(
                    self, lambda one, now: one.record_survival(digest, now)
                ),
            ),
            quarantine=self.quarantine,
            target_table=SimpleNamespace(is_available=lambda incarnation: True),
            evidence=SimpleNamespace(has_ended=_dial),
            clock=fleet.clock,
            metrics=telemetry,
            decisions=telemetry,
        )
        self.admission = SuspectAdmission(
            quarantine=self.quarantine,
            part_quarantine=PartQuarantine(),
            locks=self.locks,
            crash_detector=self.detector,
            clock=fleet.clock,
            decisions=telemetry,
        )


class Fleet:
    """Instances and engines in virtual time, with callers that come at random."""

    def __init__(self, seed: int, conditions: Conditions) -> None:
        self.conditions = conditions
        self.clock = LoopClock()
        self.result = Result()
        self.random = random.Random(seed)
        self.store = LockStore(conditions, random.Random(seed))
        self._numbers = itertools.count()
        self._engines: list[Engine] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._instances = [
            self._create_instance(f"entry-{number}")
            for number in range(conditions.instances)
        ]

    def _create_instance(self, name: str) -> Instance:
        return Instance(name, self)

    async def run(self) -> Result:
        for _ in range(self.conditions.engines):
            self._start_engine()
        await self._send_all()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self._instances:
            await instance.detector.on_stop()
            await instance.locks.stop()
        return self.result

    async def _send_all(self) -> None:
        conditions = self.conditions
        self._repeat(conditions.bad_per_second, lambda: self._ask(BAD))
        self._repeat(
            conditions.harmless_per_second,
            lambda: self._ask(f"harmless-{next(self._numbers)}"),
        )
        self._repeat(conditions.crashes_per_second, self._crash_any)
        await asyncio.sleep(conditions.seconds)

    def publish(self, origin: Instance, record) -> None:
        """Record at all instances, at those but ``origin`` after some time."""
        for instance in self._instances:
            delay = self._draw(self.conditions.report) if instance is not origin else 0
            self._call_later(
                delay,
                lambda one=instance: record(one.quarantine, self.clock.now()),
            )

    def _repeat(self, rate: float, action) -> None:
        async def repeat() -> None:
            while rate:
                await asyncio.sleep(self.random.expovariate(rate))
                action()

        self._start(repeat())

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _call_later(self, delay: float, action) -> None:
        if delay:
            asyncio.get_running_loop().call_later(delay, action)
        else:
            action()

    def _draw(self, limits: tuple[float, float]) -> float:
        return self.random.uniform(*limits)

    # callers

    def _ask(self, digest: str) -> None:
        self._start(self._call(digest))

    async def _call(self, digest: str) -> None:
        for _ in range(self.conditions.attempts):
            try:
                if await self._attempt(self.random.choice(self._instances), digest):
                    self.result.answered += 1
                    return
            except RefusedError:
                self.result.refused_harmless += digest != BAD
                return
            await asyncio.sleep(self._draw(self.conditions.pause))
        self.result.failed += digest != BAD

    async def _attempt(self, instance: Instance, digest: str) -> bool:
        exchange = SimpleNamespace(
            digest=digest,
            deadline=self.clock.now() + DEADLINE_SECONDS,
            request=SimpleNamespace(request_id=digest),
            verdict=Verdict.NOT_RUN,
            suspect_lock=None,
            part_lock=None,
            shared_parts=(),
        )
        await instance.admission.check(exchange)
        try:
            return await self._send_repeatedly(instance, exchange)
        finally:
            instance.admission.release(exchange)

    async def _send_repeatedly(self, instance: Instance, exchange) -> bool:
        digest = exchange.digest
        for _ in range(self.conditions.sends):
            async with instance.admission.admit(exchange):
                if not self._engines:
                    return False
                engine = self.random.choice(self._engines)
                answered = await self._send(engine, digest)
                if answered:
                    instance.detector.record_answer(engine.listed, digest)
                    return True
                instance.detector.record_disconnect(engine.listed, digest)
        return False

    # engines

    def _start_engine(self) -> None:
        number = next(self._numbers)
        listed = ListedTarget(
            incarnation=Incarnation(f"e{number}"),
            service="llm",
            address=f"e:{number}",
            data_centre="dc",
        )
        self._engines.append(Engine(listed))

    async def _send(self, engine: Engine, digest: str) -> bool:
        """Return whether an engine answers; it may crash before."""
        ended = asyncio.get_running_loop().create_future()
        engine.running[ended] = digest
        seconds = self._draw(self.conditions.queued)
        if digest == BAD:
            self.result.arrivals.append(self.clock.now())
            seconds += self._draw(self.conditions.crash_delay)
            self._call_later(seconds, lambda: self._crash_by(engine, ended))
        else:
            seconds += self._draw(self.conditions.runs)
            self._call_later(seconds, lambda: self._answer(engine, ended))
        return await ended

    def _answer(self, engine: Engine, ended: asyncio.Future[bool]) -> None:
        if engine.running.pop(ended, None) is not None and not ended.done():
            ended.set_result(True)

    def _crash_by(self, engine: Engine, ended: asyncio.Future[bool]) -> None:
        if ended in engine.running:
            self.result.crash_times.append(self.clock.now())
            self._crash(engine)

    def _crash_any(self) -> None:
        if self._engines:
            self._crash(self.random.choice(self._engines))

    def _crash(self, engine: Engine) -> None:
        self.result.crashes += 1
        self._engines.remove(engine)
        self._call_later(self.conditions.restart_seconds, self._start_engine)
        running, engine.running = engine.running, {}
        for ended in running:
            if not ended.done():
                ended.set_result(False)


async def _dial(target: ListedTarget) -> bool:
    await asyncio.sleep(DIAL_SECONDS)
    return True


def simulate(seed: int, **conditions) -> Result:
    fleet_conditions = replace(Conditions(), **conditions)

    async def run() -> Result:
        return await Fleet(seed, fleet_conditions).run()

    return run_in_virtual_time(run())


@pytest.mark.parametrize("seed", range(8))
def test_instances_send_a_suspected_request_one_after_the_other(seed):
    """Guards against attempts that reach engines through several instances at once."""
    result = simulate(seed)
    assert result.count_late_arrivals() <= MAX_LATE_ARRIVALS
    assert result.refused_harmless == 0


@pytest.mark.parametrize("seed", range(4))
def test_crashing_request_crashes_few_engines(seed):
    """Guards against attempts sent on before the crash of the last one is known."""
    result = simulate(seed, crashes_per_second=0.0)
    assert result.crashes <= AMBIGUOUS_CRASH_LIMIT
    assert result.refused_harmless == 0


@pytest.mark.parametrize("seed", [45, 49, 56, 83])
def test_many_instances_send_a_suspected_request_one_after_the_other(seed):
    """Guards against attempts at many instances that learn of crashes late."""
    result = simulate(seed, instances=77, report=(0.1, 0.7))
    assert result.count_late_arrivals() <= MAX_LATE_ARRIVALS


def test_attempts_reach_engines_at_once_without_locks():
    """Guards against a simulation that would pass without locks."""
    result = simulate(83, instances=77, report=(0.1, 0.7), store_up=False)
    assert result.count_late_arrivals() > MAX_LATE_ARRIVALS
