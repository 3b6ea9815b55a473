"""Processes of the platform program, each with its own links to the targets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from ..platform_standins.brittleness import Brittleness
from ..platform_standins.deployment import create_configuration
from ..platform_standins.fleet import PlatformFleet
from ..platform_standins.target_links import TargetLinks
from .instance import LINKS_SUFFIX

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from ..platform_standins.fleet import Instance
    from ..platform_standins.targets import SimulatedTarget
    from .callers import Outcome

__all__ = ("LinkedFleet",)

#: beginning of the keys of targets' entries in the store
TARGETS_PREFIX = "servers/"
#: slots of a target of the plain service, requests that may wait there, and the
#: seconds that a run takes
SLOTS, QUEUE, SERVE_SECONDS = 4, 16, 0.03
#: service whose targets may become brittle
BRITTLE_SERVICE = "desk"
#: service of the engines, their software versions, and how many have the newer one
ENGINE_SERVICE, FIRST_VERSION, NEWER_VERSION, NEWER_ENGINES = "llm", "v1", "v1.2", 2
#: network of the hosts from which instances connect to targets
SOURCE_NETWORK = "127.0.1"
#: text before the version in each event
VERSION_NOTE = " by "
#: longest time in milliseconds for which a request is kept waiting
TIMEOUT_MS = 8000


class LinkedFleet(PlatformFleet):
    """A fleet whose instances can be partitioned from targets one by one."""

    def __init__(self, directory: Path, count: int) -> None:
        super().__init__(directory, count)
        #: by the name of the instance
        self.links: dict[str, TargetLinks] = {}
        #: name of the instance that connects to targets from each host
        self.names: dict[str, str] = {}
        #: what callers have seen
        self.outcomes: list[Outcome] = []
        #: engines of a newer software version
        self.newer: list[SimulatedTarget] = []
        self._version = 0
        self.module = "greengagelatch_lab.soak.instance"

    async def start(self) -> None:
        """Start store, targets, links and instances; wait until all are ready."""
        await super().start()
        self.change_configuration()

    async def stop(self) -> None:
        """Kill the instances and stop everything else."""
        await super().stop()
        for links in self.links.values():
            await links.stop()

    async def add_target(self, target_id: str, service: str, **fields: Any) -> Any:
        """Start a target and register it in the store."""
        if service == ENGINE_SERVICE:
            version = fields.setdefault("software_version", FIRST_VERSION)
            fields["event_note"] = f"{VERSION_NOTE}{version}"
        if service == BRITTLE_SERVICE:
            fields["brittleness"] = Brittleness(
                limit=None,
                slots=SLOTS,
                queue=QUEUE,
                later_queue=QUEUE,
                serve_seconds=SERVE_SECONDS,
            )
        return await super().add_target(target_id, service, **fields)

    async def add_more_targets(self) -> None:
        """Start engines of another software version."""
        for number in range(NEWER_ENGINES):
            name, version = f"{ENGINE_SERVICE}-newer-{number}", NEWER_VERSION
            engine = await self.add_target(
                name, ENGINE_SERVICE, software_version=version
            )
            self.newer.append(engine)

    async def start_instance(self, name: str, seeds: list[str]) -> Instance:
        """Start the links of an instance, then the instance."""
        source = f"{SOURCE_NETWORK}.{len(self.links) + 1}"
        self.names[source] = name
        links = self.links[name] = TargetLinks(source)
        await links.add(self.targets)
        self._write_links(name, self.targets)
        return await super().start_instance(name, seeds)

    async def link_target(self, target: SimulatedTarget) -> None:
        """Start the links of all instances to a target that joins later."""
        for name, links in self.links.items():
            await links.add((target,))
            self._write_links(name, (*self.targets, target))

    def _write_links(self, name: str, targets: Iterable[SimulatedTarget]) -> None:
        find_address = self.links[name].find_address
        addresses = {one.target_id: find_address(one.target_id) for one in targets}
        path = (self.directory / name).with_suffix(LINKS_SUFFIX)
        path.write_text(json.dumps(addresses), encoding="utf-8")

    def change_configuration(self) -> None:
        """Write a configuration of the next version."""
        self._version += 1
        version = create_configuration()["version"] + self._version
        configuration = create_configuration(version, timeout_ms=TIMEOUT_MS)
        self.store.put("op/config", configuration)
