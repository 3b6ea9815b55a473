"""Answers requests that are cancelled at the end of a planned stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict

from ..in_flight_requests import RequestAbortedError
from . import Exchange, Filter, Handler

if TYPE_CHECKING:
    from ..in_flight_requests import InFlightRequests

__all__ = ("STOPPING_RETRY_MS", "StopFilter")

#: milliseconds after which to retry a request that a stopping instance refused: at
#: once, as the caller's next connection leads to another instance
STOPPING_RETRY_MS = 0


class StopFilter(Filter):
    """Cancels requests at the end of a stop, and answers with their verdict."""

    def __init__(self, *, in_flight: InFlightRequests) -> None:
        self._in_flight = in_flight

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        try:
            return await self._in_flight.run(proceed(exchange))
        except RequestAbortedError:
            return self._refuse(exchange)

    def _refuse(self, exchange: Exchange) -> Answer:
        if exchange.request.key:
            # deduplication detaches the run, which raises the verdict only when it
            # ends: an answer of "not run" could be followed by the run
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        refusal = Refusal(
            code=RefusalCode.NOT_READY,
            message="cancelled by a stop of this instance",
            verdict=exchange.verdict,
            retry_after_ms=STOPPING_RETRY_MS,
        )
        return Answer(
            request_id=exchange.request.request_id,
            verdict=exchange.verdict,
            refusal=refusal,
        )
