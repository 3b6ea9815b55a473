"""Useful and wasted processing time per stage, from the targets' records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .observations import Observation
    from .records import TargetRecord

__all__ = ("StageCost", "compute_costs")

#: pipeline of runs whose request id appears in no response
UNKNOWN_PIPELINE = "unknown"


@dataclass(slots=True)
class StageCost:
    """Milliseconds of processing time spent by targets on a stage of a pipeline."""

    pipeline: str
    stage: str
    useful_ms: float = 0.0
    wasted_ms: float = 0.0
    runs: int = 0


def compute_costs(
    observations: Sequence[Observation], records: Sequence[TargetRecord]
) -> list[StageCost]:
    """Return the cost of every stage, sorted by pipeline and stage name.

    One completed run of each stage counts as useful if its request got a result
    within the deadline; all other runs count as wasted.
    """
    pipelines: dict[str, str] = {}
    in_time: set[str] = set()
    for observation in observations:
        pipelines[observation.request_id] = observation.arrival.pipeline
        if observation.in_time:
            in_time.add(observation.request_id)
    costs: dict[tuple[str, str], StageCost] = {}
    counted: set[tuple[str, str]] = set()
    for record in records:
        for run in record.runs:
            pipeline = pipelines.get(run.request_id, UNKNOWN_PIPELINE)
            cost = costs.setdefault(
                (pipeline, run.stage), StageCost(pipeline, run.stage)
            )
            cost.runs += 1
            stage_run = (run.request_id, run.stage)
            if run.finished and run.request_id in in_time and stage_run not in counted:
                counted.add(stage_run)
                cost.useful_ms += run.cost_ms
                continue
            cost.wasted_ms += run.cost_ms
    return [costs[name] for name in sorted(costs)]
