"""Per-stage deadlines, from a request's deadline and measured durations."""

from __future__ import annotations

from collections.abc import Callable

from ..config.objects import Pipeline, Stage
from . import Ticket
from .durations import DurationTracker

__all__ = ("DeadlinePlan", "measure_downstream")

#: percentile of the durations by which a deadline is divided
SPLIT_PERCENTILE = 95
#: percentile of the durations that is expected of later stages
REMAINING_PERCENTILE = 50


class DeadlinePlan:
    """Divides the remaining time among the stages each time that one starts.

    The declared shares are only the pipeline author's estimate: a stage that needs
    more than its share would look late from its start while others idle. So the
    measured percentiles decide, and shares are used only for stages that are not
    measured yet. As each division covers the time that then remains, time saved
    by one stage is available to the later ones.

    :param find_pipeline: returns the pipeline of a name, ``None`` if unknown.
    """

    def __init__(
        self,
        *,
        durations: DurationTracker,
        find_pipeline: Callable[[str], Pipeline | None],
    ) -> None:
        self._durations = durations
        self._find_pipeline = find_pipeline

    def __call__(
        self, pipeline: Pipeline, stage: Stage, now: float, deadline: float
    ) -> float:
        """Return the monotonic second by which ``stage``, starting now, should end."""
        seconds = self._estimate_stages(pipeline, SPLIT_PERCENTILE, now)
        downstream = measure_downstream(pipeline, stage.name, seconds)
        own = seconds[stage.name]
        remaining = max(0.0, deadline - now)
        return now + remaining * own / (own + downstream)

    def estimate_remaining(self, ticket: Ticket, now: float) -> float:
        """Return the seconds that the stages after the ticket's take, unqueued.

        Used to refuse calls of requests that can't meet their deadline any more, as
        the work on them would be wasted.
        """
        pipeline = self._find_pipeline(ticket.pipeline)
        if pipeline is None:
            return 0.0
        return self.estimate_after(pipeline, ticket.stage, REMAINING_PERCENTILE, now)

    def estimate_after(
        self, pipeline: Pipeline, stage_name: str, percentile: float, now: float
    ) -> float:
        """Return seconds of the critical path from the end of a stage to the answer.

        Stages that were never measured count as zero.
        """
        seconds = {
            stage.name: self._durations.estimate(
                (pipeline.name, stage.name), percentile, now, 0.0
            )
            for stage in pipeline.stages
        }
        return measure_downstream(pipeline, stage_name, seconds)

    def _estimate_stages(
        self, pipeline: Pipeline, percentile: float, now: float
    ) -> dict[str, float]:
        """Return seconds by stage; unmeasured stages get their share, scaled."""
        measured: dict[str, float] = {}
        shares = 0.0
        for stage in pipeline.stages:
            kind = (pipeline.name, stage.name)
            value = self._durations.estimate(kind, percentile, now, 0.0)
            if value > 0:
                measured[stage.name] = value
                shares += stage.share
        scale = sum(measured.values()) / shares if shares else 1.0
        return {
            stage.name: measured.get(stage.name, stage.share * scale)
            for stage in pipeline.stages
        }


def measure_downstream(
    pipeline: Pipeline, stage_name: str, seconds: dict[str, float]
) -> float:
    """Return the length of the critical path through the stages after one."""
    downstream: dict[str, float] = {}
    for stage in reversed(pipeline.stages):
        longest = 0.0
        for later in pipeline.stages:
            if stage.name in later.inputs:
                longest = max(
                    longest, seconds[later.name] + downstream.get(later.name, 0.0)
                )
        downstream[stage.name] = longest
    return downstream.get(stage_name, 0.0)
