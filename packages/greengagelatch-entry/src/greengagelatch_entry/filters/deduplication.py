"""Runs a request with an idempotency key at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.request import Answer

from . import Exchange, Filter, Handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..controllers.claims import ClaimsController, Permit

__all__ = ("DeduplicationFilter",)


class DeduplicationFilter(Filter):
    """Claims the idempotency key of a request before any of its stages is called.

    A request with a key keeps running until it ends or reaches its deadline, even if
    its caller disconnects: it can't be run again, so a retry would otherwise never
    find a result.

    A request without a key is not deduplicated, as its retry can't be told from a new
    request. This also holds for requests that are not repeatable. Each stage of such
    a request is still run at most once, but a caller must not retry it unless the
    verdict of the answer is "not run".
    """

    def __init__(self, *, claims: ClaimsController) -> None:
        self._claims = claims

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        if not exchange.request.key:
            return await proceed(exchange)
        permit = await self._claims.claim(exchange.request)
        if isinstance(permit, Answer):
            exchange.raise_verdict(permit.verdict)
            return permit
        tokens = _TokenForwarder(exchange.on_token)
        if exchange.on_token is not None:
            exchange.on_token = tokens.forward
        run = asyncio.create_task(self._run(exchange, proceed, permit))
        try:
            return await asyncio.shield(run)
        except asyncio.CancelledError:
            tokens.listener = None
            self._claims.detach(run)
            raise

    async def _run(
        self, exchange: Exchange, proceed: Handler, permit: Permit
    ) -> Answer:
        try:
            answer = await proceed(exchange)
        except BaseException:
            self._claims.settle_cancelled(permit, exchange.verdict)
            raise
        self._claims.settle(permit, answer, exchange.verdict)
        return answer


class _TokenForwarder:
    """Forwards tokens to a caller until it disconnects."""

    def __init__(self, listener: Callable[[int, str], None] | None) -> None:
        self.listener = listener

    def forward(self, offset: int, text: str) -> None:
        if self.listener is not None:
            self.listener(offset, text)
