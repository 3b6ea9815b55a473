"""Rests that targets ask this instance for as they reject its requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from .incarnations import Incarnation

__all__ = ("TargetRests",)

#: seconds between two requests to a target after its rest, until one is accepted. A
#: rejection takes some milliseconds, an answer as long as the request runs
TRIAL_PAUSE = 0.25
#: seconds after the first of them from which it is taken to accept requests
TRIAL_SECONDS = 1.0
#: seconds after a rest for which a request that can't be sent again leaves the trial to
#: others
MAX_TRIAL_WAIT = 3.0
#: most seconds of a rest that other instances are told of, and the least by which news
#: have to prolong what is known
MAX_TOLD_SECONDS, MIN_NEWS_SECONDS = 10.0, 1.0
#: most rests, and most that other instances have told of, that are remembered
MAX_RESTS = 4096


@dataclass(slots=True)
class _Rest:
    #: monotonic time at which it ends
    until: float
    #: the same of the first and the last request after it; ``None``: there was none
    first_trial_at: float | None = None
    last_trial_at: float = float("-inf")


class TargetRests:
    """Targets that want no requests of this instance for some time.

    A rest ends by time alone. After it a target gets single requests, the trials, until
    it answers one without asking for rest again: it may still be overloaded, and each
    request that it rejects is late elsewhere.

    :param on_begun: called with each target that rests from now on, and the seconds
    """

    def __init__(
        self, on_begun: Callable[[Incarnation, float], None] = lambda *_: None
    ) -> None:
        self._on_begun = on_begun
        self._rests: dict[Incarnation, _Rest] = {}
        #: monotonic times until which targets rest for other instances
        self._told_until: dict[Incarnation, float] = {}

    def record(self, incarnation: Incarnation, seconds: float, now: float) -> None:
        """Record that a target asks for rest; a longer one that is known goes on."""
        left = self.find_seconds(incarnation, now)
        self._rests[incarnation] = _Rest(now + max(left, seconds))
        _drop_surplus(self._rests)
        if not left:
            self._on_begun(incarnation, seconds)

    def has_any(self) -> bool:
        """Return whether a target may rest, or has rested lately."""
        return bool(self._rests or self._told_until)

    def record_news(self, incarnation: Incarnation, seconds: float, now: float) -> bool:
        """Record that a target has asked another instance for rest.

        It may take requests of this one, which it hasn't asked. So only those leave it
        to others that can't be sent again.

        :return: whether it rests for notably longer than was known
        """
        until = now + min(seconds, MAX_TOLD_SECONDS)
        known = self._told_until.get(incarnation, float("-inf"))
        if until <= known + MIN_NEWS_SECONDS:
            return False
        self._told_until[incarnation] = until
        _drop_surplus(self._told_until)
        return True

    def record_answer(self, incarnation: Incarnation, now: float) -> None:
        """Record an answer that asks for no rest."""
        self._told_until.pop(incarnation, None)
        known = self._rests.get(incarnation)
        if known is not None and known.until <= now:
            del self._rests[incarnation]

    def record_send(self, incarnation: Incarnation, now: float) -> None:
        """Record a request that is sent to a target."""
        known = self._rests.get(incarnation)
        if known is None:
            return
        known.last_trial_at = now
        if known.first_trial_at is None:
            known.first_trial_at = now

    def find_seconds(self, incarnation: Incarnation, now: float) -> float:
        """Return the seconds for which a target still rests; 0: it does not."""
        known = self._rests.get(incarnation)
        return 0.0 if known is None else max(0.0, known.until - now)

    def may_send(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        known = self._rests.get(incarnation)
        if known is None:
            return True
        if now < known.until:
            return False
        return self._has_passed(known, now) or now - known.last_trial_at >= TRIAL_PAUSE

    def is_spared(
        self, incarnation: Incarnation, now: float, *, may_retry: bool
    ) -> bool:
        """Return whether a request should be sent to another target, if there is one.

        The target has rested lately, here or for other instances, and may reject it.

        :param may_retry: whether the request could be sent again after a rejection
        """
        if may_retry:
            return False
        told = self._told_until.get(incarnation)
        if told is not None and now - told < MAX_TRIAL_WAIT:
            return True
        known = self._rests.get(incarnation)
        if known is None or self._has_passed(known, now):
            return False
        return now - known.until < MAX_TRIAL_WAIT

    def forget(self, incarnation: Incarnation) -> None:
        """Discard the state of a target that is gone."""
        self._rests.pop(incarnation, None)
        self._told_until.pop(incarnation, None)

    def describe(self, now: float) -> dict[str, float]:
        """Return the seconds of the rests for the state dump; 0: on trial."""
        return {
            str(incarnation): round(self.find_seconds(incarnation, now), 3)
            for incarnation in self._rests
        }

    def _has_passed(self, known: _Rest, now: float) -> bool:
        first = known.first_trial_at
        return first is not None and now - first >= TRIAL_SECONDS


def _drop_surplus(rests: dict[Incarnation, Any]) -> None:
    """Drop the oldest of more than may be remembered."""
    if len(rests) > MAX_RESTS:
        del rests[next(iter(rests))]
