"""Base class of controllers that tell the neighbours what their instance knows."""

from __future__ import annotations

import asyncio
import contextlib
from abc import abstractmethod
from typing import TYPE_CHECKING

from mode import Service

from ..controllers import Controller

if TYPE_CHECKING:
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.peers.codec import Message

__all__ = ("NeighbourNewsController",)

#: seconds between two updates to the neighbours while there is anything to tell: an
#: instance that starts, or whose link was down, learns it from the next one
REPEAT_SECONDS = 0.5
#: seconds between two updates after changes, which are sent at once otherwise
MIN_PAUSE_SECONDS = 0.05


class NeighbourNewsController(Controller):
    """Sends updates to the neighbours, at once after a change and then repeatedly.

    Each instance passes on what it did not know, so that it reaches all instances that
    are connected by any path.
    """

    def __init__(self, *, peers: PeerNetwork) -> None:
        super().__init__()
        self._peers = peers
        self._changed = asyncio.Event()

    @abstractmethod
    def create_update(self) -> Message | None:
        """Return what to tell the neighbours; ``None``: nothing."""

    @abstractmethod
    def record_sent(self) -> None:
        """Count an update that was sent to a neighbour."""

    def handle_change(self) -> None:
        """Send an update soon, as there is something new to tell."""
        self._changed.set()

    @Service.task
    async def _send_forever(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPEAT_SECONDS):
                    await self._changed.wait()
            self._changed.clear()
            self._send()
            await asyncio.sleep(MIN_PAUSE_SECONDS)

    def _send(self) -> None:
        update = self.create_update()
        if update is None:
            return
        for peer in self._peers.neighbours():
            if self._peers.send(peer, update):
                self.record_sent()
