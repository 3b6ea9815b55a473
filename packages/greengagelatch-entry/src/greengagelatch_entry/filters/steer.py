"""Steers a request to the pipeline and services that the policies pick for it."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from greengagelatch.config.policy_resolution import resolve_policy

from . import Filter
from .check import SNAPSHOT_NOTE

if TYPE_CHECKING:
    from greengagelatch.config.objects import Pipeline, Stage
    from greengagelatch.config.snapshot import Snapshot
    from greengagelatch.request import Answer, Request

    from . import Exchange, Handler

__all__ = ("PIPELINE_NOTE", "SteerFilter")

#: key of the pipeline to run, among the notes of an exchange
PIPELINE_NOTE = "pipeline"


class SteerFilter(Filter):
    """Applies traffic splits.

    It comes after deduplication: a key belongs to the pipeline that the caller
    named, so a repeat finds the first answer whichever way the split went. What a
    split names and the configuration does not hold any more is passed over, as the
    caller would else be refused for an operator's change.
    """

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        snapshot: Snapshot = exchange.notes[SNAPSHOT_NOTE]
        pipeline = _choose_pipeline(snapshot, exchange.request)
        if pipeline.name != exchange.request.pipeline:
            exchange.request = replace(exchange.request, pipeline=pipeline.name)
        stages = tuple(
            _choose_service(snapshot, exchange.request, stage)
            for stage in pipeline.stages
        )
        if stages != pipeline.stages:
            pipeline = replace(pipeline, stages=stages)
        exchange.notes[PIPELINE_NOTE] = pipeline
        return await proceed(exchange)


def _choose_pipeline(snapshot: Snapshot, request: Request) -> Pipeline:
    named = snapshot.pipelines[request.pipeline]
    split = resolve_policy(snapshot, request.workspace, request.pipeline).pipeline_split
    if split is None:
        return named
    return snapshot.pipelines.get(split.pick(request.request_id), named)


def _choose_service(snapshot: Snapshot, request: Request, stage: Stage) -> Stage:
    steering = resolve_policy(
        snapshot, request.workspace, request.pipeline, stage.service
    )
    split = steering.service_split
    if split is None:
        return stage
    picked = split.pick(request.request_id)
    service = snapshot.services.get(picked)
    if service is None or service.kind is not stage.kind:
        return stage
    return replace(stage, service=picked)
