"""Tests of stage decisions: ledger, retries, tokens, hedging, stage graph."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from greengagelatch.config.objects import Pipeline, Stage, StageKind
from greengagelatch.request import Request
from greengagelatch.stages.graph import build_input, find_ready
from greengagelatch.stages.hedging import HedgeRule, choose_hedge_delay
from greengagelatch.stages.ledger import AttemptLedger
from greengagelatch.stages.plan import divide_by_share
from greengagelatch.stages.retries import (
    NoRetryReason,
    RetryRules,
    decide_retry,
    may_retry,
)
from greengagelatch.stages.tokens import StreamedTokens, TokenCheck
from greengagelatch.targets import CallFailure, FailureKind
from greengagelatch.verdict import Verdict

REQUEST_ENDED = {FailureKind.DEADLINE, FailureKind.CANCELLED}


def create_stage(name: str, *inputs: str, share: float = 1.0, **fields) -> Stage:
    return Stage(
        name=name,
        kind=fields.pop("kind", StageKind.PLAIN),
        service="service",
        inputs=inputs,
        share=share,
        **fields,
    )


@given(st.lists(st.tuples(st.booleans(), st.sampled_from(Verdict))))
def test_verdict_never_falls(steps):
    """Guards against refusing a request as "not run" that ran at a target.

    An attempt is sent and the request abandoned before the answer. An attempt that
    is recorded only with its answer would be missing from the verdict.
    """
    ledger = AttemptLedger()
    highest = Verdict.NOT_RUN
    for number, (settled, verdict) in enumerate(steps):
        ledger.begin(str(number), "target")
        assert ledger.verdict >= Verdict.MAY_HAVE_RUN
        if not settled:
            highest = max(highest, Verdict.MAY_HAVE_RUN)
            continue
        ledger.settle(str(number), verdict)
        ledger.settle(str(number), Verdict.NOT_RUN)
        highest = max(highest, verdict)
        assert ledger.verdict >= highest
    assert ledger.verdict == highest


@pytest.mark.parametrize(
    ("kind", "verdict", "repeatable"),
    list(product(FailureKind, Verdict, (True, False))),
)
def test_call_that_may_have_run_is_retried_only_where_allowed(
    kind, verdict, repeatable
):
    """Guards against executing a side effect such as a booking twice.

    A call fails after it was sent and is retried on another target. A decision by
    the kind of failure instead of the verdict would allow that.
    """
    failure = CallFailure(kind=kind, verdict=verdict, message="")
    reason = decide_retry(
        RetryRules(), failure, repeatable=repeatable, attempts=1, remaining=1.0
    )
    if kind in REQUEST_ENDED:
        assert reason is NoRetryReason.OVER
    elif not repeatable and verdict is not Verdict.NOT_RUN:
        assert reason is NoRetryReason.NOT_REPEATABLE
    else:
        assert reason is None


def test_retries_are_bounded():
    failure = CallFailure(kind=FailureKind.CONNECT, verdict=Verdict.NOT_RUN, message="")
    rules = RetryRules(max_attempts=2, min_remaining=0.1)
    decide = {"repeatable": True}
    assert decide_retry(rules, failure, attempts=1, remaining=1, **decide) is None
    late = decide_retry(rules, failure, attempts=1, remaining=0.05, **decide)
    assert late is NoRetryReason.NO_TIME
    often = decide_retry(rules, failure, attempts=2, remaining=1, **decide)
    assert often is NoRetryReason.ATTEMPTS


def test_caller_that_forbids_retries_protects_undeclared_plain_services():
    """Guards against retrying a side effect although the caller forbids retries.

    The operator left the stage's ``repeatable`` at its default, and the connection
    of a call breaks. The declaration of the stage alone would allow a retry.
    """
    request = Request(
        request_id="request",
        workspace="workspace",
        pipeline="pipeline",
        input=None,
        received=0,
        deadline=1,
        repeatable=False,
    )
    assert not may_retry(create_stage("hold"), request)
    assert may_retry(create_stage("scan", kind=StageKind.RETRIEVE), request)
    forbidden = create_stage("scan", kind=StageKind.RETRIEVE, repeatable=False)
    assert not may_retry(forbidden, request)


def test_tokens_are_never_repeated_or_contradicted():
    """Guards against a caller that reads half of one answer and half of another.

    A stream breaks and another target starts again from offset zero. Its tokens
    must be compared with those already sent.
    """
    sent_tokens = StreamedTokens()
    assert sent_tokens.append(0, "a") is TokenCheck.NEW
    assert sent_tokens.append(1, "b") is TokenCheck.NEW
    assert sent_tokens.append(0, "a") is TokenCheck.REPEATED
    assert sent_tokens.append(1, "x") is TokenCheck.CONTRADICTION
    assert sent_tokens.append(3, "d") is TokenCheck.GAP
    assert sent_tokens.tokens == ("a", "b")


# with the opposite order of addition the result is exactly 1.0 here and 0.3999...
# in the assertion
@example(median=0.4, spread=1.0, remaining=1.0)
@given(
    median=st.floats(0.001, 10),
    spread=st.floats(1, 10),
    remaining=st.floats(-1, 60),
)
def test_hedge_is_late_enough_and_in_time(median, spread, remaining):
    rule = HedgeRule()
    late = median * spread
    delay = choose_hedge_delay(rule, median=median, late=late, remaining=remaining)
    if delay is None:
        assert remaining - rule.min_remaining_medians * median < late
        return
    assert delay >= late
    assert remaining - delay >= rule.min_remaining_medians * median * 0.999


def test_unmeasured_stage_is_hedged_after_half_of_its_time():
    assert choose_hedge_delay(HedgeRule(), median=0, late=0, remaining=2) == 1


def test_stages_start_once_their_inputs_are_there():
    pipeline = Pipeline(
        name="draft",
        stages=(
            create_stage("encode"),
            create_stage("stock"),
            create_stage("retrieve", "encode"),
            create_stage("write", "retrieve", "stock", share=2.0),
        ),
    )
    names = [stage.name for stage in find_ready(pipeline, set(), {})]
    assert names == ["encode", "stock"]
    results = {"encode": 1, "stock": 2}
    ready = find_ready(pipeline, {"encode", "stock"}, results)
    assert [stage.name for stage in ready] == ["retrieve"]
    write = pipeline.stages[-1]
    assert not find_ready(pipeline, {"encode", "stock", "retrieve"}, results)
    assert build_input(write, "given", results | {"retrieve": 3}) == {
        "retrieve": 3,
        "stock": 2,
    }
    assert build_input(pipeline.stages[0], "given", {}) == "given"
    # a quarter of the path for each of encode and retrieve, half for write
    assert divide_by_share(pipeline, pipeline.stages[0], 0.0, 4.0) == 1.0
    assert divide_by_share(pipeline, write, 3.0, 4.0) == 4.0
