"""Tests of greengagelatch_entry.filters.traffic_split."""

from __future__ import annotations

from collections import Counter

from greengagelatch.config.objects import (
    Pipeline,
    Policy,
    PolicyEffect,
    Service,
    Stage,
    StageKind,
    Workspace,
)
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.request import Answer, Request
from greengagelatch.verdict import Verdict
from greengagelatch_entry.filters import Exchange
from greengagelatch_entry.filters.lookup import SNAPSHOT_KEY
from greengagelatch_entry.filters.traffic_split import PIPELINE_KEY, TrafficSplitFilter

REQUESTS = 400


def create_snapshot(**values):
    stage = Stage(name="write", kind=StageKind.GENERATE, service="llm")
    names = ("draft", "draft-next")
    policy = Policy(name="canary", effect=PolicyEffect.SPLIT, values=values)
    return Snapshot(
        generation=1,
        pipelines={name: Pipeline(name=name, stages=(stage,)) for name in names},
        services={
            "llm": Service(name="llm", kind=StageKind.GENERATE),
            "llm-next": Service(name="llm-next", kind=StageKind.GENERATE),
            "desk": Service(name="desk", kind=StageKind.PLAIN),
        },
        workspaces={"depot": Workspace(name="depot")},
        policies={"canary": policy},
    )


async def apply_filter(snapshot, number=0):
    """Return the exchange of one request after the filter was applied."""
    request = Request(
        request_id=f"request-{number}",
        workspace="depot",
        pipeline="draft",
        input=None,
        received=0.0,
        deadline=1.0,
    )
    exchange = Exchange(request=request, context={SNAPSHOT_KEY: snapshot})

    async def proceed(passed):
        return Answer(request_id=passed.request.request_id, verdict=Verdict.NOT_RUN)

    await TrafficSplitFilter().apply(exchange, proceed)
    return exchange


async def test_pipelines_receive_their_share_of_the_requests():
    snapshot = create_snapshot(to_pipelines="draft=3, draft-next=1")
    counts = Counter()
    for number in range(REQUESTS):
        exchange = await apply_filter(snapshot, number)
        assert exchange.context[PIPELINE_KEY].name == exchange.request.pipeline
        counts[exchange.request.pipeline] += 1
    assert counts["draft"] + counts["draft-next"] == REQUESTS
    assert REQUESTS / 8 < counts["draft-next"] < REQUESTS * 3 / 8


async def test_services_receive_their_share_of_the_calls_of_a_stage():
    snapshot = create_snapshot(to_services="llm=1, llm-next=1")
    counts = Counter()
    for number in range(REQUESTS):
        (stage,) = (await apply_filter(snapshot, number)).context[PIPELINE_KEY].stages
        counts[stage.service] += 1
    assert set(counts) == {"llm", "llm-next"}
    assert min(counts.values()) > REQUESTS / 3


async def test_missing_or_unsuitable_names_are_ignored():
    """Guards against refusals right after an operator deletes a pipeline.

    A split names a pipeline that was deleted, or a service whose kind was changed.
    Requests of that share must run as if there were no split.
    """
    for values in ({"to_pipelines": "gone=1"}, {"to_services": "desk=1"}):
        pipeline = (await apply_filter(create_snapshot(**values))).context[PIPELINE_KEY]
        assert pipeline.name == "draft"
        assert pipeline.stages[0].service == "llm"
