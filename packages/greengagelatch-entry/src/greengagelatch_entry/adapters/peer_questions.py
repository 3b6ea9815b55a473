"""Questions to peers that wait for their answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from greengagelatch.peers import PeerError, PeerErrorKind
from greengagelatch.peers.codec import Envelope, Message, encode
from greengagelatch.peers.messages import Busy, NotUnderstood, Unanswered

from .peer_link import Outgoing

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("Questions",)


@dataclass(slots=True, eq=False)
class _Question:
    link: Link
    outgoing: Outgoing
    answer: asyncio.Future[Message]


class LinkClosedError(Exception):
    """The link closed before the answer came."""


class UntouchedError(LinkClosedError):
    """The peer closed it with its word that it had answered all it took up."""


class Questions:
    """Open questions by number."""

    def __init__(self) -> None:
        self._last = 0
        self._open: dict[int, _Question] = {}

    def __len__(self) -> int:
        return len(self._open)

    async def ask(
        self, link: Link, message: Message, deadline: float
    ) -> Result[Message, PeerError]:
        """Ask over ``link`` and wait until ``deadline`` of the event loop's clock."""
        self._last += 1
        number = self._last
        frame = encode(Envelope(message, call_id=number))
        outgoing = Outgoing(frame, message.wire_name)
        if not link.offer(outgoing, droppable=False):
            return Err(PeerError(PeerErrorKind.NOT_SENT, "too much waits to be sent"))
        answer: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._open[number] = _Question(link, outgoing, answer)
        link.questions += 1
        try:
            async with asyncio.timeout_at(deadline):
                reply = await answer
        except TimeoutError:
            return Err(_explain(outgoing, "no answer in time"))
        except UntouchedError:
            reason = "the peer ended the link before it looked at the question"
            return Err(PeerError(PeerErrorKind.NOT_SENT, reason))
        except LinkClosedError:
            if link.silent:
                return Err(_explain(outgoing, "the link went silent"))
            return Err(_explain(outgoing, "the link closed", cut=True))
        finally:
            link.questions -= 1
            outgoing.cancelled = True
            del self._open[number]
        return _read_reply(reply)

    def settle(self, link: Link, number: int, reply: Message) -> bool:
        """Take in an answer; ``False`` if nobody waits for it on that link."""
        question = self._open.get(number)
        # an answer must come from the peer that was asked, or a peer that mixes up
        # its numbers could answer somebody else's question
        if question is None or question.link is not link or question.answer.done():
            return False
        question.answer.set_result(reply)
        return True

    def abandon(self, link: Link) -> None:
        """End all questions on a link that has closed."""
        error = UntouchedError if link.peer_finished else LinkClosedError
        for question in self._open.values():
            if question.link is link and not question.answer.done():
                question.answer.set_exception(error())


def _explain(outgoing: Outgoing, reason: str, *, cut: bool = False) -> PeerError:
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
