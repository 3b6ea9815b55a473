"""Tests of the claims controller and its filter with an in-process store."""

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
from greengagelatch_lab.standins.fault_injecting_store import FaultInjectingStore
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.standins.peers import MemoryNetwork
from greengagelatch_lab.waiting import wait_until


class ShiftedClock(SystemClock):
    """Clock that tests put forward."""

    offset = 0.0

    def now(self) -> float:
        return super().now() + self.offset


CLOCK = ShiftedClock()
#: seconds without a request, longer than requests are retried in an outage
CALM_SECONDS = 60.0


class Instance:
    """One entry instance: claims, filter, and a pipeline that records its runs."""

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
            store=fleet.stores[name],
            peers=peers,
            clock=CLOCK,
            random_source=random.Random(name),
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
    """Instances that share a store, and the runs that they executed."""

    def __init__(self, **settings: object) -> None:
        self.settings = {"shards": 1, "interval": 0, **settings}
        self._store = MemoryStore(clock=CLOCK)
        #: view of the shared store by instance, each with its own faults
        self.stores: dict[str, FaultInjectingStore] = {}
        self.switchboard = MemoryNetwork()
        self.runs: list[tuple[str, str]] = []
        #: answers with the verdict "not run" for a key that had run
        self.wrong_verdicts: list[tuple[str, Answer]] = []
        self.requests = 0
        #: while it is not set, runs wait
        self.gate = asyncio.Event()
        self.gate.set()
        self.instances: dict[str, Instance] = {}

    async def start(self, name: str, *, alone: bool = False) -> Instance:
        """Start an instance."""
        peers = None if alone else self.switchboard.join(name)
        self.stores[name] = FaultInjectingStore(self._store)
        instance = Instance(self, name, peers)
        await instance.claims.start()
        self.instances[name] = instance
        return instance

    async def stop(self, name: str) -> None:
        """Stop an instance gracefully."""
        instance = self.instances.pop(name)
        self.switchboard.states[name] = MemberState.LEAVING
        await instance.claims.stop()
        self.switchboard.leave(name)

    def each(self) -> list[Instance]:
        """Return all instances."""
        return list(self.instances.values())

    def kill(self, name: str) -> None:
        """Make an instance unreachable for good, without stopping it."""
        self.switchboard.leave(name)

    async def run(self, name: str, exchange: Exchange, verdict: Verdict) -> Answer:
        """Stand in for all later filters."""
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


def get_preferred_writer(fleet: Fleet) -> str:
    for name, instance in fleet.instances.items():
        if instance.claims.dump()["writing"]:
            return name
    raise AssertionError("no instance has written a shard")


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


async def test_answer_of_the_preferred_writer_is_lost():
    """A claim is forwarded and committed, but the answer is lost.

    Guards against a request that is refused or blocked by its own claim. The writer
    swaps the head and its answer is lost on the link; the asking instance has to read
    the store, which alone shows whether the claim was committed.
    """
    async with run_fleet("a", "b", "c", forward_timeout=0.1) as fleet:
        await fleet.instances["a"].ask("warm-up")
        writer = get_preferred_writer(fleet)
        others = [name for name in fleet.instances if name != writer]
        fleet.switchboard.lost_answers |= {(name, writer) for name in others}
        asking = fleet.instances[others[0]]
        first = await asking.ask("k")
        await asking.ask("other")
        # the second request does not wait for the unresponsive writer again
        assert asking.metrics.value("claims.forward_silent") == 1
        fleet.switchboard.lost_answers.clear()
        second = await fleet.instances[others[1]].ask("k")
    assert first.verdict is Verdict.RAN
    assert second.replayed
    assert second.result == first.result
    assert count_runs(fleet, "k") == 1


async def test_preferred_writer_is_unreachable():
    """The preferred writer of a shard is partitioned from the other instances.

    Guards against keyed requests that wait for a new owner of the shard or are refused.
    No query reaches the writer, but the others still see it as alive; any instance must
    be able to write the shard.
    """
    async with run_fleet("a", "b", "c") as fleet:
        await fleet.instances["a"].ask("warm-up")
        writer = get_preferred_writer(fleet)
        others = [name for name in fleet.instances if name != writer]
        for name in others:
            fleet.switchboard.blocked |= {(name, writer), (writer, name)}
        first = await fleet.instances[others[0]].ask("k")
        second = await fleet.instances[others[1]].ask("k")
        third = await fleet.instances[writer].ask("k")
    assert first.verdict is Verdict.RAN
    assert second.result == first.result
    # the writer sees the claim, but can't reach the instance that has the outcome
    assert third.refusal.code is RefusalCode.REPEAT_UNSETTLED
    assert third.verdict is Verdict.MAY_HAVE_RUN
    assert count_runs(fleet, "k") == 1


async def test_instance_disconnected_from_the_store_claims_through_others():
    """One instance, the preferred writer, can't reach the store; the others can.

    Guards against refusing keyed requests there although its peers could commit them. A
    data centre may be disconnected from the platform but not from its peers: after
    its own swap has failed, the instance asks others to write for it.
    """
    async with run_fleet("a", "b", "c") as fleet:
        await fleet.instances["a"].ask("warm-up")
        writer = get_preferred_writer(fleet)
        fleet.stores[writer].faults.outage = True
        answer = await fleet.instances[writer].ask("k")
        other = next(name for name in fleet.instances if name != writer)
        repeat = await fleet.instances[other].ask("k")
    assert answer.verdict is Verdict.RAN
    assert repeat.result == answer.result
    assert count_runs(fleet, "k") == 1


@pytest.mark.parametrize("fault", ["lose_answers", "drop_writes", "refuse_calls"])
async def test_store_gives_no_answer_to_a_swap(fault):
    """A swap is lost on its way to the store, or its answer is lost.

    Guards against a request that runs twice or whose key stays blocked. A write without
    an answer may or may not have taken effect, so the writer reads the head back and
    looks for the id of its batch.
    """
    async with run_fleet("a", "b") as fleet:
        await fleet.instances["a"].ask("warm-up")
        for store in fleet.stores.values():
            setattr(store.faults, fault, 1)
        first = await fleet.instances["a"].ask("k")
        second = await fleet.instances["b"].ask("k")
    assert first.verdict is Verdict.RAN
    assert second.result == first.result
    assert count_runs(fleet, "k") == 1


@pytest.mark.parametrize("policy", ["refuse", "refuse-later"])
async def test_store_is_unreachable_for_all_instances(policy):
    """The store is unreachable for all instances.

    Guards against keyed requests that run without a claim and again after the outage. A
    declared first attempt and a repeat arrive during the outage, then another repeat
    after it. Without a claim in the store, other instances can't know of a run.
    """
    async with run_fleet("a", "b", store_down=policy) as fleet:
        await fleet.instances["a"].ask("warm-up")
        for store in fleet.stores.values():
            store.faults.outage = True
        first = await fleet.instances["a"].ask("k", first=True, seconds=0.6)
        repeat = await fleet.instances["b"].ask("k", seconds=0.6)
        assert fleet.runs == [("a", "warm-up")]
        for store in fleet.stores.values():
            store.faults.outage = False
        last = await fleet.instances["b"].ask("k")
    assert first.refusal.code is RefusalCode.STORE_UNREACHABLE
    assert first.verdict is Verdict.NOT_RUN
    assert first.refusal.retry_after_ms
    assert repeat.refusal.code is RefusalCode.STORE_UNREACHABLE
    assert repeat.verdict is Verdict.MAY_HAVE_RUN
    assert last.verdict is Verdict.RAN
    assert count_runs(fleet, "k") == 1


async def test_request_is_retried_during_a_short_outage():
    async with run_fleet("a") as fleet:
        await fleet.instances["a"].ask("warm-up")
        fleet.stores["a"].faults.outage = True
        asked = asyncio.create_task(fleet.instances["a"].ask("k"))
        calls = fleet.stores["a"].calls
        await wait_until(lambda: calls["get"] + calls["swap"] > 4, timeout=5)
        fleet.stores["a"].faults.outage = False
        assert (await asked).verdict is Verdict.RAN


@pytest.mark.parametrize("is_used", [False, True])
async def test_request_after_a_calm_time_is_retried_during_a_short_outage(is_used):
    """Guards against an outage that is counted from the last request before it."""
    async with run_fleet("a") as fleet:
        if is_used:
            await fleet.instances["a"].ask("warm-up")
        CLOCK.offset += CALM_SECONDS
        fleet.stores["a"].faults.outage = True
        asked = asyncio.create_task(fleet.instances["a"].ask("k"))
        calls = fleet.stores["a"].calls
        before = calls["get"] + calls["swap"]
        await wait_until(
            lambda: asked.done() or calls["get"] + calls["swap"] > before + 2, timeout=5
        )
        fleet.stores["a"].faults.outage = False
        assert (await asked).verdict is Verdict.RAN


async def test_instance_of_the_first_attempt_crashes():
    """The instance that runs a request crashes, and the caller repeats it elsewhere.

    Guards against a second run. Instance a claims the key, starts the run and crashes;
    the repeat reaches b, which can't know how far the first run came.
    """
    async with run_fleet("a", "b") as fleet:
        fleet.gate.clear()
        first = asyncio.create_task(fleet.instances["a"].ask("k"))
        await wait_until(lambda: fleet.runs, timeout=5)
        fleet.kill("a")
        repeat = await fleet.instances["b"].ask("k")
        fleet.gate.set()
        await first
    assert repeat.refusal.code is RefusalCode.REPEAT_UNSETTLED
    assert repeat.verdict is Verdict.MAY_HAVE_RUN
    assert fleet.runs == [("a", "k")]


async def test_instance_restarts_under_its_old_id():
    """An instance crashes and restarts with the same id and the same seed.

    Guards against treating an earlier claim as its own and running the request again.
    Instance a runs the request and crashes; the new a gets the repeat. Tokens from the
    seeded source, or from a counter alone, would be equal.
    """
    async with run_fleet("a", "b") as fleet:
        await fleet.instances["a"].ask("k")
        fleet.kill("a")
        old = fleet.instances.pop("a")
        new = await fleet.start("a")
        repeat = await new.ask("k")
        await old.claims.stop()
    assert repeat.refusal.code is RefusalCode.REPEAT_UNSETTLED
    assert fleet.runs == [("a", "k")]


async def test_planned_stop_hands_outcomes_over():
    """Instances stop one after the other, then the caller repeats its request.

    Guards against an answer that only says that the request may have run. Instance a
    runs the request and stops, then b stops, then c gets the repeat. Outcomes are only
    in memory, so each instance has to hand them over before it stops.
    """
    async with run_fleet("a", "b", "c") as fleet:
        first = await fleet.instances["a"].ask("k")
        await fleet.stop("a")
        await fleet.stop("b")
        repeat = await fleet.instances["c"].ask("k")
    assert repeat.replayed
    assert repeat.result == first.result
    assert fleet.runs == [("a", "k")]


async def test_outcomes_are_not_handed_to_an_instance_that_is_silent():
    """An instance stops while the crash of another one is not yet detected.

    Guards against losing some outcomes in a planned stop. Instance b does not answer
    but counts as alive; a stops; c gets the repeats. If the first choice of a successor
    does not answer, the next one has to be tried.
    """
    keys = [f"k{number}" for number in range(8)]
    async with run_fleet("a", "b", "c") as fleet:
        for key in keys:
            await fleet.instances["a"].ask(key)
        fleet.switchboard.lost_answers.add(("a", "b"))
        await fleet.stop("a")
        fleet.kill("b")
        await fleet.instances.pop("b").claims.stop()
        repeats = [await fleet.instances["c"].ask(key) for key in keys]
    assert [answer.replayed for answer in repeats] == [True] * len(keys)


async def test_caller_leaves_while_its_request_runs():
    """A caller's connection breaks while its request runs, and it sends a repeat.

    Guards against repeats that are only ever told that the request may have run. The
    handler of the first request is cancelled, then the repeat arrives. A cancelled run
    has no result and can't be executed again, so the run has to be finished.
    """
    async with run_fleet("a", "b") as fleet:
        fleet.gate.clear()
        first = asyncio.create_task(fleet.instances["a"].ask("k"))
        await wait_until(lambda: fleet.runs, timeout=5)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        repeat = asyncio.create_task(fleet.instances["b"].ask("k"))
        fleet.gate.set()
        assert (await repeat).verdict is Verdict.RAN
        assert (await repeat).replayed
    assert len(fleet.runs) == 1


async def test_cancelled_run_is_not_executed_again():
    """As above, with the setting that cancels runs whose callers have disconnected.

    Guards against a repeat that runs the request again or waits for ever, as a
    cancelled run has no answer to store.
    """
    async with run_fleet("a", "b", finish="no") as fleet:
        fleet.gate.clear()
        first = asyncio.create_task(fleet.instances["a"].ask("k"))
        await wait_until(lambda: fleet.runs, timeout=5)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        repeat = await fleet.instances["b"].ask("k")
    assert repeat.verdict is Verdict.MAY_HAVE_RUN
    assert repeat.refusal.code is RefusalCode.REPEAT_UNSETTLED
    assert len(fleet.runs) == 1


async def test_planned_stop_finishes_runs_whose_callers_disconnected():
    async with run_fleet("a", "b") as fleet:
        fleet.gate.clear()
        first = asyncio.create_task(fleet.instances["a"].ask("k"))
        await wait_until(lambda: fleet.runs, timeout=5)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        stopped = asyncio.create_task(fleet.stop("a"))
        await asyncio.sleep(0)
        fleet.gate.set()
        await stopped
        repeat = await fleet.instances["b"].ask("k")
    assert repeat.replayed
    assert len(fleet.runs) == 1


async def test_claim_is_committed_after_its_request_was_refused():
    """A writer commits a claim after the deadline of its request.

    Guards against a key that stays blocked by an attempt that never runs. The store is
    slow; the request at a is refused as not run; then the swap takes effect and the
    repeat reaches b. An operation that was sent can't be withdrawn.
    """
    async with run_fleet("a", "b") as fleet:
        await fleet.instances["a"].ask("warm-up")
        slow = asyncio.Event()

        async def hold(kind: str, key: str) -> None:
            if kind == "swap":
                await slow.wait()

        for store in fleet.stores.values():
            store.faults.before_call = hold
        first = await fleet.instances["a"].ask("k", first=True, seconds=0.3)
        slow.set()
        repeat = await fleet.instances["b"].ask("k")
    assert first.refusal.code is RefusalCode.DEADLINE
    assert first.verdict is Verdict.NOT_RUN
    assert repeat.verdict is Verdict.RAN
    assert fleet.runs == [("a", "warm-up"), ("b", "k")]


@pytest.mark.parametrize("kind", ["get", "swap"])
async def test_store_hangs_at_the_first_request(kind):
    """The store accepts the first calls but never answers.

    Guards against a request that is held long beyond its deadline. The instance reads
    or writes the number of shards; that call is shared by all requests, so the deadline
    of a single one does not limit it.
    """
    async with run_fleet("a") as fleet:

        async def hang(called: str, key: str) -> None:
            if called == kind:
                await asyncio.Event().wait()

        fleet.stores["a"].faults.before_call = hang
        async with asyncio.timeout(10):
            answer = await fleet.instances["a"].ask("k", first=True, seconds=0.2)
    assert answer.verdict is Verdict.NOT_RUN
    assert fleet.runs == []


async def test_instances_with_different_numbers_of_shards():
    """An instance starts with a different ``claims.shards`` than the others.

    Guards against a second run of a repeat: the shard of a key depends on the number of
    shards, so a would claim in one shard and b look in another.
    """
    async with run_fleet("a", shards=7) as fleet:
        first = await fleet.instances["a"].ask("k")
        fleet.settings["shards"] = 5
        late = await fleet.start("b")
        repeat = await late.ask("k")
        assert late.claims.dump()["shards"] == 7
    assert repeat.result == first.result


async def test_outcome_that_is_too_large_is_not_run_again():
    async with run_fleet("a", "b", outcome_bytes=200) as fleet:
        await fleet.instances["a"].ask("k", body="x" * 300)
        repeat = await fleet.instances["b"].ask("k", body="x" * 300)
    assert repeat.verdict is Verdict.RAN
    assert repeat.refusal.code is RefusalCode.REPEAT_UNSETTLED
    assert len(fleet.runs) == 1


async def test_request_that_could_outlive_its_claim_is_refused():
    async with run_fleet("a", retention=10) as fleet:
        answer = await fleet.instances["a"].ask("k", seconds=6)
    assert answer.refusal.code is RefusalCode.BAD_REQUEST
    assert fleet.runs == []


async def test_claims_are_batched_and_sealed():
    async with run_fleet("a", "b", head_claims=20, segment_claims=50) as fleet:
        keys = [f"k{number}" for number in range(200)]
        asked = [fleet.instances["a"].ask(key) for key in keys]
        answers = await asyncio.gather(*asked)
        swaps = sum(one.metrics.value("claims.swaps") for one in fleet.each())
        sealed = sum(one.metrics.value("claims.segments") for one in fleet.each())
        repeats = [await fleet.instances["b"].ask(key) for key in keys]
    assert all(answer.verdict is Verdict.RAN for answer in answers)
    assert swaps < len(keys) / 4
    assert sealed
    assert all(answer.replayed for answer in repeats)
    assert len(fleet.runs) == len(keys)


@pytest.mark.parametrize("seed", range(6))
async def test_random_faults_run_no_request_twice(seed):
    """Answers are lost, stores and links fail at random, and callers send repeats.

    Guards against a request that runs twice, or that is reported as not run although it
    ran, in random combinations of the faults that the other tests cause one by one.
    The faults are drawn from the seed.
    """
    chooser = random.Random(seed)
    async with run_fleet(
        "a", "b", "c", forward_timeout=0.1, head_claims=4, shards=2
    ) as fleet:
        stop = asyncio.Event()
        injector = asyncio.create_task(inject_faults(fleet, chooser, stop))
        callers = [ask_until_resolved(fleet, f"k{n}", chooser) for n in range(30)]
        await asyncio.gather(*callers)
        stop.set()
        await injector
    for number in range(30):
        assert count_runs(fleet, f"k{number}") <= 1
    assert fleet.wrong_verdicts == []


async def ask_until_resolved(fleet: Fleet, key: str, chooser: random.Random) -> None:
    """Send up to six requests with one key, to instances chosen at random."""
    for _ in range(6):
        name = chooser.choice(sorted(fleet.instances))
        runs = Verdict.NOT_RUN if chooser.random() < 0.2 else Verdict.RAN
        answer = await fleet.instances[name].ask(
            key, seconds=chooser.choice((0.05, 0.5, 2.0)), runs=runs
        )
        if answer.verdict is Verdict.NOT_RUN and count_runs(fleet, key):
            fleet.wrong_verdicts.append((key, answer))
        if answer.verdict is Verdict.RAN:
            return
        await asyncio.sleep(chooser.random() * 0.05)


async def inject_faults(
    fleet: Fleet, chooser: random.Random, stop: asyncio.Event
) -> None:
    """Inject faults at random until ``stop``, and leave none behind."""
    names = sorted(fleet.instances)
    while not stop.is_set():
        store = fleet.stores[chooser.choice(names)]
        store.faults.outage = chooser.random() < 0.3
        store.faults.lose_answers = chooser.randrange(3)
        store.faults.drop_writes = chooser.randrange(2)
        pair = (chooser.choice(names), chooser.choice(names))
        chooser.choice((fleet.switchboard.lost_answers, fleet.switchboard.blocked)).add(
            pair
        )
        if chooser.random() < 0.5:
            fleet.switchboard.lost_answers.clear()
            fleet.switchboard.blocked.clear()
        await asyncio.sleep(chooser.random() * 0.03)
    fleet.switchboard.lost_answers.clear()
    fleet.switchboard.blocked.clear()
    for store in fleet.stores.values():
        store.faults.outage = False


def count_runs(fleet: Fleet, key: str) -> int:
    return sum(1 for _, run in fleet.runs if run == key)
