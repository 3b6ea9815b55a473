"""Load balancing of requests by target load, cached prompt parts and health."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..load.breakers import Breaker, BreakerRule, BreakerState, find_ejected
from .brittle_targets import BrittleTargets
from .cached_parts import CachedParts, find_affinity_target
from .regions import is_allowed

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from .cold_targets import ColdTargets
    from .incarnations import Incarnation
    from .requests import Prompt
    from .targets import ListedTarget, TargetTable

__all__ = ("TOKENS_PER_REMOTE_BYTE", "EngineDemand", "LoadBalancer", "LoadReport")

#: the circuit breaker of a target opens after two failures in a row: with three
#: targets, a third of all requests fails while a lost target is still in use
BREAKER_RULE = BreakerRule(consecutive_failures=2, min_ejection=1.0, max_ejection=4.0)
#: seconds after a repeatable request for which other requests of its service leave the
#: probes of ejected targets to those that follow
REPEATABLE_SECONDS = 5.0
#: seconds for which a target waits at most for a probe by a repeatable request
MAX_PROBE_WAIT = 3.0
#: seconds for which a load report is used
REPORT_TTL_SECONDS = 1.0
#: the same where it matters only whether the target was nearly full
SLOTS_REPORT_TTL_SECONDS = 3.0
#: share of occupied slots up to which an engine is taken to have free ones
FREE_SLOTS_SHARE = 0.5
#: penalty on the load of a target in another data centre, as a share of its slots
REMOTE_PENALTY = 0.05
#: cost of a running request, as the tokens whose prefill delays others as much
RUNNING_REQUEST_TOKENS = 60.0
#: tokens whose prefill costs as much as the transfer of one byte of results to another
#: data centre, by the price lists of both and a small surcharge for the delay
TOKENS_PER_REMOTE_BYTE = 0.0005


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reported."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class EngineDemand:
    """What a request asks of its engine."""

    prompt: Prompt
    #: bytes of stage results to read, by the data centre of their makers
    result_bytes: Mapping[str, int] = field(default_factory=dict)
    #: data centres of the engines that it may be sent to; ``None``: all
    data_centres: frozenset[str] | None = None
    #: whether it may run again if its answer is lost
    repeatable: bool = True


@dataclass(slots=True)
class _TargetState:
    breaker: Breaker
    in_flight: int = 0
    #: prompt tokens of requests sent whose prefill has not finished
    pending_tokens: float = 0.0
    report: LoadReport | None = None
    reported: float = 0.0
    cached_parts: CachedParts = field(default_factory=CachedParts)


class LoadBalancer:
    """Chooses among the listed targets and records the outcomes of requests."""

    def __init__(
        self,
        *,
        target_table: TargetTable,
        cold_targets: ColdTargets,
        data_centre: str,
        random_source: random.Random,
        brittle_targets: BrittleTargets | None = None,
    ) -> None:
        self._target_table = target_table
        self._cold_targets = cold_targets
        self._brittle_targets = brittle_targets or BrittleTargets()
        self._data_centre = data_centre
        self._random = random_source
        self._states: dict[Incarnation, _TargetState] = {}
        #: monotonic time in seconds of the last repeatable request of each service
        self._repeatable_at: dict[str, float] = {}

    def choose_least_loaded(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
        *,
        repeatable: bool = True,
    ) -> ListedTarget | None:
        """Return the least loaded healthy target; local ones win ties.

        The request counts as sent to it.

        :param data_centres: those of the targets to choose from; ``None``: all
        :param repeatable: whether the request may run again if its answer is lost
        """
        may_probe = self._create_probe_rule(service, repeatable, now)
        candidates = self._list_candidates(
            service, excluded, now, data_centres, may_probe
        )
        if not candidates:
            return None
        chosen = min(candidates, key=lambda one: self._score_target(one, now))
        self._record_send(chosen.incarnation, now)
        return chosen

    def choose_engine(
        self,
        service: str,
        need: EngineDemand,
        excluded: frozenset[Incarnation],
        now: float,
    ) -> ListedTarget | None:
        """Return the engine with the lowest cost of prefill and data transfer.

        Consistent hashing of the last shared prompt part gives an affinity target for
        all shared parts, the same at all instances without coordination. The first part
        would not do: a handful of first parts begins most prompts, so that a few
        engines would get all requests of a large fleet. The cost includes the pending
        prefill of an engine, or a popular part would overload its affinity target.

        The request counts as sent to the engine.
        """
        may_probe = self._create_probe_rule(service, need.repeatable, now)
        candidates = self._list_candidates(
            service, excluded, now, need.data_centres, may_probe
        )
        if not candidates:
            return None
        affinity_target = find_affinity_target(need.prompt, candidates)
        chosen = min(
            candidates,
            key=lambda one: self._score_engine(one, need, affinity_target, now),
        )
        self._record_send(chosen.incarnation, now)
        return chosen

    def count_candidates(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> int:
        """Return the number of targets that a request may be sent to."""
        return len(self._list_candidates(service, excluded, now, data_centres))

    def count_healthy(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> int:
        """Return the number of targets that answered lately and may be sent to."""
        candidates = self._list_candidates(service, excluded, now, data_centres)
        return sum(
            self._read_breaker(one.incarnation, now) is BreakerState.CLOSED
            for one in candidates
        )

    def lacks_room(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> bool:
        """Return whether only the limits of brittle targets prevent a send."""
        listed = [
            one
            for one in self._target_table.list_service(service)
            if is_allowed(one.data_centre, data_centres)
            and one.incarnation not in excluded
            and self._cold_targets.may_send(one, now)
        ]
        limits = [self._brittle_targets.find_limit(one, now) for one in listed]
        if all(limit is None for limit in limits):
            return False
        return not any(self._has_room(one, now) for one in listed)

    def find_affinity_target(
        self,
        service: str,
        prompt: Prompt,
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> ListedTarget | None:
        """Return the engine to which consistent hashing assigns a prompt's parts."""
        candidates = self._list_candidates(service, frozenset(), now, data_centres)
        return find_affinity_target(prompt, candidates)

    def has_free_slots(self, target: ListedTarget, now: float) -> bool:
        """Return whether an engine starts a request at once rather than queue it.

        Decided by the recent load report of the engine; half of its slots are left for
        requests that other instances have sent since. In a large fleet most engines
        have sent this instance no recent report; then the average occupancy of the
        other engines of the service must be half as high.
        """
        state = self._find_state(target.incarnation)
        own_share = _find_occupancy(state, now)
        if own_share is not None:
            return own_share <= FREE_SLOTS_SHARE
        listed = self._target_table.list_service(target.service)
        states = [self._find_state(one.incarnation) for one in listed]
        shares = [_find_occupancy(one, now) for one in states]
        reported = [share for share in shares if share is not None]
        return bool(reported) and sum(reported) / len(reported) <= FREE_SLOTS_SHARE / 2

    def start(self, incarnation: Incarnation, tokens: float = 0.0) -> None:
        """Count a request that is sent to a target."""
        state = self._find_state(incarnation)
        state.in_flight += 1
        state.pending_tokens += tokens

    def finish_prefill(self, incarnation: Incarnation, tokens: float) -> None:
        """Record that an engine has finished the prefill of a request."""
        state = self._find_state(incarnation)
        state.pending_tokens = max(0.0, state.pending_tokens - tokens)

    def finish(self, incarnation: Incarnation) -> None:
        """Record that a request has ended."""
        state = self._find_state(incarnation)
        state.in_flight = max(0, state.in_flight - 1)
        if not state.in_flight and not self._target_table.is_available(incarnation):
            # a late update must not recreate the state of a target that is gone:
            # memory would grow with each restart
            self.forget(incarnation)

    def record_cached_parts(
        self, incarnation: Incarnation, prompt: Prompt, now: float
    ) -> None:
        """Record the prompt parts that an engine has cached for a request."""
        self._find_state(incarnation).cached_parts.record(prompt, now)

    def record_success(self, incarnation: Incarnation) -> None:
        """Record an answer."""
        self._find_state(incarnation).breaker.record_success()

    def record_failure(self, incarnation: Incarnation, now: float) -> None:
        """Record a failure that the target is responsible for."""
        self._find_state(incarnation).breaker.record_failure(now)

    def record_rejection(self, incarnation: Incarnation, now: float) -> None:
        """Record that a target did not run a request, such as one that is full.

        That is no success, but it answers a probe.
        """
        if self._read_breaker(incarnation, now) is not BreakerState.CLOSED:
            self.record_success(incarnation)

    def record_load_report(
        self, incarnation: Incarnation, report: LoadReport, now: float
    ) -> None:
        """Record the load that a target reported."""
        state = self._find_state(incarnation)
        state.report = report
        state.reported = now

    def count_tokens(
        self, incarnation: Incarnation, prompt: Prompt, now: float
    ) -> float:
        """Return the prompt tokens that are not expected in an engine's cache."""
        return self._find_state(incarnation).cached_parts.count_missing(prompt, now)

    def record_limit(
        self,
        target: ListedTarget,
        limit: int | None,
        load: LoadReport | None,
        now: float,
        *,
        rejected: bool,
    ) -> None:
        """Record what a response tells of a target's limit on rejections.

        :param limit: rejections in a second; ``None``: it is not brittle
        :param rejected: whether it had no room for the request
        """
        self._brittle_targets.record_response(
            target,
            limit=limit,
            rejected=rejected,
            load=load,
            in_flight=self._find_state(target.incarnation).in_flight - 1,
            now=now,
        )

    def forget(self, incarnation: Incarnation) -> None:
        """Discard the state of a target that is gone."""
        self._states.pop(incarnation, None)
        self._brittle_targets.forget(incarnation)

    def describe(self, now: float) -> dict[str, dict[str, float | str]]:
        """Return the state of each target for the state dump."""
        return {
            str(incarnation): {
                "breaker": state.breaker.read_state(now).value,
                "in_flight": state.in_flight,
                "pending_tokens": state.pending_tokens,
                "report_age": now - state.reported if state.report else -1.0,
            }
            for incarnation, state in self._states.items()
        }

    def _find_state(self, incarnation: Incarnation) -> _TargetState:
        state = self._states.get(incarnation)
        if state is None:
            state = _TargetState(Breaker(BREAKER_RULE, self._random))
            self._states[incarnation] = state
        return state

    def _record_send(self, incarnation: Incarnation, now: float) -> None:
        self._cold_targets.record_send(incarnation, now)
        in_flight = self._find_state(incarnation).in_flight
        self._brittle_targets.record_start(incarnation, in_flight, now)
        if self._read_breaker(incarnation, now) is BreakerState.HALF_OPEN:
            self._find_state(incarnation).breaker.begin_probe(now)

    def _read_breaker(self, incarnation: Incarnation, now: float) -> BreakerState:
        return self._find_state(incarnation).breaker.read_state(now)

    def _create_probe_rule(
        self, service: str, repeatable: bool, now: float
    ) -> Callable[[Breaker], bool]:
        """Return which ejected targets a request may probe, and record the request.

        A request that may run once is lost if the probe fails. So it probes only if no
        repeatable request can be expected to do it.
        """
        if repeatable:
            self._repeatable_at[service] = now
            return lambda _: True
        last = self._repeatable_at.get(service, float("-inf"))
        if now - last >= REPEATABLE_SECONDS:
            return lambda _: True
        return lambda breaker: breaker.find_probe_wait(now) >= MAX_PROBE_WAIT

    def _list_candidates(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None,
        may_probe: Callable[[Breaker], bool] = lambda _: True,
    ) -> list[ListedTarget]:
        listed = [
            one
            for one in self._target_table.list_service(service)
            if is_allowed(one.data_centre, data_centres)
            and self._cold_targets.may_send(one, now)
            and self._has_room(one, now)
        ]
        breakers = [
            (one.incarnation, self._find_state(one.incarnation).breaker)
            for one in listed
        ]
        ejected = find_ejected(breakers, BREAKER_RULE, now)
        left = listed
        if excluded:
            # a retry is no probe: it may be the last attempt
            left = [one for one in left if one.incarnation not in excluded]
        else:
            ejected = frozenset(
                one
                for one in ejected
                if self._read_breaker(one, now) is BreakerState.OPEN
                or not may_probe(self._find_state(one).breaker)
            )
        if not ejected:
            return left
        healthy = [one for one in left if one.incarnation not in ejected]
        return healthy or left

    def _has_room(self, target: ListedTarget, now: float) -> bool:
        """Return whether a target takes a request, or tolerates that it rejects it."""
        state = self._states.get(target.incarnation)
        in_flight = 0 if state is None else state.in_flight
        return self._brittle_targets.may_send(target, in_flight, now)

    def _score_target(self, target: ListedTarget, now: float) -> tuple[float, float]:
        state = self._find_state(target.incarnation)
        requests = state.in_flight + self._count_other_requests(state, now)
        remote = 0.0 if target.data_centre == self._data_centre else REMOTE_PENALTY
        return requests / max(1, target.slots) + remote, self._random.random()

    def _score_engine(
        self,
        target: ListedTarget,
        need: EngineDemand,
        affinity_target: ListedTarget | None,
        now: float,
    ) -> tuple[float, float]:
        state = self._find_state(target.incarnation)
        tokens = state.cached_parts.count_missing(need.prompt, now)
        if target is affinity_target:
            # other instances send the parts there too, so they are taken to be cached
            shared = sum(part.tokens for part in need.prompt.shared_parts)
            tokens = min(tokens, need.prompt.tokens_in - shared)
        running = state.in_flight + self._count_other_requests(state, now)
        remote = sum(
            size
            for data_centre, size in need.result_bytes.items()
            if data_centre != target.data_centre
        )
        cost = tokens + state.pending_tokens + running * RUNNING_REQUEST_TOKENS
        return cost + remote * TOKENS_PER_REMOTE_BYTE, self._random.random()

    def _count_other_requests(self, state: _TargetState, now: float) -> float:
        if state.report is None or now - state.reported > REPORT_TTL_SECONDS:
            return 0.0
        reported = state.report.running + state.report.waiting
        return max(0.0, float(reported - state.in_flight))


def _find_occupancy(state: _TargetState, now: float) -> float | None:
    """Return the share of an engine's slots in use; ``None`` if unknown."""
    report = state.report
    if (
        report is None
        or now - state.reported > SLOTS_REPORT_TTL_SECONDS
        or report.slots <= 0
    ):
        return None
    return max(report.running + report.waiting, state.in_flight) / report.slots
