"""The expected result of a request, computed from its input."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from greengagelatch.stages.graph import build_input

from ..standins.answers import expected_output

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagelatch.config.objects import Pipeline

__all__ = ("Expectation",)


class Expectation:
    """Computes expected results from the configured pipelines."""

    def __init__(self, pipelines: Mapping[str, Pipeline]) -> None:
        self._pipelines = pipelines

    def list_pipelines(self) -> tuple[str, ...]:
        """Return the names of all pipelines."""
        return tuple(self._pipelines)

    def compute_result(self, pipeline_name: str, pipeline_input: Any) -> Any:
        """Return the expected result of a pipeline for the input ``pipeline_input``.

        If the last stage generates, this is the text of all its tokens.
        """
        pipeline = self._pipelines[pipeline_name]
        results: dict[str, Any] = {}
        for stage in pipeline.stages:
            stage_input = build_input(stage, pipeline_input, results)
            results[stage.name] = expected_output(
                pipeline.name, stage.name, stage.kind, stage_input
            )
        return results[pipeline.stages[-1].name]

    def list_stages(self, pipeline_name: str) -> tuple[str, ...]:
        """Return the names of a pipeline's stages."""
        return tuple(stage.name for stage in self._pipelines[pipeline_name].stages)

    def find_unrepeatable(self, pipeline_name: str) -> frozenset[str]:
        """Return the names of the stages that must not run twice for a request."""
        stages = self._pipelines[pipeline_name].stages
        return frozenset(stage.name for stage in stages if not stage.repeatable)
