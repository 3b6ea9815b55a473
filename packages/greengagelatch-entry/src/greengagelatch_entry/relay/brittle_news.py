"""News between instances of services whose targets are brittle."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from greengagelatch.relay.messages import (
    BrittleServicesUpdate,
    decode_brittle,
    encode_brittle,
)

from .neighbour_news import NeighbourNewsController

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.brittle_services import BrittleServices

    from ..metrics import Metrics

__all__ = ("BrittleNewsController",)


class BrittleNewsController(NeighbourNewsController):
    """Tells the neighbours which services are brittle, and applies what they tell."""

    name = "brittle_news"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        services: BrittleServices,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(peers=peers)
        self._metrics = metrics
        self._services = services
        self._clock = clock
        peers.handle(BrittleServicesUpdate, self._receive)

    def create_update(self) -> BrittleServicesUpdate | None:
        rows = self.list_rows()
        return BrittleServicesUpdate(rows) if rows else None

    def record_sent(self) -> None:
        self._metrics.count("brittle_targets.updates_sent")

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

    def _receive(self, sender: str, update: BrittleServicesUpdate) -> None:
        self._metrics.count("brittle_targets.updates_received")
        self.apply(update.rows)
