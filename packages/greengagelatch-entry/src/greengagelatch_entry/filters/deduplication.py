"""Lets a request with a key run at most once."""

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
    """Claims a request's key before anything is sent for it.

    A request with a key whose caller leaves is run to its end, within its deadline:
    it can't be run again, so its repeat would else find no result, ever.

    A request without a key passes: nothing tells its repeat from a new request.
    That holds also if it may not be repeated. The stages of one such request are
    then still run at most once, but a caller must not send it again after an
    answer other than "not run".
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
        tokens = _Tokens(exchange.on_token)
        if exchange.on_token is not None:
            exchange.on_token = tokens.take
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


class _Tokens:
    """Passes tokens on to a caller until it leaves."""

    def __init__(self, listener: Callable[[int, str], None] | None) -> None:
        self.listener = listener

    def take(self, offset: int, text: str) -> None:
        if self.listener is not None:
            self.listener(offset, text)
