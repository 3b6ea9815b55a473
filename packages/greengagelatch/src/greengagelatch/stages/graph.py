"""Which stages of a pipeline may start, and what each is given."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

from ..config.objects import Pipeline, Stage

__all__ = ("build_input", "find_ready", "measure_critical_path")


def find_ready(
    pipeline: Pipeline, begun: Collection[str], results: Collection[str]
) -> list[Stage]:
    """Return the stages not yet begun whose inputs are all among ``results``.

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
    """Return what ``stage`` is called with.

    A stage that names no inputs is given the request's own input; any other one
    an object that holds the result of each stage it names.
    """
    if not stage.inputs:
        return given
    return {name: results[name] for name in stage.inputs}


def measure_critical_path(pipeline: Pipeline, stage: Stage) -> float:
    """Return the greatest sum of shares along any way from ``stage`` to an end."""
    lengths: dict[str, float] = {}
    for later in reversed(pipeline.stages):
        below = 0.0
        for other in pipeline.stages:
            if later.name in other.inputs:
                below = max(below, lengths.get(other.name, 0.0))
        lengths[later.name] = later.share + below
    return lengths[stage.name]
