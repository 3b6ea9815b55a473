"""Faults that strike a running fleet while its traffic is played."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..fleets.background_traffic import BackgroundTraffic
    from ..fleets.daemon import Daemon

__all__ = ("Fault", "LastingFault", "Scene")


@dataclass(slots=True)
class Scene:
    """A fleet that serves, and what has struck it so far."""

    playing: BackgroundTraffic
    random_source: random.Random
    #: entry instances whose callers may see a connection end or stay silent
    struck: set[str] = field(default_factory=set)
    #: promises that a fault found broken by itself
    broken: list[str] = field(default_factory=list)

    def pick_daemon(self) -> Daemon:
        """Return a random entry instance, which counts as struck from now on."""
        daemon = self.random_source.choice(self.playing.runner.daemons)
        self.struck.add(daemon.instance_id)
        return daemon


class Fault(ABC):
    """Something that goes wrong for a while."""

    #: name on the command line
    name: str = ""
    #: data centre that is cut off at present; empty: none
    cut_off: str = ""

    @abstractmethod
    async def begin(self, scene: Scene) -> None:
        """Bring the fault about."""

    @abstractmethod
    async def end(self, scene: Scene) -> None:
        """Mend what can be mended; a killed process stays dead."""


class LastingFault(Fault):
    """A fault that has no end of its own."""

    async def end(self, scene: Scene) -> None:
        pass
