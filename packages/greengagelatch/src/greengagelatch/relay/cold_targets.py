"""Limits on the requests that all instances together send to cold targets.

A target is cold for some seconds after its start. Until then it crashes if it receives
requests at a higher rate than configured.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import floor
from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from .incarnations import Incarnation
    from .targets import ListedTarget

__all__ = (
    "WINDOW_SECONDS",
    "ColdTargetRule",
    "ColdTargets",
    "compute_share",
    "count_allowed",
)

#: seconds within which an instance sends at most its share. The limit holds for each
#: second of arrivals; a request may spend 0.3 s on its connection after its target was
#: chosen
WINDOW_SECONDS = 1.4
#: longest time for which a target counts as cold after one report: an invalid report
#: must not limit a target for good
MAX_COLD_SECONDS = 120.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ColdTargetRule:
    """How far requests may exceed the configured rate of a cold target."""

    #: factor on the rate
    overshoot: float = 1.0
    #: requests per second beyond that
    slack: float = 0.0


_DEFAULT_RULE = ColdTargetRule()


def count_allowed(rate: float, rule: ColdTargetRule) -> int:
    """Return how many requests all instances may send to a cold target in a second.

    The slack is kept for instances whose views of the fleet differ for a moment.

    :param rate: requests per second that the target tolerates
    """
    allowed = floor(rate * rule.overshoot)
    return allowed if allowed or rule.slack < 1 else 1


def compute_share(
    target_id: str, own: str, instances: Collection[str], allowed: int
) -> int:
    """Return how many of the allowed requests one instance may send.

    All instances get the same share; rendezvous hashing selects those that may send
    one of the remaining requests. Instances with the same view agree without
    coordination, and a larger view never yields a larger share, so that views may
    include instances that have stopped.

    :param instances: addresses of all instances that may exist, including ``own``
    """
    if not instances or allowed <= 0:
        return 0
    share, remaining = divmod(allowed, len(instances))
    weight = compute_weight(own, target_id)
    before = sum(compute_weight(one, target_id) < weight for one in instances)
    return share + 1 if before < remaining else share


@dataclass(slots=True)
class _ColdTarget:
    #: monotonic time in seconds at which it is warm at the latest
    until: float
    #: monotonic times of the requests sent to it
    sent: deque[float] = field(default_factory=deque)
    #: cached share of this instance, and what it was computed from
    share: int = 0
    instances: Collection[str] | None = None
    rate: float = 0.0


class ColdTargets:
    """Cold targets, and how many requests this instance may send to each now.

    :param own: address of this instance
    :param find_instances: returns the addresses of all instances that may exist, the
        same object until they change; ``None`` while too little is known of them
    :param find_rate: returns the configured requests per second of a cold target of a
        service; 0: not limited
    """

    def __init__(
        self,
        *,
        own: str = "",
        rule: ColdTargetRule = _DEFAULT_RULE,
        find_instances: Callable[[], Collection[str] | None] = lambda: None,
        find_rate: Callable[[str], float] = lambda _: 0.0,
    ) -> None:
        self._own = own
        self._rule = rule
        self._find_instances = find_instances
        self._find_rate = find_rate
        self._cold: dict[Incarnation, _ColdTarget] = {}

    def record(self, incarnation: Incarnation, seconds: float, now: float) -> bool:
        """Record that a target may be cold for some seconds from now.

        Reports are old when they arrive, so that a shorter time does not replace a
        longer one.

        :return: whether the target counted as warm before
        """
        if not seconds > 0:
            return False
        seconds = min(seconds, MAX_COLD_SECONDS)
        known = self._cold.get(incarnation)
        if known is None:
            # some of them may never have been listed here, and are asked for by nobody
            self._drop_warm(now)
            self._cold[incarnation] = _ColdTarget(now + seconds)
            return True
        was_warm = known.until <= now
        known.until = max(known.until, now + seconds)
        return was_warm

    def _drop_warm(self, now: float) -> None:
        for incarnation, known in tuple(self._cold.items()):
            if known.until <= now:
                del self._cold[incarnation]

    def has_any(self) -> bool:
        """Return whether a target may be cold."""
        return bool(self._cold)

    def list_cold(self, now: float) -> list[tuple[Incarnation, float]]:
        """Return the cold targets and the seconds for which each may still be cold."""
        return [
            (incarnation, known.until - now)
            for incarnation, known in self._cold.items()
            if known.until > now
        ]

    def may_send(self, target: ListedTarget, now: float) -> bool:
        """Return whether this instance may send a request to a target now."""
        known = self._cold.get(target.incarnation)
        if known is None:
            return True
        if known.until <= now:
            del self._cold[target.incarnation]
            return True
        rate = self._find_rate(target.service)
        if rate <= 0:
            return True
        while known.sent and known.sent[0] <= now - WINDOW_SECONDS:
            known.sent.popleft()
        return len(known.sent) < self._find_share(target, known, rate)

    def record_send(self, incarnation: Incarnation, now: float) -> None:
        """Record a request that is sent to a target."""
        known = self._cold.get(incarnation)
        if known is not None:
            known.sent.append(now)

    def forget(self, incarnation: Incarnation) -> None:
        """Discard the state of a target that is gone."""
        self._cold.pop(incarnation, None)

    def describe(self, now: float) -> dict[str, dict[str, float]]:
        """Return the cold targets for the state dump."""
        return {
            str(incarnation): {
                "seconds": round(known.until - now, 3),
                "share": known.share,
                "sent": len(known.sent),
            }
            for incarnation, known in self._cold.items()
            if known.until > now
        }

    def _find_share(self, target: ListedTarget, known: _ColdTarget, rate: float) -> int:
        instances = self._find_instances()
        if instances is None:
            return 0
        if instances is not known.instances or rate != known.rate:
            known.instances, known.rate = instances, rate
            known.share = compute_share(
                target.target_id,
                self._own,
                instances,
                count_allowed(rate, self._rule),
            )
        return known.share
