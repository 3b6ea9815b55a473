"""Tests of greengagelatch_entry.filters.quota and the quotas controller."""

from __future__ import annotations

import asyncio
import random

import pytest

from greengagelatch.clock import ManualClock
from greengagelatch.config.objects import (
    Pipeline,
    Policy,
    PolicyEffect,
    Stage,
    StageKind,
    Workspace,
)
from greengagelatch.config.policy_resolution import resolve_policy
from greengagelatch.config.snapshot import Snapshot
from greengagelatch.errors import RefusalCode
from greengagelatch.request import Answer, Request
from greengagelatch.settings import parse
from greengagelatch.verdict import Verdict
from greengagelatch_entry.controllers.claims import ClaimsController
from greengagelatch_entry.controllers.quotas import QuotasController
from greengagelatch_entry.filters import Exchange, chain
from greengagelatch_entry.filters.deduplication import DeduplicationFilter
from greengagelatch_entry.filters.lookup import LookupFilter
from greengagelatch_entry.filters.quota import QuotaFilter
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.standins.peers import MemoryNetwork

SETTINGS = """
[instance]
id = entry
data_centre = north
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""


class CountingStore(MemoryStore):
    """Counts writes."""

    writes = 0

    async def swap(self, *args, **options):
        self.writes += 1
        return await super().swap(*args, **options)


class Entry:
    """One instance with a last handler that records the requests it receives."""

    def __init__(self, **values) -> None:
        self.clock = ManualClock(100.0)
        self.metrics = Metrics("127.0.0.1:9")
        self.store = CountingStore(clock=self.clock)
        self.ran = []
        self.verdict = Verdict.RAN
        stage = Stage(name="write", kind=StageKind.GENERATE, service="llm")
        policy = Policy(name="small", effect=PolicyEffect.QUOTA, values=values)
        self.snapshot = Snapshot(
            generation=1,
            pipelines={"draft": Pipeline(name="draft", stages=(stage,))},
            workspaces={"depot": Workspace(name="depot")},
            policies={"small": policy},
        )
        peers = MemoryNetwork().join("entry", "north")
        common = {
            "peers": peers,
            "clock": self.clock,
            "settings": parse(SETTINGS).unwrap(),
            "metrics": self.metrics,
            "instance_id": "entry",
        }
        self.quotas = QuotasController(random_source=random.Random(1), **common)
        self.claims = ClaimsController(
            store=self.store, random_source=random.Random(2), **common
        )
        filters = (
            LookupFilter(snapshot=lambda: self.snapshot),
            QuotaFilter(quotas=self.quotas, after_claim=False),
            DeduplicationFilter(claims=self.claims),
            QuotaFilter(quotas=self.quotas, after_claim=True),
        )
        self._handler = chain(filters, self._run)

    async def send(self, key="", *, first=False, stream=False) -> Answer:
        now = self.clock.now()
        request = Request(
            request_id=f"request-{random.random()}",
            workspace="depot",
            pipeline="draft",
            input=None,
            received=now,
            deadline=now + 5,
            key=key,
            digest="a",
            first_attempt=first,
            stream=stream,
        )
        on_token = (lambda offset, text: None) if stream else None
        return await self._handler(Exchange(request=request, on_token=on_token))

    async def _run(self, exchange: Exchange) -> Answer:
        self.ran.append(exchange.request)
        exchange.raise_verdict(self.verdict)
        if exchange.on_token is not None:
            for offset in range(10):
                exchange.on_token(offset, "word")
        return Answer(
            request_id=exchange.request.request_id,
            verdict=self.verdict,
            result=len(self.ran),
        )


@pytest.mark.parametrize(("key", "first"), [("", False), ("one", True), ("one", False)])
async def test_refused_request_does_not_run_and_gets_a_retry_delay(key, first):
    entry = Entry(requests_per_second="2", burst_seconds="0.5")
    await entry.send()
    writes = entry.store.writes
    refused = await entry.send(key, first=first)
    assert refused.verdict is Verdict.NOT_RUN
    assert refused.refusal.verdict is Verdict.NOT_RUN
    assert refused.refusal.code is RefusalCode.QUOTA
    assert refused.refusal.retry_after_ms == 500
    assert len(entry.ran) == 1
    # a key must be claimed only if it may have been used before
    assert (entry.store.writes > writes) == bool(key and not first)
    # the refusal released the claim of the key, if any
    entry.clock.advance(0.5)
    answer = await entry.send(key, first=first)
    assert answer.verdict is Verdict.RAN
    assert not answer.replayed
    assert len(entry.ran) == 2


@pytest.mark.parametrize("first", [False, True])
async def test_retry_gets_the_recorded_answer_when_the_quota_is_exhausted(first):
    entry = Entry(requests_per_second="2", burst_seconds="0.5")
    await entry.send("one", first=first)
    retry = await entry.send("one")
    assert retry.replayed
    assert retry.result == 1


async def test_requests_that_did_not_run_are_refunded():
    entry = Entry(requests_per_second="2", burst_seconds="0.5")
    entry.verdict = Verdict.NOT_RUN
    for _ in range(5):
        assert (await entry.send()).refusal is None
    entry.verdict = Verdict.MAY_HAVE_RUN
    await entry.send()
    assert (await entry.send()).refusal.code is RefusalCode.QUOTA
    assert entry.metrics.value("quotas.given_back") == 5
    assert entry.metrics.value("quotas.refused") == 1


async def test_streamed_tokens_are_charged_after_the_answer():
    entry = Entry(tokens_per_second="4", burst_seconds="1")
    assert (await entry.send(stream=True)).refusal is None
    refused = await entry.send(stream=True)
    # 6 tokens beyond the burst of 4, and 1 for the next request, at 4 per second
    assert refused.refusal.retry_after_ms == 1750
    entry.clock.advance(1.75)
    assert (await entry.send()).refusal is None
    assert entry.quotas.dump()["uses"]["small/depot"]["share"] == 1.0


async def test_instances_exchange_their_demand():
    switchboard = MemoryNetwork()
    clock = ManualClock(100.0)
    entries = [
        QuotasController(
            peers=switchboard.join(name, "north"),
            clock=clock,
            random_source=random.Random(name),
            settings=parse(SETTINGS).unwrap(),
            metrics=Metrics("127.0.0.1:9"),
            instance_id=name,
        )
        for name in ("entry-a", "entry-b")
    ]
    entry = Entry(requests_per_second="20")
    quota = resolve_policy(entry.snapshot, "depot").quota
    for _ in range(20):
        for controller, count in zip(entries, (30, 10), strict=True):
            for _ in range(count):
                controller.admit(quota, "depot")
        clock.advance(1.0)
        for controller in entries:
            await controller.run_round()
            await asyncio.sleep(0)
    shares = [one.dump()["uses"]["small/depot"]["share"] for one in entries]
    assert shares == pytest.approx([0.7375, 0.2625], abs=0.02)
