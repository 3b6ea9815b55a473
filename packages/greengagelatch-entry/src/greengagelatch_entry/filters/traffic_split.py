"""Traffic splitting: selects pipeline and services of a request by policy."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from greengagelatch.config.policy_resolution import resolve_policy

from . import Filter
from .lookup import SNAPSHOT_KEY

if TYPE_CHECKING:
    from greengagelatch.config.objects import Pipeline, Stage
    from greengagelatch.config.snapshot import Snapshot
    from greengagelatch.request import Answer, Request

    from . import Exchange, Handler

__all__ = ("PIPELINE_KEY", "TrafficSplitFilter")

#: key of the pipeline to run
PIPELINE_KEY = "pipeline"


class TrafficSplitFilter(Filter):
    """Applies the traffic splits of the policies.

    It comes after deduplication: an idempotency key belongs to the pipeline that the
    caller requested, so a retry finds the first answer whichever pipeline the split
    selects. A split is ignored if its pipeline or service is no longer in the
    configuration, or if the service has another kind than the stage; otherwise an
    operator's change would cause refusals.
    """

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        snapshot: Snapshot = exchange.context[SNAPSHOT_KEY]
        pipeline = _choose_pipeline(snapshot, exchange.request)
        if pipeline.name != exchange.request.pipeline:
            exchange.request = replace(exchange.request, pipeline=pipeline.name)
        stages = tuple(
            _choose_service(snapshot, exchange.request, stage)
            for stage in pipeline.stages
        )
        if stages != pipeline.stages:
            pipeline = replace(pipeline, stages=stages)
        exchange.context[PIPELINE_KEY] = pipeline
        return await proceed(exchange)


def _choose_pipeline(snapshot: Snapshot, request: Request) -> Pipeline:
    named = snapshot.pipelines[request.pipeline]
    split = resolve_policy(snapshot, request.workspace, request.pipeline).pipeline_split
    if split is None:
        return named
    return snapshot.pipelines.get(split.pick(request.request_id), named)


def _choose_service(snapshot: Snapshot, request: Request, stage: Stage) -> Stage:
    policy = resolve_policy(
        snapshot, request.workspace, request.pipeline, stage.service
    )
    split = policy.service_split
    if split is None:
        return stage
    picked = split.pick(request.request_id)
    service = snapshot.services.get(picked)
    if service is None or service.kind is not stage.kind:
        return stage
    return replace(stage, service=picked)
