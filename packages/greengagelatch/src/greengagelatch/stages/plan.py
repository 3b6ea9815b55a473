"""Deadlines of single stages within the deadline of their request."""

from __future__ import annotations

from collections.abc import Callable

from ..config.objects import Pipeline, Stage
from .graph import measure_critical_path

__all__ = ("StagePlan", "divide_by_share")

#: returns the monotonic second by which a stage that starts now should be done,
#: from the pipeline, the stage, the present second and the request's deadline
StagePlan = Callable[[Pipeline, Stage, float, float], float]


def divide_by_share(
    pipeline: Pipeline, stage: Stage, now: float, deadline: float
) -> float:
    """Divide what remains of the deadline by the stages' declared shares.

    What an earlier stage did not use is thereby handed on to the later ones.
    """
    remaining = max(0.0, deadline - now)
    return now + remaining * stage.share / measure_critical_path(pipeline, stage)
