"""One call to a maker, and what its end says about the maker."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .links import LinkError, NotSentError

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.batches import PlannedCall
    from greengagelatch.relay.pieces import PieceResult
    from greengagelatch.relay.targets import TargetTable

    from .codecs import TargetCodec
    from .links import TargetLinks
    from .makers import Maker
    from .messages import AnswerHead

__all__ = ("ANSWERED", "MADE", "REJECTED", "UNSENT", "CallEnd", "MakerCaller")

#: bytes of an answer to a call
MAX_ANSWER_BYTES = 4 * 1024 * 1024
STATUS_OK = 200
MADE = "made"
#: no byte of the call reached the maker
UNSENT = "unsent"
#: the maker said that it did not begin
REJECTED = "rejected"
TIMED_OUT = "timeout"
#: how calls end of which nothing is left at the maker but what the answer names
ANSWERED = frozenset({MADE, UNSENT, REJECTED})


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ended; ``results`` are in the order of its pieces."""

    outcome: str = "cancelled"
    results: tuple[PieceResult, ...] | None = None
    #: whether the maker broke it off
    broken: bool = False


class MakerCaller:
    """Sends planned calls to makers."""

    def __init__(
        self, *, links: TargetLinks, codec: TargetCodec, book: TargetTable, clock: Clock
    ) -> None:
        self._links = links
        self._codec = codec
        self._book = book
        self._clock = clock

    async def call(
        self, maker: Maker, call: PlannedCall, allowed: float, started: float
    ) -> CallEnd:
        """Make a call; the maker learns from how it ends.

        :param allowed: seconds until it is given up
        :param started: monotonic seconds at which the maker was told of it
        """
        count = len(call.pieces)
        try:
            async with asyncio.timeout(allowed):
                head, body = await self._exchange(maker, call, allowed, started)
        except NotSentError:
            if self._may_send(maker, call):
                maker.note_failure(self._clock.now())
            else:
                # not its doing: what the pieces read was lost meanwhile
                maker.calls -= 1
            return CallEnd(UNSENT)
        except TimeoutError:
            maker.note_timeout(count, started, self._clock.now())
            return CallEnd(TIMED_OUT)
        except LinkError as error:
            return self._note_lost(maker, count, allowed, started, error)
        except asyncio.CancelledError:
            maker.calls -= 1
            raise
        return self._judge(maker, head, body, count, started)

    async def _exchange(
        self, maker: Maker, call: PlannedCall, allowed: float, started: float
    ) -> tuple[AnswerHead, bytes]:
        target = maker.target
        pieces = tuple(piece for _, piece in call.pieces)
        remaining = tuple(
            max(0.0, bundle.hard_deadline - started) for bundle, _ in call.pieces
        )
        reply = await self._links.send(
            incarnation=target.incarnation,
            address=target.address,
            outbound=self._codec.encode_pieces(pieces, remaining, target.incarnation),
            # a late second answer could be taken for this call's
            fresh=True,
            timeout=allowed,
            may_send=lambda: self._may_send(maker, call),
        )
        try:
            head = self._codec.read_head(reply)
            return head, await reply.read(MAX_ANSWER_BYTES)
        finally:
            reply.abort()

    def _may_send(self, maker: Maker, call: PlannedCall) -> bool:
        """Whether the maker takes calls, and none of what they read is lost."""
        if not self._book.is_available(maker.target.incarnation):
            return False
        return not any(
            self._book.has_superseded(bundle.input_makers) for bundle, _ in call.pieces
        )

    def _note_lost(
        self,
        maker: Maker,
        count: int,
        allowed: float,
        started: float,
        error: LinkError,
    ) -> CallEnd:
        now = self._clock.now()
        if now - started >= allowed:
            maker.note_timeout(count, started, now)
        else:
            maker.note_failure(now)
        return CallEnd(str(error), broken=error.broken)

    def _judge(
        self, maker: Maker, head: AnswerHead, body: bytes, count: int, started: float
    ) -> CallEnd:
        now = self._clock.now()
        if head.misdirected:
            # whoever has the address now has had the call: the next one is a repeat
            maker.note_failure(now)
            return CallEnd(REJECTED)
        if head.not_run:
            maker.note_rejection(now)
            return CallEnd(REJECTED)
        results = None
        if head.status == STATUS_OK:
            results = self._codec.read_pieces(body, count, maker.target)
        if results is None:
            maker.note_failure(now)
            return CallEnd(f"status {head.status}")
        made = any(result.failure is None for result in results)
        maker.note_end(count, started, now, made=made)
        return CallEnd(MADE, results)
