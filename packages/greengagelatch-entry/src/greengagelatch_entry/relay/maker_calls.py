"""Calls to makers, and the maker statistics that their results update."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .target_connections import NotSentError
from .target_dialers import create_destination
from .target_responses import TargetResponseError

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.batches import PlannedCall
    from greengagelatch.relay.pieces import PieceResult
    from greengagelatch.relay.targets import TargetTable

    from ..metrics import Metrics
    from .codecs import TargetCodec
    from .makers import Maker
    from .messages import OutboundRequest, ResponseHead
    from .target_connections import TargetConnectionPool
    from .target_responses import TargetResponse

__all__ = (
    "MADE",
    "REJECTED",
    "SETTLED_OUTCOMES",
    "UNSENT",
    "CallResult",
    "MakerCaller",
)

logger = logging.getLogger(__name__)

#: maximum size of an answer to a call, in bytes
MAX_ANSWER_BYTES = 4 * 1024 * 1024
#: seconds for which a connection may have been idle that takes a call: a call has no
#: soft timeout, and would wait at a maker that has been cut off meanwhile
MAX_IDLE_SECONDS = 1.0
STATUS_OK = 200
MADE = "made"
#: no byte of the call was sent to the maker
UNSENT = "unsent"
#: the maker answered that it did not execute the call
REJECTED = "rejected"
TIMED_OUT = "timeout"
#: the answer was that of an earlier call or request on the connection
CROSSED = "crossed"
#: an unexpected error of this instance ended the call
INTERNAL_ERROR = "internal-error"
#: outcomes after which the maker holds no results except those in the answer
SETTLED_OUTCOMES = frozenset({MADE, UNSENT, REJECTED})


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call; ``results`` are in the order of its pieces."""

    outcome: str = "cancelled"
    results: tuple[PieceResult, ...] | None = None
    #: whether the connection broke before the answer was complete
    broken: bool = False


class MakerCaller:
    """Sends planned calls to makers."""

    def __init__(
        self,
        *,
        connections: TargetConnectionPool,
        codec: TargetCodec,
        target_table: TargetTable,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._connections = connections
        self._codec = codec
        self._target_table = target_table
        self._clock = clock
        self._metrics = metrics

    async def call(
        self, maker: Maker, call: PlannedCall, call_timeout: float, started: float
    ) -> CallResult:
        """Make a call and update the statistics of ``maker`` with its result.

        :param allowed: seconds until the call times out
        :param started: monotonic seconds at which the call was counted at the maker
        """
        count = len(call.pieces)
        try:
            async with asyncio.timeout(call_timeout):
                reply, head, body = await self._exchange(
                    maker, call, call_timeout, started
                )
            return self._process_answer(maker, reply, head, body, count, started)
        except NotSentError:
            if self._may_send(maker, call):
                maker.record_failure(self._clock.now())
                self._close_idle(maker)
            else:
                # not a failure of the maker: it no longer accepts calls, or inputs of
                # the pieces were lost in the meantime
                maker.calls -= 1
            return CallResult(UNSENT)
        except TimeoutError:
            self._close_idle(maker)
            maker.record_timeout(count, started, self._clock.now())
            return CallResult(TIMED_OUT)
        except TargetResponseError as error:
            return self._record_link_error(maker, count, call_timeout, started, error)
        except asyncio.CancelledError:
            maker.calls -= 1
            raise
        except Exception:
            # without a result, the requests of the call would never be answered
            logger.exception("call to %s failed", maker.target.incarnation)
            maker.record_failure(self._clock.now())
            return CallResult(INTERNAL_ERROR)

    async def _exchange(
        self, maker: Maker, call: PlannedCall, call_timeout: float, started: float
    ) -> tuple[TargetResponse, ResponseHead, bytes]:
        target = maker.target
        pieces = tuple(piece for _, piece in call.pieces)

        def encode(now: float) -> OutboundRequest:
            remaining = tuple(
                max(0.0, bundle.hard_deadline - now) for bundle, _ in call.pieces
            )
            return self._codec.encode_pieces(pieces, remaining, target.incarnation)

        reply = await self._connections.send(
            create_destination(target, _intersect_data_centres(call)),
            encode(started),
            fresh=False,
            timeout=call_timeout,
            encode_again=lambda: encode(self._clock.now()),
            may_send=lambda: self._may_send(maker, call),
            max_idle=MAX_IDLE_SECONDS,
        )
        try:
            head = self._codec.read_head(reply)
            return reply, head, await reply.read(MAX_ANSWER_BYTES)
        except BaseException:
            reply.abort()
            raise

    def _may_send(self, maker: Maker, call: PlannedCall) -> bool:
        """Return whether the maker takes calls now and no input of this one is lost."""
        if not self._target_table.is_available(maker.target.incarnation):
            return False
        if maker.is_resting(self._clock.now()):
            return False
        return not any(
            self._target_table.has_superseded(bundle.input_makers)
            for bundle, _ in call.pieces
        )

    def _record_link_error(
        self,
        maker: Maker,
        count: int,
        call_timeout: float,
        started: float,
        error: TargetResponseError,
    ) -> CallResult:
        now = self._clock.now()
        if error.own:
            maker.calls -= 1
            return CallResult(str(error))
        self._close_idle(maker)
        if now - started >= call_timeout:
            maker.record_timeout(count, started, now)
        else:
            maker.record_failure(now)
        return CallResult(str(error), broken=error.broken)

    def _close_idle(self, maker: Maker) -> None:
        """Close the idle connections to a maker, which may be broken as well."""
        self._connections.close_idle(maker.target.incarnation)

    def _process_answer(
        self,
        maker: Maker,
        reply: TargetResponse,
        head: ResponseHead,
        body: bytes,
        count: int,
        started: float,
    ) -> CallResult:
        """Record an answer, and pool its connection if a next one can be told from it.

        Answers to calls carry no id. One that arrives again is told from that of the
        next call by the handles of its results.
        """
        call_result = CallResult(INTERNAL_ERROR)
        try:
            call_result = self._record_answer(maker, reply, head, body, count, started)
        finally:
            if any(_is_made(result) for result in call_result.results or ()):
                reply.release()
            else:
                reply.abort()
        return call_result

    def _record_answer(
        self,
        maker: Maker,
        reply: TargetResponse,
        head: ResponseHead,
        body: bytes,
        count: int,
        started: float,
    ) -> CallResult:
        now = self._clock.now()
        if reply.reused and head.request_id:
            # the late response to a request that used the connection before
            return self._record_crossed(maker)
        if not head.misdirected:
            maker.record_limit(
                head.rejection_limit, head.load, now, rejected=head.not_run
            )
            maker.record_rate(head.named_rate, now)
        if head.misdirected:
            # the call reached the target that has the address now, so that the next
            # attempt is charged as a retry
            maker.record_failure(now)
            return CallResult(REJECTED)
        if head.not_run:
            maker.record_rejection(now)
            return CallResult(REJECTED)
        results = None
        if head.status == STATUS_OK:
            results = self._codec.read_pieces(body, count, maker.target)
        if results is None:
            maker.record_failure(now)
            return CallResult(f"status {head.status}")
        if not reply.record_results(one.handle for one in results if _is_made(one)):
            return self._record_crossed(maker)
        made = any(_is_made(result) for result in results)
        maker.record_completion(count, started, now, made=made)
        return CallResult(MADE, results)

    def _record_crossed(self, maker: Maker) -> CallResult:
        """Record that the answer was that of an earlier call or request."""
        self._metrics.count("stages.crossed")
        maker.record_failure(self._clock.now())
        return CallResult(CROSSED)


def _is_made(result: PieceResult) -> bool:
    return result.failure is None


def _intersect_data_centres(call: PlannedCall) -> frozenset[str] | None:
    """Return the data centres that all pieces of a call may pass; ``None``: all."""
    allowed: frozenset[str] | None = None
    for bundle, _ in call.pieces:
        if bundle.data_centres is None:
            continue
        allowed = (
            bundle.data_centres if allowed is None else allowed & bundle.data_centres
        )
    return allowed
