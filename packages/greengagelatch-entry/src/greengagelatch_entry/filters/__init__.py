"""Filters: the steps that every request passes, in order."""

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
    """One request on its way through the filters.

    It is the only mutable record of a request; ``verdict`` changes through
    :meth:`raise_verdict` alone, so that it can't fall.
    """

    request: Request
    verdict: Verdict = Verdict.NOT_RUN
    #: gives the caller a token of a streamed answer; ``None`` for unary answers
    on_token: Callable[[int, str], None] | None = None
    #: what filters leave for later ones, by the name of the filter
    notes: dict[str, Any] = field(default_factory=dict)

    def raise_verdict(self, verdict: Verdict) -> None:
        """Raise the verdict; a lower one changes nothing."""
        self.verdict = self.verdict.raise_to(verdict)


Handler = Callable[[Exchange], Awaitable[Answer]]


class Filter(ABC):
    """One step of the chain."""

    @abstractmethod
    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        """Answer the exchange, usually by what ``proceed`` returns."""


def chain(filters: tuple[Filter, ...], last: Handler) -> Handler:
    """Return a handler that passes exchanges through ``filters`` to ``last``."""
    handler = last
    for step in reversed(filters):
        handler = _bind(step, handler)
    return handler


def _bind(step: Filter, proceed: Handler) -> Handler:
    async def handle(exchange: Exchange) -> Answer:
        return await step.apply(exchange, proceed)

    return handle
