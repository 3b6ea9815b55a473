"""Records metrics and logs of every request; the outermost filter."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from greengagelatch.errors import Refusal, RefusalCode
from greengagelatch.request import Answer

from . import Exchange, Filter, Handler

if TYPE_CHECKING:
    from greengagelatch.clock import Clock

    from ..logs import RequestLog
    from ..metrics import Metrics

__all__ = ("TRACE_KEY", "ObserveFilter")

logger = logging.getLogger(__name__)

#: key of the request's log
TRACE_KEY = "trace"
#: milliseconds after which to retry a request that failed with an internal error
INTERNAL_RETRY_MS = 1000


class ObserveFilter(Filter):
    """Counts and times requests by outcome, and answers errors of later filters."""

    def __init__(self, *, clock: Clock, metrics: Metrics, log: RequestLog) -> None:
        self._clock = clock
        self._metrics = metrics
        self._log = log

    async def apply(self, exchange: Exchange, proceed: Handler) -> Answer:
        trace = self._log.start_request(exchange.request)
        exchange.context[TRACE_KEY] = trace
        try:
            answer = await proceed(exchange)
        except asyncio.CancelledError:
            self._metrics.count("requests.caller_gone")
            trace.finish(_refuse(exchange, "the caller disconnected"))
            raise
        except Exception:
            logger.exception(
                "request %s failed with an internal error", exchange.request.request_id
            )
            answer = _refuse(exchange, "internal error")
        self._record_metrics(exchange, answer)
        trace.finish(answer)
        return answer

    def _record_metrics(self, exchange: Exchange, answer: Answer) -> None:
        seconds = self._clock.now() - exchange.request.received
        refusal = answer.refusal
        outcome = "answered" if refusal is None else refusal.code.value
        self._metrics.count(f"requests.{outcome}")
        self._metrics.timing(f"requests.{outcome}", seconds)
        if refusal is None and self._clock.now() > exchange.request.deadline:
            self._metrics.count("requests.late")


def _refuse(exchange: Exchange, message: str) -> Answer:
    return Answer(
        request_id=exchange.request.request_id,
        verdict=exchange.verdict,
        refusal=Refusal(
            code=RefusalCode.INTERNAL,
            message=message,
            verdict=exchange.verdict,
            retry_after_ms=INTERNAL_RETRY_MS,
        ),
    )
