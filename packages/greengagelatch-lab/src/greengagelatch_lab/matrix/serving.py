"""Interface of a bench's instances, independent of the system under test."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .connections import Dialer
from .platform import PlatformLink
from .processes import SimulatedProcess

if TYPE_CHECKING:
    from greengagelatch.config.requests import ChangeOutcome, ChangeRequest

    from .bench import Bench
    from .callers_server import SimulatedCallersServer

__all__ = ("ServingInstance",)


class ServingInstance(ABC):
    """One simulated process that serves clients and accepts configuration changes."""

    #: set by subclasses
    callers_server: SimulatedCallersServer

    def __init__(
        self, bench: Bench, *, name: str, data_centre: str, address: str, seed: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.address = address
        self.process = SimulatedProcess(name)
        #: loop time at which each generation was first observed, and the generation
        self.generations: list[tuple[float, int]] = []
        self.exit_code: int | None = None
        self.stopping = False
        self.bench = bench
        self.seed = seed
        self.link = PlatformLink(
            network=bench.network,
            process=self.process,
            place=data_centre,
            on_call=bench.handle_store_call,
        )
        self.dialer = Dialer(
            process=self.process,
            place=data_centre,
            network=bench.network,
            targets=bench.targets,
            announcer=bench.announcer,
            markers=bench.markers,
        )

    @property
    def alive(self) -> bool:
        """Whether it is neither killed nor stopping."""
        return not self.process.killed and not self.stopping

    @property
    @abstractmethod
    def generation(self) -> int:
        """The configuration generation in force on this instance."""

    @property
    @abstractmethod
    def change_id(self) -> str:
        """The id of the latest change in force on this instance."""

    @abstractmethod
    def list_changes(self) -> frozenset[str]:
        """Return the ids of all changes in force on this instance."""

    @abstractmethod
    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        """Make a change; called in the context of the process."""

    @abstractmethod
    def start(self) -> None:
        """Start the process."""

    @abstractmethod
    def stop(self) -> None:
        """Request a planned stop."""

    def kill(self, *, silently: bool = False) -> None:
        """Kill the process as by SIGKILL.

        :param silently: whether the operating system fails as well, so that no
            connection is closed
        """
        if self.process.killed:
            return
        self.process.kill()
        if silently:
            self.bench.links.silence(self.name)
            return
        self.callers_server.reset()
        self.bench.links.reset(self.name)

    def silence(self) -> None:
        """Drop all further traffic on its open connections."""
        self.bench.links.silence(self.name)
        self.dialer.silence()
        self.link.silence()
