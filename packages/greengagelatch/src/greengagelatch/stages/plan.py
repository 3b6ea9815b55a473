"""Deadlines of stages within the deadline of their request."""

from __future__ import annotations

from collections.abc import Callable

from ..config.objects import Pipeline, Stage
from .graph import measure_critical_path

__all__ = ("StagePlan", "divide_by_share")

#: returns the monotonic second by which a stage that starts now should end, from
#: the pipeline, the stage, the present second and the request's deadline
StagePlan = Callable[[Pipeline, Stage, float, float], float]


def divide_by_share(
    pipeline: Pipeline, stage: Stage, now: float, deadline: float
) -> float:
    """Divide the remaining time by the stages' declared shares.

    Time that an earlier stage did not use is thereby available to the later ones.
    """
    remaining = max(0.0, deadline - now)
    return now + remaining * stage.share / measure_critical_path(pipeline, stage)
