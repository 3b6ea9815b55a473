"""Execution of stages by this instance, without other instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from greengagelatch.relay.groups import MakerGroup

from ..controllers import Controller
from .stage_executor import StageExecutor
from .stage_pool import StagePool

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Bundle, PieceResult
    from greengagelatch.relay.queue_waits import QueueWait


__all__ = ("LocalStageExecutor",)


class LocalStageExecutor(Controller, StageExecutor):
    """Keeps a pool for each group of makers, created on its first use.

    :param create_pool: creates the pool of a group
    :param find_group: returns the group of a service's makers in a data centre
    """

    name = "stages"

    def __init__(
        self,
        *,
        create_pool: Callable[[MakerGroup], StagePool],
        find_group: Callable[[str, str], MakerGroup] = lambda service, _: MakerGroup(
            service
        ),
    ) -> None:
        super().__init__()
        self._create_pool = create_pool
        self._find_group = find_group
        self._pools: dict[MakerGroup, StagePool] = {}

    async def execute(
        self, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        return await self.execute_in(MakerGroup(bundle.service), bundle, on_read)

    async def execute_in(
        self, group: MakerGroup, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        """Execute a bundle on the makers of a group."""
        return await self.find_pool(group).execute(bundle, on_read)

    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        by_group: dict[MakerGroup, list[PieceResult]] = {}
        for result in results:
            group = self._find_group(service, result.data_centre)
            by_group.setdefault(group, []).append(result)
        for group, freed in by_group.items():
            self.find_pool(group).free(tuple(freed))

    def estimate_wait(self, service: str) -> QueueWait:
        return self.estimate_wait_in(MakerGroup(service))

    def estimate_wait_in(self, group: MakerGroup) -> QueueWait:
        """Return the expected queue wait for the makers of a group."""
        return self.find_pool(group).estimate_wait()

    def record_removal(self, incarnation: Incarnation) -> None:
        """Record that a maker was removed from the listing, or has restarted."""
        for pool in self._pools.values():
            pool.record_removal(incarnation)

    def list_waits(self) -> list[tuple[MakerGroup, QueueWait]]:
        """Return the expected queue wait for each group of makers."""
        return [(group, pool.estimate_wait()) for group, pool in self._pools.items()]

    def find_pool(self, group: MakerGroup) -> StagePool:
        """Return the pool of a group, which is created if there is none yet."""
        pool = self._pools.get(group)
        if pool is None:
            pool = self._pools[group] = self._create_pool(group)
        return pool

    async def on_stop(self) -> None:
        # concurrently: each pool may wait, and the time left for a stop is short
        await asyncio.gather(*(pool.close() for pool in self._pools.values()))

    def dump(self) -> dict[str, Any]:
        return {str(group): pool.describe() for group, pool in self._pools.items()}
