"""The load tool's checker catches every kind of broken promise."""

from __future__ import annotations

import dataclasses

import pytest

from greengagelatch_lab.fleets import FLEETS, LUZON
from greengagelatch_lab.load import plan_run
from greengagelatch_lab.load.checker import Checker
from greengagelatch_lab.load.costs import measure_costs
from greengagelatch_lab.load.expectation import Expectation
from greengagelatch_lab.load.observations import Ending, Observation
from greengagelatch_lab.load.records import StageRecord, TargetRecord
from greengagelatch_lab.load.report import build_report
from greengagelatch_lab.load.violations import ViolationKind
from greengagelatch_lab.standins.answers import compute_digest

EXPECTATION = Expectation(LUZON.read_pipelines())
ARRIVALS = plan_run(LUZON, seconds=30, scale=1, seed=7)
REPEATS = {
    item.repeat_of for item in ARRIVALS if item.repeat_of and not item.repeatable
}


def find_arrival(pipeline, *, number=0, repeated=False):
    """Return a first send to ``pipeline``, one with a repeat if so asked."""
    found = [
        item
        for item in ARRIVALS
        if item.pipeline == pipeline
        and item.repeat_of is None
        and (item.index in REPEATS) == repeated
    ]
    return found[number]


def find_repeat(first):
    return next(item for item in ARRIVALS if item.repeat_of == first.index)


def answer(arrival, **changes):
    """Return the observation of a right, whole and timely answer."""
    result = EXPECTATION.expect_result(arrival.pipeline, arrival.input)
    values = {
        "arrival": arrival,
        "ending": Ending.RESULT,
        "instance": "entry-1",
        "status": 200,
        "request_id": f"request-{arrival.index}",
        "verdict": "ran",
        "result": result,
        "seconds": 0.5,
    }
    if arrival.stream:
        texts = tuple(f"{word} " for word in result.split())
        values["tokens"] = tuple(enumerate(texts))
        values["token_seconds"] = tuple(0.01 * n for n in range(1, len(texts) + 1))
        values["count"] = len(texts)
        values["digest"] = compute_digest(texts)
    return Observation(**(values | changes))


def refuse(arrival, verdict="not-run"):
    return answer(
        arrival,
        ending=Ending.REFUSAL,
        status=503,
        verdict=verdict,
        code="overloaded",
        result=None,
        tokens=(),
    )


def record(*observations, times=1):
    """Return a target's record in which each observed request ran ``times``."""
    runs = []
    effects = {}
    for item in observations:
        arrival = item.arrival
        for stage in EXPECTATION.list_stages(arrival.pipeline):
            effects[(arrival.marker, stage)] = times
            for number in range(times):
                runs.append(
                    StageRecord(
                        attempt=f"{item.request_id}-{stage}-{number}",
                        request=item.request_id,
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
def test_whole_and_right_answers_pass(pipeline):
    observations = [answer(find_arrival(pipeline, number=n)) for n in range(3)]
    assert check(observations, record(*observations)) == []


def test_repeat_that_is_replayed_passes():
    first = answer(find_arrival("booking", repeated=True))
    repeat = answer(find_repeat(first.arrival), replayed=True)
    assert check([first, repeat], record(first)) == []


def test_doubled_run_is_caught():
    """Two bookings for one request.

    A call that may not be repeated is sent again after its answer was lost; both
    run, and the record shows two runs and two effects under one request id.
    """
    item = answer(find_arrival("booking"))
    assert set(check([item], record(item, times=2))) == {ViolationKind.DOUBLED}


def test_doubled_effect_of_a_repeat_is_caught():
    """One key, two bookings, each under its own request id.

    A repeat reaches another instance, which does not find the claim and runs it;
    neither request id ran twice, only the effect's total shows the double.
    """
    first = answer(find_arrival("booking", repeated=True))
    repeat = answer(find_repeat(first.arrival))
    kinds = check([first, repeat], record(first), record(repeat))
    assert set(kinds) == {ViolationKind.DOUBLED}


def test_rerun_of_a_repeatable_stage_passes():
    item = answer(find_arrival("status"))
    assert check([item], record(item, times=2)) == []


def test_crossed_answers_are_caught():
    """Two callers get each other's answers.

    Answers of two attempts are swapped on their way back; each is whole and of the
    right form, and only its content tells.
    """
    one, other = (answer(find_arrival("status", number=n)) for n in range(2))
    swapped = [
        dataclasses.replace(one, result=other.result),
        dataclasses.replace(other, result=one.result),
    ]
    assert check(swapped, record(one, other)) == [ViolationKind.CROSSED] * 2


def test_shared_request_id_is_caught():
    one, other = (answer(find_arrival("status", number=n)) for n in range(2))
    other = dataclasses.replace(other, request_id=one.request_id)
    assert ViolationKind.CROSSED in check([one, other], record(one))


def test_wrong_result_is_caught():
    item = answer(find_arrival("status"), result={"digest": "0"})
    assert check([item], record(item)) == [ViolationKind.WRONG]


@pytest.mark.parametrize("ending", [Ending.CUT, Ending.SILENT])
def test_answer_without_end_is_caught(ending):
    item = answer(find_arrival("shift-plan"), ending=ending)
    assert check([item], record(item)) == [ViolationKind[ending.name]]


def drop_token(item):
    return dataclasses.replace(item, tokens=item.tokens[:3] + item.tokens[4:])


def drop_end(item):
    return dataclasses.replace(item, tokens=item.tokens[:-1])


def spoil_digest(item):
    return dataclasses.replace(item, digest="0" * 16)


@pytest.mark.parametrize("spoil", [drop_token, drop_end, spoil_digest])
def test_stream_that_is_not_whole_is_caught(spoil):
    item = spoil(answer(find_arrival("shift-plan")))
    assert ViolationKind.INCOMPLETE in check([item], record(item))


def test_contradicted_token_before_a_refusal_is_caught():
    item = answer(find_arrival("shift-plan"))
    tokens = ((0, "else "),)
    refused = dataclasses.replace(refuse(item.arrival, "may-have-run"), tokens=tokens)
    assert check([refused], record(item)) == [ViolationKind.WRONG]


def test_false_not_run_is_caught():
    """A caller told "not run" books again elsewhere, and both bookings stand.

    The connection to the target fails after the call was sent, and the instance
    takes this for a call that was never sent.
    """
    item = refuse(find_arrival("booking"))
    assert set(check([item], record(item))) == {ViolationKind.FALSE_NOT_RUN}


def test_effect_behind_a_not_run_is_caught_without_its_id():
    item = refuse(find_arrival("booking"))
    other = dataclasses.replace(item, request_id="request-elsewhere")
    assert set(check([item], record(other))) == {ViolationKind.FALSE_NOT_RUN}


def test_error_inside_an_instance_is_caught():
    """A run is called good although a third of its requests were refused.

    An exception in the choice of a target refuses every drafting call with
    "internal", "not run". The refusal is true, so no promise to the caller is
    broken, and nothing but a look at the report shows that something is wrong.
    """
    item = refuse(find_arrival("booking"))
    fault = dataclasses.replace(item, code="internal")
    assert check([fault], record()) == [ViolationKind.FAULT]


def test_true_not_run_passes():
    assert check([refuse(find_arrival("booking"))], record()) == []


def test_result_without_a_run_is_caught():
    item = answer(find_arrival("profile-check"))
    assert check([item], record()) == [ViolationKind.NOT_RECORDED]


def test_lost_record_is_caught():
    item = answer(find_arrival("status"))
    lost = dataclasses.replace(record(item), dropped=1)
    assert check([item], lost) == [ViolationKind.RECORD_LOST]


def test_costs_of_late_requests_and_of_further_runs_are_waste():
    in_time = answer(find_arrival("status"))
    late = answer(find_arrival("status", number=1), seconds=99.0)
    records = [record(in_time, times=2), record(late)]
    (cost,) = measure_costs([in_time, late], records)
    assert (cost.useful_ms, cost.wasted_ms, cost.runs) == (5.0, 10.0, 3)


def test_report_counts_every_request_once():
    first = answer(find_arrival("booking", repeated=True))
    observations = [
        first,
        answer(find_repeat(first.arrival), replayed=True),
        answer(find_arrival("status"), seconds=99.0),
        refuse(find_arrival("audit")),
        Observation(arrival=find_arrival("shift-plan"), ending=Ending.UNSENT),
    ]
    report = build_report(
        fleet="luzon",
        observations=observations,
        records=[],
        violations=[],
        client_lag=0.0,
    )
    assert (report.total.made, report.total.in_time) == (4, 1)
    assert report.repeats.made == 1
    assert report.total.refusals == {"overloaded (not-run)": 1}
    assert "all first sends" in report.format()


@pytest.mark.parametrize("fleet", FLEETS.values(), ids=FLEETS)
def test_arrivals_follow_the_seed_and_fit_the_objects(fleet):
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
