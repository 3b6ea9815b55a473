"""What the weighing of attainment against cost changes in decisions under load."""

from __future__ import annotations

from ..config.steering import Weights

__all__ = ("scale_margin", "scale_patience", "weigh_evenly")

#: factor on the time that a call must have left to be started on busy targets,
#: where only attainment counts, and where only cost does
ATTAINMENT_MARGIN = 0.9
COST_MARGIN = 1.4
#: factor on the patience before a backup call, likewise
ATTAINMENT_PATIENCE = 1.0
COST_PATIENCE = 4.0


def scale_margin(weights: Weights) -> float:
    """Return the factor on the time a call must have left on busy targets.

    A low one starts calls that may end too late. Up to a point that answers more
    requests, at the price of work for nothing; beyond it there is so much of that
    work that fewer are answered.
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
