"""Requests that one target answers whole."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.deployment import RouteKind
from greengagelatch.relay.outcomes import SendOutcome

from .links import LinkError
from .messages import RelayCall
from .runners import Runner
from .sending import Answered, Unanswered

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget

    from .exchange import RelayExchange
    from .messages import AnswerHead

__all__ = ("PlainRunner",)

#: largest answer that is passed on
MAX_ANSWER_BYTES = 32 * 1024 * 1024
#: silence, as a multiple of the route's objective, after which an idempotent request
#: is sent to another target: one that is mute answers nothing until the deadline
PATIENCE = 1.0
#: the same at the least, in seconds
LEAST_PATIENCE = 0.15
STATUS_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class _Whole:
    """An answer that was read to its end."""

    head: AnswerHead
    body: bytes


class PlainRunner(Runner):
    """Sends a request until a target has answered it, or it may not be sent again."""

    async def run(self, exchange: RelayExchange) -> None:
        self.budgets.note_request(exchange.service)
        excluded: frozenset[Incarnation] = frozenset()
        last: Unanswered | None = None
        failed: _Whole | None = None
        while True:
            target = self.fleet.choose_least_loaded(
                exchange.service, excluded, self.clock.now()
            )
            if target is None:
                break
            self.check_hold(exchange)
            result = await self._try(exchange, target)
            if isinstance(result, _Whole):
                if result.head.succeeded:
                    await self._deliver(exchange, result)
                    return
                failed = result
                if result.head.status < STATUS_SERVER_ERROR:
                    break
                outcome = SendOutcome.FAILED
            else:
                last, outcome = result, result.outcome
            excluded |= {target.incarnation}
            if not self.may_repeat(exchange, outcome):
                break
        if failed is not None:
            # the target's own word is better than ours about it
            await self._deliver(exchange, failed)
            return
        raise self.create_refusal(exchange, last)

    async def _try(
        self, exchange: RelayExchange, target: ListedTarget
    ) -> _Whole | Unanswered:
        left = self.find_left(exchange)
        if left <= 0:
            return Unanswered(SendOutcome.UNSENT, "deadline over")
        call = RelayCall(
            incarnation=target.incarnation,
            remaining=left,
            workspace=exchange.workspace,
        )
        timeout = self._choose_patience(exchange, left)
        end = asyncio.get_running_loop().time() + timeout
        self.fleet.start(target.incarnation)
        try:
            result = await self.sender.send(
                exchange,
                target,
                call,
                timeout=timeout,
                fresh=not exchange.route.retryable,
            )
            if isinstance(result, Unanswered):
                return result
            return await self._read(exchange, target, result, end)
        finally:
            self.fleet.finish(target.incarnation)

    async def _read(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        answered: Answered,
        end: float,
    ) -> _Whole | Unanswered:
        reply = answered.reply
        try:
            async with asyncio.timeout_at(end):
                body = await reply.read(MAX_ANSWER_BYTES)
        except TimeoutError:
            reply.abort()
            late = LinkError("answer not whole in time")
            return self.sender.note_lost(exchange, target, late)
        except LinkError as error:
            reply.abort()
            return self.sender.note_lost(exchange, target, error)
        except BaseException:
            reply.abort()
            raise
        reply.release()
        self.sender.note_survived(exchange, target)
        if answered.head.succeeded:
            self.fleet.record_success(target.incarnation)
        else:
            self.fleet.record_failure(target.incarnation, self.clock.now())
        return _Whole(answered.head, body)

    def _choose_patience(self, exchange: RelayExchange, left: float) -> float:
        route = exchange.route
        again = len(exchange.targets) + 1 < route.max_attempts
        if route.kind is not RouteKind.SAFE or not again:
            return left
        patience = max(LEAST_PATIENCE, route.objective * PATIENCE)
        return min(patience, left / 2)

    async def _deliver(self, exchange: RelayExchange, whole: _Whole) -> None:
        head = whole.head
        exchange.status = head.status
        exchange.outcome = "answered" if head.succeeded else "failed"
        await exchange.writer.send(
            head.status, head.headers, whole.body, reason=head.reason
        )
