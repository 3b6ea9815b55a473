"""Rates that targets name as the most that they take from all instances."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .brittle_services import HOP_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from .incarnations import Incarnation

__all__ = (
    "DOUBLING_SECONDS",
    "ENDED_SECONDS",
    "LAPSE_SECONDS",
    "MIN_RATE",
    "NO_RATE",
    "RECOVERY_SECONDS",
    "NamedRate",
    "RateLimitNews",
    "RateLimits",
    "RateSource",
)

#: requests per second that a target is sent at the least: only an answer can tell that
#: its limit has ended
MIN_RATE = 0.2
#: seconds after the end of a limit in which its rate doubles again and again, rather
#: than that all instances turn to the target at once
RECOVERY_SECONDS = 1.0
#: seconds in which it doubles, and the lowest rate in requests per second before that
DOUBLING_SECONDS, MIN_RECOVERY_RATE = 0.25, 5.0
#: seconds for which the end of a limit is remembered and told: older news of the limit
#: must not bring it back
ENDED_SECONDS = 30.0
#: seconds after the last answer, of any instance, from which a limit is forgotten: no
#: instance has had a request for its target since
LAPSE_SECONDS = 300.0


@dataclass(frozen=True, slots=True)
class NamedRate:
    """What one answer says of the rate that its target takes."""

    #: requests per second; ``None``: the target takes any rate
    rate: float | None = None
    #: whether the answer names a rate that can't be read: it tells nothing
    is_unreadable: bool = False


#: what an answer says that names no rate
NO_RATE = NamedRate()


class RateSource(Enum):
    """How this instance has learnt what a target says of its rate."""

    TARGET = "target"
    PEER = "peer"


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimitNews:
    """What instances tell each other of a target that has named a rate."""

    incarnation: Incarnation
    #: requests per second that it has named last
    rate: float
    #: seconds since the answer that tells of it
    age: float
    #: whether that answer named none
    has_ended: bool = False


@dataclass(slots=True)
class _Limit:
    rate: float
    #: monotonic time of the last answer, as known here
    said_at: float
    #: the same of the first answer after the limit that named none
    ended_at: float | None = None

    @property
    def named(self) -> float | None:
        """What the target names now."""
        return None if self.ended_at is not None else self.rate


class RateLimits:
    """Rates that targets have named in their answers, to any instance.

    A limit lasts until an answer names none, or another one. It outlasts the listing of
    its target, which may lapse while the store is away.

    :param on_changed: called with each target that names another rate than before, the
        rate, and how that was learnt; ``None``: it no longer names one
    """

    def __init__(
        self,
        *,
        on_changed: Callable[
            [Incarnation, float | None, RateSource], None
        ] = lambda *_: None,
    ) -> None:
        self._on_changed = on_changed
        self._limits: dict[Incarnation, _Limit] = {}

    def __bool__(self) -> bool:
        return bool(self._limits)

    def find_rate(self, incarnation: Incarnation, now: float) -> float | None:
        """Return how many requests a second a target may be sent by all instances.

        :return: ``None`` if it is not limited
        """
        known = self._limits.get(incarnation)
        if known is None:
            return None
        if known.ended_at is None:
            return max(known.rate, MIN_RATE)
        elapsed = max(0.0, now - known.ended_at)
        if elapsed < RECOVERY_SECONDS:
            growth = 2.0 ** (elapsed / DOUBLING_SECONDS)
            return max(known.rate, MIN_RECOVERY_RATE) * growth
        return None

    def find_age(self, incarnation: Incarnation, now: float) -> float:
        """Return the seconds since the last answer of a limited target."""
        known = self._limits.get(incarnation)
        return float("inf") if known is None else now - known.said_at

    def record_answer(
        self, incarnation: Incarnation, named: NamedRate, now: float
    ) -> None:
        """Record what an answer of a target says."""
        if not named.is_unreadable:
            self._record(incarnation, named.rate, now, RateSource.TARGET)

    def record_news(self, news: RateLimitNews, now: float) -> None:
        """Record what another instance tells."""
        said_at = now - max(0.0, news.age) - HOP_SECONDS
        known = self._limits.get(news.incarnation)
        if now - said_at >= LAPSE_SECONDS:
            return
        if known is not None and said_at <= known.said_at:
            return
        named = None if news.has_ended else max(0.0, news.rate)
        self._record(news.incarnation, named, said_at, RateSource.PEER)

    def list_news(self, now: float) -> list[RateLimitNews]:
        """Return what to tell other instances."""
        self._drop_old(now)
        return [
            RateLimitNews(
                incarnation=incarnation,
                rate=known.rate,
                age=now - known.said_at,
                has_ended=known.ended_at is not None,
            )
            for incarnation, known in self._limits.items()
        ]

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Return the limits for the state dump."""
        return {
            str(incarnation): {
                "named": known.rate,
                "rate": round(rate, 3),
                "age": round(now - known.said_at, 3),
            }
            for incarnation, known in self._limits.items()
            if (rate := self.find_rate(incarnation, now)) is not None
        }

    def _record(
        self,
        incarnation: Incarnation,
        named: float | None,
        said_at: float,
        source: RateSource,
    ) -> None:
        known = self._limits.get(incarnation)
        before = None if known is None else known.named
        if named is not None:
            self._limits[incarnation] = _Limit(named, said_at)
        elif before is not None:
            known.said_at = known.ended_at = said_at
        if named != before:
            self._on_changed(incarnation, named, source)

    def _drop_old(self, now: float) -> None:
        for incarnation, known in tuple(self._limits.items()):
            has_ended = known.ended_at is not None
            if now - known.said_at >= (ENDED_SECONDS if has_ended else LAPSE_SECONDS):
                del self._limits[incarnation]
