"""Lets a request with a key run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.request import Answer

from . import Exchange, Filter, Handler

if TYPE_CHECKING:
    from ..controllers.claims import ClaimsController

__all__ = ("DeduplicationFilter",)


class DeduplicationFilter(Filter):
    """Claims a request's key before anything is sent for it.

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
        permit = await self._claims.seek(exchange.request)
        if isinstance(permit, Answer):
            exchange.raise_verdict(permit.verdict)
            return permit
        try:
            answer = await proceed(exchange)
        except BaseException:
            self._claims.settle_cut(permit, exchange.verdict)
            raise
        self._claims.settle(permit, answer, exchange.verdict)
        return answer
