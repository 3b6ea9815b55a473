"""Calls to peers that wait for their answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagelatch.peers import PeerError, PeerErrorKind
from greengagelatch.peers.codec import Envelope, Message, encode
from greengagelatch.peers.messages import Busy, NotUnderstood, Unanswered

from .peer_link import OutgoingFrame

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("PendingCalls",)


@dataclass(slots=True, eq=False)
class _Question:
    link: Link
    outgoing: OutgoingFrame
    answer: asyncio.Future[Message]


class LinkClosedError(Exception):
    """The link closed before the answer was received."""


class UntouchedError(LinkClosedError):
    """The peer closed the link and has not handled the call."""


class PendingCalls:
    """Pending calls by call id."""

    def __init__(self) -> None:
        self._last = 0
        self._open: dict[int, _Question] = {}

    def __len__(self) -> int:
        return len(self._open)

    async def ask(
        self, link: Link, message: Message, deadline: float
    ) -> Result[Message, PeerError]:
        """Send a call and wait for its answer until ``deadline``, a loop time."""
        self._last += 1
        number = self._last
        frame = encode(Envelope(message, call_id=number))
        outgoing = OutgoingFrame(frame, message.wire_name)
        if not link.offer(outgoing, droppable=False):
            return Err(
                PeerError(PeerErrorKind.NOT_SENT, "the send queue of the link is full")
            )
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._open[number] = _Question(link, outgoing, answer)
        link.questions += 1
        try:
            async with asyncio.timeout_at(deadline):
                reply = await answer
        except TimeoutError:
            return Err(_explain(outgoing, "no answer before the deadline"))
        except UntouchedError:
            reason = "the peer closed the link without handling the call"
            return Err(PeerError(PeerErrorKind.NOT_SENT, reason))
        except LinkClosedError:
            if link.silent:
                return Err(_explain(outgoing, "the link was dropped as silent"))
            return Err(_explain(outgoing, "the link closed", cut=True))
        finally:
            link.questions -= 1
            outgoing.cancelled = True
            del self._open[number]
        return _read_reply(reply)

    def settle(self, link: Link, number: int, reply: Message) -> bool:
        """Deliver an answer; ``False`` if no call on that link waits for it."""
        question = self._open.get(number)
        # accept answers only from the peer that was called: one with wrong call ids
        # could otherwise answer a call to another peer
        if question is None or question.link is not link or question.answer.done():
            return False
        question.answer.set_result(reply)
        return True

    def abandon(self, link: Link) -> None:
        """Fail all pending calls on a closed link."""
        error = UntouchedError if link.peer_finished else LinkClosedError
        for question in self._open.values():
            if question.link is link and not question.answer.done():
                question.answer.set_exception(error())


def _explain(outgoing: OutgoingFrame, reason: str, *, cut: bool = False) -> PeerError:
    if outgoing.handed_over:
        return PeerError(PeerErrorKind.NO_ANSWER, reason, cut)
    return PeerError(PeerErrorKind.NOT_SENT, f"{reason}; it was not sent", cut)


def _read_reply(reply: Message) -> Result[Message, PeerError]:
    match reply:
        case NotUnderstood(reason):
            error = PeerError(PeerErrorKind.REFUSED, f"not understood: {reason}")
        case Busy():
            error = PeerError(PeerErrorKind.REFUSED, "the peer is busy")
        case Unanswered():
            error = PeerError(PeerErrorKind.NO_ANSWER, "the peer's handler failed")
        case _:
            return Ok(reply)
    return Err(error)
