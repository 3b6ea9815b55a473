"""Tests that the load generator's checker detects every kind of violation."""

from __future__ import annotations

import dataclasses

import pytest

from greengagelatch_lab.fleets import FLEETS, LUZON
from greengagelatch_lab.load import plan_run
from greengagelatch_lab.load.checker import Checker
from greengagelatch_lab.load.costs import compute_costs
from greengagelatch_lab.load.expectation import Expectation
from greengagelatch_lab.load.observations import Observation, RequestOutcome
from greengagelatch_lab.load.records import StageRun, TargetRecord
from greengagelatch_lab.load.report import build_report
from greengagelatch_lab.load.violations import ViolationKind
from greengagelatch_lab.standins.answers import compute_digest

EXPECTATION = Expectation(LUZON.read_pipelines())
ARRIVALS = plan_run(LUZON, seconds=30, scale=1, seed=7)
#: indices of arrivals with a retry that are not repeatable
RETRIED = {item.retry_of for item in ARRIVALS if item.retry_of and not item.repeatable}


def find_arrival(pipeline, *, number=0, retried=False):
    """Return a first attempt for ``pipeline``, with or without a later retry."""
    found = [
        item
        for item in ARRIVALS
        if item.pipeline == pipeline
        and item.retry_of is None
        and (item.index in RETRIED) == retried
    ]
    return found[number]


def find_retry(first):
    return next(item for item in ARRIVALS if item.retry_of == first.index)


def observe_result(arrival, **changes):
    """Return the observation of a correct and complete response in time."""
    result = EXPECTATION.compute_result(arrival.pipeline, arrival.input)
    values = {
        "arrival": arrival,
        "outcome": RequestOutcome.RESULT,
        "instance": "entry-1",
        "status": 200,
        "request_id": f"request-{arrival.index}",
        "verdict": "ran",
        "result": result,
        "latency_seconds": 0.5,
    }
    if arrival.stream:
        texts = tuple(f"{token} " for token in result.split())
        values["tokens"] = tuple(enumerate(texts))
        values["token_latencies"] = tuple(0.01 * n for n in range(1, len(texts) + 1))
        values["count"] = len(texts)
        values["digest"] = compute_digest(texts)
    return Observation(**(values | changes))


def observe_refusal(arrival, verdict="not-run"):
    return observe_result(
        arrival,
        outcome=RequestOutcome.REFUSAL,
        status=503,
        verdict=verdict,
        code="overloaded",
        result=None,
        tokens=(),
    )


def record(*observations, times=1):
    """Return a target's record in which each request ran ``times`` times."""
    runs = []
    effects = {}
    for item in observations:
        arrival = item.arrival
        for stage in EXPECTATION.list_stages(arrival.pipeline):
            effects[(arrival.marker, stage)] = times
            for number in range(times):
                runs.append(
                    StageRun(
                        attempt=f"{item.request_id}-{stage}-{number}",
                        request_id=item.request_id,
                        stage=stage,
                        finished=True,
                        cost_ms=5.0,
                    )
                )
    return TargetRecord(
        target="target-1", service="any", runs=tuple(runs), effects=effects
    )


def check(observations, *records):
    checker = Checker(
        observations=observations, records=records, expectation=EXPECTATION
    )
    return [violation.kind for violation in checker.check()]


@pytest.mark.parametrize("pipeline", EXPECTATION.list_pipelines())
def test_correct_responses_pass(pipeline):
    observations = [observe_result(find_arrival(pipeline, number=n)) for n in range(3)]
    assert check(observations, record(*observations)) == []


def test_replayed_retry_passes():
    first = observe_result(find_arrival("booking", retried=True))
    retry = observe_result(find_retry(first.arrival), replayed=True)
    assert check([first, retry], record(first)) == []


def test_duplicate_run_is_detected():
    """Guards against two bookings for one request.

    A call that is not repeatable is resent after its response was lost. Both run,
    and the record shows two runs and two side effects under one request id.
    """
    item = observe_result(find_arrival("booking"))
    assert set(check([item], record(item, times=2))) == {ViolationKind.DUPLICATE_RUN}


def test_duplicate_effect_of_a_retry_is_detected():
    """Guards against two bookings for one idempotency key.

    A retry reaches another instance, which does not find the claim and runs it.
    Each request id ran once; only the total of the side effects shows the duplicate.
    """
    first = observe_result(find_arrival("booking", retried=True))
    retry = observe_result(find_retry(first.arrival))
    kinds = check([first, retry], record(first), record(retry))
    assert set(kinds) == {ViolationKind.DUPLICATE_RUN}


def test_second_run_of_a_repeatable_stage_passes():
    item = observe_result(find_arrival("status"))
    assert check([item], record(item, times=2)) == []


def test_swapped_results_are_detected():
    """Guards against two callers that receive each other's results.

    The responses of two attempts are swapped on the way back. Each is complete and
    well formed, so that only its content shows the fault.
    """
    one, other = (observe_result(find_arrival("status", number=n)) for n in range(2))
    swapped = [
        dataclasses.replace(one, result=other.result),
        dataclasses.replace(other, result=one.result),
    ]
    assert check(swapped, record(one, other)) == [ViolationKind.MISROUTED] * 2


def test_shared_request_id_is_detected():
    one, other = (observe_result(find_arrival("status", number=n)) for n in range(2))
    other = dataclasses.replace(other, request_id=one.request_id)
    assert ViolationKind.MISROUTED in check([one, other], record(one))


def test_wrong_result_is_detected():
    item = observe_result(find_arrival("status"), result={"digest": "0"})
    assert check([item], record(item)) == [ViolationKind.WRONG_RESULT]


@pytest.mark.parametrize(
    "outcome", [RequestOutcome.DISCONNECTED, RequestOutcome.TIMED_OUT]
)
def test_incomplete_response_is_detected(outcome):
    item = observe_result(find_arrival("shift-plan"), outcome=outcome)
    assert check([item], record(item)) == [ViolationKind[outcome.name]]


def drop_token(item):
    return dataclasses.replace(item, tokens=item.tokens[:3] + item.tokens[4:])


def drop_last_token(item):
    return dataclasses.replace(item, tokens=item.tokens[:-1])


def corrupt_digest(item):
    return dataclasses.replace(item, digest="0" * 16)


@pytest.mark.parametrize("corrupt", [drop_token, drop_last_token, corrupt_digest])
def test_incomplete_stream_is_detected(corrupt):
    item = corrupt(observe_result(find_arrival("shift-plan")))
    assert ViolationKind.INCOMPLETE in check([item], record(item))


def test_wrong_token_before_a_refusal_is_detected():
    item = observe_result(find_arrival("shift-plan"))
    tokens = ((0, "else "),)
    refused = dataclasses.replace(
        observe_refusal(item.arrival, "may-have-run"), tokens=tokens
    )
    assert check([refused], record(item)) == [ViolationKind.WRONG_RESULT]


def test_false_not_run_is_detected():
    """Guards against a second booking by a caller that was told "not run".

    The connection to the target fails after the call was sent, and the instance
    treats the call as never sent. The caller books again, and both bookings remain.
    """
    item = observe_refusal(find_arrival("booking"))
    assert set(check([item], record(item))) == {ViolationKind.FALSE_NOT_RUN}


def test_effect_despite_not_run_is_detected_under_another_id():
    item = observe_refusal(find_arrival("booking"))
    other = dataclasses.replace(item, request_id="request-elsewhere")
    assert set(check([item], record(other))) == {ViolationKind.FALSE_NOT_RUN}


def test_internal_error_is_detected():
    """Guards against a run that passes although a third of its requests were refused.

    An exception while choosing a target refuses every drafting call with the code
    "internal" and the verdict "not run". The verdict is true, so no other check
    reports a violation.
    """
    item = observe_refusal(find_arrival("booking"))
    fault = dataclasses.replace(item, code="internal")
    assert check([fault], record()) == [ViolationKind.INTERNAL_ERROR]


def test_true_not_run_passes():
    assert check([observe_refusal(find_arrival("booking"))], record()) == []


def test_result_without_a_run_is_detected():
    item = observe_result(find_arrival("profile-check"))
    assert check([item], record()) == [ViolationKind.NOT_RECORDED]


def test_incomplete_record_is_detected():
    item = observe_result(find_arrival("status"))
    lost = dataclasses.replace(record(item), dropped=1)
    assert check([item], lost) == [ViolationKind.INCOMPLETE_RECORD]


def test_late_requests_and_duplicate_runs_are_wasted_costs():
    in_time = observe_result(find_arrival("status"))
    late = observe_result(find_arrival("status", number=1), latency_seconds=99.0)
    records = [record(in_time, times=2), record(late)]
    (cost,) = compute_costs([in_time, late], records)
    assert (cost.useful_ms, cost.wasted_ms, cost.runs) == (5.0, 10.0, 3)


def test_report_counts_every_request_once():
    first = observe_result(find_arrival("booking", retried=True))
    observations = [
        first,
        observe_result(find_retry(first.arrival), replayed=True),
        observe_result(find_arrival("status"), latency_seconds=99.0),
        observe_refusal(find_arrival("audit")),
        Observation(arrival=find_arrival("shift-plan"), outcome=RequestOutcome.UNSENT),
    ]
    report = build_report(
        fleet="luzon",
        observations=observations,
        records=[],
        violations=[],
        client_lag=0.0,
    )
    assert (report.total.requests, report.total.in_time) == (4, 1)
    assert report.retries.requests == 1
    assert report.total.refusals == {"overloaded (not-run)": 1}
    assert "all first sends" in report.format()


@pytest.mark.parametrize("fleet", FLEETS.values(), ids=FLEETS)
def test_arrivals_depend_on_the_seed_and_match_the_pipelines(fleet):
    pipelines = fleet.read_pipelines()
    services = {service.name: service.kind for service in fleet.services}
    for pipeline in pipelines.values():
        for stage in pipeline.stages:
            assert services[stage.service] is stage.kind
    arrivals = plan_run(fleet, seconds=5, scale=1, seed=3)
    assert arrivals == plan_run(fleet, seconds=5, scale=1, seed=3)
    assert arrivals != plan_run(fleet, seconds=5, scale=1, seed=4)
    assert {item.pipeline for item in arrivals} == set(pipelines)
    assert [item.offset for item in arrivals] == sorted(
        item.offset for item in arrivals
    )
