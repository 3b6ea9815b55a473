"""Tests of streams taken up at an instance that is out of step, in virtual time."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from greengagelatch.relay.stream_messages import StreamVersionsUpdate
from greengagelatch.relay.stream_versions import COPIES, UNDECIDED, StreamOrigin
from greengagelatch_entry.relay.version_history import YOUNG_SECONDS
from greengagelatch_lab.stage_load.virtual_time import run_in_virtual_time

from .test_stream_version_fleets import SERVICE, Fleet
from .test_version_record_fleets import (
    begin_streams,
    create_exchange,
    cut_off,
    select_streams,
)

#: seconds for which an instance is out of step
OUT_SECONDS = 3.0
#: seconds after which an instance that is back has read the record
READ_SECONDS = 0.3
#: targets of the new version
JOINED = 3


class OutOfStep:
    """A fleet in which some instances are out of step while a release begins."""

    def __init__(self, count: int, cut: str, late: int = 1, seed: int = 1) -> None:
        self.fleet = Fleet(count, seed)
        self.cut = cut
        names = sorted(self.fleet.exchanges)
        self.late, self.others = names[-late:], names[:-late]
        self._away: dict[str, object] = {}
        self._pairs = {
            pair
            for pair in itertools.permutations(names, 2)
            if not set(pair) <= set(self.others)
        }

    async def begin(self) -> None:
        """Cut the instances off, and begin streams at the others in a release."""
        fleet = self.fleet
        fleet.end_version("2")
        await fleet.settle(YOUNG_SECONDS + 1.0)
        if self.cut in ("store", "both"):
            for name in self.late:
                self._away[name] = fleet.store.histories[name]
                cut_off(fleet, name)
        if self.cut in ("others", "both"):
            fleet.network.blocked |= self._pairs
        for number in range(JOINED):
            fleet.targets.append(fleet.add_target(9 + number, "2"))
        settling = asyncio.create_task(fleet.settle(OUT_SECONDS))
        excluded = {name: fleet.exchanges.pop(name) for name in self.late}
        await begin_streams(fleet, OUT_SECONDS, None)
        fleet.exchanges.update(excluded)
        await settling
        select_streams(fleet, "2")

    def return_late(self) -> None:
        """Connect the instances again, which have read nothing so far."""
        self.fleet.network.blocked -= self._pairs

    def kill_others(self) -> None:
        for name in self.others:
            self.fleet.kill(name)

    async def take_up(self):
        return await self.fleet.take_up(self.late)


async def play(count, cut, others, moment, late=1, seed=1):
    world = OutOfStep(count, cut, late, seed)
    await world.begin()
    if others == "killed":
        world.kill_others()
    if moment == "back":
        world.return_late()
    found = await world.take_up()
    await asyncio.gather(*world.fleet.tasks)
    return found


@pytest.mark.parametrize("moment", ["meanwhile", "back"])
@pytest.mark.parametrize("others", ["live", "killed"])
@pytest.mark.parametrize("cut", ["others", "store", "both"])
@pytest.mark.parametrize(("count", "late"), [(3, 1), (9, 1), (9, 2)])
def test_no_stream_is_joined_at_an_instance_that_is_out_of_step(
    count, late, cut, others, moment
):
    """Guards against a lone version that is believed by one who has heard nothing.

    The instance is cut off for seconds, while targets of a new version begin streams
    through the others; callers come to it meanwhile, or the moment it is back.
    """
    _, _, wrong = run_in_virtual_time(play(count, cut, others, moment, late))
    assert wrong == 0


def test_lone_version_is_not_believed_by_an_instance_that_is_cut_off():
    """Guards against a lone version that is believed by one who has heard nothing.

    The instance is cut off from the store and the others for seconds, while targets of
    a new version begin streams through the others.
    """
    _, _, wrong = run_in_virtual_time(play(9, "both", "live", "meanwhile"))
    assert wrong == 0


async def play_one_version(count: int, share: float, *, is_store_up: bool):
    """Take up streams of the only version after some instances were killed.

    :return: counts as of :meth:`Fleet.take_up`, and reads of the store
    """
    fleet = Fleet(count)
    fleet.end_version("2")
    await fleet.settle(YOUNG_SECONDS + 1.0)
    fleet.targets = [one for one in fleet.targets if one.software_version == "1"]
    await fleet.begin_streams()
    fleet.store.is_up = is_store_up
    killed = set(fleet.random.sample(sorted(fleet.exchanges), round(count * share)))
    for name in sorted(killed):
        fleet.kill(name)
    found = await fleet.take_up(sorted(fleet.exchanges), killed)
    await asyncio.gather(*fleet.tasks)
    return found, fleet.store.reads


@pytest.mark.parametrize("count", [3, 9, 89])
def test_all_streams_of_one_version_go_on_where_nobody_remembers_them(count):
    """Guards against refusals for want of news that the store can give."""
    found, reads = run_in_virtual_time(play_one_version(count, 0.67, is_store_up=True))
    went_on, refused, wrong = found
    assert (refused, wrong) == (0, 0)
    assert went_on >= reads


@pytest.mark.parametrize("count", [3, 9, 89])
def test_streams_go_on_without_the_store_where_an_instance_remembers_them(count):
    """Guards against refusals in an outage of the store beside usual failures."""
    found, reads = run_in_virtual_time(play_one_version(count, 0.34, is_store_up=False))
    went_on, refused, wrong = found
    assert went_on
    assert (refused, wrong, reads) == (0, 0, 0)


async def send_again(count: int, is_cut_off: bool):
    """Send streams to another version while a keeper of each is out of step.

    :param is_cut_off: whether it is cut off from the instance that sends
    :return: streams that were sent to another version, and of all that went on, were
        refused and went on wrongly at that keeper
    """
    fleet = Fleet(count)
    await fleet.settle(YOUNG_SECONDS + 1.0)
    moved, total = 0, (0, 0, 0)
    for number in range(20):
        name = fleet.random.choice(sorted(fleet.exchanges))
        exchange, request_id = fleet.exchanges[name], f"a-{number}"
        first, second = fleet.random.sample(fleet.targets[:2], 2)
        assert await exchange.record_send(request_id, first)
        await asyncio.sleep(0.1)
        late = fleet.random.choice(exchange._keepers.rank(request_id)[:COPIES])
        if is_cut_off:
            fleet.network.blocked = {(name, late), (late, name)}
        began = second
        if await exchange.record_send(request_id, second):
            moved += 1
        else:
            began = first
            resent = create_exchange("", SERVICE)
            resent.request.request_id = request_id
            assert second.incarnation in exchange.list_excluded(resent, None)
            assert first.incarnation not in exchange.list_excluded(resent, None)
            assert await exchange.record_send(request_id, first)
        fleet.streams = {request_id: (began.software_version, name)}
        found = await fleet.take_up([late])
        total = tuple(map(sum, zip(total, found, strict=True)))
        fleet.network.blocked = set()
    return moved, total


@pytest.mark.parametrize("count", [3, 9, 89])
def test_stream_sent_to_another_version_is_not_known_by_its_first(count):
    """Guards against an instance that remembers the version of a target in vain.

    It was told the first send of a stream, and was out of step as the stream was sent
    to another version.
    """
    moved, found = run_in_virtual_time(send_again(count, is_cut_off=True))
    assert moved == 0
    assert found == (20, 0, 0)


@pytest.mark.parametrize("count", [2, 3, 9, 89])
def test_stream_is_sent_to_another_version_while_its_keepers_are_reached(count):
    """Guards against streams bound to a version whose targets bring no event."""
    moved, found = run_in_virtual_time(send_again(count, is_cut_off=False))
    assert moved == 20
    assert found == (20, 0, 0)


def test_instance_that_stops_hands_over_no_withdrawn_version():
    """Guards against a version that is forgotten for what an earlier release knows."""

    async def run():
        fleet = Fleet(3)
        await fleet.exchanges["entry-0"].record_send("a-1", fleet.targets[0])
        undecided = StreamOrigin(SERVICE, UNDECIDED)
        update = StreamVersionsUpdate.create([("a-1", undecided)], handed_over=True)
        fleet.exchanges["entry-0"]._receive("entry-1", update)
        fleet.streams = {"a-1": (fleet.targets[0].software_version, "entry-0")}
        return await fleet.take_up(["entry-0"])

    assert run_in_virtual_time(run()) == (1, 0, 0)


def test_stream_is_bound_once_a_keeper_has_handed_its_version_over():
    """Guards against a version that is known where its sender doesn't withdraw it."""

    async def run():
        fleet = Fleet(9)
        exchange = fleet.exchanges["entry-0"]
        await exchange.record_send("a-1", fleet.targets[0])
        await asyncio.sleep(0.1)
        keeper = exchange._keepers.rank("a-1")[0]
        await fleet.exchanges[keeper].on_stop()
        return await exchange.record_send("a-1", fleet.targets[1])

    assert run_in_virtual_time(run()) is False


@pytest.mark.parametrize("is_cut_off", [False, True])
def test_no_stream_is_joined_at_an_instance_that_starts_in_a_release(is_cut_off):
    """Guards against a lone version that is believed by one that has just started.

    It has read the store before the release, and may be cut off from it since.
    """

    async def run():
        world = OutOfStep(9, "others")
        world.fleet.start("entry-9", "north")
        if is_cut_off:
            cut_off(world.fleet, "entry-9")
        world.late.append("entry-9")
        young = world.fleet.exchanges["entry-9"]
        await world.begin()
        assert world.fleet.exchanges["entry-9"] is young
        others = {(one, "entry-9") for one in world.others}
        world.fleet.network.blocked |= others | {(b, a) for a, b in others}
        return await world.fleet.take_up(["entry-9"])

    _, _, wrong = run_in_virtual_time(run())
    assert wrong == 0


@pytest.mark.parametrize("cut", ["others", "store", "both"])
def test_no_stream_is_joined_after_its_targets_have_crashed(cut):
    """Guards against a former version that is the only one left after a crash."""

    async def run():
        world = OutOfStep(9, cut)
        await world.begin()
        world.fleet.end_version("2")
        return await world.take_up()

    _, _, wrong = run_in_virtual_time(run())
    assert wrong == 0
