"""Request filters: the middleware chain that every request passes in order."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from greengagelatch.request import Answer, Request
from greengagelatch.verdict import Verdict

__all__ = ("Exchange", "Filter", "Handler", "chain")


@dataclass(slots=True)
class Exchange:
    """One request and its state while it passes through the filter chain.

    It is the only mutable state of a request. ``verdict`` is changed only through
    :meth:`raise_verdict`, so that it never decreases.
    """

    request: Request
    verdict: Verdict = Verdict.NOT_RUN
    #: sends a token of a streamed answer to the caller; ``None`` for unary answers
    on_token: Callable[[int, str], None] | None = None
    #: values that filters share with later filters, by key
    context: dict[str, Any] = field(default_factory=dict)

    def raise_verdict(self, verdict: Verdict) -> None:
        """Raise the verdict; a lower value has no effect."""
        self.verdict = self.verdict.raise_to(verdict)


Handler = Callable[[Exchange], Awaitable[Answer]]


class Filter(ABC):
    """One filter of the chain."""

    @abstractmethod
    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        """Return the answer, usually the one that ``proceed`` returns."""


def chain(filters: tuple[Filter, ...], last: Handler) -> Handler:
    """Return a handler that passes exchanges through ``filters`` to ``last``."""
    handler = last
    for current in reversed(filters):
        handler = _bind_filter(current, handler)
    return handler


def _bind_filter(current: Filter, proceed: Handler) -> Handler:
    async def handle(exchange: Exchange) -> Answer:
        return await current.apply(exchange, proceed)

    return handle
