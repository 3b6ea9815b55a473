"""News between instances of targets that have named a rate."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from greengagelatch.relay.permit_messages import (
    RateLimitsUpdate,
    decode_rate_limits,
    encode_rate_limits,
)

from .neighbour_news import NeighbourNewsController

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.rate_limits import RateLimits

    from ..metrics import Metrics

__all__ = ("RateLimitNewsController",)


class RateLimitNewsController(NeighbourNewsController):
    """Tells the neighbours which targets have named a rate, and applies their news."""

    name = "rate_limits"

    def __init__(
        self,
        *,
        peers: PeerNetwork,
        limits: RateLimits,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__(peers=peers)
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        peers.handle(RateLimitsUpdate, self._receive)

    def create_update(self) -> RateLimitsUpdate | None:
        rows = self.list_rows()
        return RateLimitsUpdate(rows) if rows else None

    def record_sent(self) -> None:
        self._metrics.count("rate_limits.updates_sent")

    def list_rows(self, incarnation: Incarnation | None = None) -> tuple[Any, ...]:
        """Return the limits as rows of a message.

        :param incarnation: the only target to tell of; ``None``: all
        """
        news = self._limits.list_news(self._clock.now())
        return encode_rate_limits(
            one for one in news if incarnation in (None, one.incarnation)
        )

    def apply(self, rows: Iterable[Any], elapsed: float = 0.0) -> None:
        """Apply the rows of a message.

        :param elapsed: seconds for which the message may have been under way
        """
        for news in decode_rate_limits(rows):
            aged = replace(news, age=news.age + elapsed)
            self._limits.record_news(aged, self._clock.now())

    def dump(self) -> dict[str, Any]:
        return self._limits.describe(self._clock.now())

    def _receive(self, sender: str, update: RateLimitsUpdate) -> None:
        self._metrics.count("rate_limits.updates_received")
        self.apply(update.rows)
