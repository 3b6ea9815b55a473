"""Delay after which an unanswered call is hedged on another target."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("HedgeRule", "choose_hedge_delay")


@dataclass(frozen=True, slots=True, kw_only=True)
class HedgeRule:
    """When an unanswered call is hedged on another target."""

    #: multiple of the 95th percentile of the stage's durations
    factor: float = 2.0
    #: minimum seconds before a call counts as late
    min_delay: float = 0.05
    #: multiple of the median that must remain for the hedged call to be in time
    min_remaining_medians: float = 1.5
    #: share of the stage's time to wait while no duration is measured
    unmeasured_share: float = 0.5


def choose_hedge_delay(
    rule: HedgeRule, *, median: float, late: float, remaining: float
) -> float | None:
    """Return the seconds after which to hedge the call; ``None``: don't.

    A dead connection loses the call without an error, and the request would fail at
    its deadline although other targets are idle. A timeout instead of a hedged call
    would fail every call of a stage that has just become slower.

    :param median: measured 50th percentile of the stage in seconds, 0 if unknown
    :param late: measured 95th percentile, 0 if unknown
    :param remaining: seconds until the stage should be done
    """
    if late <= 0:
        return max(0.0, remaining) * rule.unmeasured_share
    usual = max(rule.min_delay, rule.factor * late)
    delay = min(usual, remaining - rule.min_remaining_medians * median)
    # an earlier hedge would duplicate calls that are not late
    if delay < late:
        return None
    return delay
