"""Which target gets a request: least time to the answer, kept prompt parts, health."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..load.breakers import Breaker, BreakerRule, find_ejected
from ..targets.subset import compute_weight

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from .incarnations import Incarnation
    from .requests import Prompt
    from .targets import ListedTarget, TargetBook

__all__ = ("EngineNeed", "Fleet", "LoadReport")

#: a target is out after two failures in a row: with three targets, a third of all
#: requests find out about one that is lost, so each further sample is dear
BREAKER = BreakerRule(consecutive_failures=2, min_ejection=1.0, max_ejection=4.0)
#: seconds after which a target's own word about its load counts for nothing
REPORT_LIFE = 1.0
#: the same where it matters only whether it was nearly full
PLACES_LIFE = 3.0
#: share of an engine's places up to which it is taken to have free ones
FREE_SHARE = 0.5
#: share of a slot by which a target in another data centre seems fuller
FAR_PENALTY = 0.05
#: tokens whose prefill a running request delays about as much
RUNNING_TOKENS = 60.0
#: tokens whose reading is as dear as moving one byte of results to another data
#: centre, by the prices of both on the sheets, and a little more for the delay
TOKENS_PER_FAR_BYTE = 0.0005
#: seconds for which a prompt part is expected to stay in an engine's memory
PART_LIFE = 20.0
#: prompt parts remembered for one engine
MAX_PARTS = 2048


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's own word about its load."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class EngineNeed:
    """What a request needs of its engine."""

    prompt: Prompt
    #: bytes of stage results that it reads, by the data centre of their makers
    result_bytes: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _TargetState:
    breaker: Breaker
    in_flight: int = 0
    #: prompt tokens of requests sent and not yet begun
    pending_tokens: float = 0.0
    report: LoadReport | None = None
    reported: float = 0.0
    #: prompt parts by the time of their last use
    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)


class Fleet:
    """Chooses among the targets that are listed, and learns from outcomes."""

    def __init__(
        self, *, book: TargetBook, data_centre: str, random_source: random.Random
    ) -> None:
        self._book = book
        self._data_centre = data_centre
        self._random = random_source
        self._states: dict[Incarnation, _TargetState] = {}

    def choose_plain(
        self, service: str, excluded: frozenset[Incarnation], now: float
    ) -> ListedTarget | None:
        """Return the least loaded sound target, near ones first."""
        candidates = self._list_candidates(service, excluded, now)
        if not candidates:
            return None
        return min(candidates, key=lambda one: self._rate_plain(one, now))

    def choose_engine(
        self,
        service: str,
        need: EngineNeed,
        excluded: frozenset[Incarnation],
        now: float,
    ) -> ListedTarget | None:
        """Return the engine that should have the least to read and to move.

        The last shared part names a home for all that are shared, the same for all
        instances without a word between them. The first one would not do: a handful
        of them begins most prompts, and as few engines would get all requests of a
        large fleet. An engine that waits to read more than the others gives way, or
        a much used part would overload its home.
        """
        candidates = self._list_candidates(service, excluded, now)
        if not candidates:
            return None
        home = _find_home(need.prompt, candidates)
        return min(candidates, key=lambda one: self._rate_engine(one, need, home, now))

    def find_home(
        self, service: str, prompt: Prompt, now: float
    ) -> ListedTarget | None:
        """Return the engine that a prompt's shared parts should be sent to."""
        return _find_home(prompt, self._list_candidates(service, frozenset(), now))

    def takes_in(self, target: ListedTarget, now: float) -> bool:
        """Whether an engine has places for what it is sent, rather than a queue.

        One that is full takes a request in when another one ends. Told by itself of
        late, with half of its places for what others have sent it since. In a large
        fleet most have told this instance nothing for seconds; then the others of its
        service must be half as full on average.
        """
        state = self._find(target.incarnation)
        own = _find_taken_share(state, now)
        if own is not None:
            return own <= FREE_SHARE
        listed = self._book.list_service(target.service)
        states = [self._find(one.incarnation) for one in listed]
        shares = [_find_taken_share(one, now) for one in states]
        told = [share for share in shares if share is not None]
        return bool(told) and sum(told) / len(told) <= FREE_SHARE / 2

    def start(self, incarnation: Incarnation, tokens: float = 0.0) -> None:
        """Count a request that is being sent."""
        state = self._find(incarnation)
        state.in_flight += 1
        state.pending_tokens += tokens

    def begin(self, incarnation: Incarnation, tokens: float) -> None:
        """Take in that an engine has read a request's prompt."""
        state = self._find(incarnation)
        state.pending_tokens = max(0.0, state.pending_tokens - tokens)

    def finish(self, incarnation: Incarnation) -> None:
        """Count out a request."""
        state = self._find(incarnation)
        state.in_flight = max(0, state.in_flight - 1)
        if not state.in_flight and not self._book.accepts(incarnation):
            # the last word of one that is gone must not bring its state back: each
            # restart would use more memory
            self.forget(incarnation)

    def note_parts(self, incarnation: Incarnation, prompt: Prompt, now: float) -> None:
        """Remember what an engine has read for a request."""
        parts = self._find(incarnation).parts
        for part in prompt.shared:
            parts.pop(part.part_id, None)
            parts[part.part_id] = now
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)

    def note_success(self, incarnation: Incarnation) -> None:
        """Take in an answer."""
        self._find(incarnation).breaker.record_success()

    def note_failure(self, incarnation: Incarnation, now: float) -> None:
        """Take in a failure that is the target's doing."""
        self._find(incarnation).breaker.record_failure(now)

    def note_report(
        self, incarnation: Incarnation, report: LoadReport, now: float
    ) -> None:
        """Take in a target's own word about its load."""
        state = self._find(incarnation)
        state.report = report
        state.reported = now

    def count_tokens(
        self, incarnation: Incarnation, prompt: Prompt, now: float
    ) -> float:
        """Return the prompt tokens that an engine does not seem to keep."""
        return _count_tokens(self._find(incarnation).parts, prompt, now)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is known of a target that is gone."""
        self._states.pop(incarnation, None)

    def describe(self, now: float) -> dict[str, dict[str, float | str]]:
        """Return what is believed of each target, for the state dump."""
        return {
            str(incarnation): {
                "breaker": state.breaker.read_state(now).value,
                "in_flight": state.in_flight,
                "pending_tokens": state.pending_tokens,
                "report_age": now - state.reported if state.report else -1.0,
            }
            for incarnation, state in self._states.items()
        }

    def _find(self, incarnation: Incarnation) -> _TargetState:
        state = self._states.get(incarnation)
        if state is None:
            state = _TargetState(Breaker(BREAKER, self._random))
            self._states[incarnation] = state
        return state

    def _list_candidates(
        self, service: str, excluded: frozenset[Incarnation], now: float
    ) -> list[ListedTarget]:
        listed = self._book.list_service(service)
        breakers = [
            (one.incarnation, self._find(one.incarnation).breaker) for one in listed
        ]
        ejected = find_ejected(breakers, BREAKER, now)
        left = list(listed)
        if excluded:
            left = [one for one in left if one.incarnation not in excluded]
        if not ejected:
            return left
        sound = [one for one in left if one.incarnation not in ejected]
        return sound or left

    def _rate_plain(self, target: ListedTarget, now: float) -> tuple[float, float]:
        state = self._find(target.incarnation)
        held = state.in_flight + self._count_others(state, now)
        far = 0.0 if target.data_centre == self._data_centre else FAR_PENALTY
        return held / max(1, target.slots) + far, self._random.random()

    def _rate_engine(
        self,
        target: ListedTarget,
        need: EngineNeed,
        home: ListedTarget | None,
        now: float,
    ) -> tuple[float, float]:
        state = self._find(target.incarnation)
        tokens = _count_tokens(state.parts, need.prompt, now)
        if target is home:
            # others will have sent the parts there, whatever this instance saw
            shared = sum(part.tokens for part in need.prompt.shared)
            tokens = min(tokens, need.prompt.tokens_in - shared)
        running = state.in_flight + self._count_others(state, now)
        far = sum(
            size
            for data_centre, size in need.result_bytes.items()
            if data_centre != target.data_centre
        )
        cost = tokens + state.pending_tokens + running * RUNNING_TOKENS
        return cost + far * TOKENS_PER_FAR_BYTE, self._random.random()

    def _count_others(self, state: _TargetState, now: float) -> float:
        if state.report is None or now - state.reported > REPORT_LIFE:
            return 0.0
        told = state.report.running + state.report.waiting
        return max(0.0, float(told - state.in_flight))


def _find_taken_share(state: _TargetState, now: float) -> float | None:
    """Return the share of an engine's places that are taken; ``None`` if not told."""
    report = state.report
    if report is None or now - state.reported > PLACES_LIFE or report.slots <= 0:
        return None
    return max(report.running + report.waiting, state.in_flight) / report.slots


def _count_tokens(parts: Mapping[str, float], prompt: Prompt, now: float) -> float:
    kept = 0
    for part in prompt.shared:
        if now - parts.get(part.part_id, -PART_LIFE) >= PART_LIFE:
            break
        kept += part.tokens
    return max(0.0, prompt.tokens_in - kept)


def _find_home(prompt: Prompt, candidates: list[ListedTarget]) -> ListedTarget | None:
    if not prompt.shared or not candidates:
        return None
    last = prompt.shared[-1].part_id
    # by the id: this says where parts are to go and not where they are. By the
    # incarnation, a restart would move other engines' parts as well
    return min(
        candidates,
        key=lambda one: (
            compute_weight(last, one.incarnation.target_id),
            one.incarnation.target_id,
        ),
    )
