"""The handler at the end of the filter chain: runs the request's pipeline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .traffic_split import PIPELINE_KEY

if TYPE_CHECKING:
    from greengagelatch.request import Answer

    from ..pipeline_runner import PipelineRunner
    from . import Exchange

__all__ = ("PipelineHandler",)


class PipelineHandler:
    """Runs the pipeline that was selected for the request."""

    def __init__(self, *, runner: PipelineRunner) -> None:
        self._runner = runner

    async def __call__(self, exchange: Exchange) -> Answer:
        """Run the pipeline and return its answer."""
        return await self._runner.run(exchange, exchange.context[PIPELINE_KEY])
