"""Tests of greengagelatch_entry.filters.feasibility."""

from __future__ import annotations

from greengagelatch.clock import ManualClock
from greengagelatch.config.objects import Pipeline, Policy, PolicyEffect, Workspace
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.load.admission import Admission
from greengagelatch.request import Answer, Request
from greengagelatch.verdict import Verdict
from greengagelatch_entry.filters import Exchange
from greengagelatch_entry.filters.feasibility import FeasibilityFilter
from greengagelatch_entry.filters.lookup import SNAPSHOT_KEY
from greengagelatch_entry.filters.traffic_split import PIPELINE_KEY
from greengagelatch_entry.metrics import Metrics

SNAPSHOT = Snapshot(
    generation=1,
    pipelines={"draft": Pipeline(name="draft", stages=())},
    workspaces={"depot": Workspace(name="depot")},
    policies={
        "first": Policy(
            name="first", effect=PolicyEffect.PRIORITY, values={"priority": "7"}
        ),
        "weigh": Policy(
            name="weigh", effect=PolicyEffect.WEIGHTS, values={"cost": "1"}
        ),
    },
)


class RecordingAdmission(Admission):
    def __init__(self, refusal) -> None:
        self.refusal = refusal
        self.arrivals = []

    def check(self, arrival, now):
        self.arrivals.append(arrival)
        return self.refusal


async def apply_filter(admission):
    """Return the answer to one request, and the pipelines that were run."""
    run = []

    async def proceed(exchange):
        run.append(exchange.request.pipeline)
        return Answer(request_id="r", verdict=Verdict.RAN)

    request = Request(
        request_id="r",
        workspace="depot",
        pipeline="draft",
        input=None,
        received=0.0,
        deadline=1005.0,
    )
    context = {SNAPSHOT_KEY: SNAPSHOT, PIPELINE_KEY: SNAPSHOT.pipelines["draft"]}
    step = FeasibilityFilter(
        admission=admission, clock=ManualClock(), metrics=Metrics("127.0.0.1:9")
    )
    return await step.apply(Exchange(request=request, context=context), proceed), run


async def test_infeasible_request_does_not_run():
    """Guards against a refused request that runs in part but is answered "not run".

    This would happen if admission control ran concurrently with the pipeline.
    """
    refusal = Refusal(code=RefusalCode.OVERLOADED, message="full", retry_after_ms=1500)
    answer, run = await apply_filter(RecordingAdmission(refusal))
    assert run == []
    assert answer.verdict is Verdict.NOT_RUN
    assert answer.refusal == refusal


async def test_admission_control_receives_the_values_of_the_policies():
    admission = RecordingAdmission(None)
    answer, run = await apply_filter(admission)
    assert run == ["draft"]
    assert answer.refusal is None
    (arrival,) = admission.arrivals
    assert arrival.priority == 7
    assert arrival.weights.cost == 1.0
    assert arrival.deadline == 1005.0
