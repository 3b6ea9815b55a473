"""Who has the pieces of stages made, and how long pieces wait there."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.pieces import Bundle, PieceResult
    from greengagelatch.relay.queue_waits import QueueWait

__all__ = ("StageExecutor",)


class StageExecutor(ABC):
    """Takes bundles of pieces and has them made."""

    @abstractmethod
    async def execute(
        self, bundle: Bundle, on_read: Callable[[], None]
    ) -> tuple[PieceResult, ...]:
        """Return the results of all pieces, in order.

        ``note_read`` is called once the makers have what the pieces read, if that is
        known before the results are there.

        Cancelling it withdraws the pieces that are not yet being made.
        """

    @abstractmethod
    def free(self, service: str, results: tuple[PieceResult, ...]) -> None:
        """Give up results."""

    @abstractmethod
    def estimate_wait(self, service: str) -> QueueWait:
        """Return how long a piece would wait if it came now."""
