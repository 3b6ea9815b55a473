"""Tests of greengagelatch_entry.pipeline_runner with scripted targets."""

from __future__ import annotations

import asyncio
import random
from itertools import product

import pytest
from result import Err, Ok

from greengagelatch.clock import SystemClock
from greengagelatch.config.objects import Pipeline, Stage, StageKind
from greengagelatch.errors import RefusalCode
from greengagelatch.load.round_robin import RoundRobinDispatcher
from greengagelatch.request import Request
from greengagelatch.targets import CallFailure, FailureKind, StageAnswer, Target
from greengagelatch.verdict import Verdict
from greengagelatch_entry.filters import Exchange
from greengagelatch_entry.metrics import Metrics
from greengagelatch_entry.pipeline_runner import PipelineRunner
from greengagelatch_entry.stage_caller import StageCaller
from greengagelatch_lab.scripted import (
    CountingDispatcher,
    FixedDirectory,
    ScriptedClient,
)
from greengagelatch_lab.waiting import wait_until

SERVICE = "service"
TOKENS = ("a", "b", "c", "d")


class Harness:
    """A stage runner over scripted targets."""

    def __init__(self, script, *, targets=3, before_grant=None):
        self.clock = SystemClock()
        self.directory = FixedDirectory(
            Target(f"target-{number}", SERVICE, "hall", "127.0.0.1:1")
            for number in range(targets)
        )
        inner_dispatcher = RoundRobinDispatcher(
            directory=self.directory, clock=self.clock
        )
        self.dispatcher = CountingDispatcher(inner_dispatcher, before_grant)
        self.client = ScriptedClient(script)
        self.metrics = Metrics("127.0.0.1:9")
        self.stage_caller = StageCaller(
            dispatcher=self.dispatcher,
            directory=self.directory,
            client=self.client,
            clock=self.clock,
            random_source=random.Random(7),
            metrics=self.metrics,
        )
        self.runner = PipelineRunner(
            stage_caller=self.stage_caller, clock=self.clock, metrics=self.metrics
        )
        self.received_tokens = []

    def create_exchange(self, *, budget=5.0, stream=False, **fields):
        now = self.clock.now()
        request = Request(
            request_id="request-1",
            workspace="north-commuter",
            pipeline="booking",
            input="given",
            received=now,
            deadline=now + budget,
            stream=stream,
            **fields,
        )
        exchange = Exchange(request=request)
        if stream:
            exchange.on_token = lambda *token: self.received_tokens.append(token)
        return exchange

    async def run(self, pipeline, **fields):
        exchange = self.create_exchange(**fields)
        answer = await self.runner.run(exchange, pipeline)
        await self.stage_caller.close()
        assert not self.dispatcher.find_leaks()
        assert answer.verdict is exchange.verdict
        if answer.refusal is not None:
            assert answer.refusal.verdict is exchange.verdict
        return answer


def create_pipeline(*stages, **fields):
    return Pipeline(name="booking", stages=stages or (create_stage("book", **fields),))


def create_stage(name, *inputs, kind=StageKind.PLAIN, repeatable=True):
    return Stage(
        name=name, kind=kind, service=SERVICE, repeatable=repeatable, inputs=inputs
    )


def fail(kind, verdict=Verdict.MAY_HAVE_RUN, **fields):
    return Err(CallFailure(kind=kind, verdict=verdict, message="scripted", **fields))


def answer_all(output="done"):
    async def script(target, call, on_token):
        return Ok(StageAnswer(output=output, cost=0.01))

    return script


def fail_first(failure, times=1):
    """Return a script that fails ``times`` calls and then answers."""
    remaining = [times]

    async def script(target, call, on_token):
        if remaining[0] > 0:
            remaining[0] -= 1
            return failure
        return Ok(StageAnswer(output="done"))

    return script


FAULTS = list(product(FailureKind, Verdict, (True, False)))


@pytest.mark.parametrize(("kind", "verdict", "repeatable"), FAULTS)
async def test_fault_matrix_of_one_call(kind, verdict, repeatable):
    """Guards against duplicate execution and against wrong verdicts "not run".

    The first call of a stage fails once, in every possible way. Retry and verdict
    must follow from what the failure proves about execution.
    """
    harness = Harness(fail_first(fail(kind, verdict)))
    answer = await harness.run(create_pipeline(repeatable=repeatable))
    over = kind in (FailureKind.DEADLINE, FailureKind.CANCELLED)
    retried = not over and (repeatable or verdict is Verdict.NOT_RUN)
    assert len(harness.client.calls) == (2 if retried else 1)
    if retried:
        assert answer.result == "done"
        assert answer.verdict is Verdict.RAN
        first, second = (target.target_id for target, _ in harness.client.calls)
        if kind is not FailureKind.CANNOT_RESUME:
            assert first != second
        return
    assert answer.verdict is verdict
    if verdict is not Verdict.NOT_RUN and not repeatable:
        # with the hint the caller would run the request a second time
        assert answer.refusal.retry_after_ms is None


async def test_refusal_by_every_target_is_not_run():
    """Guards against a verdict "may have run" for a request that no target ran.

    Each target answers "not run". Sending a call must not raise the verdict for good,
    or a request that is not repeatable could never be retried.
    """
    refused = fail(FailureKind.TARGET_REFUSED, Verdict.NOT_RUN, retry_after_ms=70)
    harness = Harness(fail_first(refused, times=10))
    answer = await harness.run(create_pipeline(repeatable=False))
    assert answer.refusal.code is RefusalCode.OVERLOADED
    assert answer.verdict is Verdict.NOT_RUN
    assert answer.refusal.retry_after_ms == 70


@pytest.mark.parametrize("kind", [FailureKind.CONNECT, FailureKind.DISCONNECTED])
async def test_only_retries_of_calls_that_connected_use_the_retry_budget(kind):
    """Guards against failed requests due to one dead replica of three.

    A third of all calls fail to connect. If their retries counted against the retry
    budget, they would exhaust it although two replicas are idle.
    """
    harness = Harness(fail_first(fail(kind, Verdict.NOT_RUN)))
    await harness.run(create_pipeline())
    charged = [ticket.retry for ticket in harness.dispatcher.tickets]
    assert charged == [False, kind is FailureKind.DISCONNECTED]


async def test_verdict_of_an_earlier_stage_is_kept():
    """Guards against a verdict "not run" of a request whose first stage ran."""

    async def script(target, call, on_token):
        if call.stage == "check":
            return Ok(StageAnswer(output=1))
        return fail(FailureKind.CONNECT, Verdict.NOT_RUN)

    harness = Harness(script)
    pipeline = create_pipeline(create_stage("check"), create_stage("book", "check"))
    answer = await harness.run(pipeline)
    assert answer.verdict is Verdict.RAN


async def test_single_replica_is_retried_on_a_new_connection():
    """Guards against a service with one replica failing on a broken connection."""
    harness = Harness(fail_first(fail(FailureKind.DISCONNECTED)), targets=1)
    answer = await harness.run(create_pipeline())
    assert answer.result == "done"


async def test_target_that_leaves_while_a_call_is_queued_gets_no_call():
    """Guards against new calls to a leaving target.

    The target begins to leave while a call is queued, and the call is then granted to
    it. The directory must be checked after the grant as well.
    """

    def leave(ticket):
        if not harness.directory.leaving:
            harness.directory.mark_leaving("target-0")

    harness = Harness(answer_all(), before_grant=leave)
    answer = await harness.run(create_pipeline(repeatable=False))
    assert answer.result == "done"
    assert [target.target_id for target, _ in harness.client.calls] == ["target-2"]


async def test_candidate_that_accepts_no_calls_does_not_block_the_event_loop():
    """Guards against a blocked event loop if a granted target never accepts calls.

    The candidates still contain a target that accepts no calls. The call must not be
    moved to other targets forever without yielding to the event loop.
    """
    harness = Harness(answer_all(), targets=1)
    harness.directory.accepts = lambda target_id: False
    answer = await harness.run(create_pipeline())
    assert answer.refusal.code is RefusalCode.NO_TARGET
    assert answer.verdict is Verdict.NOT_RUN


async def test_leaving_flag_of_an_answer_marks_the_target_as_leaving():
    async def script(target, call, on_token):
        return Ok(StageAnswer(output=1, leaving=True))

    harness = Harness(script)
    await harness.run(create_pipeline())
    assert harness.directory.leaving == {"target-0"}


async def test_deadline_cancels_the_call_at_its_target():
    """Guards against targets that continue to process calls after their deadline.

    The deadline passes while the target processes the call; the call must be
    cancelled at the target.
    """

    async def script(target, call, on_token):
        await asyncio.Event().wait()

    harness = Harness(script)
    answer = await harness.run(create_pipeline(repeatable=False), budget=0.05)
    assert answer.refusal.code is RefusalCode.DEADLINE
    assert answer.verdict is Verdict.MAY_HAVE_RUN
    assert harness.client.cancelled == [harness.client.calls[0][1].attempt_id]


async def test_disconnected_caller_cancels_the_call_at_its_target():
    """Guards against an engine that stays busy with an abandoned call.

    The caller closes its connection, which cancels the handler. The call must be
    cancelled at the target and its grant released.
    """

    async def script(target, call, on_token):
        await asyncio.Event().wait()

    harness = Harness(script)
    exchange = harness.create_exchange()
    task = asyncio.create_task(harness.runner.run(exchange, create_pipeline()))
    await wait_until(lambda: harness.client.calls, what="call sent")
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    await harness.stage_caller.close()
    assert exchange.verdict is Verdict.MAY_HAVE_RUN
    assert not harness.dispatcher.find_leaks()
    assert harness.client.cancelled == [harness.client.calls[0][1].attempt_id]


@pytest.mark.parametrize("silent_calls", [1, 2])
async def test_silent_call_is_hedged(silent_calls):
    """Guards against requests that reach their deadline although targets are idle.

    The connection to the first target is open but gets no data, so that no error
    occurs. The call must be hedged before its deadline.
    """

    async def script(target, call, on_token):
        if len(harness.client.calls) <= silent_calls:
            await asyncio.Event().wait()
        return Ok(StageAnswer(output="done"))

    harness = Harness(script)
    answer = await harness.run(create_pipeline(), budget=0.4)
    if silent_calls == 2:
        # at most one backup call, so as not to overload a service that does not answer
        assert answer.refusal.code is RefusalCode.DEADLINE
        assert len(harness.client.calls) == 2
        return
    assert answer.result == "done"
    first, second = harness.client.calls
    assert first[0] != second[0]
    assert harness.client.cancelled == [first[1].attempt_id]
    assert harness.dispatcher.tickets[1].retry
    # the silent target gets a failure: otherwise calls would still be sent to it
    kinds = [outcome.kind for outcome in harness.dispatcher.outcomes]
    assert sorted(kind.value for kind in kinds) == ["failure", "success"]


async def test_silent_call_that_is_not_repeatable_is_not_hedged():
    """Guards against duplicate execution of a call that is only slow."""

    async def script(target, call, on_token):
        await asyncio.Event().wait()

    harness = Harness(script)
    answer = await harness.run(create_pipeline(repeatable=False), budget=0.2)
    assert len(harness.client.calls) == 1
    assert answer.verdict is Verdict.MAY_HAVE_RUN


async def test_failure_of_one_branch_cancels_the_other():
    """Guards against a refused request that continues to use targets.

    Two stages run concurrently and one fails; the other one must be cancelled.
    """

    async def script(target, call, on_token):
        if call.stage == "stock":
            await asyncio.Event().wait()
        return fail(FailureKind.TARGET_ERROR)

    harness = Harness(script)
    stock = create_stage("stock", repeatable=False)
    price = create_stage("price", repeatable=False)
    pipeline = create_pipeline(stock, price, create_stage("write", "stock", "price"))
    answer = await harness.run(pipeline)
    assert answer.refusal.value == "price"
    assert {call.stage for _, call in harness.client.calls} == {"stock", "price"}
    stopped = [c.attempt_id for _, c in harness.client.calls if c.stage == "stock"]
    assert harness.client.cancelled == stopped


def create_stream(*attempts):
    """Return a script; each attempt has its tokens by offset and its final result."""
    queue = list(attempts)

    async def script(target, call, on_token):
        texts, end = queue.pop(0)
        for offset in range(call.resume_at, len(texts)):
            on_token(offset, texts[offset])
        if end is None:
            return Ok(StageAnswer(output="".join(texts), tokens=tuple(texts)))
        return end

    return script


INTERRUPTED = fail(FailureKind.DISCONNECTED, Verdict.RAN)
RESUME_FAILED = fail(FailureKind.CANNOT_RESUME)
DRAFT = Stage(name="write", kind=StageKind.GENERATE, service=SERVICE)


@pytest.mark.parametrize(
    ("attempts", "offsets"),
    [
        ([(TOKENS[:2], INTERRUPTED), (TOKENS, None)], [0, 2]),
        (
            [(TOKENS[:2], INTERRUPTED), (TOKENS[:2], RESUME_FAILED), (TOKENS, None)],
            [0, 2, 0],
        ),
        ([(TOKENS, INTERRUPTED), (TOKENS, None)], [0, 4]),
        ([((), INTERRUPTED), (TOKENS, None)], [0, 0]),
    ],
)
async def test_interrupted_stream_continues_without_a_gap(attempts, offsets):
    """Guards against gaps and repeated tokens in an interrupted stream.

    The connection of the stream is lost. Another engine resumes it, or starts again
    if it can't; the next attempt must continue at the current offset.
    """
    harness = Harness(create_stream(*attempts))
    answer = await harness.run(create_pipeline(DRAFT), stream=True)
    assert answer.result == "abcd"
    assert harness.received_tokens == list(enumerate(TOKENS))
    assert [call.resume_at for _, call in harness.client.calls] == offsets


async def test_stream_that_contradicts_sent_tokens_is_refused():
    """Guards against a stream that contradicts its earlier tokens.

    The stream is interrupted, no engine can resume it, and the repeated stream
    differs from the tokens already sent. It must not be forwarded.
    """
    harness = Harness(
        create_stream(
            (TOKENS[:2], INTERRUPTED),
            ((), RESUME_FAILED),
            (("a", "x", "y"), None),
            (TOKENS, None),
        )
    )
    answer = await harness.run(create_pipeline(DRAFT), stream=True)
    assert answer.refusal.code is RefusalCode.STAGE_FAILED
    assert answer.verdict is Verdict.RAN
    assert harness.received_tokens == [(0, "a"), (1, "b")]


async def test_stream_that_is_not_repeatable_is_not_resumed():
    harness = Harness(create_stream((TOKENS[:2], INTERRUPTED), (TOKENS, None)))
    stage = Stage(
        name="write", kind=StageKind.GENERATE, service=SERVICE, repeatable=False
    )
    answer = await harness.run(create_pipeline(stage), stream=True)
    assert len(harness.client.calls) == 1
    assert answer.verdict is Verdict.RAN


async def test_wasted_cost_is_counted_separately():
    async def script(target, call, on_token):
        if call.stage == "check":
            return Ok(StageAnswer(output=1, cost=0.03))
        return fail(FailureKind.TARGET_ERROR)

    harness = Harness(script)
    pipeline = create_pipeline(create_stage("check"), create_stage("book", "check"))
    await harness.run(pipeline)
    assert harness.metrics.value("cost.booking.check.wasted_ms") == 30
    assert harness.metrics.value("cost.booking.check.useful_ms") == 0
