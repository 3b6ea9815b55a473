"""News between instances of services whose targets are brittle."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.relay.messages import (
    BrittleServicesUpdate,
    decode_brittle,
    encode_brittle,
)

from ..controllers import Controller

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.brittle_services import BrittleServices

    from ..metrics import Metrics

__all__ = ("BrittleNewsController",)

#: seconds between two updates to the neighbours while any service is brittle: an
#: instance that starts, or whose link was down, learns it from the next one
REPEAT_SECONDS = 0.5
#: seconds between two updates after changes, which are sent at once otherwise
MIN_PAUSE_SECONDS = 0.05


class BrittleNewsController(Controller):
    """Tells the neighbours which services are brittle, and applies what they tell.

    Each instance passes on what it did not know, so that it reaches all instances that
    are connected by any path.
    """

    name = "brittle_news"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        services: BrittleServices,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._peers = peers
        self._services = services
        self._clock = clock
        self._metrics = metrics
        self._changed = asyncio.Event()
        peers.handle(BrittleServicesUpdate, self._receive)

    def handle_change(self) -> None:
        """Send an update soon, as a service has become brittle."""
        self._changed.set()

    def list_rows(self) -> tuple[Any, ...]:
        """Return the brittle services as rows of a message."""
        return encode_brittle(self._services.list_news(self._clock.now()))

    def apply(self, rows: Iterable[Any], elapsed: float = 0.0) -> None:
        """Apply the rows of a message.

        :param elapsed: seconds for which the message may have been under way
        """
        for news in decode_brittle(rows):
            aged = replace(news, age=news.age + elapsed)
            self._services.record_news(aged, self._clock.now())

    def dump(self) -> dict[str, Any]:
        return {"services": self._services.describe(self._clock.now())}

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
        rows = self.list_rows()
        if not rows:
            return
        update = BrittleServicesUpdate(rows)
        for peer in self._peers.neighbours():
            if self._peers.send(peer, update):
                self._metrics.count("brittle_targets.updates_sent")

    def _receive(self, sender: str, update: BrittleServicesUpdate) -> None:
        self._metrics.count("brittle_targets.updates_received")
        self.apply(update.rows)
