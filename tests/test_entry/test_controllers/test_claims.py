"""Tests of the claims controller and its filter over an in-process store."""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from greengagelatch.clock import SystemClock
from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.peers import MemberState
from greengagelatch.request import Answer, Request
from greengagelatch.settings import parse
from greengagelatch.verdict import Verdict
from greengagelatch_entry.controllers.claims import ClaimsController
from greengagelatch_entry.filters import Exchange
from greengagelatch_entry.filters.deduplication import DeduplicationFilter
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.standins.peers import Switchboard
from greengagelatch_lab.waiting import wait_until

CLOCK = SystemClock()


class Instance:
    """One entry instance: claims, filter, and a pipeline that counts its runs."""

    def __init__(self, fleet: Fleet, name: str, peers) -> None:
        text = "\n".join(
            [
                "[instance]",
                f"id = {name}",
                "data_centre = north",
                "[platform]",
                "store = 127.0.0.1:1",
                "instances = 127.0.0.1:1",
                "[claims]",
                *(f"{key} = {value}" for key, value in fleet.settings.items()),
            ]
        )
        self.name = name
        self.metrics = Metrics("127.0.0.1:9")
        self.claims = ClaimsController(
            store=fleet.store,
            peers=peers,
            clock=CLOCK,
            random=random.Random(name),
            settings=parse(text).unwrap(),
            metrics=self.metrics,
            instance_id=name,
        )
        self.filter = DeduplicationFilter(claims=self.claims)
        self._fleet = fleet

    async def ask(
        self,
        key: str,
        *,
        body: str = "a",
        seconds: float = 5.0,
        first: bool = False,
        runs: Verdict = Verdict.RAN,
    ) -> Answer:
        """Send a request with a key; ``runs`` is the verdict if it is run."""
        now = CLOCK.now()
        self._fleet.requests += 1
        request = Request(
            request_id=f"request-{self._fleet.requests}",
            workspace="depot",
            pipeline="book",
            input=body,
            received=now,
            deadline=now + seconds,
            key=key,
            digest=body,
            first_attempt=first,
        )

        async def run(exchange: Exchange) -> Answer:
            return await self._fleet.run(self.name, exchange, runs)

        return await self.filter.apply(Exchange(request=request), run)


class Fleet:
    """Instances that share a store, and the runs they made."""

    def __init__(self, **settings: object) -> None:
        self.settings = {"shards": 1, "interval": 0, **settings}
        self.store = MemoryStore(clock=CLOCK)
        self.switchboard = Switchboard()
        self.runs: list[tuple[str, str]] = []
        self.requests = 0
        #: closed: runs wait until it is opened
        self.gate = asyncio.Event()
        self.gate.set()
        self.instances: dict[str, Instance] = {}

    async def start(self, name: str, *, alone: bool = False) -> Instance:
        """Start an instance."""
        peers = None if alone else self.switchboard.join(name)
        instance = Instance(self, name, peers)
        await instance.claims.start()
        self.instances[name] = instance
        return instance

    async def stop(self, name: str) -> None:
        """Stop an instance as planned."""
        instance = self.instances.pop(name)
        self.switchboard.states[name] = MemberState.LEAVING
        await instance.claims.stop()
        self.switchboard.leave(name)

    def kill(self, name: str) -> None:
        """Make an instance unreachable for good, without its stopping anything."""
        self.switchboard.leave(name)

    async def run(self, name: str, exchange: Exchange, verdict: Verdict) -> Answer:
        """Stand for all later filters."""
        request = exchange.request
        if verdict is Verdict.NOT_RUN:
            refusal = Refusal(code=RefusalCode.OVERLOADED, message="busy")
            return Answer(
                request_id=request.request_id, verdict=verdict, refusal=refusal
            )
        exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        self.runs.append((name, request.key))
        await self.gate.wait()
        exchange.raise_verdict(verdict)
        return Answer(
            request_id=request.request_id,
            verdict=exchange.verdict,
            result={"by": name, "input": request.input},
        )


@asynccontextmanager
async def run_fleet(*names: str, **settings: object):
    fleet = Fleet(**settings)
    for name in names:
        await fleet.start(name)
    try:
        yield fleet
    finally:
        fleet.gate.set()
        for name in list(fleet.instances):
            await fleet.stop(name)


def get_usual_writer(fleet: Fleet) -> str:
    for name, instance in fleet.instances.items():
        if instance.claims.dump()["writing"]:
            return name
    raise AssertionError("nobody has written")


async def test_single_instance_without_peers_replays():
    fleet = Fleet()
    alone = await fleet.start("a", alone=True)
    try:
        first = await alone.ask("k")
        second = await alone.ask("k")
    finally:
        await alone.claims.stop()
    assert not first.replayed
    assert second.replayed
    assert second.result == first.result
    assert second.request_id != first.request_id
    assert fleet.runs == [("a", "k")]


@pytest.mark.parametrize("where", ["a", "b", "c"])
async def test_repeat_elsewhere_gets_the_first_result(where):
    async with run_fleet("a", "b", "c") as fleet:
        first = await fleet.instances["a"].ask("k")
        second = await fleet.instances[where].ask("k")
    assert second.replayed
    assert second.verdict is Verdict.RAN
    assert second.result == first.result
    assert len(fleet.runs) == 1


async def test_another_body_under_the_same_key_is_refused():
    async with run_fleet("a", "b") as fleet:
        await fleet.instances["a"].ask("k", body="one")
        for name in ("a", "b"):
            answer = await fleet.instances[name].ask("k", body="two")
            assert answer.refusal.code is RefusalCode.KEY_REUSED
            assert answer.verdict is Verdict.NOT_RUN
    assert len(fleet.runs) == 1


async def test_claim_of_a_request_that_was_not_run_is_given_back():
    async with run_fleet("a", "b") as fleet:
        refused = await fleet.instances["a"].ask("k", runs=Verdict.NOT_RUN)
        answer = await fleet.instances["b"].ask("k")
    assert refused.verdict is Verdict.NOT_RUN
    assert answer.verdict is Verdict.RAN
    assert not answer.replayed
    assert fleet.runs == [("b", "k")]


async def test_repeat_waits_for_a_running_first_attempt():
    async with run_fleet("a", "b") as fleet:
        fleet.gate.clear()
        first = asyncio.create_task(fleet.instances["a"].ask("k"))
        await wait_until(lambda: fleet.runs, timeout=5)
        second = asyncio.create_task(fleet.instances["b"].ask("k"))
        third = await fleet.instances["b"].ask("k", seconds=0.1)
        fleet.gate.set()
        assert (await second).result == (await first).result
    assert third.refusal.code is RefusalCode.IN_PROGRESS
    assert third.verdict is Verdict.MAY_HAVE_RUN
    assert len(fleet.runs) == 1
