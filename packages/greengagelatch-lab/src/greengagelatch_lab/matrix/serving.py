"""What a bench needs of an entry instance, whatever system it runs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .connections import Dialer
from .platform import PlatformLink
from .processes import SimulatedProcess

if TYPE_CHECKING:
    from greengagelatch.config.requests import ChangeOutcome, ChangeRequest

    from .bench import Bench
    from .front import Front

__all__ = ("ServingInstance",)


class ServingInstance(ABC):
    """One process that serves callers and takes changes of the configuration."""

    #: set by those that derive from it, once they are wired
    front: Front

    def __init__(
        self, bench: Bench, *, name: str, data_centre: str, address: str, seed: int
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.address = address
        self.process = SimulatedProcess(name)
        #: generations in force, with the loop time at which each was first seen
        self.generations: list[tuple[float, int]] = []
        self.exit_code: int | None = None
        self.stopping = False
        self.bench = bench
        self.seed = seed
        self.link = PlatformLink(
            network=bench.network,
            process=self.process,
            place=data_centre,
            note=bench.note_store_call,
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
        """Whether it serves: neither killed nor stopped nor about to be."""
        return not self.process.killed and not self.stopping

    @property
    @abstractmethod
    def generation(self) -> int:
        """Generation in force here."""

    @property
    @abstractmethod
    def change_id(self) -> str:
        """Id of the newest change in force here."""

    @abstractmethod
    def list_changes(self) -> frozenset[str]:
        """Return the ids of all changes in force here."""

    @abstractmethod
    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        """Make a change; called as part of the process."""

    @abstractmethod
    def start(self) -> None:
        """Start the process."""

    @abstractmethod
    def stop(self) -> None:
        """Begin a planned stop."""

    def kill(self, *, silently: bool = False) -> None:
        """End the process as by SIGKILL.

        :param silently: its system ends as well, which so closes no connection
        """
        if self.process.killed:
            return
        self.process.kill()
        if silently:
            self.bench.exchange.silence(self.name)
            return
        self.front.reset()
        self.bench.exchange.reset(self.name)

    def silence(self) -> None:
        """Have all its open connections go silent for good."""
        self.bench.exchange.silence(self.name)
        self.dialer.silence()
        self.link.silence()
