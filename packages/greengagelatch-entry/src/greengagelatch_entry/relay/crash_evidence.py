"""Evidence of whether the process of a target has ended."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .target_dialers import DialFailure, create_destination
from .target_probers import PeerFinding

if TYPE_CHECKING:
    import random

    from greengagelatch.relay.reachability import Reachability
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from .target_probers import TargetProber

__all__ = ("CrashEvidence", "RefusalEvidence")

#: other targets of the service that are dialled to see whether the path is intact
MAX_OTHERS = 3


class CrashEvidence(ABC):
    """Interface for finding out whether a target's process has ended."""

    @abstractmethod
    async def has_ended(self, target: ListedTarget) -> bool:
        """Return whether it has certainly ended; ``False`` may mean not known."""


class RefusalEvidence(CrashEvidence):
    """Dials the target: a port that refuses connections has no process any more.

    A partition may refuse connections in place of the target's host. A refusal counts
    if another target of the service is connected to after it, or if peers are refused
    too and none reaches the target. A timeout is no evidence.

    :param reachability: ``None`` if this instance does not know its partitions
    """

    def __init__(
        self,
        *,
        prober: TargetProber,
        reachability: Reachability | None = None,
        target_table: TargetTable,
        random_source: random.Random,
    ) -> None:
        self._prober = prober
        self._reachability = reachability
        self._target_table = target_table
        self._random = random_source

    async def has_ended(self, target: ListedTarget) -> bool:
        destination = create_destination(target)
        if await self._prober.probe(destination) is not DialFailure.REFUSED:
            return False
        if await self._reaches_another(target):
            return True
        finding = await self._prober.probe_by_peers(destination)
        if finding is PeerFinding.NO_PEERS:
            # nothing contradicts the refusal
            return True
        # a partitioned instance can't know whether these peers are partitioned as well
        return finding is PeerFinding.REFUSED and not self._is_partitioned()

    def _is_partitioned(self) -> bool:
        return self._reachability is not None and self._reachability.is_bypassing

    async def _reaches_another(self, target: ListedTarget) -> bool:
        others = [
            other
            for other in self._target_table.list_service(target.service)
            if other.incarnation != target.incarnation
        ]
        chosen = self._random.sample(others, min(len(others), MAX_OTHERS))
        failures = await asyncio.gather(
            *(self._prober.probe(create_destination(other)) for other in chosen)
        )
        return None in failures
