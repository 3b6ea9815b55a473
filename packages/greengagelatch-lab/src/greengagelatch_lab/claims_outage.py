"""Compares policies for keyed requests while the store is unreachable.

Run as ``python -m greengagelatch_lab.claims_outage``. Callers send requests to random
instances and retry at others, with the same key, until they have an answer or their
deadline has passed; attempts are lost, delayed or duplicated in transit, answers are
lost and instances replaced. Time is simulated, and all randomness comes from the seed.
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

__all__ = (
    "POLICIES",
    "KeyedRequestPolicy",
    "OutagePattern",
    "OutageReport",
    "OutageSimulation",
)

DATA_CENTRES = 3
INSTANCES = 9
#: requests a second, and simulated time in seconds
REQUESTS_PER_SECOND = 20.0
SIMULATED_SECONDS = 1500.0
#: deadline of a request, and time after which its caller retries, in seconds
REQUEST_DEADLINE = 6.0
CALLER_TIMEOUT = 1.5
#: fractions of attempts and answers; delays and durations are in seconds
LOST_ATTEMPTS = 0.005
DELAYED_ATTEMPTS = 0.01
MAX_DELAY = 5.0
DUPLICATED_ATTEMPTS = 0.001
LOST_ANSWERS = 0.01
NETWORK_LATENCY = 0.005
STORE_LATENCY = 0.01
MEAN_RUN_TIME = 0.3
#: mean time until an instance is replaced, in seconds
MEAN_LIFETIME = 600.0


@dataclass(frozen=True, slots=True)
class OutagePattern:
    """When the store is unreachable: ``length`` seconds in every ``period``."""

    name: str
    length: float = 0.0
    period: float = 300.0
    #: whether only one data centre is cut off from the store and its peers
    partial: bool = False

    def reaches_store(self, instance: int, now: float) -> bool:
        """Whether an instance reaches the store at the time ``now``."""
        if now % self.period >= self.length:
            return True
        return self.partial and instance % DATA_CENTRES != 0

    def are_connected(self, one: int, other: int, now: float) -> bool:
        """Whether two instances reach each other at the time ``now``."""
        if not self.partial or now % self.period >= self.length:
            return True
        return (one % DATA_CENTRES == 0) == (other % DATA_CENTRES == 0)


@dataclass(frozen=True, slots=True)
class KeyedRequestPolicy:
    """A policy for keyed requests.

    :param run_first: run a declared first attempt even if it cannot be claimed
    :param strict: never run a retry without a recorded first attempt, even while the
        store is reachable
    """

    name: str
    outage_policy: OutagePolicy
    run_first: bool = False
    strict: bool = False


POLICIES = (
    KeyedRequestPolicy("refuse at once", ImmediateRefusal()),
    KeyedRequestPolicy("refuse later", RetryThenRefuse()),
    KeyedRequestPolicy("run first attempts", ImmediateRefusal(), run_first=True),
    KeyedRequestPolicy(
        "run first attempts, never unrecorded repeats",
        ImmediateRefusal(),
        run_first=True,
        strict=True,
    ),
)

OUTAGE_PATTERNS = (
    OutagePattern("none"),
    OutagePattern("1 s in 300 s", 1.0),
    OutagePattern("4 s in 300 s", 4.0),
    OutagePattern("60 s in 300 s", 60.0),
    OutagePattern("one data centre, 60 s in 300 s", 60.0, partial=True),
)


@dataclass(slots=True)
class OutageReport:
    """Counts of requests by outcome."""

    requests: int = 0
    #: requests that were answered with a result within their deadline
    attained: int = 0
    #: requests that ran more than once
    run_twice: int = 0
    #: answers "not run" for requests that had run, to attempts that their callers
    #: still awaited
    false_not_run: int = 0
    #: requests whose last answer was "may have run"
    unresolved: int = 0


@dataclass(slots=True)
class _Request:
    started: float
    first_instance: int
    runs: int = 0
    attempts: int = 0
    #: time of the answer with the result, if any
    attained_at: float | None = None
    last_verdict: Verdict | None = None
    #: claim in the store: instance, its incarnation and the end of the run
    claim: tuple[int, int, float] | None = None
    #: ends of runs by instance and incarnation, known only to that instance
    local_runs: dict[tuple[int, int], float] = field(default_factory=dict)


class OutageSimulation:
    """One simulation of a policy under one outage pattern.

    :param retries: whether callers retry by themselves; otherwise each sends one
        attempt, with the whole deadline of the request
    """

    def __init__(
        self,
        policy: KeyedRequestPolicy,
        outage_pattern: OutagePattern,
        seed: int,
        *,
        retries: bool = True,
    ) -> None:
        self._policy = policy
        self._retries = retries
        #: time that a caller allows for one attempt, in seconds
        self._deadline = CALLER_TIMEOUT if retries else REQUEST_DEADLINE
        self._outage_pattern = outage_pattern
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now = 0.0
        self._incarnations = Counter(range(INSTANCES))
        self._last_reached = [0.0] * INSTANCES
        self._requests: list[_Request] = []
        self._report = OutageReport()

    def run(self) -> OutageReport:
        """Run the simulation and return its counts."""
        now = 0.0
        while now < SIMULATED_SECONDS:
            now += self._random.expovariate(REQUESTS_PER_SECOND)
            self._schedule(now, self._start_request)
        for instance in range(INSTANCES):
            self._schedule_replacement(instance)
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        report = self._report
        report.requests = len(self._requests)
        for request in self._requests:
            attained_at = request.attained_at
            if (
                attained_at is not None
                and attained_at - request.started <= REQUEST_DEADLINE
            ):
                report.attained += 1
            elif request.last_verdict is Verdict.MAY_HAVE_RUN:
                report.unresolved += 1
            if request.runs > 1:
                report.run_twice += 1
        return report

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def _schedule_replacement(self, instance: int) -> None:
        when = self._now + self._random.expovariate(1 / MEAN_LIFETIME)
        if when > SIMULATED_SECONDS:
            return

        def replace() -> None:
            self._incarnations[instance] += 1
            self._schedule_replacement(instance)

        self._schedule(when, replace)

    # callers

    def _start_request(self) -> None:
        request = _Request(self._now, self._random.randrange(INSTANCES))
        self._requests.append(request)
        self._send(request, request.first_instance)

    def _send(self, request: _Request, instance: int) -> None:
        number = request.attempts
        request.attempts += 1
        first = number == 0
        delay = NETWORK_LATENCY
        draw = self._random.random()
        if draw < DELAYED_ATTEMPTS:
            delay += self._random.uniform(0, MAX_DELAY)
        copies = 2 if self._random.random() < DUPLICATED_ATTEMPTS else 1
        if draw >= 1 - LOST_ATTEMPTS:
            copies = 0
        for copy in range(copies):
            receiver = instance
            if copy:
                # a load balancer that resends a request may choose another instance
                receiver = self._random.randrange(INSTANCES)
            self._schedule(
                self._now + delay + copy * 0.05,
                lambda receiver=receiver: self._arrive(
                    request, receiver, first, number
                ),
            )
        self._schedule(self._now + self._deadline, lambda: self._retry(request, number))

    def _retry(self, request: _Request, number: int) -> None:
        """Retry unless the request was answered or a later attempt was sent."""
        over = not self._retries or self._now - request.started >= REQUEST_DEADLINE
        if over or request.attained_at is not None or request.attempts != number + 1:
            return
        self._send(request, self._random.randrange(INSTANCES))

    def _answer(
        self, request: _Request, number: int, verdict: Verdict, delay: float
    ) -> None:
        awaited = number == request.attempts - 1
        if verdict is Verdict.NOT_RUN and request.runs and awaited:
            self._report.false_not_run += 1
        if self._random.random() < LOST_ANSWERS:
            return

        def deliver() -> None:
            if request.attained_at is not None:
                return
            request.last_verdict = verdict
            if verdict is Verdict.RAN:
                request.attained_at = self._now
                return
            # a refusal tells the caller to retry after 1 s
            self._schedule(self._now + 1.0, lambda: self._retry(request, number))

        self._schedule(self._now + delay + NETWORK_LATENCY, deliver)

    # instances

    def _arrive(
        self, request: _Request, instance: int, first: bool, number: int
    ) -> None:
        incarnation = self._incarnations[instance]
        end = request.local_runs.get((instance, incarnation))
        if end is not None:
            wait = max(0.0, end - self._now)
            self._answer(request, number, Verdict.RAN, wait)
            return
        if self._outage_pattern.reaches_store(instance, self._now):
            self._last_reached[instance] = self._now
            self._claim(request, instance, first, number)
            return
        self._handle_unreachable_store(request, instance, first, number, self._now)

    def _claim(
        self, request: _Request, instance: int, first: bool, number: int
    ) -> None:
        if request.claim is not None:
            holder, incarnation, end = request.claim
            alive = self._incarnations[holder] == incarnation
            if alive and self._outage_pattern.are_connected(
                instance, holder, self._now
            ):
                wait = max(0.0, end - self._now)
                self._answer(request, number, Verdict.RAN, wait)
            else:
                self._answer(request, number, Verdict.MAY_HAVE_RUN, STORE_LATENCY)
            return
        if self._policy.strict and not first:
            self._answer(request, number, Verdict.MAY_HAVE_RUN, STORE_LATENCY)
            return
        end = self._run(request, instance, number)
        request.claim = (instance, self._incarnations[instance], end)

    def _handle_unreachable_store(
        self,
        request: _Request,
        instance: int,
        first: bool,
        number: int,
        arrived: float,
    ) -> None:
        """Apply the policy to an attempt while the store is unreachable."""
        if self._policy.run_first and first:
            self._run(request, instance, number)
            return
        elapsed = self._now - arrived
        decision = self._policy.outage_policy.decide(
            Outage(
                first_attempt=first,
                elapsed=elapsed,
                remaining=self._deadline - elapsed,
                store_silent_for=self._now - self._last_reached[instance],
            )
        )
        match decision:
            case Refusal(verdict=verdict):
                self._answer(request, number, verdict, 0.0)
            case RetryAfter(delay=delay):

                def retry() -> None:
                    if self._outage_pattern.reaches_store(instance, self._now):
                        self._arrive(request, instance, first, number)
                        return
                    self._handle_unreachable_store(
                        request, instance, first, number, arrived
                    )

                self._schedule(self._now + delay, retry)

    def _run(self, request: _Request, instance: int, number: int) -> float:
        request.runs += 1
        duration = self._random.expovariate(1 / MEAN_RUN_TIME)
        end = self._now + STORE_LATENCY + duration
        incarnation = self._incarnations[instance]
        request.local_runs[(instance, incarnation)] = end

        def finish() -> None:
            if self._incarnations[instance] == incarnation:
                self._answer(request, number, Verdict.RAN, 0.0)

        self._schedule(end, finish)
        return end


def main() -> None:
    """Print a Markdown table of all policies under all outage patterns."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seeds", type=int, default=4, help="number of simulations for each row"
    )
    options = parser.parse_args()
    print("| callers | store unreachable | policy | attained | may have run", end="")
    print(" | run twice | false not-run |")
    print("|---|---|---|---|---|---|---|")
    for retries, outage_pattern, policy in itertools.product(
        (True, False), OUTAGE_PATTERNS, POLICIES
    ):
        reports = [
            OutageSimulation(policy, outage_pattern, seed, retries=retries).run()
            for seed in range(options.seeds)
        ]
        callers = "retry" if retries else "no retry"
        print(_format_row(callers, outage_pattern, policy, reports), flush=True)


def _format_row(
    callers: str,
    outage_pattern: OutagePattern,
    policy: KeyedRequestPolicy,
    reports: list[OutageReport],
) -> str:
    requests = sum(report.requests for report in reports)
    attained = sum(report.attained for report in reports) / requests
    cells = (
        callers,
        outage_pattern.name,
        policy.name,
        f"{attained:.2%}",
        sum(report.unresolved for report in reports),
        sum(report.run_twice for report in reports),
        sum(report.false_not_run for report in reports),
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


if __name__ == "__main__":
    main()
