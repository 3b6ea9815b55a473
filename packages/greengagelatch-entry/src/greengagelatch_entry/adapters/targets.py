"""HTTP client for calls to targets, with at-most-once delivery."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import payload
from result import Err, Ok, Result
from yarl import URL

from greengagelatch.targets import (
    CallFailure,
    FailureKind,
    SilenceListener,
    StageAnswer,
    StageCall,
    Target,
    TargetClient,
    TokenListener,
)
from greengagelatch.verdict import Verdict

from ..soft_timeout import SoftTimeout, SoftTimeoutScope
from .event_stream import EventParser, EventTooLargeError
from .lazy_timeout import LazyTimeout
from .target_answers import (
    AnswerError,
    TokenReader,
    encode_call,
    parse_answer,
    parse_refusal,
)
from .target_pool import TargetPool

if TYPE_CHECKING:
    import random

    from aiohttp.abc import AbstractStreamWriter

    from greengagelatch.clock import Clock

    from ..metrics import Metrics

__all__ = ("HttpTargetClient", "TargetLimits")

STATE_HEADER = "X-Target-State"
LEAVING = "leaving"
EVENT_STREAM = "text/event-stream"
STATUS_OK = 200
#: seconds without a response byte after which the target's pooled connections are
#: replaced; an unnecessary replacement costs a connect, a missing one costs calls
MAX_SILENCE = 0.5
#: maximum number of targets whose parsed URL is cached
MAX_URLS = 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLimits:
    """Limits on calls to targets; times in seconds."""

    connect_timeout: float = 1.0
    #: maximum time until the first byte of the response
    stall_timeout: float = 60.0
    #: time between two reads of a response after which the target may be left
    gap_timeout: float = 2.0
    cancel_timeout: float = 1.0
    #: time after which an idle connection is closed
    idle_timeout: float = 15.0
    #: age at which pooled connections are replaced
    max_age: float = 60.0
    max_answer_bytes: int = 16 * 1024 * 1024
    max_event_bytes: int = 1024 * 1024


class HttpTargetClient(TargetClient):
    """Calls targets by ``POST /call`` and cancels attempts by ``POST /cancel``.

    aiohttp resends GET, PUT and DELETE by itself when a kept-alive connection drops,
    and resends POST on redirects. A call that is not idempotent could then be executed
    twice unnoticed, so calls use POST and do not follow redirects.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        limits: TargetLimits | None = None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._limits = limits or TargetLimits()
        self._pool = TargetPool(
            clock=clock,
            random_source=random_source,
            idle_timeout=self._limits.idle_timeout,
            max_age=self._limits.max_age,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()

    async def call(
        self,
        target: Target,
        call: StageCall,
        on_token: TokenListener | None = None,
        may_leave: SilenceListener | None = None,
    ) -> Result[StageAnswer, CallFailure]:
        now = self._clock.now()
        if now >= call.deadline:
            return Err(
                _fail(FailureKind.DEADLINE, Verdict.NOT_RUN, "deadline exceeded")
            )
        try:
            body = encode_call(call, now)
        except (ValueError, RecursionError) as error:
            message = f"input can't be encoded: {error}"
            return Err(_fail(FailureKind.TARGET_ERROR, Verdict.NOT_RUN, message))
        attempt = _Attempt(self._clock, self._limits, call, on_token, may_leave)
        # a pooled connection may be unresponsive or closing: the call is then lost
        # without proof that it did not run, so only repeatable calls may use one
        if not call.repeatable:
            result = await attempt.run(self._pool.get_fresh(), target, body)
        else:
            result = await self._call_pooled(target, attempt, body)
        if isinstance(result, Err):
            self._metrics.count(f"targets.failed.{result.err_value.kind.value}")
        return result

    async def cancel(self, target: Target, attempt_id: str) -> bool:
        # use a new connection: the pooled one may be unresponsive
        session = self._pool.get_fresh()
        url = URL(f"http://{target.address}/cancel")
        try:
            async with (
                asyncio.timeout(self._limits.cancel_timeout),
                session.post(
                    url, json={"attempt": attempt_id}, allow_redirects=False
                ) as response,
            ):
                fields = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return False
        return isinstance(fields, dict) and fields.get("cancelled") is True

    def dump(self) -> dict[str, Any]:
        """Return the number of targets with open pools and of replaced pools."""
        return {"pools": len(self._pool), "replaced": self._pool.replaced}

    async def _call_pooled(
        self, target: Target, attempt: _Attempt, body: bytes
    ) -> Result[StageAnswer, CallFailure]:
        with self._pool.use(target.address) as session:
            try:
                result = await attempt.run(session, target, body)
            finally:
                # also if this call is cancelled because a hedged call answered first
                if attempt.silent_for > MAX_SILENCE:
                    self._pool.retire(target.address)
        if isinstance(result, Err) and result.err_value.kind is FailureKind.MISMATCHED:
            self._pool.retire(target.address)
        return result


class _SendTrackingBody(payload.BytesPayload):
    """Request body that reports when its first byte is about to be written.

    aiohttp buffers the headers until the body is written, so that no byte of the
    call reaches the socket before :meth:`write_with_length` is called.
    """

    def __init__(self, body: bytes, attempt: _Attempt) -> None:
        super().__init__(body, content_type="application/json")
        self._attempt = attempt

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        self._attempt.record_sending()
        await super().write_with_length(writer, content_length)


class _Attempt:
    """One attempt: sends the call once and reads the complete answer."""

    def __init__(
        self,
        clock: Clock,
        limits: TargetLimits,
        call: StageCall,
        on_token: TokenListener | None,
        may_leave: SilenceListener | None,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._call = call
        self._reader = TokenReader(call, on_token)
        self._may_leave = may_leave
        #: ends the attempt in any case
        self._timeout: LazyTimeout | None = None
        #: ends it while the target is silent, if it may be left
        self._silence: SoftTimeoutScope | None = None
        self._sent = False
        self._response_started = False
        self._sent_at = 0.0
        self._leaving = False

    @property
    def silent_for(self) -> float:
        """Seconds since the call was sent; 0 once a response byte is received."""
        if not self._sent or self._response_started:
            return 0.0
        return self._clock.now() - self._sent_at

    async def run(
        self, session: aiohttp.ClientSession, target: Target, body: bytes
    ) -> Result[StageAnswer, CallFailure]:
        """Make the call and return its answer or its failure."""
        try:
            connected_by = self._compute_deadline(self._limits.connect_timeout)
            end = self._compute_deadline(math.inf)
            # it begins once the request is written
            soft_timeout = SoftTimeout(seconds=math.inf, may_leave=self._leave_silent)
            async with (
                LazyTimeout(connected_by) as self._timeout,
                SoftTimeoutScope(end, soft_timeout) as self._silence,
            ):
                return await self._exchange(session, target, body)
        except TimeoutError:
            return Err(self._create_timeout_failure())
        except AnswerError as error:
            return Err(self._fail(error.kind, error.message))
        except EventTooLargeError as error:
            return Err(self._fail(FailureKind.TARGET_ERROR, str(error)))
        except (aiohttp.ClientError, OSError) as error:
            kind = FailureKind.DISCONNECTED if self._sent else FailureKind.CONNECT
            return Err(self._fail(kind, f"{type(error).__name__}: {error}"))
        finally:
            self._timeout = self._silence = None

    def record_sending(self) -> None:
        """Record that the next step writes to the socket."""
        self._sent = True
        self._sent_at = self._clock.now()
        if self._timeout is not None:
            stalled_at = self._compute_deadline(self._limits.stall_timeout)
            self._timeout.reschedule(stalled_at)
        if self._call.first_byte_timeout:
            self._await_data(self._call.first_byte_timeout)

    async def _exchange(
        self, session: aiohttp.ClientSession, target: Target, body: bytes
    ) -> Result[StageAnswer, CallFailure]:
        response = await session.post(
            _create_url(target.address),
            data=_SendTrackingBody(body, self),
            allow_redirects=False,
        )
        try:
            result = await self._read(response)
        except BaseException:
            # close instead of release: late bytes on it belong to this attempt
            response.close()
            raise
        if isinstance(result, Err):
            response.close()
        else:
            response.release()
        return result

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> Result[StageAnswer, CallFailure]:
        self._response_started = True
        if self._timeout is not None:
            self._timeout.reschedule(self._compute_deadline(math.inf))
        if not response.content.is_eof():
            self._await_data(self._limits.gap_timeout)
        self._leaving = response.headers.get(STATE_HEADER) == LEAVING
        if response.status != STATUS_OK:
            body = await self._read_body(response)
            failure = parse_refusal(self._call, response.status, body)
            return Err(_mark_leaving(failure) if self._leaving else failure)
        if self._call.stream and response.content_type == EVENT_STREAM:
            return Ok(await self._read_stream(response))
        body = await self._read_body(response)
        return Ok(parse_answer(self._call, body, leaving=self._leaving))

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        chunks: list[bytes] = []
        size = 0
        content = response.content
        while chunk := await content.readany():
            size += len(chunk)
            if size > self._limits.max_answer_bytes:
                raise AnswerError(
                    FailureKind.TARGET_ERROR,
                    f"answer exceeds {self._limits.max_answer_bytes} bytes",
                )
            chunks.append(chunk)
            if content.at_eof():
                break
            self._await_data(self._limits.gap_timeout)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    async def _read_stream(self, response: aiohttp.ClientResponse) -> StageAnswer:
        parser = EventParser(self._limits.max_event_bytes)
        size = 0
        while chunk := await response.content.readany():
            self._await_data(self._limits.gap_timeout)
            size += len(chunk)
            if size > self._limits.max_answer_bytes:
                raise AnswerError(
                    FailureKind.TARGET_ERROR,
                    f"answer exceeds {self._limits.max_answer_bytes} bytes",
                )
            for event in parser.feed(chunk):
                self._reader.handle_event(event, leaving=self._leaving)
        if self._reader.answer is None:
            raise AnswerError(
                FailureKind.DISCONNECTED, "stream ended without an end event"
            )
        return self._reader.answer

    def _await_data(self, seconds: float) -> None:
        """Set the time without a byte after which the target counts as silent."""
        if self._silence is not None:
            self._silence.reschedule(self._compute_deadline(seconds))

    def _leave_silent(self, asked: bool, _path_lost: bool) -> bool:
        return self._may_leave is None or self._may_leave(asked)

    def _compute_deadline(self, seconds: float) -> float:
        """Return the loop time ``seconds`` from now, at most that of the deadline."""
        remaining = self._call.deadline - self._clock.now()
        return asyncio.get_running_loop().time() + max(0.0, min(seconds, remaining))

    def _create_timeout_failure(self) -> CallFailure:
        if self._clock.now() >= self._call.deadline:
            return self._fail(FailureKind.DEADLINE, "deadline exceeded")
        if not self._sent:
            return self._fail(FailureKind.CONNECT, "no connection within the timeout")
        what = "no further data" if self._response_started else "no response"
        return self._fail(FailureKind.STALLED, f"{what} within the timeout")

    def _fail(self, kind: FailureKind, message: str) -> CallFailure:
        verdict = Verdict.MAY_HAVE_RUN if self._sent else Verdict.NOT_RUN
        received = tuple(self._reader.tokens)
        if len(received) > self._call.resume_at:
            verdict = Verdict.RAN
        return CallFailure(
            kind=kind,
            verdict=verdict,
            message=message,
            tokens=received,
            leaving=self._leaving,
        )


@lru_cache(maxsize=MAX_URLS)
def _create_url(address: str) -> URL:
    return URL(f"http://{address}/call")


def _fail(kind: FailureKind, verdict: Verdict, message: str) -> CallFailure:
    return CallFailure(kind=kind, verdict=verdict, message=message)


def _mark_leaving(failure: CallFailure) -> CallFailure:
    return CallFailure(
        kind=failure.kind,
        verdict=failure.verdict,
        message=failure.message,
        tokens=failure.tokens,
        retry_after_ms=failure.retry_after_ms,
        leaving=True,
    )
