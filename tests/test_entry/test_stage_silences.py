"""Tests of calls to targets that fall silent in an answer and go on."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest

from greengagelatch.clock import SystemClock
from greengagelatch.config.objects import Pipeline, Stage, StageKind
from greengagelatch.events import EventBus
from greengagelatch.load.budgets import BudgetRule
from greengagelatch.load.durations import DurationTracker
from greengagelatch.load.scheduler import RETRY_BUDGET, Scheduler, SchedulerRule
from greengagelatch.request import Request
from greengagelatch.stages.hedging import HedgeRule
from greengagelatch.stages.retries import RetryRules
from greengagelatch.targets import Target
from greengagelatch.verdict import Verdict
from greengagelatch_entry.adapters.targets import HttpTargetClient, TargetLimits
from greengagelatch_entry.controllers.scheduling import SchedulingController
from greengagelatch_entry.filters import Exchange
from greengagelatch_entry.metrics import Metrics
from greengagelatch_entry.pipeline_runner import PipelineRunner
from greengagelatch_entry.stage_caller import StageCaller
from greengagelatch_lab.scripted import FixedDirectory
from greengagelatch_lab.standins.scripted_server import (
    STREAM_HEAD,
    ScriptedServer,
    encode_answer,
    encode_end,
    encode_token,
)
from greengagelatch_lab.waiting import wait_until

SERVICE = "desk"
TOKENS = ("spindle ", "two ", "at ", "nine")
#: seconds of silence after which a call may leave its target
GAP_TIMEOUT = 0.05
#: seconds for which targets are silent: the call asks more than once
SILENCE = 0.6
#: seconds until the deadline of a request
DEADLINE_SECONDS = 30.0
#: seconds without the first byte after which a stream may leave its target
FIRST_BYTE_SECONDS = 0.05


class World:
    """One instance, and targets that each run a script."""

    def __init__(
        self,
        scripts,
        *,
        budget: BudgetRule = RETRY_BUDGET,
        max_attempts: int = 3,
        unmeasured_share: float = 0.5,
    ) -> None:
        self.clock = SystemClock()
        self.metrics = Metrics("127.0.0.1:9")
        self.servers = [ScriptedServer(script) for script in scripts]
        self.tokens: list[tuple[int, str]] = []
        self._budget = budget
        self._retry_rules = RetryRules(max_attempts=max_attempts)
        self._hedge_rule = HedgeRule(unmeasured_share=unmeasured_share)

    def build(self) -> None:
        """Wire the instance; the servers have their ports."""
        directory = FixedDirectory(
            Target(f"t{number}", SERVICE, "hall", server.address)
            for number, server in enumerate(self.servers)
        )
        self.scheduler = Scheduler(
            directory=directory,
            rule=SchedulerRule(retries=self._budget),
            data_centre="hall",
            random_source=random.Random(1),
            weigh=lambda workspace: 1.0,
            count_senders=lambda service: 1,
            estimate_remaining=lambda ticket, now: 0.0,
            durations=DurationTracker(),
            now=self.clock.now(),
        )
        dispatcher = SchedulingController(
            scheduler=self.scheduler,
            directory=directory,
            clock=self.clock,
            events=EventBus(),
            metrics=self.metrics,
        )
        self.client = HttpTargetClient(
            clock=self.clock,
            random_source=random.Random(2),
            metrics=self.metrics,
            limits=TargetLimits(
                connect_timeout=DEADLINE_SECONDS, gap_timeout=GAP_TIMEOUT
            ),
        )
        self.caller = StageCaller(
            dispatcher=dispatcher,
            directory=directory,
            client=self.client,
            clock=self.clock,
            random_source=random.Random(3),
            metrics=self.metrics,
            retry_rules=self._retry_rules,
            hedge_rule=self._hedge_rule,
        )
        self.runner = PipelineRunner(
            stage_caller=self.caller, clock=self.clock, metrics=self.metrics
        )

    async def ask(self, *, stream: bool = False, repeatable: bool = True):
        """Send one request and return its answer."""
        kind = StageKind.GENERATE if stream else StageKind.PLAIN
        stage = Stage(name="book", kind=kind, service=SERVICE, repeatable=repeatable)
        now = self.clock.now()
        request = Request(
            request_id="request-1",
            workspace="north",
            pipeline="booking",
            input="given",
            received=now,
            deadline=now + DEADLINE_SECONDS,
            stream=stream,
        )
        exchange = Exchange(request=request)
        if stream:
            exchange.on_token = lambda *token: self.tokens.append(token)
        return await self.runner.run(
            exchange, Pipeline(name="booking", stages=(stage,))
        )


@asynccontextmanager
async def open_world(*scripts, **fields):
    world = World(scripts, **fields)
    async with AsyncExitStack() as stack:
        for server in world.servers:
            await stack.enter_async_context(server)
        world.build()
        try:
            yield world
        finally:
            await world.caller.close()
            await world.client.close()


def create_answer(call):
    ids = {name: call[name] for name in ("attempt", "request", "stage")}
    return encode_answer(ids | {"output": "whole"})


def encode_stream(call):
    """Return the head and the events of a stream from its resume offset."""
    rest = range(call["resume_at"], len(TOKENS))
    events = [encode_token(call, offset, TOKENS[offset]) for offset in rest]
    return [STREAM_HEAD, *events, encode_end(call, TOKENS)]


def split(call):
    """Return the parts of an answer: its head and some of it, and the rest."""
    if call["stream"]:
        head, first, *rest = encode_stream(call)
        return head + first, b"".join(rest)
    answer = create_answer(call)
    return answer[:-5], answer[-5:]


async def pause_within(connection):
    """Answer each call with a silence after the answer has begun."""
    while True:
        call = await connection.read_request()
        if "input" not in call:
            continue
        begun, rest = split(call)
        await connection.send(begun)
        await asyncio.sleep(SILENCE)
        await connection.send(rest)
        if call["stream"]:
            return


async def pause_before(connection):
    """Answer a streamed call with a silence before the answer begins."""
    call = await connection.read_request()
    if "input" not in call:
        return
    await asyncio.sleep(SILENCE)
    await connection.send(b"".join(split(call)))


def halt_first(calls: int):
    """Return a script that never ends its first answers, and gives all others."""
    begun = []

    async def script(connection):
        while True:
            call = await connection.read_request()
            if "input" not in call:
                continue
            begun.append(call)
            if len(begun) <= calls:
                await connection.send(split(call)[0])
                await connection.hold()
                return
            await connection.send(b"".join(split(call)))
            if call["stream"]:
                return

    return script


def watch_failures(world) -> list[str]:
    """Return a list that gets the target of each failure that a breaker records."""
    recorded: list[str] = []
    service = world.scheduler.find_service(SERVICE)
    service.find_free_capacity(world.clock.now())
    for target_id, load in service.targets.items():
        record = load.breaker.record_failure

        def watch(now, target_id=target_id, record=record):
            recorded.append(target_id)
            record(now)

        load.breaker.record_failure = watch
    return recorded


#: what leaves a call without a certain retry, by the targets and limits of its world
WITHOUT_RETRY = {
    "no attempt": (2, {"max_attempts": 1}),
    "no target": (1, {}),
    "no budget": (2, {"budget": replace(RETRY_BUDGET, burst=0, share=0, per_second=0)}),
}


def check_answer(world, result, *, stream: bool) -> None:
    """Check that the caller got the whole answer, from a single call."""
    assert result.refusal is None
    assert result.verdict is Verdict.RAN
    assert result.result == ("".join(TOKENS) if stream else "whole")
    assert world.tokens == (list(enumerate(TOKENS)) if stream else [])
    assert sum(server.accepted for server in world.servers) == 1


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("reason", WITHOUT_RETRY)
async def test_call_outlasts_a_silence_without_a_certain_retry(reason, stream):
    """Guards against answers that are given up although none is to be had elsewhere.

    A sound target is silent for longer than the gap timeout after it has begun its
    answer, and goes on.
    """
    targets, fields = WITHOUT_RETRY[reason]
    async with open_world(*[pause_within] * targets, **fields) as world:
        result = await world.ask(stream=stream)
        check_answer(world, result, stream=stream)
        # one silence, however often the call asked
        assert world.metrics.value("decisions.silence") == 1
        assert world.scheduler.retry_budget.granted == 0


@pytest.mark.parametrize("reason", WITHOUT_RETRY)
async def test_stream_outlasts_a_silence_before_its_head(reason):
    """Guards against streams that are given up before their targets have begun."""
    targets, fields = WITHOUT_RETRY[reason]
    share = FIRST_BYTE_SECONDS / DEADLINE_SECONDS
    async with open_world(
        *[pause_before] * targets, unmeasured_share=share, **fields
    ) as world:
        result = await world.ask(stream=True)
        check_answer(world, result, stream=True)


@pytest.mark.parametrize("stream", [False, True])
async def test_call_that_may_run_once_outlasts_a_silence(stream):
    """Guards against bookings whose answers are given up without a second try."""
    async with open_world(pause_within, pause_within) as world:
        result = await world.ask(stream=stream, repeatable=False)
        check_answer(world, result, stream=stream)


@pytest.mark.parametrize("stream", [False, True])
async def test_call_leaves_a_silent_target_for_a_certain_retry(stream):
    """Guards against calls that a hung target holds until their deadline."""
    async with open_world(*[halt_first(1)] * 2) as world:
        result = await world.ask(stream=stream)
        assert result.refusal is None
        assert world.tokens == (list(enumerate(TOKENS)) if stream else [])
        assert world.scheduler.retry_budget.granted == 1


async def test_only_retry_of_the_budget_is_charged_once():
    """Guards against a call that leaves its target and finds the budget empty."""
    budget = replace(RETRY_BUDGET, burst=1, share=0, per_second=0)
    async with open_world(*[halt_first(2)] * 3, budget=budget) as world:
        tasks = [asyncio.create_task(world.ask()) for _ in range(2)]
        await wait_until(lambda: any(task.done() for task in tasks))
        await asyncio.sleep(SILENCE)
        answers = [task.result() for task in tasks if task.done()]
        assert [one.result for one in answers] == ["whole"]
        assert world.scheduler.retry_budget.granted == 1
        assert world.scheduler.retry_budget.denied == 0
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("targets", [1, 2])
async def test_one_silence_is_one_failure_of_its_target(targets):
    """Guards against targets that one slow call ejects, or hung ones that stay in use.

    A call that waits to its deadline tells nothing of its target as it ends.
    """
    async with open_world(*[halt_first(1)] * targets) as world:
        recorded = watch_failures(world)
        task = asyncio.create_task(world.ask(stream=True))
        await wait_until(lambda: recorded)
        await asyncio.sleep(SILENCE)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert len(recorded) == 1


async def test_target_that_is_left_later_has_failed_once():
    """Guards against targets whose one silence is recorded as it is left, too."""
    budget = replace(RETRY_BUDGET, burst=1, share=0, per_second=3.0)
    async with open_world(*[halt_first(1)] * 2, budget=budget) as world:
        recorded = watch_failures(world)
        assert world.scheduler.retry_budget.try_spend(world.clock.now())
        result = await world.ask()
        assert result.result == "whole"
        assert len(recorded) == 1
