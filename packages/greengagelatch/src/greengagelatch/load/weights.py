"""What the weighing of attainment against cost changes in decisions under load."""

from __future__ import annotations

from ..config.policy_resolution import Weights

__all__ = ("scale_margin", "scale_patience", "weigh_evenly")

#: factor on the time that a call must have left to be started on busy targets,
#: where only attainment counts, and where only cost does
ATTAINMENT_MARGIN = 1.1
COST_MARGIN = 1.7
#: factor on the patience before a backup call, likewise
ATTAINMENT_PATIENCE = 1.5
COST_PATIENCE = 4.0


def scale_margin(weights: Weights) -> float:
    """Return the factor on the time a call must have left on busy targets.

    A high one refuses calls that might just have been in time. A low one starts
    calls that end too late; below the lower bound there is so much work for nothing
    that fewer requests are answered, so less than that is never asked.
    """
    return _interpolate(ATTAINMENT_MARGIN, COST_MARGIN, weights)


def scale_patience(weights: Weights) -> float:
    """Return the factor on the patience before a call gets a backup.

    Backups bring answers from targets that became slow, and cost a second call.
    """
    return _interpolate(ATTAINMENT_PATIENCE, COST_PATIENCE, weights)


def weigh_evenly(workspace: str, pipeline: str) -> Weights:
    """Return equal weights, for where no policy says otherwise."""
    return Weights()


def _interpolate(attainment: float, cost: float, weights: Weights) -> float:
    """Return the geometric mean of two values by their weights."""
    return attainment**weights.attainment * cost**weights.cost
