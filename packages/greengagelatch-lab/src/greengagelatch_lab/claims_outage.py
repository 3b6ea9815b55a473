"""Compares ways to treat keyed requests while the store is out of reach.

Run as ``python -m greengagelatch_lab.claims_outage``. Callers ask at random
instances and ask again elsewhere, with the same key, until they have an answer or
run out of patience; attempts are lost, late or sent twice on their way, answers are
lost and instances replaced. Time is simulated and every draw comes from the seed.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from greengagelatch.claims.outage import (
    ImmediateRefusal,
    Outage,
    OutagePolicy,
    RetryAfter,
    RetryThenRefuse,
)
from greengagelatch.errors import Refusal
from greengagelatch.verdict import Verdict

__all__ = ("WAYS", "Experiment", "Report", "Trouble", "Way")

DATA_CENTRES = 3
INSTANCES = 9
#: requests a second and seconds simulated
RATE = 20.0
DURATION = 1500.0
#: seconds after which a caller's request is worthless, and it asks again
PATIENCE = 6.0
CALLER_TIMEOUT = 1.5
#: shares of attempts and answers, and seconds
LOST_ATTEMPTS = 0.005
LATE_ATTEMPTS = 0.01
LONGEST_LATE = 5.0
SENT_TWICE = 0.001
LOST_ANSWERS = 0.01
TRAVEL = 0.005
STORE_TIME = 0.01
MEAN_RUN = 0.3
#: seconds that an instance lives on average
LIFE = 600.0


@dataclass(frozen=True, slots=True)
class Trouble:
    """When the store is out of reach: ``length`` seconds in every ``period``."""

    name: str
    length: float = 0.0
    period: float = 300.0
    #: whether one data centre is cut off from the store and its peers, the others not
    partial: bool = False

    def reaches(self, instance: int, now: float) -> bool:
        """Whether an instance has the store."""
        if now % self.period >= self.length:
            return True
        return self.partial and instance % DATA_CENTRES != 0

    def connects(self, one: int, other: int, now: float) -> bool:
        """Whether two instances reach each other."""
        if not self.partial or now % self.period >= self.length:
            return True
        return (one % DATA_CENTRES == 0) == (other % DATA_CENTRES == 0)


@dataclass(frozen=True, slots=True)
class Way:
    """A way to treat keyed requests.

    :param run_first: run a declared first attempt for which no claim can be had
    :param strict: never run a repeat of which nothing is recorded, at any time
    """

    name: str
    policy: OutagePolicy
    run_first: bool = False
    strict: bool = False


WAYS = (
    Way("refuse at once", ImmediateRefusal()),
    Way("refuse later", RetryThenRefuse()),
    Way("run first attempts", ImmediateRefusal(), run_first=True),
    Way(
        "run first attempts, never unrecorded repeats",
        ImmediateRefusal(),
        run_first=True,
        strict=True,
    ),
)

TROUBLES = (
    Trouble("none"),
    Trouble("1 s in 300 s", 1.0),
    Trouble("4 s in 300 s", 4.0),
    Trouble("60 s in 300 s", 60.0),
    Trouble("one data centre, 60 s in 300 s", 60.0, partial=True),
)


@dataclass(slots=True)
class Report:
    """What became of the requests."""

    requests: int = 0
    attained: int = 0
    doubled: int = 0
    #: answers "not run", to attempts their callers still waited for, on requests
    #: that had run
    untrue: int = 0
    #: requests whose caller was left with "may have run"
    unsettled: int = 0


@dataclass(slots=True)
class _Request:
    started: float
    first_instance: int
    runs: int = 0
    attempts: int = 0
    #: time of the answer that settles the request, if any
    attained_at: float | None = None
    last_verdict: Verdict | None = None
    #: instance, its incarnation and end of the run on record in the store
    claim: tuple[int, int, float] | None = None
    #: ends of runs that only their instance knows of
    local: dict[tuple[int, int], float] = field(default_factory=dict)


class Experiment:
    """One simulated stretch of time under one way and one trouble.

    :param repeats: whether callers ask again by themselves; else each asks once, with
        all its patience as the deadline
    """

    def __init__(
        self, way: Way, trouble: Trouble, seed: int, *, repeats: bool = True
    ) -> None:
        self._way = way
        self._repeats = repeats
        #: seconds that a caller gives one attempt
        self._deadline = CALLER_TIMEOUT if repeats else PATIENCE
        self._trouble = trouble
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._incarnations = Counter(range(INSTANCES))
        self._reached = [0.0] * INSTANCES
        self._requests: list[_Request] = []
        self._report = Report()

    def run(self) -> Report:
        """Simulate, and count."""
        now = 0.0
        while now < DURATION:
            now += self._random.expovariate(RATE)
            self._at(now, self._begin)
        for instance in range(INSTANCES):
            self._plan_replacement(instance)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        report = self._report
        report.requests = len(self._requests)
        for request in self._requests:
            attained_at = request.attained_at
            if attained_at is not None and attained_at - request.started <= PATIENCE:
                report.attained += 1
            elif request.last_verdict is Verdict.MAY_HAVE_RUN:
                report.unsettled += 1
            if request.runs > 1:
                report.doubled += 1
        return report

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _plan_replacement(self, instance: int) -> None:
        when = self._now + self._random.expovariate(1 / LIFE)
        if when > DURATION:
            return

        def replace() -> None:
            self._incarnations[instance] += 1
            self._plan_replacement(instance)

        self._at(when, replace)

    # callers

    def _begin(self) -> None:
        request = _Request(self._now, self._random.randrange(INSTANCES))
        self._requests.append(request)
        self._send(request, request.first_instance)

    def _send(self, request: _Request, instance: int) -> None:
        number = request.attempts
        request.attempts += 1
        first = number == 0
        delay = TRAVEL
        draw = self._random.random()
        if draw < LATE_ATTEMPTS:
            delay += self._random.uniform(0, LONGEST_LATE)
        copies = 2 if self._random.random() < SENT_TWICE else 1
        if draw >= 1 - LOST_ATTEMPTS:
            copies = 0
        for copy in range(copies):
            receiver = instance
            if copy:
                # a balancer that sends a request again chooses another instance
                receiver = self._random.randrange(INSTANCES)
            self._at(
                self._now + delay + copy * 0.05,
                lambda receiver=receiver: self._arrive(
                    request, receiver, first, number
                ),
            )
        self._at(self._now + self._deadline, lambda: self._repeat(request, number))

    def _repeat(self, request: _Request, number: int) -> None:
        """Ask again unless that attempt was answered or another one was sent."""
        over = not self._repeats or self._now - request.started >= PATIENCE
        if over or request.attained_at is not None or request.attempts != number + 1:
            return
        self._send(request, self._random.randrange(INSTANCES))

    def _answer(
        self, request: _Request, number: int, verdict: Verdict, delay: float
    ) -> None:
        awaited = number == request.attempts - 1
        if verdict is Verdict.NOT_RUN and request.runs and awaited:
            self._report.untrue += 1
        if self._random.random() < LOST_ANSWERS:
            return

        def take() -> None:
            if request.attained_at is not None:
                return
            request.last_verdict = verdict
            if verdict is Verdict.RAN:
                request.attained_at = self._now
                return
            # refusals say when to come back
            self._at(self._now + 1.0, lambda: self._repeat(request, number))

        self._at(self._now + delay + TRAVEL, take)

    # instances

    def _arrive(
        self, request: _Request, instance: int, first: bool, number: int
    ) -> None:
        incarnation = self._incarnations[instance]
        end = request.local.get((instance, incarnation))
        if end is not None:
            wait = max(0.0, end - self._now)
            self._answer(request, number, Verdict.RAN, wait)
            return
        if self._trouble.reaches(instance, self._now):
            self._reached[instance] = self._now
            self._claim(request, instance, first, number)
            return
        self._lack(request, instance, first, number, self._now)

    def _claim(
        self, request: _Request, instance: int, first: bool, number: int
    ) -> None:
        if request.claim is not None:
            holder, incarnation, end = request.claim
            alive = self._incarnations[holder] == incarnation
            if alive and self._trouble.connects(instance, holder, self._now):
                wait = max(0.0, end - self._now)
                self._answer(request, number, Verdict.RAN, wait)
            else:
                self._answer(request, number, Verdict.MAY_HAVE_RUN, STORE_TIME)
            return
        if self._way.strict and not first:
            self._answer(request, number, Verdict.MAY_HAVE_RUN, STORE_TIME)
            return
        end = self._run(request, instance, number)
        request.claim = (instance, self._incarnations[instance], end)

    def _lack(
        self,
        request: _Request,
        instance: int,
        first: bool,
        number: int,
        arrived: float,
    ) -> None:
        """Go on without the store."""
        if self._way.run_first and first:
            self._run(request, instance, number)
            return
        elapsed = self._now - arrived
        decision = self._way.policy.decide(
            Outage(
                first_attempt=first,
                elapsed=elapsed,
                remaining=self._deadline - elapsed,
                store_silent_for=self._now - self._reached[instance],
            )
        )
        match decision:
            case Refusal(verdict=verdict):
                self._answer(request, number, verdict, 0.0)
            case RetryAfter(delay=delay):

                def again() -> None:
                    if self._trouble.reaches(instance, self._now):
                        self._arrive(request, instance, first, number)
                        return
                    self._lack(request, instance, first, number, arrived)

                self._at(self._now + delay, again)

    def _run(self, request: _Request, instance: int, number: int) -> float:
        request.runs += 1
        duration = self._random.expovariate(1 / MEAN_RUN)
        end = self._now + STORE_TIME + duration
        incarnation = self._incarnations[instance]
        request.local[(instance, incarnation)] = end

        def finish() -> None:
            if self._incarnations[instance] == incarnation:
                self._answer(request, number, Verdict.RAN, 0.0)

        self._at(end, finish)
        return end


def main() -> None:
    """Print a table of all ways under all troubles."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=4, help="runs of each cell")
    options = parser.parse_args()
    print("| callers | store out of reach | way | attained | may have run", end="")
    print(" | doubled | untrue |")
    print("|---|---|---|---|---|---|---|")
    for repeats, trouble, way in itertools.product((True, False), TROUBLES, WAYS):
        reports = [
            Experiment(way, trouble, seed, repeats=repeats).run()
            for seed in range(options.seeds)
        ]
        callers = "ask again" if repeats else "ask once"
        print(_format_row(callers, trouble, way, reports), flush=True)


def _format_row(callers: str, trouble: Trouble, way: Way, reports: list[Report]) -> str:
    requests = sum(report.requests for report in reports)
    attained = sum(report.attained for report in reports) / requests
    cells = (
        callers,
        trouble.name,
        way.name,
        f"{attained:.2%}",
        sum(report.unsettled for report in reports),
        sum(report.doubled for report in reports),
        sum(report.untrue for report in reports),
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


if __name__ == "__main__":
    main()
