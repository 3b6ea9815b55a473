"""Evidence of whether the process of a target has ended."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .routed_dialer import PeerFinding
from .target_dialers import DialFailure, create_destination

if TYPE_CHECKING:
    import random

    from greengagelatch.relay.reachability import Reachability
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..adapters.port_probe import PortProbe
    from .routed_dialer import RoutedDialer

__all__ = ("CrashEvidence", "PortEvidence", "RefusalEvidence")

#: other targets of the service that are dialled to see whether the path is intact
MAX_OTHERS = 3


class CrashEvidence(ABC):
    """Interface for finding out whether a target's process has ended."""

    @abstractmethod
    async def has_ended(self, target: ListedTarget) -> bool:
        """Return whether it has certainly ended; ``False`` may mean not known."""


class PortEvidence(CrashEvidence):
    """Takes a refused connection for the end of the process."""

    def __init__(self, probe: PortProbe) -> None:
        self._probe = probe

    async def has_ended(self, target: ListedTarget) -> bool:
        return await self._probe.is_port_closed(target.address)


class RefusalEvidence(CrashEvidence):
    """Dials the target: a port that refuses connections has no process any more.

    A partition may refuse connections in place of the target's host. A refusal counts
    if another target of the service is connected to after it, or if peers are refused
    too and none reaches the target. A timeout is no evidence.
    """

    def __init__(
        self,
        *,
        dialer: RoutedDialer,
        reachability: Reachability,
        target_table: TargetTable,
        random_source: random.Random,
    ) -> None:
        self._dialer = dialer
        self._reachability = reachability
        self._target_table = target_table
        self._random = random_source

    async def has_ended(self, target: ListedTarget) -> bool:
        destination = create_destination(target)
        if await self._dialer.probe(destination) is not DialFailure.REFUSED:
            return False
        if await self._reaches_another(target):
            return True
        finding = await self._dialer.probe_by_peers(destination)
        if finding is PeerFinding.NO_PEERS:
            # nothing contradicts the refusal
            return True
        # a partitioned instance can't know whether these peers are partitioned as well
        return finding is PeerFinding.REFUSED and not self._reachability.is_bypassing

    async def _reaches_another(self, target: ListedTarget) -> bool:
        others = [
            other
            for other in self._target_table.list_service(target.service)
            if other.incarnation != target.incarnation
        ]
        chosen = self._random.sample(others, min(len(others), MAX_OTHERS))
        failures = await asyncio.gather(
            *(self._dialer.probe(create_destination(other)) for other in chosen)
        )
        return None in failures
