"""Instances that are killed or paused during a keyed call, with real processes."""

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

DESK = create_booking_fleet(1)

#: size of the request, as a multiple of the default; the call lasts about 2 s
SIZE = 200


class Trial:
    """One booking that is requested repeatedly under the same key."""

    def __init__(self, runner: FleetRunner, client: CallerClient) -> None:
        self._runner = runner
        self._client = client
        self.observations = []

    async def ask(self, daemon, deadline_ms: int):
        """Send the request to one instance and record the observation."""
        arrival = Arrival(
            index=len(self.observations),
            offset=0.0,
            workspace="member",
            pipeline="booking",
            input={"prompt": "marker", "effect": "marker", "size": SIZE},
            marker="marker",
            deadline_ms=deadline_ms,
            repeatable=False,
            idempotency_key="key",
        )
        due = asyncio.get_running_loop().time()
        seen = await self._client.send(arrival, daemon.entry, due)
        self.observations.append(seen)
        return seen

    async def wait_for_call(self) -> None:
        """Wait until the service is running the call."""
        async with asyncio.timeout(10):
            while True:
                records = await read_records(self._runner.targets)
                if any(record.runs for record in records):
                    return
                await asyncio.sleep(0.05)

    async def check(self) -> None:
        """Check the callers' observations against the records of the service."""
        match parse_objects(BOOKING_OBJECTS):
            case Ok(objects):
                pipelines = [item for item in objects if isinstance(item, Pipeline)]
            case failure:
                raise AssertionError(failure)
        records = await read_records(self._runner.targets)
        # a killed instance can't answer its caller
        answered = [
            s for s in self.observations if s.outcome is not RequestOutcome.DISCONNECTED
        ]
        checker = Checker(
            observations=answered,
            records=records,
            expectation=Expectation({item.name: item for item in pipelines}),
        )
        assert [str(violation) for violation in checker.check()] == []
        effects = sum(record.effects.get(("marker", "book"), 0) for record in records)
        runs = sum(len(record.runs) for record in records)
        assert (runs, effects) in ((1, 0), (1, 1))


async def test_killed_during_the_call_of_a_claimed_request(tmp_path):
    """Guards against a double booking after an instance was killed.

    The instance claims a keyed request, calls the service and is killed. The caller,
    whose connection broke, repeats the request twice at another instance. The claim
    must outlive its instance, and a claim without an outcome must not count as free.
    """
    async with (
        FleetRunner(DESK, tmp_path, entries_per_data_centre=2) as runner,
        CallerClient() as client,
    ):
        await runner.apply_objects(BOOKING_OBJECTS)
        await runner.wait_ready()
        killed, other = runner.daemons
        trial = Trial(runner, client)
        first = asyncio.create_task(trial.ask(killed, 8000))
        await trial.wait_for_call()
        killed.process.kill()
        await killed.process.wait()
        assert (await first).outcome is RequestOutcome.DISCONNECTED
        for _ in range(2):
            repeat = await trial.ask(other, 8000)
            assert repeat.outcome is RequestOutcome.REFUSAL
            assert repeat.verdict == "may-have-run"
        await trial.check()


async def test_paused_during_the_call_of_a_claimed_request(tmp_path):
    """Guards against a double booking, or different answers to the same booking.

    An instance claims a keyed request, calls the service and is paused. The caller
    repeats the request at another instance; then the first one resumes. A missing
    answer of the holder must not end its claim.
    """
    async with (
        FleetRunner(DESK, tmp_path, entries_per_data_centre=2) as runner,
        CallerClient() as client,
    ):
        await runner.apply_objects(BOOKING_OBJECTS)
        await runner.wait_ready()
        paused, other = runner.daemons
        trial = Trial(runner, client)
        first = asyncio.create_task(trial.ask(paused, 20_000))
        await trial.wait_for_call()
        paused.process.pause()
        during = await trial.ask(other, 3000)
        assert during.outcome is RequestOutcome.REFUSAL
        assert during.verdict == "may-have-run"
        paused.process.resume()
        answer = await first
        assert answer.verdict in ("ran", "may-have-run")
        after = await trial.ask(other, 8000)
        assert after.replayed
        assert (after.verdict, after.result) == (answer.verdict, answer.result)
        await trial.check()
