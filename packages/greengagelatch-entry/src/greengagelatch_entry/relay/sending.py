"""One send of a request to a target, and what is learnt from how it ends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.outcomes import SendOutcome
from greengagelatch.verdict import Verdict

from .links import LinkError, NotSentError

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from .codecs import TargetCodec
    from .crash_watch import CrashWatch
    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .links import TargetLinks, TargetReply
    from .messages import AnswerHead, RelayCall

__all__ = ("Answered", "TargetSender", "Unanswered")

#: statuses by which a target says that it did not run a request, if marked so
STATUS_CONFLICT = 409
#: seconds of work after which the end of a target is not put down to a request: what
#: crashes one does so as it begins to run
BEGINNING_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Answered:
    """A target's answer; its body is still to be read."""

    head: AnswerHead
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class Unanswered:
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
        links: TargetLinks,
        codec: TargetCodec,
        fleet: LoadBalancer,
        book: TargetTable,
        crashes: CrashWatch,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._crashes = crashes
        self._links = links
        self._codec = codec
        self._fleet = fleet
        self._book = book
        self._clock = clock
        self._decisions = decisions

    async def send(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        call: RelayCall,
        *,
        timeout: float,
        fresh: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Answered | Unanswered:
        """Send once; the verdict of ``exchange`` rises by what is known then.

        :param timeout: seconds until the answer's head must be there
        :param may_send: asked once the connection stands: what ``call`` names may have
            been lost by then
        """
        incarnation = target.incarnation
        outbound = self._codec.encode_request(exchange.request, call)
        try:
            reply = await self._links.send(
                incarnation=incarnation,
                address=target.address,
                outbound=outbound,
                fresh=fresh,
                timeout=timeout,
                may_send=lambda: self._book.is_available(incarnation) and may_send(),
            )
        except NotSentError as error:
            exchange.unsent += 1
            return self._note(
                exchange, target, SendOutcome.UNSENT, str(error), blamed=may_send()
            )
        except LinkError as error:
            exchange.targets.append(incarnation)
            return self.note_lost(exchange, target, error)
        except asyncio.CancelledError:
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
            raise
        exchange.targets.append(incarnation)
        return self._judge(exchange, target, reply)

    def note_lost(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        error: LinkError,
        ran: float = 0.0,
    ) -> Unanswered:
        """Take in that an answer did not come, or broke off.

        :param ran: seconds for which the target is known to have been at work on it
        """
        if error.broken and ran < BEGINNING_SECONDS:
            self._crashes.note_broken(target, exchange.digest)
        return self._note(exchange, target, SendOutcome.LOST, str(error))

    def note_survived(self, exchange: RelayExchange, target: ListedTarget) -> None:
        """Take in that a target has answered to the end, if only that it failed."""
        self._crashes.note_survived(target, exchange.digest)

    def _judge(
        self, exchange: RelayExchange, target: ListedTarget, reply: TargetReply
    ) -> Answered | Unanswered:
        head = self._codec.read_head(reply)
        if head.load is not None:
            self._fleet.record_load_report(
                target.incarnation, head.load, self._clock.now()
            )
        if head.request_id != exchange.request.request_id and not head.misdirected:
            # an answer to somebody else's request, or one that nobody can place
            reply.abort()
            reason = f"answer to request {head.request_id[:40]!r}"
            return self._note(exchange, target, SendOutcome.LOST, reason)
        if head.misdirected:
            reply.abort()
            exchange.targets.pop()
            exchange.unsent += 1
            return self._note(exchange, target, SendOutcome.MISDIRECTED, "other id")
        if head.not_run:
            reply.abort()
            return self._note(
                exchange,
                target,
                SendOutcome.REJECTED,
                f"rejected by status {head.status}",
                head.status,
            )
        if head.encoded or not head.signed:
            reply.abort()
            reason = f"unsigned answer of status {head.status}"
            return self._note(exchange, target, SendOutcome.LOST, reason)
        exchange.raise_verdict(Verdict.RAN)
        return Answered(head, reply)

    def _note(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        outcome: SendOutcome,
        reason: str,
        status: int = 0,
        *,
        blamed: bool = True,
    ) -> Unanswered:
        if not outcome.proves_not_run:
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        now = self._clock.now()
        if blamed and outcome is not SendOutcome.REJECTED:
            self._fleet.record_failure(target.incarnation, now)
            # what is kept open to it may be as dead as this one
            self._links.drop(target.incarnation)
        self._decisions.note(
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
        return Unanswered(outcome, reason, status)
