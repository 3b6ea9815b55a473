"""Effect of a policy's weights of attainment and cost on load decisions."""

from __future__ import annotations

from ..config.policy_resolution import Weights

__all__ = ("scale_margin", "scale_hedge_delay", "weigh_evenly")

#: factor on the remaining time a call needs to be started on busy targets, if only
#: attainment counts and if only cost does
ATTAINMENT_MARGIN = 1.1
COST_MARGIN = 1.7
#: factor on the delay of a hedged call, likewise
ATTAINMENT_HEDGE_DELAY = 1.5
COST_HEDGE_DELAY = 4.0


def scale_margin(weights: Weights) -> float:
    """Return the factor on the remaining time that a call needs on busy targets.

    A high factor refuses calls that might just have met their deadline. A low one
    starts calls that miss it; below the lower bound so much work is wasted that
    fewer requests are answered, so lower factors are never used.
    """
    return _interpolate(ATTAINMENT_MARGIN, COST_MARGIN, weights)


def scale_hedge_delay(weights: Weights) -> float:
    """Return the factor on the delay before a call is hedged.

    A hedged call gets its answer despite a target that became slow, but costs a
    second call.
    """
    return _interpolate(ATTAINMENT_HEDGE_DELAY, COST_HEDGE_DELAY, weights)


def weigh_evenly(workspace: str, pipeline: str) -> Weights:
    """Return equal weights, the default without a policy."""
    return Weights()


def _interpolate(attainment: float, cost: float, weights: Weights) -> float:
    """Return the weighted geometric mean of two values."""
    return attainment**weights.attainment * cost**weights.cost
