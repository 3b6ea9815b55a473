"""Simulations of quarantine where one request crashes engines again and again."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.quarantine import CrashReport, Quarantine

BAD = "bad"
ENGINES = 5
#: simulated seconds
LENGTH = 60.0
#: seconds until a crashed engine has restarted
RESTART_SECONDS = 3.0
#: seconds from a crash until all instances know of it
REPORT_SECONDS = 0.3
#: longest time that a request is queued on an engine, and that a harmless one then runs
MAX_WAIT, MAX_RUN = 0.4, 0.3
#: seconds after its start within which the crashing request crashes its engine
CRASH_DELAY = (0.02, 0.12)
HARMLESS_PER_SECOND = 25.0
BAD_PER_SECOND = 2.0
#: engines to which one attempt is sent, and attempts of one caller
SENDS, ATTEMPTS = 2, 2
#: seconds after the third crash until all instances must know of it, and the crashing
#: requests that may reach engines after that
DETECTION_SECONDS, MAX_LATE_ARRIVALS = 3.0, 3


@dataclass
class Engine:
    incarnation: Incarnation
    running: dict[int, SentRequest] = field(default_factory=dict)
    is_alive: bool = True


@dataclass
class SentRequest:
    """One request on an engine."""

    digest: str
    sends: int
    attempts: int


class Storm:
    """Discrete-event simulation of callers, engines and the quarantine."""

    def __init__(self, seed: int, crashes: float = 0.0) -> None:
        self.random = random.Random(seed)
        #: crashes per second that no request causes
        self.crashes = crashes
        self.quarantine = Quarantine()
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, tuple]] = []
        self.engines: list[Engine] = []
        self.now = 0.0
        self.refused_harmless = 0
        self.answered = 0
        self.crash_times: list[float] = []
        self.bad_arrivals: list[float] = []

    def run(self) -> None:
        for _ in range(ENGINES):
            self.start_engine()
        self.schedule_arrivals(BAD_PER_SECOND, self.send_bad)
        self.schedule_arrivals(HARMLESS_PER_SECOND, self.send_harmless)
        if self.crashes:
            self.schedule_arrivals(self.crashes, self.crash_random)
        while self.events:
            self.now, _, (action, *arguments) = heapq.heappop(self.events)
            if self.now > LENGTH:
                return
            action(*arguments)

    def after(self, seconds: float, *event) -> None:
        heapq.heappush(self.events, (self.now + seconds, next(self.numbers), event))

    def schedule_arrivals(self, rate: float, action) -> None:
        self.after(self.random.expovariate(rate), self.arrive, rate, action)

    def arrive(self, rate: float, action) -> None:
        action()
        self.schedule_arrivals(rate, action)

    def start_engine(self) -> None:
        name = Incarnation(f"e{next(self.numbers)}")
        self.engines.append(Engine(name))

    def send_bad(self) -> None:
        self.send(SentRequest(BAD, 1, ATTEMPTS))

    def send_harmless(self) -> None:
        self.send(SentRequest(f"s{next(self.numbers)}", 1, 1))

    def send(self, sent: SentRequest) -> None:
        if self.quarantine.find_quarantine_seconds(sent.digest, self.now) is not None:
            self.refused_harmless += sent.digest != BAD
            return
        alive = [engine for engine in self.engines if engine.is_alive]
        if not alive:
            return
        engine = self.random.choice(alive)
        number = next(self.numbers)
        engine.running[number] = sent
        waits = self.random.uniform(0, MAX_WAIT)
        if sent.digest == BAD:
            self.bad_arrivals.append(self.now)
            begins = self.random.uniform(*CRASH_DELAY)
            self.after(waits + begins, self.crash_by_bad, engine, number)
        else:
            runs = self.random.uniform(0, MAX_RUN)
            self.after(waits + runs, self.answer, engine, number)

    def answer(self, engine: Engine, number: int) -> None:
        sent = engine.running.pop(number, None)
        if sent is not None:
            self.answered += 1
            self.quarantine.record_survival(sent.digest, self.now)

    def crash_by_bad(self, engine: Engine, number: int) -> None:
        if number in engine.running:
            self.crash_times.append(self.now)
            self.crash(engine)

    def crash_random(self) -> None:
        alive = [engine for engine in self.engines if engine.is_alive]
        if alive:
            self.crash(self.random.choice(alive))

    def crash(self, engine: Engine) -> None:
        engine.is_alive = False
        self.engines.remove(engine)
        self.after(RESTART_SECONDS, self.start_engine)
        interrupted, engine.running = list(engine.running.values()), {}
        digests = tuple(sorted({sent.digest for sent in interrupted}))
        report = CrashReport(engine.incarnation, "llm", digests)
        self.after(REPORT_SECONDS, self.report_crash, report)
        for sent in interrupted:
            self.retry(sent)

    def report_crash(self, report: CrashReport) -> None:
        self.quarantine.record_crash(report, self.now)
        for digest in report.digests:
            # each instance does so to log the quarantine
            self.quarantine.find_quarantine_seconds(digest, self.now)

    def retry(self, sent: SentRequest) -> None:
        if sent.sends < SENDS:
            self.send(SentRequest(sent.digest, sent.sends + 1, sent.attempts))
        elif sent.attempts < ATTEMPTS:
            self.after(0.1, self.send, SentRequest(sent.digest, 1, sent.attempts + 1))

    def count_late_arrivals(self) -> int:
        """Count crashing requests that reach engines once all instances must know."""
        if len(self.crash_times) < 3:
            return 0
        known = self.crash_times[2] + DETECTION_SECONDS
        return sum(moment > known for moment in self.bad_arrivals)


@pytest.mark.parametrize("seed", range(50))
def test_only_the_crashing_request_is_quarantined(seed):
    """Guards against long outages of all engines and against quarantine by mistake."""
    storm = Storm(seed)
    storm.run()
    assert storm.count_late_arrivals() <= MAX_LATE_ARRIVALS
    assert storm.refused_harmless == 0
    assert storm.answered > 0.9 * HARMLESS_PER_SECOND * (LENGTH - RESTART_SECONDS) * 0.9


@pytest.mark.parametrize("seed", [*range(50), 104, 380])
def test_independent_crashes_quarantine_no_harmless_request(seed):
    """Guards against quarantine by mistake while engines crash by themselves."""
    storm = Storm(seed, crashes=0.7)
    storm.run()
    assert storm.refused_harmless == 0
    assert storm.count_late_arrivals() <= MAX_LATE_ARRIVALS
