"""End-to-end tests with processes: platform, targets, daemons, command line."""

from __future__ import annotations

import asyncio

import pytest
from result import Ok

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.objects import Pipeline, StageKind
from greengagelatch_lab.fleets import Fleet, FleetService
from greengagelatch_lab.fleets.runner import FleetRunner
from greengagelatch_lab.load.arrivals import Arrival
from greengagelatch_lab.load.checker import Checker
from greengagelatch_lab.load.client import CallerClient
from greengagelatch_lab.load.expectation import Expectation
from greengagelatch_lab.load.observations import RequestOutcome
from greengagelatch_lab.load.record_client import read_records

pytestmark = [pytest.mark.processes, pytest.mark.timeout(60)]

SMALL = Fleet(
    name="small",
    data_centres=("centre",),
    services=(
        FleetService(name="desk", kind=StageKind.PLAIN, replicas=1),
        FleetService(name="engine", kind=StageKind.GENERATE, replicas=1),
    ),
    workspaces=(),
    traffic=(),
)

OBJECTS = """
[service:desk]
kind = plain

[service:engine]
kind = generate

[workspace:member]

[pipeline:booking]
stages = book

[stage:booking/book]
kind = plain
service = desk
repeatable = no

[pipeline:draft]
stages = look-up, write

[stage:draft/look-up]
kind = plain
service = desk

[stage:draft/write]
kind = generate
service = engine
share = 8
inputs = look-up
"""


def read_expectation():
    match parse_objects(OBJECTS):
        case Ok(objects):
            pipelines = [item for item in objects if isinstance(item, Pipeline)]
            return Expectation({item.name: item for item in pipelines})
        case failure:
            raise AssertionError(failure)


def create_arrival(index, pipeline, *, tokens=0, **values):
    marker = f"marker-{index}"
    return Arrival(
        index=index,
        offset=0.0,
        workspace="member",
        pipeline=pipeline,
        input={"prompt": marker, "effect": marker, "tokens": tokens},
        marker=marker,
        deadline_ms=8000,
        **values,
    )


async def wait_for_run(runner, stage):
    """Wait until a target has started ``stage``."""
    async with asyncio.timeout(10):
        while True:
            records = await read_records(runner.targets)
            if any(run.stage == stage for item in records for run in item.runs):
                return
            await asyncio.sleep(0.05)


async def test_requests_succeed_and_a_planned_stop_interrupts_none(tmp_path):
    """Guards against streams truncated by the replacement of their instance.

    The instance receives SIGTERM while an engine is still generating. The fault is to
    close connections without waiting for requests in flight, so that the stream ends
    without an end event.
    """
    settings = {"drain.balancer_lag": "0.2"}
    async with (
        FleetRunner(
            SMALL, tmp_path, entries_per_data_centre=2, settings=settings
        ) as runner,
        CallerClient() as client,
    ):
        await runner.apply_objects(OBJECTS)
        await runner.wait_ready()
        loop = asyncio.get_running_loop()
        leaving, staying = runner.daemons
        keyed = create_arrival(1, "booking", repeatable=False, idempotency_key="key-1")
        stream = create_arrival(2, "draft", tokens=150, stream=True)
        last = create_arrival(3, "booking", repeatable=False)
        observations = [await client.send(keyed, leaving.entry, loop.time())]
        sending = asyncio.create_task(client.send(stream, leaving.entry, loop.time()))
        await wait_for_run(runner, "write")
        status = await runner.stop_daemon(leaving)
        observations.append(await sending)
        observations.append(await client.send(last, staying.entry, loop.time()))
        records = await read_records(runner.targets)
    checker = Checker(
        observations=observations, records=records, expectation=read_expectation()
    )
    assert [str(violation) for violation in checker.check()] == []
    assert [item.outcome for item in observations] == [RequestOutcome.RESULT] * 3
    assert len(observations[1].tokens) == 150
    assert status == 0
