"""The fleet, the store and the targets of one run, and the paths between them."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from greengagelatch.peers import MemberState

from ..standins.peers import MemoryNetwork
from .instances import (
    CONFIGURATION_KEY,
    PLAIN_SERVICE,
    STREAM_SERVICE,
    ModelInstance,
    encode_configuration,
)
from .rules import CONTACT_SECONDS
from .store import ModelStore
from .targets import ModelTarget

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ("DATA_CENTRES", "World")

DATA_CENTRES = ("north", "south")
#: bounds of the number of instances
MIN_INSTANCES, MAX_INSTANCES = 2, 4
#: seconds between two renewals of an instance's registration, and until it expires
REGISTRATION_SECONDS, LEASE_SECONDS = 1.0, 12.0
#: bounds of the seconds until the others know that an instance is out of reach
DETECTION_SECONDS = (0.3, 2.5)


class World:
    """State of one run; everything random in it comes from one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.store = ModelStore()
        self.network = MemoryNetwork()
        self.instances: list[ModelInstance] = []
        self.targets: list[ModelTarget] = []
        self.keys: tuple[str, ...] = ("key-0",)
        #: loop time at which each key was taken away
        self.removed_keys: dict[str, float] = {}
        #: names of the instances, targets and data centres that are cut off: from the
        #: store, or from the other instances
        self.cut_from_store: set[str] = set()
        self.cut_from_others: set[str] = set()
        self._version = 0
        self._numbers = iter(range(1_000_000))
        self._names_starts = self.random.random() < 0.5
        #: loop times until which instances, and all of them, count as disturbed
        self._disturbed_until: dict[str, float] = {}
        self._all_disturbed_until = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the store, the targets and the instances."""
        self.run_task(self.store.expire_forever())
        self.run_task(self._register_forever())
        self.write_configuration(self.keys)
        for data_centre in DATA_CENTRES:
            for service in (PLAIN_SERVICE, STREAM_SERVICE):
                self.add_target(service, "v1", data_centre)
        await asyncio.sleep(0.1)
        for number in range(self.random.randint(MIN_INSTANCES, MAX_INSTANCES)):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            await self.start_instance(
                f"entry-{number}", data_centre, is_first_start=True
            )

    async def stop(self) -> None:
        """End everything that still runs."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for target in self.targets:
            target.crash()
        for instance in tuple(self.instances):
            await self.kill_instance(instance)

    def run_task(self, work: Coroutine[object, object, None]) -> None:
        """Run a coroutine beside the others, until the end of the run."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def write_configuration(self, keys: tuple[str, ...]) -> None:
        """Write a new version of the configuration."""
        self._version += 1
        self.keys = keys
        self.store.put(CONFIGURATION_KEY, encode_configuration(self._version, keys))

    def add_target(self, service: str, version: str, data_centre: str) -> None:
        """Start a target."""
        number = next(self._numbers)
        target = ModelTarget(
            self.store,
            self.random,
            number=number,
            service=service,
            version=version,
            data_centre=data_centre,
            started_ms=1000 + number if self._names_starts else 0,
        )
        self.targets.append(target)
        self.apply_paths()

    async def start_instance(
        self, name: str, data_centre: str, *, is_first_start: bool
    ) -> None:
        """Start an instance, which knows nothing of before."""
        instance = ModelInstance(
            name,
            data_centre,
            store=self.store,
            network=self.network,
            random_source=self.random,
            is_first_start=is_first_start,
        )
        self.record_disturbance(name)
        self.instances.append(instance)
        self.apply_paths()
        await instance.start()

    async def kill_instance(self, instance: ModelInstance) -> None:
        """End an instance at once."""
        self.instances.remove(instance)
        self.network.leave(instance.name)
        await instance.kill()

    async def _register_forever(self) -> None:
        """Renew the registrations of the instances that reach the store."""
        while True:
            now = asyncio.get_running_loop().time()
            for instance in self.instances:
                if self.store.is_available and not instance.channel.is_cut:
                    self.store.put(instance.key, b"{}", now + LEASE_SECONDS)
            await asyncio.sleep(REGISTRATION_SECONDS)

    def is_alive(self, instance: ModelInstance) -> bool:
        """Return whether an instance has not been killed."""
        return instance in self.instances

    # disturbances

    def record_disturbance(self, name: str, seconds: float = 0.0) -> None:
        """Count an instance as disturbed for some seconds from now."""
        end = asyncio.get_running_loop().time() + seconds
        known = self._disturbed_until.get(name, float("-inf"))
        self._disturbed_until[name] = max(known, end)

    def record_common_disturbance(self, seconds: float = 0.0) -> None:
        """Count all instances as disturbed for some seconds from now."""
        end = asyncio.get_running_loop().time() + seconds
        self._all_disturbed_until = max(self._all_disturbed_until, end)

    def is_undisturbed(self, instance: ModelInstance) -> bool:
        """Return whether the bounds of the rules hold for an instance."""
        if {instance.name, instance.data_centre} & self._list_cut():
            # it may have started since the cut began
            return False
        until = self._disturbed_until.get(instance.name, float("-inf"))
        until = max(until, self._all_disturbed_until)
        now = asyncio.get_running_loop().time()
        return self.is_alive(instance) and now > until + CONTACT_SECONDS

    def _list_cut(self) -> set[str]:
        return self.cut_from_store | self.cut_from_others

    # paths

    def can_reach(self, instance: ModelInstance, target: ModelTarget) -> bool:
        """Return whether an instance reaches a target that serves."""
        if not target.is_alive:
            return False
        places = {instance.data_centre, target.data_centre}
        return len(places) == 1 or not places & self.cut_from_others

    def apply_paths(self) -> None:
        """Bring all paths in line with the cuts."""
        for instance in self.instances:
            names = {instance.name, instance.data_centre}
            instance.channel.set_cut(bool(names & self.cut_from_store))
        for target in self.targets:
            names = {target.incarnation.target_id, target.data_centre}
            target.is_cut = bool(names & self.cut_from_store)
        blocked = {
            (one.name, other.name)
            for one in self.instances
            for other in self.instances
            if self._is_cut_between(one, other)
        }
        added, self.network.blocked = blocked - self.network.blocked, blocked
        for viewer, name in sorted(added):
            self.run_task(self._detect_loss(viewer, name))
        for viewer, overrides in self.network.state_overrides.items():
            for name in tuple(overrides):
                if (viewer, name) not in blocked:
                    del overrides[name]

    def _is_cut_between(self, one: ModelInstance, other: ModelInstance) -> bool:
        if one is other:
            return False
        if {one.name, other.name} & self.cut_from_others:
            return True
        places = {one.data_centre, other.data_centre}
        return len(places) > 1 and bool(places & self.cut_from_others)

    async def _detect_loss(self, viewer: str, name: str) -> None:
        await asyncio.sleep(self.random.uniform(*DETECTION_SECONDS))
        if (viewer, name) in self.network.blocked:
            overrides = self.network.state_overrides.setdefault(viewer, {})
            overrides[name] = MemberState.DEAD
