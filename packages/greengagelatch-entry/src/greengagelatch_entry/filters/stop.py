"""Answers for this instance where a planned stop leaves no time for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer
from greengagelatch.verdict import Verdict

from ..inflight import BrokenOffError
from . import Exchange, Filter, Handler

if TYPE_CHECKING:
    from ..inflight import InFlight

__all__ = ("STOPPING_RETRY_MS", "StopFilter")

#: milliseconds after which to come back to an instance that stops: the others serve,
#: and a caller's next connection leads to one of them
STOPPING_RETRY_MS = 0


class StopFilter(Filter):
    """Breaks requests off at the end of a stop, and says whether they may have run."""

    def __init__(self, *, in_flight: InFlight) -> None:
        self._in_flight = in_flight

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        try:
            return await self._in_flight.run(proceed(exchange))
        except BrokenOffError:
            return self._refuse(exchange)

    def _refuse(self, exchange: Exchange) -> Answer:
        if exchange.request.key:
            # its run goes on without its caller, and raises the verdict at its end
            # only: called not run now, it would run after that
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        refusal = Refusal(
            code=RefusalCode.NOT_READY,
            message="broken off by a stop",
            verdict=exchange.verdict,
            retry_after_ms=STOPPING_RETRY_MS,
        )
        return Answer(
            request_id=exchange.request.request_id,
            verdict=exchange.verdict,
            refusal=refusal,
        )
