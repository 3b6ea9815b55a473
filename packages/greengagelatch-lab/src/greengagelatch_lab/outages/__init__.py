"""Faults that are injected into a running fleet while it serves traffic."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..fleets.background_traffic import BackgroundTraffic
    from ..fleets.daemon import Daemon

__all__ = ("Fault", "FaultContext", "PermanentFault")


@dataclass(slots=True)
class FaultContext:
    """A running fleet, and the effects of the faults injected so far."""

    traffic: BackgroundTraffic
    random_source: random.Random
    #: entry instances whose callers may see a disconnected or silent connection
    affected_instances: set[str] = field(default_factory=set)
    #: violations of guarantees that a fault detected itself
    guarantee_violations: list[str] = field(default_factory=list)

    def pick_affected_daemon(self) -> Daemon:
        """Return a random entry instance and record that a fault affects it."""
        daemon = self.random_source.choice(self.traffic.runner.daemons)
        self.affected_instances.add(daemon.instance_id)
        return daemon


class Fault(ABC):
    """A fault that is injected for a while."""

    #: name on the command line
    name: str = ""
    #: data centre that is cut off at present; empty if none is
    cut_off: str = ""

    @abstractmethod
    async def inject(self, context: FaultContext) -> None:
        """Inject the fault."""

    @abstractmethod
    async def remove(self, context: FaultContext) -> None:
        """Remove the fault; a killed process is not restarted."""


class PermanentFault(Fault):
    """A fault whose effect is not removed."""

    async def remove(self, context: FaultContext) -> None:
        pass
