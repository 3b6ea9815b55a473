"""What each kind of disturbance does to a fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .instances import STREAM_SERVICE
from .schedules import Disturbance, DisturbanceKind
from .world import DATA_CENTRES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .instances import ModelInstance
    from .targets import ModelTarget
    from .world import World

__all__ = ("Disturber",)


class Disturber:
    """Causes the disturbances of a schedule at their times."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._software = 1
        self._handlers: dict[
            DisturbanceKind, Callable[[Disturbance], Awaitable[None]]
        ] = {
            DisturbanceKind.STORE_OUTAGE: self._stop_store,
            DisturbanceKind.STORE_REJECTIONS: self._reject_calls,
            DisturbanceKind.STORE_CUT: self._cut_from_store,
            DisturbanceKind.STORE_SILENCE: self._silence_store,
            DisturbanceKind.TARGET_CUT: self._cut_target,
            DisturbanceKind.DATA_CENTRE_CUT: self._cut_data_centre,
            DisturbanceKind.LINK_CUT: self._cut_links,
            DisturbanceKind.KILL: self._kill_one,
            DisturbanceKind.KILL_ALL: self._kill_all,
            DisturbanceKind.RELEASE: self._release,
            DisturbanceKind.TARGET_CRASH: self._crash_target,
            DisturbanceKind.TARGET_LEAVING: self._take_target_away,
            DisturbanceKind.TARGET_REMOVAL: self._remove_target,
            DisturbanceKind.KEY_CHANGE: self._change_keys,
        }

    async def cause(self, disturbance: Disturbance) -> None:
        """Wait for the time of a disturbance, and cause it."""
        await asyncio.sleep(disturbance.at - asyncio.get_running_loop().time())
        await self._handlers[disturbance.kind](disturbance)

    async def _stop_store(self, disturbance: Disturbance) -> None:
        world = self._world
        world.record_common_disturbance(disturbance.seconds)
        world.store.set_down(True)
        await asyncio.sleep(disturbance.seconds)
        world.store.set_down(False)

    async def _reject_calls(self, disturbance: Disturbance) -> None:
        world = self._world
        world.record_common_disturbance(disturbance.seconds)
        world.store.is_rejecting = True
        await asyncio.sleep(disturbance.seconds)
        world.store.is_rejecting = False

    async def _silence_store(self, disturbance: Disturbance) -> None:
        self._world.record_common_disturbance()
        for instance in self._world.instances:
            instance.channel.fall_silent()

    async def _cut_from_store(self, disturbance: Disturbance) -> None:
        instance = self._find_instance(disturbance)
        if instance is not None:
            await self._cut(instance.name, disturbance, self._world.cut_from_store)

    async def _cut_links(self, disturbance: Disturbance) -> None:
        instance = self._find_instance(disturbance)
        if instance is not None:
            await self._cut(instance.name, disturbance, self._world.cut_from_others)

    async def _cut_target(self, disturbance: Disturbance) -> None:
        target = self._find_target(disturbance)
        if target is not None:
            name = target.incarnation.target_id
            await self._cut(name, disturbance, self._world.cut_from_store)

    async def _cut_data_centre(self, disturbance: Disturbance) -> None:
        world = self._world
        name = DATA_CENTRES[disturbance.subject % len(DATA_CENTRES)]
        world.record_common_disturbance()
        await self._cut(name, disturbance, world.cut_from_store, world.cut_from_others)
        world.record_common_disturbance()

    async def _cut(self, name: str, disturbance: Disturbance, *cuts: set[str]) -> None:
        """Cut an instance, a target or a data centre off for some seconds."""
        world = self._world
        for cut in cuts:
            cut.add(name)
        world.apply_paths()
        await asyncio.sleep(disturbance.seconds)
        for instance in world.instances:
            if name in (instance.name, instance.data_centre):
                world.record_disturbance(instance.name)
        for cut in cuts:
            cut.discard(name)
        world.apply_paths()

    async def _kill_one(self, disturbance: Disturbance) -> None:
        instance = self._find_instance(disturbance)
        if instance is not None:
            await self._restart([instance], disturbance.seconds)

    async def _kill_all(self, disturbance: Disturbance) -> None:
        await self._restart(list(self._world.instances), disturbance.seconds)

    async def _restart(self, killed: list[ModelInstance], seconds: float) -> None:
        for instance in killed:
            await self._world.kill_instance(instance)
        await asyncio.sleep(seconds)
        for instance in killed:
            await self._world.start_instance(
                instance.name, instance.data_centre, is_first_start=False
            )

    async def _release(self, disturbance: Disturbance) -> None:
        world = self._world
        former = [
            one
            for one in self._list_targets()
            if one.service == STREAM_SERVICE and not one.is_cut
        ]
        self._software += 1
        for target in former:
            version = f"v{self._software}"
            world.add_target(STREAM_SERVICE, version, target.data_centre)
        await asyncio.sleep(disturbance.seconds)
        for target in former:
            if not target.is_leaving:
                world.run_task(target.leave())

    async def _crash_target(self, disturbance: Disturbance) -> None:
        target = self._find_target(disturbance)
        if target is not None:
            target.crash()

    async def _take_target_away(self, disturbance: Disturbance) -> None:
        target = self._find_target(disturbance)
        if target is not None:
            self._world.run_task(target.leave())

    async def _remove_target(self, disturbance: Disturbance) -> None:
        target = self._find_target(disturbance)
        if target is not None:
            self._world.run_task(target.end())

    async def _change_keys(self, disturbance: Disturbance) -> None:
        world = self._world
        while not world.store.is_available:  # noqa: ASYNC110 - the operator tries again
            await asyncio.sleep(0.1)
        former = world.keys[0]
        world.write_configuration((f"key-{disturbance.at}",))
        world.removed_keys[former] = asyncio.get_running_loop().time()

    def _find_instance(self, disturbance: Disturbance) -> ModelInstance | None:
        instances = self._world.instances
        if not instances:
            return None
        return instances[disturbance.subject % len(instances)]

    def _list_targets(self) -> list[ModelTarget]:
        return [
            one for one in self._world.targets if one.is_alive and not one.is_leaving
        ]

    def _find_target(self, disturbance: Disturbance) -> ModelTarget | None:
        targets = self._list_targets()
        if not targets:
            return None
        return targets[disturbance.subject % len(targets)]
