"""Keyed requests while processes are paused, killed and stopped."""

from __future__ import annotations

import asyncio

import pytest
from result import Ok

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.objects import Pipeline
from greengagelatch_lab.fleets.booking import BOOKING_OBJECTS, create_booking_fleet
from greengagelatch_lab.fleets.runner import FleetRunner
from greengagelatch_lab.load.arrivals import Arrival
from greengagelatch_lab.load.checker import Checker
from greengagelatch_lab.load.client import CallerClient
from greengagelatch_lab.load.expectation import Expectation
from greengagelatch_lab.load.observations import RequestOutcome
from greengagelatch_lab.load.record_client import read_records

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]

DESK = create_booking_fleet(2)

#: requests in each step; enough that each instance is the preferred writer of some
COUNT = 12


class Caller:
    """Sends keyed requests and records the observations."""

    def __init__(self, client: CallerClient) -> None:
        self.observations = []
        self._client = client

    async def ask(self, daemon, numbers):
        """Send the requests with these numbers concurrently."""
        loop = asyncio.get_running_loop()
        sent = [
            self._client.send(create_arrival(number), daemon.entry, loop.time())
            for number in numbers
        ]
        seen = await asyncio.gather(*sent)
        self.observations.extend(seen)
        return seen


def create_arrival(number: int) -> Arrival:
    marker = f"marker-{number}"
    return Arrival(
        index=number,
        offset=0.0,
        workspace="member",
        pipeline="booking",
        input={"prompt": marker, "effect": marker},
        marker=marker,
        deadline_ms=8000,
        repeatable=False,
        idempotency_key=f"key-{number}",
    )


def read_expectation() -> Expectation:
    match parse_objects(BOOKING_OBJECTS):
        case Ok(objects):
            pipelines = [item for item in objects if isinstance(item, Pipeline)]
            return Expectation({item.name: item for item in pipelines})
        case failure:
            raise AssertionError(failure)


def describe(observations) -> str:
    """Return what became of each request, for a test that fails."""
    return "\n".join(
        f"{seen.instance} {seen.outcome.value} {seen.status} {seen.verdict} {seen.code}"
        f" {seen.message} after {seen.latency_seconds:.2f} s"
        for seen in observations
    )


def check_results(observations, count: int = COUNT) -> None:
    outcomes = [seen.outcome for seen in observations]
    assert outcomes == [RequestOutcome.RESULT] * count, describe(observations)


def check_replayed(observations) -> None:
    replayed = [seen.replayed for seen in observations]
    assert replayed == [True] * COUNT, describe(observations)


async def test_keys_run_once_while_instances_pause_die_and_stop(tmp_path):
    """Guards against double bookings and against results lost with a planned stop.

    One instance of three is paused while the others serve keyed requests, and then
    resumes; another is killed; another is stopped as planned. Each time the requests
    are repeated at the remaining instances. Claims must not depend on the memory of
    one process or on a process that resumes with stale state.
    """
    settings = {"drain.balancer_lag": "0.2"}
    async with (
        FleetRunner(
            DESK, tmp_path, entries_per_data_centre=3, settings=settings
        ) as runner,
        CallerClient() as client,
    ):
        await runner.apply_objects(BOOKING_OBJECTS)
        await runner.wait_ready()
        paused, killed, stopped = runner.daemons
        caller = Caller(client)
        early = range(COUNT)
        check_results(await caller.ask(killed, early))
        check_replayed(await caller.ask(stopped, early))

        paused.process.pause()
        late = range(COUNT, 2 * COUNT)
        during = await caller.ask(stopped, late)
        during += await caller.ask(killed, late)
        paused.process.resume()
        check_results(during, 2 * COUNT)
        check_replayed(await caller.ask(paused, late))

        killed.process.kill()
        await killed.process.wait()
        gone = await caller.ask(paused, early)
        assert {seen.verdict for seen in gone} == {"may-have-run"}

        await runner.stop_daemon(stopped)
        check_replayed(await caller.ask(paused, late))
        records = await read_records(runner.targets)
    checker = Checker(
        observations=caller.observations,
        records=records,
        expectation=read_expectation(),
    )
    assert [str(violation) for violation in checker.check()] == []
