"""Load balancing of requests by target load, cached prompt parts and health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..load.breakers import Breaker, BreakerState
from .cached_parts import find_affinity_target
from .engine_costs import compute_transfer, count_prompt, count_work, estimate_work
from .send_limits import SendLimits
from .target_candidates import BREAKER_RULE, TargetCandidates
from .target_choice import FastestChoice
from .target_speeds import TargetSpeeds
from .target_states import TargetState

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .engine_costs import EngineDemand
    from .incarnations import Incarnation
    from .load_reports import LoadReport
    from .rate_limits import NamedRate
    from .requests import Prompt
    from .target_speeds import Answer
    from .targets import ListedTarget, TargetTable

__all__ = ("LoadBalancer",)

#: seconds after a repeatable request for which other requests of its service leave the
#: probes of ejected targets to those that follow
REPEATABLE_SECONDS = 5.0
#: seconds for which a target waits at most for a probe by a repeatable request
MAX_PROBE_WAIT = 3.0
#: share of occupied slots up to which an engine is taken to have free ones
FREE_SLOTS_SHARE = 0.5
#: penalty on the load of a target in another data centre, as a share of its slots
REMOTE_PENALTY = 0.05


class LoadBalancer:
    """Chooses among the listed targets and records the outcomes of requests."""

    def __init__(
        self,
        *,
        target_table: TargetTable,
        data_centre: str,
        random_source: random.Random,
        limits: SendLimits | None = None,
        speeds: TargetSpeeds | None = None,
        own: str = "",
    ) -> None:
        self._target_table = target_table
        self._limits = limits or SendLimits()
        self._data_centre = data_centre
        self._random = random_source
        self._speeds = speeds or TargetSpeeds()
        self._fastest = FastestChoice(
            own=own,
            data_centre=data_centre,
            speeds=self._speeds,
            find_state=self._find_state,
            random_source=random_source,
        )
        self._states: dict[Incarnation, TargetState] = {}
        self._candidates = TargetCandidates(
            target_table=target_table,
            limits=self._limits,
            find_state=self._find_state,
            count_in_flight=self.count_in_flight,
        )
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
        may_retry: bool = True,
    ) -> ListedTarget | None:
        """Return the least loaded healthy target; local ones win ties.

        Where the speed of targets is measured, it is the one that is expected to answer
        first. The request counts as sent to it.

        :param data_centres: those of the targets to choose from; ``None``: all
        :param repeatable: whether the request may run again if its answer is lost
        :param may_retry: whether it could be sent again if it is rejected
        """
        candidates = self._find_candidates(
            service, excluded, now, data_centres, repeatable, may_retry
        )
        if not candidates:
            return None
        if self._speeds.is_used(service, now):
            chosen = self._fastest.choose(
                service, candidates, now, may_try=not excluded
            )
        else:
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
        candidates = self._find_candidates(
            service, excluded, now, need.data_centres, need.repeatable, need.may_retry
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
        return len(self._candidates.find(service, excluded, now, data_centres))

    def count_healthy(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> int:
        """Return the number of targets that answered lately and may be sent to."""
        candidates = self._candidates.find(service, excluded, now, data_centres)
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
        """Return whether only what targets have said prevents a send."""
        return self._candidates.lacks_room(service, excluded, now, data_centres)

    def find_rest(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> float:
        """Return the seconds until the first of the targets ends its rest.

        :return: 0 if one does not rest, or if there is none
        """
        return self._candidates.find_rest(service, excluded, now, data_centres)

    def find_seconds_of_rest(self, incarnation: Incarnation, now: float) -> float:
        """Return the seconds for which a target wants no requests; 0: it takes them."""
        return self._limits.rests.find_seconds(incarnation, now)

    def list_limited(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> list[Incarnation]:
        """Return the targets that a request could be sent to with a permit."""
        return self._candidates.list_limited(service, excluded, now, data_centres)

    def find_affinity_target(
        self,
        service: str,
        prompt: Prompt,
        now: float,
        data_centres: frozenset[str] | None = None,
    ) -> ListedTarget | None:
        """Return the engine to which consistent hashing assigns a prompt's parts."""
        candidates = self._candidates.find(service, frozenset(), now, data_centres)
        return find_affinity_target(prompt, candidates)

    def has_free_slots(self, target: ListedTarget, now: float) -> bool:
        """Return whether an engine starts a request at once rather than queue it.

        Decided by the recent load report of the engine; half of its slots are left for
        requests that other instances have sent since. In a large fleet most engines
        have sent this instance no recent report; then the average occupancy of the
        other engines of the service must be half as high.
        """
        state = self._find_state(target.incarnation)
        own_share = state.find_occupancy(now)
        if own_share is not None:
            return own_share <= FREE_SLOTS_SHARE
        listed = self._target_table.list_service(target.service)
        states = [self._find_state(one.incarnation) for one in listed]
        shares = [one.find_occupancy(now) for one in states]
        reported = [share for share in shares if share is not None]
        return bool(reported) and sum(reported) / len(reported) <= FREE_SLOTS_SHARE / 2

    def start(self, incarnation: Incarnation, tokens: float = 0.0) -> None:
        """Count a request that is sent to a target."""
        state = self._find_state(incarnation)
        state.in_flight += 1
        state.pending_tokens += tokens

    def count_in_flight(self, incarnation: Incarnation) -> int:
        """Return how many requests of this instance a target has."""
        state = self._states.get(incarnation)
        return 0 if state is None else state.in_flight

    def count_requests(self, incarnation: Incarnation, now: float) -> float:
        """Return the requests that a target is expected to have, of all instances."""
        return self._find_state(incarnation).count_expected(now)

    def estimate_work(
        self, incarnation: Incarnation, tokens: float, now: float
    ) -> float:
        """Return an engine's work before a first event; see :func:`estimate_work`."""
        return estimate_work(self._find_state(incarnation), tokens, now)

    def record_answer(
        self, incarnation: Incarnation, answer: Answer, now: float
    ) -> None:
        """Record the time of a request that a target has answered successfully."""
        target = self._find_listed(incarnation)
        if target is None:
            return
        if self._speeds.record_answer(target, answer, now):
            self._fastest.record_change(target.service)

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
        self._speeds.record_failure(incarnation, now)

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
        state.load.record(report, state.in_flight, now)
        target = self._find_listed(incarnation)
        if target is not None and report.slowness is not None:
            self._speeds.record_told(target, report.slowness, now)

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
        self._limits.brittle.record_response(
            target,
            limit=limit,
            rejected=rejected,
            load=load,
            in_flight=self._find_state(target.incarnation).in_flight - 1,
            now=now,
        )

    def record_rate(
        self, incarnation: Incarnation, named: NamedRate, now: float
    ) -> None:
        """Record what an answer says of the rate that a target takes."""
        self._limits.permits.limits.record_answer(incarnation, named, now)

    def forget(self, incarnation: Incarnation, *, may_return: bool = False) -> None:
        """Discard the state of a target that is gone; see :class:`SendLimits`."""
        self._limits.forget(incarnation, may_return=may_return)
        self._states.pop(incarnation, None)
        self._speeds.forget(incarnation)

    def describe(self, now: float) -> dict[str, dict[str, float | str]]:
        """Return the state of each target for the state dump."""
        return {
            str(incarnation): {
                **state.describe(now),
                **self._speeds.describe(incarnation, now),
            }
            for incarnation, state in self._states.items()
        }

    def _find_state(self, incarnation: Incarnation) -> TargetState:
        state = self._states.get(incarnation)
        if state is None:
            state = TargetState(Breaker(BREAKER_RULE, self._random))
            self._states[incarnation] = state
        return state

    def _find_listed(self, incarnation: Incarnation) -> ListedTarget | None:
        target = self._target_table.find_listed(incarnation.target_id)
        matches = target is not None and target.incarnation == incarnation
        return target if matches else None

    def _record_send(self, incarnation: Incarnation, now: float) -> None:
        self._limits.record_send(incarnation, now)
        state = self._find_state(incarnation)
        state.sent_at = now
        self._limits.brittle.record_start(incarnation, state.in_flight, now)
        if state.breaker.read_state(now) is BreakerState.HALF_OPEN:
            state.breaker.begin_probe(now)

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

    def _find_candidates(
        self,
        service: str,
        excluded: frozenset[Incarnation],
        now: float,
        data_centres: frozenset[str] | None,
        repeatable: bool,
        may_retry: bool,
    ) -> list[ListedTarget]:
        """Return the targets to choose from, and ask for permits for limited ones."""
        limited = self.list_limited(service, excluded, now, data_centres)
        self._limits.permits.want(limited, now)
        may_probe = self._create_probe_rule(service, repeatable, now)
        found = self._candidates.find(service, excluded, now, data_centres, may_probe)
        # a retry is no trial of a target that has rested: it may be the last attempt
        may_retry = may_retry and not excluded
        if may_retry or not self._limits.rests.has_any():
            return found
        settled = [
            one
            for one in found
            if not self._limits.rests.is_spared(
                one.incarnation, now, may_retry=may_retry
            )
        ]
        return settled or found

    def _score_target(self, target: ListedTarget, now: float) -> tuple[float, float]:
        requests = self._find_state(target.incarnation).count_reported(now)
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
        tokens = count_prompt(
            state, need.prompt, now, is_affinity_target=target is affinity_target
        )
        if self._speeds.is_used(target.service, now):
            slowness = self._speeds.find_slowness(target.incarnation, now)
            cost = estimate_work(state, tokens, now) * slowness
        else:
            cost = count_work(state, tokens, state.count_reported(now))
        return cost + compute_transfer(need, target.data_centre), self._random.random()
