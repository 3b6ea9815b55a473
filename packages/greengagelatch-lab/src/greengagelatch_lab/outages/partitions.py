"""Faults of the paths between data centres, and to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fleets.network import PathKind
from . import Fault, Scene
from .convergence import find_unjoined, find_without, read_generation

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..fleets.daemon import Daemon
    from ..fleets.network import Network, Path

__all__ = ("PARTITIONS",)

CENTRES = (PathKind.PEER, PathKind.TARGET)


class PathFault(Fault):
    """Something is wrong with the paths of one data centre.

    While it is, a change is made elsewhere. It must be in force soon wherever word of
    it can get to, and everywhere once the paths work again.

    :param platform: whether the paths to the platform are concerned
    :param kinds: paths between this data centre and the others that are concerned
    """

    def __init__(
        self, name: str, *, platform: bool = False, kinds: Sequence[PathKind] = ()
    ) -> None:
        self.name = name
        self._platform = platform
        self._kinds = kinds
        self._paths: list[Path] = []
        self._generation = 0

    async def begin(self, scene: Scene) -> None:
        runner = scene.playing.runner
        self.cut_off = scene.random_source.choice(runner.fleet.data_centres)
        self._paths = self._find_paths(runner.network)
        for path in self._paths:
            await self.strike(path)
        elsewhere = [
            daemon for daemon in runner.daemons if daemon.data_centre != self.cut_off
        ]
        changer = scene.random_source.choice(elsewhere)
        workspace = runner.fleet.workspaces[0].name
        await runner.run_client(
            "label", "workspace", workspace, f"during={self.name}", at=changer
        )
        self._generation = await read_generation(changer)
        told = runner.daemons if self.lets_news_pass() else elsewhere
        await self._check_in_force(scene, told, "during the fault")

    async def end(self, scene: Scene) -> None:
        for path in self._paths:
            await path.link.heal()
        daemons = scene.playing.runner.daemons
        await self._check_in_force(scene, daemons, "after the fault")
        for pair in await find_unjoined(daemons):
            scene.broken.append(f"{self.name}: not a member afterwards: {pair}")
        self.cut_off = ""

    async def strike(self, path: Path) -> None:
        """Bring the fault about on one path."""
        await path.link.disconnect()

    def lets_news_pass(self) -> bool:
        """Whether a change made elsewhere can get to the data centre meanwhile."""
        return not (self._platform and PathKind.PEER in self._kinds)

    def _find_paths(self, network: Network) -> list[Path]:
        paths = network.find_paths(self.cut_off, *self._kinds)
        if self._platform:
            paths += network.find_platform_paths(self.cut_off)
        return paths

    async def _check_in_force(
        self, scene: Scene, daemons: Sequence[Daemon], when: str
    ) -> None:
        for instance_id in await find_without(daemons, self._generation):
            scene.broken.append(
                f"{self.name}: generation {self._generation} not in force {when}"
                f" at {instance_id}"
            )


class PathSilence(PathFault):
    """The paths swallow all bytes, also those of new connections."""

    async def strike(self, path: Path) -> None:
        path.link.blackhole()


class OpenSilence(PathFault):
    """Open connections go silent for good, while new ones work."""

    async def strike(self, path: Path) -> None:
        path.link.blackhole(only_open=True)

    def lets_news_pass(self) -> bool:
        return True


PARTITIONS: tuple[Fault, ...] = (
    PathFault("platform-cut", platform=True),
    PathSilence("platform-silent", platform=True),
    PathFault("centres-cut", kinds=CENTRES),
    PathSilence("centres-silent", kinds=CENTRES),
    PathFault("both-cut", platform=True, kinds=CENTRES),
    PathSilence("both-silent", platform=True, kinds=CENTRES),
    OpenSilence("peers-silent", kinds=(PathKind.PEER,)),
    OpenSilence("connections-silent", platform=True, kinds=CENTRES),
)
