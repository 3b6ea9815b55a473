"""Tests of the versions of streams over whole fleets, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

import pytest
from result import Err, Ok, Result

from greengagelatch.peers import MemberState
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.requests import RefusedError
from greengagelatch.relay.stream_versions import MEMORY_SECONDS
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch.store import (
    ABSENT,
    Entry,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)
from greengagelatch.store.ranges import Changes, Scan
from greengagelatch.verdict import Verdict
from greengagelatch_entry.relay.stream_version_exchange import (
    NEWS_SECONDS,
    QUERY_SECONDS,
    StreamVersionExchange,
)
from greengagelatch_entry.relay.version_history import (
    CHECK_SECONDS,
    KEY,
    VersionHistory,
)
from greengagelatch_lab.stage_load.instances import NullTelemetry
from greengagelatch_lab.stage_load.virtual_time import LoopClock, run_in_virtual_time
from greengagelatch_lab.standins.peers import MemoryNetwork

from .test_permit_fleets import MESSAGE_SECONDS, DelayedPeers

SERVICE = "llm"
STREAMS = 200
DATA_CENTRES = ("north", "south", "east")
#: seconds until an instance has detected that another is dead
DETECTION_SECONDS = (0.3, 2.0)
#: seconds until all instances know of a write to the store
FOLLOW_SECONDS = 0.3


class SharedStore:
    """The record of versions in the store, as all instances follow it."""

    def __init__(self) -> None:
        self.value, self.revision = b"", ABSENT
        self.histories: dict[str, VersionHistory] = {}
        self.outcomes: Counter[WriteOutcome] = Counter()
        #: whether it can be read
        self.is_up = True
        self.reads = 0

    def join(self, name: str, history: VersionHistory) -> None:
        """Let an instance read the record and follow it."""
        self.histories[name] = history
        entries = (Entry(KEY, self.value, self.revision),) if self.value else ()
        history.apply_scan(Scan(entries, max(1, self.revision)))

    async def get(self, key) -> Result[Entry | None, StoreError]:
        self.reads += 1
        await asyncio.sleep(MESSAGE_SECONDS[1])
        if not self.is_up:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, "no route"))
        return Ok(Entry(KEY, self.value, self.revision) if self.value else None)

    async def swap(self, key, value, expected, *, lease_id="") -> WriteResult:
        await asyncio.sleep(MESSAGE_SECONDS[1])
        outcome = WriteOutcome.APPLIED
        if expected == self.revision:
            self.value, self.revision = value, self.revision + 1
            asyncio.get_running_loop().call_later(FOLLOW_SECONDS, self._tell)
        else:
            outcome = WriteOutcome.CONFLICT
        self.outcomes[outcome] += 1
        return WriteResult(outcome, self.revision)

    def _tell(self) -> None:
        written = (Entry(KEY, self.value, self.revision),)
        for history in self.histories.values():
            history.apply_changes(Changes(written, (), self.revision))


class Fleet:
    """Instances of three data centres, and streams of two software versions."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.network = MemoryNetwork()
        self.table = TargetTable()
        self.targets = [
            self.add_target(number, version) for number, version in enumerate("1212")
        ]
        self.store = SharedStore()
        self.exchanges: dict[str, StreamVersionExchange] = {}
        for number in range(count):
            self.start(f"entry-{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
        #: version and first instance of each stream
        self.streams: dict[str, tuple[str, str]] = {}
        self.tasks: list[asyncio.Task] = []

    def add_target(self, number: int, version: str) -> ListedTarget:
        target = ListedTarget(
            incarnation=Incarnation(f"t-{number}", 1),
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            data_centre="north",
            software_version=version,
        )
        self.table.put(target)
        return target

    def start(self, name: str, data_centre: str, *, is_store_up: bool = True) -> None:
        self.network.join(name, data_centre)
        peers = DelayedPeers(self.network, name, self.random)
        self.network._peers[name] = peers
        history = VersionHistory(
            store=self.store,
            peers=peers,
            target_table=self.table,
            list_services=lambda: (SERVICE,),
            list_instances=self.list_addresses,
            find_confirmed_at=LoopClock().now,
            is_first_start=True,
            clock=LoopClock(),
            random_source=self.random,
            metrics=NullTelemetry(),
            decisions=NullTelemetry(),
        )
        if is_store_up:
            self.store.join(name, history)
        self.exchanges[name] = StreamVersionExchange(
            peers=peers,
            target_table=self.table,
            history=history,
            clock=LoopClock(),
            metrics=NullTelemetry(),
            decisions=NullTelemetry(),
        )

    def list_addresses(self) -> list[str]:
        """Return the instances that the store lists; one that restarts has its own."""
        return [one.removesuffix("-again") for one in self.store.histories]

    async def begin_streams(self) -> None:
        for number in range(STREAMS):
            request_id = f"a-{number}"
            name = self.random.choice(sorted(self.exchanges))
            target = self.random.choice(self.targets)
            await self.exchanges[name].record_send(request_id, target)
            self.streams[request_id] = (target.software_version, name)
            await asyncio.sleep(0.01)

    async def take_up(self, instances: list[str], only: set[str] | None = None):
        """Return how many streams went on, were refused, and went on wrongly.

        :param only: first instances whose streams are taken up; ``None``: all
        """
        went_on = refused = wrong = 0
        for request_id, (version, first) in self.streams.items():
            if only is not None and first not in only:
                continue
            exchange = SimpleNamespace(
                service=SERVICE,
                route=SimpleNamespace(split=()),
                verdict=Verdict.NOT_RUN,
                request=SimpleNamespace(
                    request_id=f"b-{request_id}", resumes=request_id, resume_after=3
                ),
            )
            name = self.random.choice(instances)
            try:
                found = await self.exchanges[name].find_version(exchange)
            except RefusedError:
                refused += 1
                continue
            went_on += 1
            wrong += found != version
        return went_on, refused, wrong

    async def settle(self, seconds: float) -> None:
        """Let the instances record which versions are listed, for some seconds."""
        end = LoopClock().now() + seconds
        while LoopClock().now() < end:
            await asyncio.sleep(CHECK_SECONDS)
            for history in tuple(self.store.histories.values()):
                await history._update()

    def end_version(self, version: str) -> None:
        """Let the targets of a version leave."""
        for target in self.targets:
            if target.software_version == version:
                self.table.remove(target.incarnation, 0)

    def restart_all(self, *, is_store_up: bool = True) -> None:
        """Start all instances again, which know nothing of before."""
        names = sorted(self.exchanges)
        for name in names:
            del self.exchanges[name]
            self.network._peers.pop(name)
            self.store.histories.pop(name)
        for number, name in enumerate(names):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.start(f"{name}-again", data_centre, is_store_up=is_store_up)

    def kill(self, name: str) -> None:
        """End an instance, of which the others hear at their times."""
        del self.exchanges[name]
        self.store.histories.pop(name)
        self.network._peers.pop(name)
        for other in self.exchanges:
            noticing = self.notice_death(other, name)
            self.tasks.append(asyncio.create_task(noticing))

    async def notice_death(self, viewer: str, name: str) -> None:
        await asyncio.sleep(self.random.uniform(*DETECTION_SECONDS))
        overrides = self.network.state_overrides.setdefault(viewer, {})
        overrides[name] = MemberState.DEAD


@pytest.mark.parametrize("count", [2, 7, 89, 300])
def test_all_streams_go_on_at_their_version_in_a_calm_fleet(count):
    """Guards against streams lost or joined though no instance has failed."""

    async def run():
        fleet = Fleet(count)
        await fleet.begin_streams()
        return await fleet.take_up(sorted(fleet.exchanges))

    assert run_in_virtual_time(run()) == (STREAMS, 0, 0)


@pytest.mark.parametrize("count", [7, 89])
@pytest.mark.parametrize(("share", "least"), [(0.15, 1.0), (0.35, 0.9), (0.65, 0.5)])
def test_streams_of_killed_instances_go_on_at_their_version(count, share, least):
    """Guards against versions that are lost with the instances that know them.

    Others start at the same time, which changes who is to remember a stream.
    """

    async def run():
        fleet = Fleet(count)
        await fleet.begin_streams()
        killed = set(fleet.random.sample(sorted(fleet.exchanges), int(count * share)))
        for name in sorted(killed):
            fleet.kill(name)
        survivors = sorted(fleet.exchanges)
        for number in range(len(killed)):
            fleet.start(f"new-{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
        found = await fleet.take_up(survivors, killed)
        await asyncio.gather(*fleet.tasks)
        return found

    went_on, refused, wrong = run_in_virtual_time(run())
    assert wrong == 0
    assert went_on >= least * (went_on + refused)


@pytest.mark.parametrize("count", [9, 89])
def test_streams_begun_before_a_cut_go_on_at_either_side(count):
    """Guards against copies that are all on the other side of a partition."""

    async def run():
        fleet = Fleet(count)
        await fleet.begin_streams()
        north = {one for one in fleet.exchanges if int(one[6:]) % 3 == 0}
        rest = set(fleet.exchanges) - north
        fleet.network.blocked |= {(a, b) for a in north for b in rest}
        fleet.network.blocked |= {(b, a) for a in north for b in rest}
        return [
            await fleet.take_up(sorted(north), rest),
            await fleet.take_up(sorted(rest), north),
        ]

    for went_on, refused, wrong in run_in_virtual_time(run()):
        assert wrong == 0
        assert went_on >= 0.9 * (went_on + refused)


@pytest.mark.parametrize("count", [2, 7, 89])
def test_stream_that_was_sent_again_is_known_by_its_last_version(count):
    """Guards against a caller that is back before the news of the second send.

    The first target was silent, and the second one has another version.
    """

    async def run():
        fleet = Fleet(count)
        await fleet.begin_streams()
        names = sorted(fleet.exchanges)
        found = [0, 0, 0]
        for request_id, (version, name) in tuple(fleet.streams.items()):
            other = next(
                one for one in fleet.targets if one.software_version != version
            )
            await fleet.exchanges[name].record_send(request_id, other)
            fleet.streams = {request_id: (other.software_version, name)}
            others = [one for one in names if one != name]
            counts = await fleet.take_up(others)
            found = [sum(pair) for pair in zip(found, counts, strict=True)]
        return tuple(found)

    assert run_in_virtual_time(run()) == (STREAMS, 0, 0)


def test_stream_is_known_to_a_caller_that_is_back_at_once():
    """Guards against a refusal while the news of a stream are on their way."""

    async def run():
        fleet = Fleet(7)
        target = fleet.targets[1]
        await fleet.exchanges["entry-0"].record_send("a-1", target)
        fleet.streams = {"a-1": (target.software_version, "entry-0")}
        return await fleet.take_up(["entry-1"])

    assert run_in_virtual_time(run()) == (1, 0, 0)


def test_instance_that_stops_hands_over_what_it_remembers():
    """Guards against versions lost as one instance after the other is restarted."""

    async def run():
        fleet = Fleet(7)
        await fleet.begin_streams()
        first = set(fleet.exchanges)
        for number, name in enumerate(sorted(first)):
            fleet.start(f"new-{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
            await fleet.exchanges[name].on_stop()
            await asyncio.sleep(MESSAGE_SECONDS[1])
            fleet.kill(name)
            await asyncio.sleep(DETECTION_SECONDS[1])
        await asyncio.gather(*fleet.tasks)
        return await fleet.take_up(sorted(fleet.exchanges))

    assert run_in_virtual_time(run()) == (STREAMS, 0, 0)


def test_stream_goes_on_anywhere_while_there_is_one_version():
    """Guards against streams lost for want of a version that nobody has to know."""

    async def run():
        fleet = Fleet(7)
        fleet.end_version("2")
        await fleet.settle(2.0)
        fleet.streams = {f"x-{n}": ("1", "entry-0") for n in range(20)}
        return await fleet.take_up(sorted(fleet.exchanges))

    assert run_in_virtual_time(run()) == (20, 0, 0)


def test_unknown_stream_is_refused_while_there_are_several_versions():
    """Guards against a guess, which would join two versions."""

    async def run():
        fleet = Fleet(7)
        fleet.streams = {f"x-{n}": ("1", "entry-0") for n in range(20)}
        return await fleet.take_up(sorted(fleet.exchanges))

    assert run_in_virtual_time(run()) == (0, 20, 0)


@pytest.mark.parametrize(
    ("is_cut_off", "most_seconds"),
    [(False, NEWS_SECONDS + 0.1), (True, NEWS_SECONDS + 2 * QUERY_SECONDS)],
)
def test_caller_waits_little_for_a_stream_that_nobody_remembers(
    is_cut_off, most_seconds
):
    """Guards against callers that wait for instances where one version has served."""

    async def run():
        fleet = Fleet(3)
        fleet.end_version("2")
        await fleet.settle(80.0)
        if is_cut_off:
            others = [("entry-1", one) for one in ("entry-0", "entry-2")]
            fleet.network.blocked |= {*others, *((b, a) for a, b in others)}
        fleet.streams = {"x": ("1", "entry-0")}
        begun_at = LoopClock().now()
        found = await fleet.take_up(["entry-1"])
        return found, LoopClock().now() - begun_at

    found, seconds = run_in_virtual_time(run())
    assert found == (1, 0, 0)
    assert seconds <= most_seconds


@pytest.mark.parametrize("count", [7, 89, 300])
@pytest.mark.parametrize("leaves", ["before", "meanwhile"])
def test_no_stream_is_joined_after_all_instances_were_killed(count, leaves):
    """Guards against a lone version that is taken for the only one there has been."""

    async def run():
        fleet = Fleet(count)
        await fleet.settle(3.0)
        await fleet.begin_streams()
        if leaves == "before":
            fleet.end_version("1")
            await fleet.settle(1.0)
        fleet.restart_all()
        if leaves == "meanwhile":
            fleet.end_version("1")
        return await fleet.take_up(sorted(fleet.exchanges))

    _, _, wrong = run_in_virtual_time(run())
    assert wrong == 0


@pytest.mark.parametrize("count", [7, 89, 300])
def test_all_streams_go_on_after_a_restart_where_there_was_one_version(count):
    """Guards against streams lost as nobody remembers that there was no other."""

    async def run():
        fleet = Fleet(count)
        fleet.end_version("2")
        await fleet.settle(3.0)
        fleet.streams = {f"a-{n}": ("1", "entry-0") for n in range(STREAMS)}
        fleet.restart_all()
        return await fleet.take_up(sorted(fleet.exchanges))

    assert run_in_virtual_time(run()) == (STREAMS, 0, 0)


def test_no_stream_is_joined_while_the_store_is_away_at_the_start():
    """Guards against a listing, of a peer, that is taken for all there has been."""

    async def run():
        fleet = Fleet(7)
        await fleet.settle(3.0)
        await fleet.begin_streams()
        fleet.end_version("1")
        fleet.restart_all(is_store_up=False)
        return await fleet.take_up(sorted(fleet.exchanges))

    _, _, wrong = run_in_virtual_time(run())
    assert wrong == 0


def test_former_version_is_forgotten_once_no_stream_can_have_begun_there():
    """Guards against streams that are refused for good after a release."""

    async def run():
        fleet = Fleet(7)
        await fleet.settle(3.0)
        fleet.end_version("1")
        await fleet.settle(2.0 * MEMORY_SECONDS)
        fleet.restart_all()
        fleet.streams = {f"a-{n}": ("2", "entry-0") for n in range(STREAMS)}
        return await fleet.take_up(sorted(fleet.exchanges))

    assert run_in_virtual_time(run()) == (STREAMS, 0, 0)


@pytest.mark.parametrize("count", [7, 89, 300])
def test_record_is_written_by_few_instances(count):
    """Guards against a write of each instance for each change of a version."""

    async def run():
        fleet = Fleet(count)
        await fleet.settle(8.0)
        begun = fleet.store.outcomes.total()
        fleet.add_target(9, "3")
        await fleet.settle(8.0)
        return begun, fleet.store.outcomes.total() - begun

    begun, changed = run_in_virtual_time(run())
    assert begun <= count / 2 + 1
    assert changed <= 3
