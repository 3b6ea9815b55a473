"""Tests of streams taken up at an instance that is out of step, in virtual time."""

from __future__ import annotations

import asyncio
import itertools

from greengagelatch_entry.relay.version_history import YOUNG_SECONDS
from greengagelatch_lab.stage_load.virtual_time import run_in_virtual_time

from .test_stream_version_fleets import Fleet
from .test_version_record_fleets import begin_streams, cut_off, select_streams

#: seconds for which an instance is out of step
OUT_SECONDS = 3.0
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


def test_lone_version_is_not_believed_by_an_instance_that_is_cut_off():
    """Guards against a lone version that is believed by one who has heard nothing.

    The instance is cut off from the store and the others for seconds, while targets of
    a new version begin streams through the others.
    """
    _, _, wrong = run_in_virtual_time(play(9, "both", "live", "meanwhile"))
    assert wrong == 0
