"""Faults of the network paths between data centres and to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fleets.network import PathKind
from . import Fault, FaultContext
from .convergence import find_not_alive, find_not_in_force, read_generation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..fleets.daemon import Daemon
    from ..fleets.network import Network, NetworkPath

__all__ = ("PARTITIONS",)

#: paths between data centres
INTER_CENTRE_PATHS = (PathKind.PEER, PathKind.TARGET)


class PathFault(Fault):
    """The network paths of one data centre are cut.

    During the fault a configuration change is made in another data centre. It must be
    in force in time wherever it can be propagated to, and everywhere once the paths
    work again.

    :param platform: whether the paths to the platform are affected
    :param kinds: affected kinds of paths between this data centre and the others
    """

    def __init__(
        self, name: str, *, platform: bool = False, kinds: Sequence[PathKind] = ()
    ) -> None:
        self.name = name
        self._platform = platform
        self._kinds = kinds
        self._paths: list[NetworkPath] = []
        self._generation = 0

    async def inject(self, context: FaultContext) -> None:
        runner = context.traffic.runner
        self.cut_off = context.random_source.choice(runner.fleet.data_centres)
        self._paths = self._find_paths(runner.network)
        for path in self._paths:
            await self.inject_on_path(path)
        unaffected = [
            daemon for daemon in runner.daemons if daemon.data_centre != self.cut_off
        ]
        daemon_with_change = context.random_source.choice(unaffected)
        workspace = runner.fleet.workspaces[0].name
        await runner.run_client(
            "label",
            "workspace",
            workspace,
            f"during={self.name}",
            daemon=daemon_with_change,
        )
        self._generation = await read_generation(daemon_with_change)
        reachable = runner.daemons if self.can_propagate_changes() else unaffected
        await self._check_in_force(context, reachable, "during the fault")

    async def remove(self, context: FaultContext) -> None:
        for path in self._paths:
            await path.link.heal()
        daemons = context.traffic.runner.daemons
        await self._check_in_force(context, daemons, "after the fault")
        for pair in await find_not_alive(daemons):
            context.guarantee_violations.append(
                f"{self.name}: not a member afterwards: {pair}"
            )
        self.cut_off = ""

    async def inject_on_path(self, path: NetworkPath) -> None:
        """Inject the fault into one path."""
        await path.link.disconnect()

    def can_propagate_changes(self) -> bool:
        """Whether changes still propagate to the data centre during the fault."""
        return not (self._platform and PathKind.PEER in self._kinds)

    def _find_paths(self, network: Network) -> list[NetworkPath]:
        paths = network.find_paths(self.cut_off, *self._kinds)
        if self._platform:
            paths += network.find_platform_paths(self.cut_off)
        return paths

    async def _check_in_force(
        self, context: FaultContext, daemons: Sequence[Daemon], when: str
    ) -> None:
        for instance_id in await find_not_in_force(daemons, self._generation):
            context.guarantee_violations.append(
                f"{self.name}: generation {self._generation} not in force {when} at "
                f"{instance_id}"
            )


class PathSilence(PathFault):
    """The paths drop all bytes, including those of new connections."""

    async def inject_on_path(self, path: NetworkPath) -> None:
        path.link.blackhole()


class OpenSilence(PathFault):
    """Open connections go silent permanently, while new ones work."""

    async def inject_on_path(self, path: NetworkPath) -> None:
        path.link.blackhole(only_open=True)

    def can_propagate_changes(self) -> bool:
        return True


PARTITIONS: tuple[Fault, ...] = (
    PathFault("platform-cut", platform=True),
    PathSilence("platform-silent", platform=True),
    PathFault("centres-cut", kinds=INTER_CENTRE_PATHS),
    PathSilence("centres-silent", kinds=INTER_CENTRE_PATHS),
    PathFault("both-cut", platform=True, kinds=INTER_CENTRE_PATHS),
    PathSilence("both-silent", platform=True, kinds=INTER_CENTRE_PATHS),
    OpenSilence("peers-silent", kinds=(PathKind.PEER,)),
    OpenSilence("connections-silent", platform=True, kinds=INTER_CENTRE_PATHS),
)
