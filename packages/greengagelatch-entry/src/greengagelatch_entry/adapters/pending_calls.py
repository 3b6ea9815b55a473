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
class _PendingCall:
    link: Link
    outgoing: OutgoingFrame
    answer: asyncio.Future[Message]


class LinkClosedError(Exception):
    """The link closed before the answer was received."""


class NotHandledError(LinkClosedError):
    """The peer closed the link and has not handled the call."""


class PendingCalls:
    """Pending calls by call id."""

    def __init__(self) -> None:
        self._last_id = 0
        self._calls: dict[int, _PendingCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    async def ask(
        self, link: Link, message: Message, deadline: float
    ) -> Result[Message, PeerError]:
        """Send a call and wait for its answer until ``deadline``, a loop time."""
        self._last_id += 1
        call_id = self._last_id
        frame = encode(Envelope(message, call_id=call_id))
        outgoing = OutgoingFrame(frame, message.wire_name)
        if not link.offer(outgoing, droppable=False):
            return Err(
                PeerError(PeerErrorKind.NOT_SENT, "the send queue of the link is full")
            )
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._calls[call_id] = _PendingCall(link, outgoing, answer)
        link.pending_calls += 1
        try:
            async with asyncio.timeout_at(deadline):
                reply = await answer
        except TimeoutError:
            return Err(_create_error(outgoing, "no answer before the deadline"))
        except NotHandledError:
            reason = "the peer closed the link without handling the call"
            return Err(PeerError(PeerErrorKind.NOT_SENT, reason))
        except LinkClosedError:
            if link.silent:
                return Err(_create_error(outgoing, "the link was dropped as silent"))
            return Err(_create_error(outgoing, "the link closed", disconnected=True))
        finally:
            link.pending_calls -= 1
            outgoing.cancelled = True
            del self._calls[call_id]
        return _parse_answer(reply)

    def deliver(self, link: Link, call_id: int, reply: Message) -> bool:
        """Deliver an answer; ``False`` if no call on that link waits for it."""
        call = self._calls.get(call_id)
        # accept answers only from the peer that was called: one with wrong call ids
        # could otherwise answer a call to another peer
        if call is None or call.link is not link or call.answer.done():
            return False
        call.answer.set_result(reply)
        return True

    def fail_calls(self, link: Link) -> None:
        """Fail all pending calls on a closed link."""
        error = NotHandledError if link.peer_drained else LinkClosedError
        for call in self._calls.values():
            if call.link is link and not call.answer.done():
                call.answer.set_exception(error())


def _create_error(
    outgoing: OutgoingFrame, reason: str, *, disconnected: bool = False
) -> PeerError:
    if outgoing.handed_over:
        return PeerError(PeerErrorKind.NO_ANSWER, reason, disconnected)
    return PeerError(PeerErrorKind.NOT_SENT, f"{reason}; it was not sent", disconnected)


def _parse_answer(reply: Message) -> Result[Message, PeerError]:
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
