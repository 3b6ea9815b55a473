"""Interface for the execution of pipeline stages."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.pieces import Bundle, PieceResult
    from greengagelatch.relay.queue_waits import QueueWait

__all__ = ("StageExecutor",)


class StageExecutor(ABC):
    """Executes bundles of pieces on the makers of their service."""

    @abstractmethod
    async def execute(
        self, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        """Return the results of all pieces, in order.

        ``on_read`` is called once the makers have read the inputs of all pieces, if
        that is known before the results are complete.

        Cancelling the call withdraws the pieces that are still queued.
        """

    @abstractmethod
    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        """Free results that are no longer needed."""

    @abstractmethod
    def estimate_wait(self, service: str) -> QueueWait:
        """Return the expected queue wait of a piece that is added now."""
