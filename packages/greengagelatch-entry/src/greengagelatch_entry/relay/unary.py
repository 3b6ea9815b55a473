"""Unary requests: one request, one complete response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from greengagelatch.relay.deployment import RouteKind
from greengagelatch.relay.outcomes import SendOutcome
from greengagelatch.relay.target_speeds import Answer

from ..soft_timeout import SoftTimeout, SoftTimeoutScope
from .messages import AttemptContext
from .response_bodies import ResponseBodies
from .runners import Runner
from .target_responses import TargetResponseError
from .target_sender import CRASH_BLAME_SECONDS, FailedSend, ReceivedResponse

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget

    from .exchange import RelayExchange
    from .memory import MemoryController
    from .messages import ResponseHead
    from .response_bodies import ResponseBody

__all__ = ("UnaryRunner",)

#: size in bytes up to which a response is written in one piece
MAX_WHOLE_BYTES = 64 * 1024
#: soft timeout of idempotent requests as a multiple of the route's latency objective.
#: After it the request fails over to another target if it may, as a hung target would
#: hold it until the deadline
ATTEMPT_TIMEOUT_FACTOR = 1.0
#: minimum of it in seconds
MIN_ATTEMPT_TIMEOUT = 0.15
STATUS_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class _FullResponse:
    """A response whose body has been read completely.

    It may have been passed on as it arrived, and is complete at the caller then.
    """

    head: ResponseHead
    body: ResponseBody
    passed_on: bool = False


class UnaryRunner(Runner):
    """Sends a request until a target answers or no further retry is allowed."""

    def __init__(self, *, memory: MemoryController, **fields: Any) -> None:
        super().__init__(**fields)
        self.memory = memory

    async def run(self, exchange: RelayExchange) -> None:
        bodies = ResponseBodies(self.memory)
        try:
            await self._run(exchange, bodies)
        finally:
            bodies.release()

    async def _run(self, exchange: RelayExchange, bodies: ResponseBodies) -> None:
        self.budgets.record_request(exchange.service)
        excluded: frozenset[Incarnation] = frozenset()
        #: those of them that were left as they were silent
        silent: frozenset[Incarnation] = frozenset()
        last: FailedSend | None = None
        error_response: _FullResponse | None = None
        while True:
            refusal = await self.brittle.wait(exchange, excluded)
            if refusal is not None:
                break
            async with self.suspects.admit(exchange):
                target = self._choose(exchange, excluded)
                if target is None and silent:
                    # nothing else is left, and they may go on by now
                    excluded, silent = excluded - silent, frozenset()
                    target = self._choose(exchange, excluded)
                if target is None:
                    break
                result = await self._attempt(exchange, target, excluded, bodies)
            if isinstance(result, _FullResponse):
                if result.passed_on:
                    return
                if result.head.succeeded:
                    await self._deliver(exchange, result)
                    return
                if error_response is not None:
                    error_response.body.release()
                error_response = result
                if result.head.status < STATUS_SERVER_ERROR:
                    break
                outcome = SendOutcome.FAILED
            else:
                last, outcome = result, result.outcome
            if not isinstance(result, FailedSend) or not result.path_lost:
                excluded |= {target.incarnation}
            if isinstance(result, FailedSend) and result.silent:
                silent |= {target.incarnation}
            if not self.may_retry(exchange, outcome):
                break
        if error_response is not None:
            # the target's own error response tells more than a refusal by this instance
            await self._deliver(exchange, error_response)
            return
        raise refusal or self.create_refusal(exchange, last)

    def _choose(
        self, exchange: RelayExchange, excluded: frozenset[Incarnation]
    ) -> ListedTarget | None:
        return self.load_balancer.choose_least_loaded(
            exchange.service,
            excluded,
            self.clock.now(),
            exchange.data_centres,
            repeatable=exchange.route.repeatable,
            may_retry=self.may_send_again(exchange),
        )

    async def _attempt(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        excluded: frozenset[Incarnation],
        bodies: ResponseBodies,
    ) -> _FullResponse | FailedSend:
        self.check_stop(exchange)
        remaining_seconds = self.find_remaining(exchange)
        if remaining_seconds <= 0:
            return FailedSend(SendOutcome.UNSENT, "deadline exceeded")
        call = AttemptContext(
            incarnation=target.incarnation,
            remaining=remaining_seconds,
            workspace=exchange.workspace,
        )
        sent_at = self.clock.now()
        end = asyncio.get_running_loop().time() + remaining_seconds
        soft_timeout = self._create_soft_timeout(exchange, target, excluded)
        self.load_balancer.start(target.incarnation)
        requests = self.load_balancer.count_requests(target.incarnation, sent_at)
        try:
            result = await self.sender.send(
                exchange,
                target,
                call,
                timeout=remaining_seconds,
                soft_timeout=soft_timeout,
                fresh=not exchange.route.repeatable,
            )
            if isinstance(result, FailedSend):
                return result
            body = bodies.open(result.response)
            answer = await self._read(exchange, target, result, body, end, soft_timeout)
        finally:
            self.load_balancer.finish(target.incarnation)
        if not isinstance(answer, _FullResponse) or answer.passed_on:
            return answer
        if answer.head.succeeded:
            now = self.clock.now()
            self.times.record_total(exchange, now - sent_at)
            self.load_balancer.record_answer(
                target.incarnation,
                Answer(
                    requests=requests,
                    kind=exchange.route.name,
                    seconds=now - sent_at,
                ),
                now,
            )
        return answer

    async def _read(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        received: ReceivedResponse,
        body: ResponseBody,
        end: float,
        soft_timeout: SoftTimeout | None,
    ) -> _FullResponse | FailedSend:
        response = received.response
        # another target may be asked after a server error
        may_pass_on = received.head.status < STATUS_SERVER_ERROR
        try:
            async with SoftTimeoutScope(end, soft_timeout, response.is_path_lost):
                is_held = await body.read(may_wait=not may_pass_on)
            if not is_held:
                if not may_pass_on:
                    raise TargetResponseError("no memory for the response", own=True)
                await self._pass_on(exchange, received.head, body, end)
        except TimeoutError:
            response.abort()
            timed_out = TargetResponseError(
                "timed out reading the response body",
                path_lost=response.is_path_lost(),
                silent=True,
                endured=soft_timeout is not None and soft_timeout.endured,
            )
            return self._record_lost(exchange, target, body, timed_out)
        except TargetResponseError as error:
            response.abort()
            return self._record_lost(exchange, target, body, error)
        except BaseException:
            response.abort()
            raise
        response.release()
        self.sender.record_survival(exchange, target)
        if received.head.succeeded:
            self.sender.record_part_survival(exchange, self.clock.now())
            self.load_balancer.record_success(target.incarnation)
        else:
            self.load_balancer.record_failure(target.incarnation, self.clock.now())
        return _FullResponse(received.head, body, passed_on=not is_held)

    def _record_lost(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        body: ResponseBody,
        error: TargetResponseError,
    ) -> FailedSend:
        """Record a lost response, and drop what has arrived of it.

        :raises RefusedError: if a part of it was passed on, so that it can't be
            replaced by another
        """
        body.release()
        if not exchange.writer.started:
            return self.sender.record_lost_response(exchange, target, error)
        # it may have given up a response that was read no faster than by the caller
        error.own = True
        failed = self.sender.record_lost_response(
            exchange, target, error, ran_seconds=CRASH_BLAME_SECONDS
        )
        raise self.create_refusal(exchange, failed)

    async def _pass_on(
        self,
        exchange: RelayExchange,
        head: ResponseHead,
        body: ResponseBody,
        end: float,
    ) -> None:
        """Send a response to the caller as it arrives.

        :param end: event loop time in seconds by which it must have arrived, apart from
            the time in which the caller does not read
        """
        self.memory.record_passing_on()
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self._begin(exchange, head, body.stated_length)
        for part in body.take_parts():
            await exchange.writer.write_slices(part)
        end += loop.time() - began
        while True:
            async with asyncio.timeout_at(end):
                part = await body.read_part()
            if not part:
                break
            began = loop.time()
            await exchange.writer.write_slices(part)
            end += loop.time() - began
        await exchange.writer.finish()

    async def _begin(
        self, exchange: RelayExchange, head: ResponseHead, length: int | None
    ) -> None:
        exchange.status = head.status
        exchange.outcome = "answered" if head.succeeded else "failed"
        await exchange.writer.begin(head, length)

    def _create_soft_timeout(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        excluded: frozenset[Incarnation],
    ) -> SoftTimeout | None:
        route = exchange.route
        if route.kind is not RouteKind.SAFE:
            return None
        seconds = min(
            max(MIN_ATTEMPT_TIMEOUT, route.objective * ATTEMPT_TIMEOUT_FACTOR),
            self.find_remaining(exchange) / 2,
        )
        return SoftTimeout(
            seconds=seconds,
            may_leave=partial(self._may_leave, exchange, target, excluded),
        )

    def _may_leave(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        excluded: frozenset[Incarnation],
        asked: bool,
        path_lost: bool,
    ) -> bool:
        """Return whether to leave a silent target; see :meth:`Runner.may_leave`."""
        _, retry_seconds = self.times.estimate(exchange)
        return self.may_leave(
            exchange, target, excluded, retry_seconds, asked, path_lost
        )

    async def _deliver(self, exchange: RelayExchange, response: _FullResponse) -> None:
        head, body = response.head, response.body
        if body.size > MAX_WHOLE_BYTES:
            await self._begin(exchange, head, body.size)
            for part in body.take_parts():
                await exchange.writer.write_slices(part)
            await exchange.writer.finish()
            return
        exchange.status = head.status
        exchange.outcome = "answered" if head.succeeded else "failed"
        data = b"".join(body.take_parts())
        await exchange.writer.send(head.status, head.headers, data, reason=head.reason)
