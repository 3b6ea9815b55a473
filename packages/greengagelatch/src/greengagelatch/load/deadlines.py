"""Division of a request's deadline among its stages by measured durations."""

from __future__ import annotations

from collections.abc import Callable

from ..config.objects import Pipeline, Stage
from . import Ticket
from .durations import DurationTracker

__all__ = ("DeadlinePlan", "measure_downstream")

#: percentile of the durations by which a deadline is divided
SPLIT_PERCENTILE = 95
#: percentile by which later stages are expected to take their time
REST_PERCENTILE = 50


class DeadlinePlan:
    """Divides what remains of a deadline each time that a stage starts.

    Declared shares are a guess of whoever wrote the pipeline; a stage that takes
    longer than its share looks late from its start while others idle. So measured
    percentiles decide, and shares stand in for stages not measured yet. As each
    division starts from what then remains, time saved by one stage is handed on.

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
        below = measure_downstream(pipeline, stage.name, seconds)
        own = seconds[stage.name]
        remaining = max(0.0, deadline - now)
        return now + remaining * own / (own + below)

    def estimate_remaining(self, ticket: Ticket, now: float) -> float:
        """Return seconds that the stages after the ticket's own take without a queue.

        A call whose request can't be answered in time any more is refused by this,
        or its targets would work for nothing.
        """
        pipeline = self._find_pipeline(ticket.pipeline)
        if pipeline is None:
            return 0.0
        return self.estimate_after(pipeline, ticket.stage, REST_PERCENTILE, now)

    def estimate_after(
        self, pipeline: Pipeline, stage_name: str, percentile: float, now: float
    ) -> float:
        """Return seconds of the longest way from the end of a stage to the answer.

        Stages that were never measured count nothing.
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
        """Return seconds by stage; shares scaled to them where nothing is measured."""
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
    """Return the longest way through stages that need the result of one."""
    below: dict[str, float] = {}
    for stage in reversed(pipeline.stages):
        longest = 0.0
        for later in pipeline.stages:
            if stage.name in later.inputs:
                longest = max(longest, seconds[later.name] + below.get(later.name, 0.0))
        below[stage.name] = longest
    return below.get(stage_name, 0.0)
