"""Unary requests: one request, one complete response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from greengagelatch.relay.deployment import RouteKind
from greengagelatch.relay.outcomes import SendOutcome
from greengagelatch.relay.target_speeds import Answer

from ..soft_timeout import SoftTimeout, SoftTimeoutScope
from .messages import AttemptContext
from .runners import Runner
from .target_responses import TargetResponseError
from .target_sender import FailedSend, ReceivedResponse

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget

    from .exchange import RelayExchange
    from .messages import ResponseHead

__all__ = ("UnaryRunner",)

#: maximum size in bytes of a forwarded response
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
#: soft timeout of idempotent requests as a multiple of the route's latency objective.
#: After it the request fails over to another target if it may, as a hung target would
#: hold it until the deadline
ATTEMPT_TIMEOUT_FACTOR = 1.0
#: minimum of it in seconds
MIN_ATTEMPT_TIMEOUT = 0.15
STATUS_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class _FullResponse:
    """A response whose body has been read completely."""

    head: ResponseHead
    body: bytes


class UnaryRunner(Runner):
    """Sends a request until a target answers or no further retry is allowed."""

    async def run(self, exchange: RelayExchange) -> None:
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
                result = await self._attempt(exchange, target, excluded)
            if isinstance(result, _FullResponse):
                if result.head.succeeded:
                    await self._deliver(exchange, result)
                    return
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
            answer = await self._read(exchange, target, result, end, soft_timeout)
        finally:
            self.load_balancer.finish(target.incarnation)
        if isinstance(answer, _FullResponse) and answer.head.succeeded:
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
        end: float,
        soft_timeout: SoftTimeout | None,
    ) -> _FullResponse | FailedSend:
        response = received.response
        try:
            async with SoftTimeoutScope(end, soft_timeout, response.is_path_lost):
                body = await response.read(MAX_RESPONSE_BYTES)
        except TimeoutError:
            response.abort()
            timed_out = TargetResponseError(
                "timed out reading the response body",
                path_lost=response.is_path_lost(),
                silent=True,
                endured=soft_timeout is not None and soft_timeout.endured,
            )
            return self.sender.record_lost_response(exchange, target, timed_out)
        except TargetResponseError as error:
            response.abort()
            return self.sender.record_lost_response(exchange, target, error)
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
        return _FullResponse(received.head, body)

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
        head = response.head
        exchange.status = head.status
        exchange.outcome = "answered" if head.succeeded else "failed"
        await exchange.writer.send(
            head.status, head.headers, response.body, reason=head.reason
        )
