"""Simulations of several instances to which requests with a crashing part come.

Each instance has its own quarantine, and each report reaches it at its own time.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import pytest

from greengagelatch.relay.part_crashes import SharedPart
from greengagelatch.relay.part_quarantine import (
    SETTLE_SECONDS,
    PartQuarantine,
)
from greengagelatch.relay.quarantine import (
    PartSurvivalReport,
    Quarantine,
    SurvivalReport,
)
from greengagelatch.relay.requests import RefusedError
from greengagelatch.verdict import Verdict
from greengagelatch_entry.relay.crash_detector import CrashDetector
from greengagelatch_entry.relay.part_survivals import PartSurvivals
from greengagelatch_entry.relay.suspect_admission import SuspectAdmission
from greengagelatch_entry.relay.suspect_locks import SuspectLocks
from greengagelatch_lab.stage_load.instances import NullTelemetry
from greengagelatch_lab.stage_load.virtual_time import run_in_virtual_time

from .test_crash_fleets import DEADLINE_SECONDS, Engine, Fleet, _dial
from .test_crash_fleets import Conditions as CrashConditions

SERVICE = "llm"
#: number of crashes after which a part must be known, and the seconds until all
#: instances know it
MAX_CRASHES, CONTACT_SECONDS = 5, 3.0
#: maximum number of crashing requests that reach engines after that
MAX_LATE_ARRIVALS = 3
#: seconds of an answer after which it speaks for the parts of its prompt
BEGUN_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class Conditions(CrashConditions):
    """Conditions of one simulation; ranges are in seconds."""

    seconds: float = 40.0
    #: time of the first crashing request
    begin: float = 8.0
    harmless_per_second: float = 12.0
    bad_per_second: float = 3.0
    crashes_per_second: float = 0.0
    runs: tuple[float, float] = (0.1, 3.0)
    #: number of first and of second parts of harmless requests
    first_parts: int = 20
    second_parts: int = 186
    #: shared parts of the crashing requests, one tuple for each kind; ``*`` is
    #: replaced by the parts of a harmless request
    bad: tuple[tuple[str, ...], ...] = (("*first", "bad"),)
    #: parts that crash an engine
    crashing: frozenset[str] = frozenset({"bad"})
    #: whether all crashing requests of a kind have the same digest
    same_body: bool = False
    #: time at which a number of engines lose power, and that number
    power: tuple[float, int] = (0.0, 0)


@dataclass
class Result:
    """What callers and engines have seen."""

    #: time of each harmless request, and whether it was answered at the first attempt
    harmless: list[tuple[float, bool]] = field(default_factory=list)
    #: times of the refusals of harmless requests, their parts and the reason
    refused: list[tuple[float, tuple[str, ...], str]] = field(default_factory=list)
    crash_times: list[float] = field(default_factory=list)
    #: crashes and arrivals of each crashing part
    crashes_by_part: dict[str, list[float]] = field(default_factory=dict)
    arrivals_by_part: dict[str, list[float]] = field(default_factory=dict)
    crashes: int = 0

    def count_late_arrivals(self) -> int:
        """Return the largest number of late arrivals of one crashing part."""
        return max(map(self._count_late, self.crashes_by_part), default=0)

    def _count_late(self, part: str) -> int:
        crashes = self.crashes_by_part[part]
        if len(crashes) < MAX_CRASHES:
            return 0
        known = crashes[MAX_CRASHES - 1] + CONTACT_SECONDS
        return sum(moment > known for moment in self.arrivals_by_part[part])

    def find_served_share(self, since: float, until: float) -> float:
        served = [good for at, good in self.harmless if since <= at < until]
        return sum(served) / max(1, len(served))

    def find_served_ratio(self, begin: float) -> float:
        """Return the served share after the decision relative to that before."""
        if not self.crash_times:
            return 1.0
        decided = self.crash_times[:MAX_CRASHES][-1] + 2 * CONTACT_SECONDS
        before = self.find_served_share(0.0, begin)
        if not any(at >= decided for at, _ in self.harmless):
            return 1.0
        return self.find_served_share(decided, float("inf")) / max(0.01, before)


@dataclass(frozen=True)
class Sent:
    """A request of a simulated caller."""

    digest: str
    parts: tuple[str, ...]
    is_bad: bool


class Instance:
    """One entry instance, with the decisions of the product."""

    def __init__(self, name: str, fleet: PartFleet) -> None:
        self._fleet = fleet
        telemetry = NullTelemetry()
        self.part_quarantine = PartQuarantine()
        self.quarantine = Quarantine(self.part_quarantine.is_explained)
        self.locks = SuspectLocks(
            instance_id=name,
            store=fleet.store,
            is_store_reachable=lambda: fleet.conditions.store_up,
            clock=fleet.clock,
            metrics=telemetry,
        )
        self.part_survivals = PartSurvivals(
            quarantine=self.part_quarantine,
            publish=lambda report: fleet.publish_report(self, report),
            clock=fleet.clock,
            random_source=fleet.random,
        )
        self.detector = CrashDetector(
            replicator=SimpleNamespace(
                publish=lambda report: fleet.publish_report(self, report),
                publish_survival=lambda digest: fleet.publish_report(
                    self, SurvivalReport(digest)
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
            part_quarantine=self.part_quarantine,
            locks=self.locks,
            crash_detector=self.detector,
            clock=fleet.clock,
            decisions=telemetry,
        )

    def receive(self, report, *, own: bool) -> None:
        now = self._fleet.clock.now()
        if isinstance(report, SurvivalReport):
            self.quarantine.record_survival(report.digest, now)
        elif isinstance(report, PartSurvivalReport):
            for part_id, age in zip(report.part_ids, report.ages, strict=True):
                part = SharedPart(report.service, part_id)
                self.part_quarantine.record_survival((part,), now - age)
            self.part_survivals.record_published(report)
        else:
            self.quarantine.record_crash(report, now)
            self.part_quarantine.record_crash(report, now)
            self.part_survivals.answer(report, own=own)
            asyncio.get_running_loop().call_later(SETTLE_SECONDS, self._decide)

    def _decide(self) -> None:
        self.part_quarantine.list_holds(self._fleet.clock.now())


class PartFleet(Fleet):
    """Instances and engines in virtual time, with prompts that share parts."""

    def __init__(self, seed: int, conditions: Conditions) -> None:
        super().__init__(seed, conditions)
        self.result = Result()

        self._sent: dict[asyncio.Future[bool], Sent] = {}
        self._runs: dict[asyncio.Future[bool], float] = {}

    def _create_instance(self, name: str) -> Instance:
        return Instance(name, self)

    async def _send_all(self) -> None:
        conditions = self.conditions
        self._repeat(conditions.harmless_per_second, self._ask_harmless)
        self._repeat(conditions.crashes_per_second, self._crash_any)
        power_at, count = conditions.power
        if count:
            self._call_later(power_at, lambda: self._crash_several(count))
        await asyncio.sleep(conditions.begin)
        for parts in conditions.bad:
            self._repeat(
                conditions.bad_per_second, lambda parts=parts: self._ask_bad(parts)
            )
        await asyncio.sleep(conditions.seconds - conditions.begin)

    def publish_report(self, origin: Instance, report) -> None:
        """Apply a report at all instances, at those but ``origin`` after some time."""
        for instance in self._instances:
            own = instance is origin
            delay = 0 if own else self._draw(self.conditions.report)
            self._call_later(
                delay, lambda one=instance, own=own: one.receive(report, own=own)
            )

    def _crash_several(self, count: int) -> None:
        for engine in self._engines[:count]:
            self._crash(engine)

    # callers

    def _draw_harmless(self) -> tuple[str, str]:
        conditions = self.conditions
        first = self.random.randrange(conditions.first_parts)
        # a few of them get most of the requests
        second = int(conditions.second_parts * self.random.random() ** 1.5)
        return f"first-{first}", f"second-{second}"

    def _ask_harmless(self) -> None:
        digest = f"harmless-{next(self._numbers)}"
        parts = self._draw_harmless()
        self._start(self._call(Sent(digest, parts, self._is_crashing(parts))))

    def _is_crashing(self, parts: tuple[str, ...]) -> bool:
        has_begun = self.clock.now() >= self.conditions.begin
        return has_begun and not self.conditions.crashing.isdisjoint(parts)

    def _ask_bad(self, pattern: tuple[str, ...]) -> None:
        first, second = self._draw_harmless()
        names = {"*first": first, "*second": second}
        parts = tuple(names.get(one, one) for one in pattern)
        digest = "bad" if self.conditions.same_body else f"bad-{next(self._numbers)}"
        self._start(self._call(Sent(digest, parts, is_bad=True)))

    async def _call(self, sent: Sent) -> None:
        asked_at = self.clock.now()
        for attempt in range(self.conditions.attempts):
            answered = False
            try:
                instance = self.random.choice(self._instances)
                answered = await self._attempt(instance, sent)
            except RefusedError as error:
                if not sent.is_bad:
                    refusal = (self.clock.now(), sent.parts, str(error))
                    self.result.refused.append(refusal)
            if attempt == 0 and not sent.is_bad:
                self.result.harmless.append((asked_at, answered))
            if answered:
                return
            await asyncio.sleep(self._draw(self.conditions.pause))

    async def _attempt(self, instance: Instance, sent: Sent) -> bool:
        exchange = SimpleNamespace(
            digest=sent.digest,
            deadline=self.clock.now() + DEADLINE_SECONDS,
            request=SimpleNamespace(request_id=sent.digest),
            verdict=Verdict.NOT_RUN,
            suspect_lock=None,
            part_lock=None,
            shared_parts=tuple(SharedPart(SERVICE, one) for one in sent.parts),
            targets=[],
        )
        try:
            await instance.admission.check(exchange)
            return await self._send_repeatedly(instance, exchange, sent)
        finally:
            instance.admission.release(exchange)

    async def _send_repeatedly(self, instance: Instance, exchange, sent: Sent) -> bool:
        for _ in range(self.conditions.sends):
            async with instance.admission.admit(exchange):
                if not self._engines:
                    return False
                engine = self.random.choice(self._engines)
                exchange.targets.append(engine.listed.incarnation)
                begun, answered = await self._send_parts(engine, sent, instance)
                if answered:
                    instance.detector.record_answer(engine.listed, sent.digest)
                    return True
                if begun:
                    return False
                instance.detector.record_disconnect(
                    engine.listed, sent.digest, sent.parts
                )
        return False

    # engines

    async def _send_parts(
        self, engine: Engine, sent: Sent, instance: Instance
    ) -> tuple[bool, bool]:
        """Return whether an engine has begun to answer, and whether it has ended it."""
        ended = asyncio.get_running_loop().create_future()
        engine.running[ended] = sent.digest
        self._sent[ended] = sent
        seconds = self._draw(self.conditions.queued)
        is_crashing = self._is_crashing(sent.parts)
        for part in self.conditions.crashing.intersection(sent.parts):
            arrivals = self.result.arrivals_by_part.setdefault(part, [])
            arrivals.append(self.clock.now())
        if is_crashing or (sent.is_bad and self.conditions.same_body):
            seconds += self._draw(self.conditions.crash_delay)
            self._call_later(seconds, lambda: self._crash_by(engine, ended))
            return False, await ended
        begins_at = self.clock.now() + seconds
        self._call_later(
            seconds + BEGUN_SECONDS,
            lambda: self._survive(engine, ended, sent, instance),
        )
        runs = self._runs[ended] = self._draw(self.conditions.runs)
        if runs < BEGUN_SECONDS:
            self._call_later(
                seconds + runs, lambda: self._survive(engine, ended, sent, instance)
            )
        self._call_later(seconds + runs, lambda: self._answer(engine, ended))
        answered = await ended
        return self.clock.now() - begins_at >= BEGUN_SECONDS, answered

    def _crash_by(self, engine: Engine, ended: asyncio.Future[bool]) -> None:
        sent = self._sent[ended]
        if ended in engine.running:
            for part in self.conditions.crashing.intersection(sent.parts):
                crashes = self.result.crashes_by_part.setdefault(part, [])
                crashes.append(self.clock.now())
        super()._crash_by(engine, ended)

    def _survive(self, engine: Engine, ended, sent: Sent, instance: Instance) -> None:
        if ended in engine.running:
            begun_at = self.clock.now() - min(BEGUN_SECONDS, self._runs[ended])
            instance.part_survivals.record_answer(
                tuple(SharedPart(SERVICE, one) for one in sent.parts), begun_at
            )


def simulate(seed: int, **conditions) -> Result:
    fleet_conditions = replace(Conditions(), **conditions)

    async def run() -> Result:
        return await PartFleet(seed, fleet_conditions).run()

    return run_in_virtual_time(run())


SCENARIOS = {
    "second": {},
    "first": {"bad": (("bad", "*second"),)},
    "fixed-first": {"bad": (("first-1", "bad"),)},
    "both-parts": {"bad": (("*first", "bad", "*second"),)},
    "companion": {"bad": (("first-1", "bad", "with-bad"),)},
    "one-first-part": {"first_parts": 1},
    "two-parts": {
        "bad": (("*first", "bad"), ("*first", "worse")),
        "crashing": frozenset({"bad", "worse"}),
        "bad_per_second": 2.0,
    },
    "was-harmless": {
        "bad": (("*first", "second-3"),),
        "crashing": frozenset({"second-3"}),
    },
    "independent": {"crashes_per_second": 0.7},
    "power": {"power": (9.0, 2)},
    "all-lose-power": {"power": (9.0, 5)},
    "chance": {"bad": (), "crashes_per_second": 0.7},
    "some-chance": {"bad": (), "crashes_per_second": 0.2},
    "rare": {"harmless_per_second": 1.5},
    "many-instances": {"instances": 77, "report": (0.1, 0.7)},
    "one-engine-left": {"engines": 2},
}


@pytest.mark.parametrize("name", SCENARIOS)
@pytest.mark.parametrize("seed", range(2))
def test_requests_with_a_crashing_part_are_kept_from_engines(seed, name):
    """Guards against a prompt part that crashes one engine after the other."""
    result = simulate(seed, **SCENARIOS[name])
    assert result.count_late_arrivals() <= MAX_LATE_ARRIVALS
    assert result.find_served_ratio(Conditions.begin) >= 0.5
