"""Stage graph of a pipeline: ready stages, their inputs and critical paths."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from ..config.objects import Pipeline, Stage

__all__ = ("build_input", "find_ready", "measure_critical_path")


def find_ready(
    pipeline: Pipeline, begun: Collection[str], results: Collection[str]
) -> list[Stage]:
    """Return the stages not yet started whose inputs are all among ``results``.

    :param begun: names of the stages that were started, finished or not
    :param results: names of the stages that have a result
    """
    ready: list[Stage] = []
    for stage in pipeline.stages:
        if stage.name in begun:
            continue
        if any(name not in results for name in stage.inputs):
            continue
        ready.append(stage)
    return ready


def build_input(stage: Stage, given: Any, results: Mapping[str, Any]) -> Any:
    """Return the input of ``stage``.

    A stage without declared inputs gets the input of the request; any other one
    gets an object with the result of each stage it declares.
    """
    if not stage.inputs:
        return given
    return {name: results[name] for name in stage.inputs}


def measure_critical_path(pipeline: Pipeline, stage: Stage) -> float:
    """Return the sum of shares along the critical path that starts at ``stage``."""
    lengths: dict[str, float] = {}
    for later in reversed(pipeline.stages):
        downstream = 0.0
        for other in pipeline.stages:
            if later.name in other.inputs:
                downstream = max(downstream, lengths.get(other.name, 0.0))
        lengths[later.name] = later.share + downstream
    return lengths[stage.name]
