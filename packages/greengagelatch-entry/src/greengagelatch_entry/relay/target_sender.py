"""Single attempts to send a request to a target, and recording their outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from greengagelatch.relay.outcomes import SendOutcome
from greengagelatch.verdict import Verdict

from .target_connections import NotSentError
from .target_dialers import create_destination
from .target_responses import TargetResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadBalancer
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..soft_timeout import SoftTimeout
    from .codecs import TargetCodec
    from .crash_detector import CrashDetector
    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .messages import AttemptContext, OutboundRequest, ResponseHead
    from .part_survivals import PartSurvivals
    from .target_connections import TargetConnectionPool
    from .target_responses import TargetResponse

__all__ = ("CRASH_BLAME_SECONDS", "ReceivedResponse", "TargetSender", "FailedSend")

#: status by which a target rejects a request without running it, if marked as such
STATUS_CONFLICT = 409
#: the same for a request that it has no room for
STATUS_UNAVAILABLE = 503
#: seconds of execution after which the crash of a target is no longer attributed to a
#: request: requests that crash a target do so soon after they begin to run
CRASH_BLAME_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A response whose head was accepted; its body is still to be read."""

    head: ResponseHead
    response: TargetResponse


@dataclass(frozen=True, slots=True)
class FailedSend:
    """An attempt without a response that could be forwarded."""

    outcome: SendOutcome
    reason: str
    #: status with which the target rejected it; 0: none
    status: int = 0
    #: whether the direct path to the target was lost, and it is reached through peers
    path_lost: bool = False
    #: whether the target was left as it was silent
    silent: bool = False


class TargetSender:
    """Sends requests to targets and records the result of each attempt."""

    def __init__(
        self,
        *,
        connections: TargetConnectionPool,
        codec: TargetCodec,
        load_balancer: LoadBalancer,
        target_table: TargetTable,
        crash_detector: CrashDetector,
        part_survivals: PartSurvivals,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._crash_detector = crash_detector
        self._part_survivals = part_survivals
        self._connections = connections
        self._codec = codec
        self._load_balancer = load_balancer
        self._target_table = target_table
        self._clock = clock
        self._decisions = decisions

    async def send(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        call: AttemptContext,
        *,
        timeout: float,
        soft_timeout: SoftTimeout | None,
        fresh: bool,
        may_send: Callable[[], bool] = lambda: True,
    ) -> ReceivedResponse | FailedSend:
        """Send once and raise the verdict of ``exchange`` accordingly.

        :param timeout: seconds until the response head must have arrived
        :param soft_timeout: when a target that is silent may be left before that
        :param may_send: checked once connected, as inputs named in ``call`` may have
            been lost by then
        """
        incarnation = target.incarnation
        exchange.step = "target"
        started = self._clock.now()

        def encode_again() -> OutboundRequest:
            left = max(0.0, call.remaining - (self._clock.now() - started))
            return self._codec.encode_request(
                exchange.request, replace(call, remaining=left)
            )

        try:
            response = await self._connections.send(
                create_destination(target, exchange.data_centres),
                self._codec.encode_request(exchange.request, call),
                fresh=fresh,
                timeout=timeout,
                encode_again=encode_again,
                soft_timeout=soft_timeout,
                may_send=lambda: self._accepts(incarnation) and may_send(),
            )
        except NotSentError as error:
            exchange.unsent += 1
            return self._record_failure(
                exchange,
                target,
                SendOutcome.UNSENT,
                str(error),
                blamed=self._accepts(incarnation) and may_send(),
            )
        except TargetResponseError as error:
            exchange.record_send(target)
            return self.record_lost_response(exchange, target, error)
        except asyncio.CancelledError:
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
            raise
        exchange.record_send(target)
        return self._classify(exchange, target, response)

    def record_lost_response(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        error: TargetResponseError,
        ran_seconds: float = 0.0,
    ) -> FailedSend:
        """Record a missing or truncated response.

        :param ran_seconds: time for which the target is known to have been running it
        """
        if error.broken and ran_seconds < CRASH_BLAME_SECONDS:
            self._crash_detector.record_disconnect(
                target, exchange.digest, exchange.part_ids
            )
        return self._record_failure(
            exchange,
            target,
            SendOutcome.LOST,
            str(error),
            blamed=not error.path_lost and not error.own,
            path_lost=error.path_lost,
            silent=error.silent,
            recorded=error.endured,
        )

    def record_survival(self, exchange: RelayExchange, target: ListedTarget) -> None:
        """Record that a target survived the request, even if it reported a failure."""
        self._crash_detector.record_answer(target, exchange.digest)

    def record_part_survival(self, exchange: RelayExchange, begun_at: float) -> None:
        """Record that a target has begun to answer on the parts of the prompt.

        :param begun_at: monotonic time in seconds of the beginning of the answer
        """
        self._part_survivals.record_answer(exchange.shared_parts, begun_at)

    def _accepts(self, incarnation: Incarnation) -> bool:
        """Return whether a target takes requests, as far as it has said."""
        rest = self._load_balancer.find_seconds_of_rest(incarnation, self._clock.now())
        return not rest and self._target_table.is_available(incarnation)

    def _classify(
        self, exchange: RelayExchange, target: ListedTarget, response: TargetResponse
    ) -> ReceivedResponse | FailedSend:
        head = self._codec.read_head(response)
        now = self._clock.now()
        if head.load is not None:
            self._load_balancer.record_load_report(target.incarnation, head.load, now)
        if not head.misdirected:
            self._load_balancer.record_limit(
                target,
                head.rejection_limit,
                head.load,
                now,
                rejected=head.not_run and head.status == STATUS_UNAVAILABLE,
            )
            self._load_balancer.record_rate(target.incarnation, head.named_rate, now)
        if head.request_id != exchange.request.request_id and not head.misdirected:
            # the response belongs to another request or carries no id
            response.abort()
            reason = f"response carries request id {head.request_id[:40]!r}"
            return self._record_failure(exchange, target, SendOutcome.LOST, reason)
        if head.misdirected:
            response.abort()
            exchange.withdraw_send()
            exchange.unsent += 1
            return self._record_failure(
                exchange, target, SendOutcome.MISDIRECTED, "another target responded"
            )
        if head.not_run:
            response.abort()
            self._load_balancer.record_rejection(target.incarnation, self._clock.now())
            return self._record_failure(
                exchange,
                target,
                SendOutcome.REJECTED,
                f"rejected by status {head.status}",
                head.status,
            )
        if head.encoded or not head.signed:
            response.abort()
            reason = f"unsigned or encoded response with status {head.status}"
            return self._record_failure(exchange, target, SendOutcome.LOST, reason)
        exchange.raise_verdict(Verdict.RAN)
        return ReceivedResponse(head, response)

    def _record_failure(
        self,
        exchange: RelayExchange,
        target: ListedTarget,
        outcome: SendOutcome,
        reason: str,
        status: int = 0,
        *,
        blamed: bool = True,
        path_lost: bool = False,
        silent: bool = False,
        recorded: bool = False,
    ) -> FailedSend:
        if not outcome.proves_not_run:
            exchange.raise_verdict(Verdict.MAY_HAVE_RUN)
        now = self._clock.now()
        if blamed and outcome is not SendOutcome.REJECTED:
            if not recorded:
                self._load_balancer.record_failure(target.incarnation, now)
            # idle connections to it may be broken as well
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
            **exchange.describe_parts(),
        )
        return FailedSend(outcome, reason, status, path_lost, silent)
