"""Instances that die or stand still in the middle of a keyed call, as processes."""

from __future__ import annotations

import asyncio

import pytest
from result import Ok

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.objects import Pipeline
from greengagelatch_lab.fleets.desk import DESK_OBJECTS, create_desk
from greengagelatch_lab.fleets.runner import FleetRunner
from greengagelatch_lab.load.arrivals import Arrival
from greengagelatch_lab.load.checker import Checker
from greengagelatch_lab.load.client import CallerClient
from greengagelatch_lab.load.expectation import Expectation
from greengagelatch_lab.load.observations import Ending
from greengagelatch_lab.load.reading import read_records

pytestmark = [pytest.mark.processes, pytest.mark.timeout(90)]

DESK = create_desk(1)

#: multiple of the usual time of a call, so that it lasts about two seconds
SIZE = 200


class Trial:
    """One booking that is asked for again and again under one key."""

    def __init__(self, runner: FleetRunner, client: CallerClient) -> None:
        self._runner = runner
        self._client = client
        self.observations = []

    async def ask(self, daemon, deadline_ms: int):
        """Ask one instance and keep what it answered."""
        arrival = Arrival(
            index=len(self.observations),
            offset=0.0,
            workspace="member",
            pipeline="booking",
            input={"prompt": "marker", "effect": "marker", "size": SIZE},
            marker="marker",
            deadline_ms=deadline_ms,
            repeatable=False,
            key="key",
        )
        due = asyncio.get_running_loop().time()
        seen = await self._client.send(arrival, daemon.entry, due)
        self.observations.append(seen)
        return seen

    async def wait_for_call(self) -> None:
        """Wait until the service runs the call."""
        async with asyncio.timeout(10):
            while True:
                records = await read_records(self._runner.targets)
                if any(record.runs for record in records):
                    return
                await asyncio.sleep(0.05)

    async def check(self) -> None:
        """Check what callers saw against what the service did."""
        match parse_objects(DESK_OBJECTS):
            case Ok(objects):
                pipelines = [item for item in objects if isinstance(item, Pipeline)]
            case failure:
                raise AssertionError(failure)
        records = await read_records(self._runner.targets)
        # who was killed can't answer its caller
        answered = [s for s in self.observations if s.ending is not Ending.CUT]
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
    """
    Symptom: a lathe is booked twice. Sequence: an instance claims a keyed request,
    calls the service and is killed; the caller, whose connection broke, asks again
    at another instance, twice. Cause: the claim died with its instance, or a repeat
    took a claim without an answer for one that is free.
    """
    async with (
        FleetRunner(DESK, tmp_path, entries=2) as runner,
        CallerClient() as client,
    ):
        await runner.apply_objects(DESK_OBJECTS)
        await runner.wait_ready()
        killed, other = runner.daemons
        trial = Trial(runner, client)
        first = asyncio.create_task(trial.ask(killed, 8000))
        await trial.wait_for_call()
        killed.process.kill()
        await killed.process.wait()
        assert (await first).ending is Ending.CUT
        for _ in range(2):
            repeat = await trial.ask(other, 8000)
            assert repeat.ending is Ending.REFUSAL
            assert repeat.verdict == "may-have-run"
        await trial.check()


async def test_paused_during_the_call_of_a_claimed_request(tmp_path):
    """
    Symptom: a lathe is booked twice, or two callers get different words on one
    booking. Sequence: an instance claims a keyed request, calls the service and
    stands still; the caller asks again at another instance; the first one goes on
    as if nothing had been. Cause: silence was taken for the end of the claim.
    """
    async with (
        FleetRunner(DESK, tmp_path, entries=2) as runner,
        CallerClient() as client,
    ):
        await runner.apply_objects(DESK_OBJECTS)
        await runner.wait_ready()
        paused, other = runner.daemons
        trial = Trial(runner, client)
        first = asyncio.create_task(trial.ask(paused, 20_000))
        await trial.wait_for_call()
        paused.process.pause()
        during = await trial.ask(other, 3000)
        assert during.ending is Ending.REFUSAL
        assert during.verdict == "may-have-run"
        paused.process.resume()
        answer = await first
        assert answer.verdict in ("ran", "may-have-run")
        after = await trial.ask(other, 8000)
        assert after.replayed
        assert (after.verdict, after.result) == (answer.verdict, answer.result)
        await trial.check()
