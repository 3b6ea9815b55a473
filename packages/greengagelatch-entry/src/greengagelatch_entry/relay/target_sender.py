"""One send of a request to a target, and what is learnt from how it ends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.outcomes import SendOutcome
from greengagelatch.verdict import Verdict

from .target_connections import NotSentError, TargetResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.fleet import Fleet
    from greengagelatch.relay.targets import ListedTarget, TargetBook

    from .codecs import TargetCodec
    from .crash_watch import CrashWatch
    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .messages import AttemptContext, ResponseHead
    from .target_connections import TargetConnectionPool, TargetResponse

__all__ = ("ReceivedResponse", "TargetSender", "FailedSend")

#: statuses by which a target says that it did not run a request, if marked so
STATUS_CONFLICT = 409
#: seconds of work after which the end of a target is not put down to a request: what
#: crashes one does so as it begins to run
CRASH_BLAME_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A target's answer; its body is still to be read."""

    head: ResponseHead
    reply: TargetResponse


@dataclass(frozen=True, slots=True)
class FailedSend:
    """A send without an answer that could be passed on."""

    outcome: SendOutcome
    reason: str
    #: status by which the target rejected it; 0: no status
    status: int = 0


class TargetSender:
    """Sends requests to targets and keeps the record of what each has had."""

    def __init__(
        self,
        *,
        connections: TargetConnectionPool,
        codec: TargetCodec,
        fleet: Fleet,
        book: TargetBook,
        crashes: CrashWatch,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._crashes = crashes
        self._connections = connections
        self._codec = codec
        self._fleet = fleet
        self._book = book
        self._clock = clock
        self._decisions = decisions

    async def send(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        call: AttemptContext,
        *,
        timeout: float,
        fresh: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> ReceivedResponse | FailedSend:
        """Send once; the verdict of ``exchange`` rises by what is known then.

        :param timeout: seconds until the answer's head must be there
        :param may_send: asked once the connection stands: what ``call`` names may have
            been lost by then
        """
        incarnation = target.incarnation
        outbound = self._codec.encode_request(exchange.request, call)
        try:
            reply = await self._connections.send(
                incarnation=incarnation,
                address=target.address,
                outbound=outbound,
                fresh=fresh,
                timeout=timeout,
                may_send=lambda: self._book.accepts(incarnation) and may_send(),
            )
        except NotSentError as error:
            exchange.unsent += 1
            return self._record_failure(
                exchange, target, SendOutcome.UNSENT, str(error), blamed=may_send()
            )
        except TargetResponseError as error:
            exchange.targets.append(incarnation)
            return self.record_lost_response(exchange, target, error)
        except asyncio.CancelledError:
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
            raise
        exchange.targets.append(incarnation)
        return self._classify(exchange, target, reply)

    def record_lost_response(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        error: TargetResponseError,
        ran_seconds: float = 0.0,
    ) -> FailedSend:
        """Take in that an answer did not come, or broke off.

        :param ran: seconds for which the target is known to have been at work on it
        """
        if error.broken and ran_seconds < CRASH_BLAME_SECONDS:
            self._crashes.note_broken(target, exchange.digest)
        return self._record_failure(exchange, target, SendOutcome.LOST, str(error))

    def record_survival(self, exchange: RelayExchange, target: ListedTarget) -> None:
        """Take in that a target has answered to the end, if only that it failed."""
        self._crashes.note_survived(target, exchange.digest)

    def _classify(
        self, exchange: RelayExchange, target: ListedTarget, reply: TargetResponse
    ) -> ReceivedResponse | FailedSend:
        head = self._codec.read_head(reply)
        if head.load is not None:
            self._fleet.note_report(target.incarnation, head.load, self._clock.now())
        if head.request_id != exchange.request.request_id and not head.misdirected:
            # an answer to somebody else's request, or one that nobody can place
            reply.abort()
            reason = f"answer to request {head.request_id[:40]!r}"
            return self._record_failure(exchange, target, SendOutcome.LOST, reason)
        if head.misdirected:
            reply.abort()
            exchange.targets.pop()
            exchange.unsent += 1
            return self._record_failure(
                exchange, target, SendOutcome.MISDIRECTED, "other id"
            )
        if head.not_run:
            reply.abort()
            return self._record_failure(
                exchange,
                target,
                SendOutcome.REJECTED,
                f"rejected by status {head.status}",
                head.status,
            )
        if head.encoded or not head.signed:
            reply.abort()
            reason = f"unsigned answer of status {head.status}"
            return self._record_failure(exchange, target, SendOutcome.LOST, reason)
        exchange.raise_verdict(Verdict.RAN)
        return ReceivedResponse(head, reply)

    def _record_failure(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        outcome: SendOutcome,
        reason: str,
        status: int = 0,
        *,
        blamed: bool = True,
    ) -> FailedSend:
        if not outcome.proves_not_run:
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        now = self._clock.now()
        if blamed and outcome is not SendOutcome.REJECTED:
            self._fleet.note_failure(target.incarnation, now)
            # what is kept open to it may be as dead as this one
            self._connections.close_idle(target.incarnation)
        self._decisions.log_decision(
            "send",
            request=exchange.request.request_id,
            digest=exchange.digest,
            target=str(target.incarnation),
            address=target.address,
            outcome=outcome.value,
            reason=reason,
            sends=len(exchange.targets),
            left_ms=round((exchange.deadline - now) * 1000),
        )
        return FailedSend(outcome, reason, status)
