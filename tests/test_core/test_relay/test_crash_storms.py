"""Fleets in which one request ends engines, replayed through the decision alone."""

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
#: seconds of a day
LENGTH = 60.0
#: seconds after which an engine that ended is back
BACK = 3.0
#: seconds from the end of an engine until all instances know of it
HEARD = 0.3
#: seconds for which a sound request waits on an engine, and then runs
WAITS, RUNS = 0.4, 0.3
#: seconds after it began in which the request that ends engines does so
BEGINS = (0.02, 0.12)
SOUND_PER_SECOND = 25.0
BAD_PER_SECOND = 2.0
#: engines that an attempt goes to, and attempts of a caller
SENDS, ATTEMPTS = 2, 2
#: seconds after the third end in which all must know, and arrivals after that
KNOWN_WITHIN, STRAYS = 3.0, 3


@dataclass
class Engine:
    incarnation: Incarnation
    on_it: dict[int, Sent] = field(default_factory=dict)
    lives: bool = True


@dataclass
class Sent:
    """One request on an engine."""

    digest: str
    sends: int
    attempts: int


class Storm:
    """Callers, engines and the decision of all instances, in virtual time."""

    def __init__(self, seed: int, crashes: float = 0.0) -> None:
        self.random = random.Random(seed)
        #: ends in a second that no request causes
        self.crashes = crashes
        self.quarantine = Quarantine()
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, tuple]] = []
        self.engines: list[Engine] = []
        self.now = 0.0
        self.refused_sound = 0
        self.answered = 0
        self.ended_by_bad: list[float] = []
        self.bad_arrivals: list[float] = []

    def run(self) -> None:
        for _ in range(ENGINES):
            self.start_engine()
        self.come(BAD_PER_SECOND, self.come_bad)
        self.come(SOUND_PER_SECOND, self.come_sound)
        if self.crashes:
            self.come(self.crashes, self.crash_one)
        while self.events:
            self.now, _, (action, *arguments) = heapq.heappop(self.events)
            if self.now > LENGTH:
                return
            action(*arguments)

    def after(self, seconds: float, *event) -> None:
        heapq.heappush(self.events, (self.now + seconds, next(self.numbers), event))

    def come(self, rate: float, action) -> None:
        self.after(self.random.expovariate(rate), self.come_once, rate, action)

    def come_once(self, rate: float, action) -> None:
        action()
        self.come(rate, action)

    def start_engine(self) -> None:
        name = Incarnation(f"e{next(self.numbers)}")
        self.engines.append(Engine(name))

    def come_bad(self) -> None:
        self.send(Sent(BAD, 1, ATTEMPTS))

    def come_sound(self) -> None:
        self.send(Sent(f"s{next(self.numbers)}", 1, 1))

    def send(self, sent: Sent) -> None:
        if self.quarantine.find_quarantine_seconds(sent.digest, self.now) is not None:
            self.refused_sound += sent.digest != BAD
            return
        living = [engine for engine in self.engines if engine.lives]
        if not living:
            return
        engine = self.random.choice(living)
        number = next(self.numbers)
        engine.on_it[number] = sent
        waits = self.random.uniform(0, WAITS)
        if sent.digest == BAD:
            self.bad_arrivals.append(self.now)
            begins = self.random.uniform(*BEGINS)
            self.after(waits + begins, self.end_by_bad, engine, number)
        else:
            runs = self.random.uniform(0, RUNS)
            self.after(waits + runs, self.answer, engine, number)

    def answer(self, engine: Engine, number: int) -> None:
        sent = engine.on_it.pop(number, None)
        if sent is not None:
            self.answered += 1
            self.quarantine.record_survival(sent.digest, self.now)

    def end_by_bad(self, engine: Engine, number: int) -> None:
        if number in engine.on_it:
            self.ended_by_bad.append(self.now)
            self.end(engine)

    def crash_one(self) -> None:
        living = [engine for engine in self.engines if engine.lives]
        if living:
            self.end(self.random.choice(living))

    def end(self, engine: Engine) -> None:
        engine.lives = False
        self.engines.remove(engine)
        self.after(BACK, self.start_engine)
        cut, engine.on_it = list(engine.on_it.values()), {}
        digests = tuple(sorted({sent.digest for sent in cut}))
        report = CrashReport(engine.incarnation, "llm", digests)
        self.after(HEARD, self.quarantine_end, report)
        for sent in cut:
            self.send_again(sent)

    def quarantine_end(self, report: CrashReport) -> None:
        self.quarantine.record_crash(report, self.now)
        for digest in report.digests:
            # as each instance does, to tell of it
            self.quarantine.find_quarantine_seconds(digest, self.now)

    def send_again(self, sent: Sent) -> None:
        if sent.sends < SENDS:
            self.send(Sent(sent.digest, sent.sends + 1, sent.attempts))
        elif sent.attempts < ATTEMPTS:
            self.after(0.1, self.send, Sent(sent.digest, 1, sent.attempts + 1))

    def count_strays(self) -> int:
        """Return how often the request came to an engine once all had to know."""
        if len(self.ended_by_bad) < 3:
            return 0
        known = self.ended_by_bad[2] + KNOWN_WITHIN
        return sum(moment > known for moment in self.bad_arrivals)


@pytest.mark.parametrize("seed", range(50))
def test_only_the_request_that_ends_engines_is_held(seed):
    """Guards against all engines down for long, and sound requests that pay for it."""
    storm = Storm(seed)
    storm.run()
    assert storm.count_strays() <= STRAYS
    assert storm.refused_sound == 0
    assert storm.answered > 0.9 * SOUND_PER_SECOND * (LENGTH - BACK) * 0.9


@pytest.mark.parametrize("seed", [*range(50), 104, 380])
def test_sound_requests_pay_for_no_end_while_engines_end_by_themselves(seed):
    """Guards against a hold by chance beside one that is due."""
    storm = Storm(seed, crashes=0.7)
    storm.run()
    assert storm.refused_sound == 0
    assert storm.count_strays() <= STRAYS
