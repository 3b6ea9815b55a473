"""Tests of greengagelatch.load.deadlines."""

from __future__ import annotations

import pytest

from greengagelatch.config.objects import Pipeline, Stage, StageKind
from greengagelatch.load import Ticket
from greengagelatch.load.deadlines import DeadlinePlan
from greengagelatch.load.durations import DurationTracker


def create_stage(name, *inputs, share=1.0):
    kind = StageKind.PLAIN
    return Stage(name=name, kind=kind, service="s", share=share, inputs=inputs)


PIPELINE = Pipeline(
    name="quote",
    stages=(
        create_stage("encode"),
        create_stage("prices", "encode"),
        create_stage("stock", "encode"),
        create_stage("draft", "prices", "stock", share=6.0),
    ),
)


def create_plan(**durations):
    tracker = DurationTracker()
    for stage, seconds in durations.items():
        for _ in range(20):
            tracker.record(("quote", stage), seconds, 0.0)
    return DeadlinePlan(durations=tracker, find_pipeline={"quote": PIPELINE}.get)


def test_declared_shares_divide_the_deadline_while_nothing_is_measured():
    plan = create_plan()
    assert plan(PIPELINE, PIPELINE.stages[0], 10.0, 18.0) == pytest.approx(11.0)
    assert plan(PIPELINE, PIPELINE.stages[3], 12.0, 18.0) == pytest.approx(18.0)


def test_measured_stages_share_the_time_along_the_critical_path():
    plan = create_plan(encode=0.1, prices=0.1, stock=0.7, draft=1.2)
    encode, prices, stock, draft = PIPELINE.stages
    # 0.1 + 0.7 + 1.2 s along the critical path through the stock
    assert plan(PIPELINE, encode, 0.0, 4.0) == pytest.approx(0.2, rel=0.1)
    assert plan(PIPELINE, stock, 0.2, 4.0) == pytest.approx(1.6, rel=0.1)
    assert plan(PIPELINE, prices, 0.2, 4.0) < plan(PIPELINE, stock, 0.2, 4.0)
    assert plan(PIPELINE, draft, 1.0, 4.0) == 4.0


def test_unmeasured_stage_is_estimated_by_its_share():
    plan = create_plan(encode=0.1, prices=0.1, stock=0.1)
    end = plan(PIPELINE, PIPELINE.stages[0], 0.0, 8.0)
    assert end == pytest.approx(1.0, rel=0.1)


def test_remaining_time_covers_the_stages_after_a_call():
    plan = create_plan(encode=0.1, prices=0.1, stock=0.7, draft=1.2)
    ticket = Ticket(
        request_id="r",
        workspace="w",
        pipeline="quote",
        stage="prices",
        service="s",
        kind=StageKind.PLAIN,
        deadline=1.0,
        stage_deadline=1.0,
    )
    assert plan.estimate_remaining(ticket, 0.0) == pytest.approx(1.2, rel=0.1)
