"""Stage work that this instance has made by itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ..controllers import Controller
from .stage_desk import StageDesk
from .stage_pool import StagePool

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.pieces import Bundle, PieceResult

    from .stage_desk import QueueWait

__all__ = ("LocalDesk",)


class LocalDesk(Controller, StageDesk):
    """One pool for each service, made when its first bundle comes.

    :param create_pool: makes the pool of a service
    """

    name = "stages"

    def __init__(self, *, create_pool: Callable[[str], StagePool]) -> None:
        super().__init__()
        self._create_pool = create_pool
        self._pools: dict[str, StagePool] = {}

    async def make(
        self, bundle: Bundle, note_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        return await self.find_pool(bundle.service).make(bundle, note_read)

    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        self.find_pool(service).free(results)

    def estimate_wait(self, service: str) -> QueueWait:
        return self.find_pool(service).estimate_wait()

    def note_gone(self, incarnation: Incarnation) -> None:
        """Take in that a maker is gone, or has started again."""
        for pool in self._pools.values():
            pool.note_gone(incarnation)

    def list_waits(self) -> list[tuple[str, QueueWait]]:
        """Return how long a piece of each service would wait."""
        return [(name, pool.estimate_wait()) for name, pool in self._pools.items()]

    def find_pool(self, service: str) -> StagePool:
        """Return the pool of a service."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = self._create_pool(service)
        return pool

    async def on_stop(self) -> None:
        # together: each may wait for a moment, of which a stop has few left
        await asyncio.gather(*(pool.close() for pool in self._pools.values()))

    def dump(self) -> dict[str, Any]:
        return {name: pool.describe() for name, pool in self._pools.items()}
