"""Dispatch of messages from peers to their handlers."""

from __future__ import annotations

import asyncio
import inspect
import logging
from typing import TYPE_CHECKING, Any

from greengagelatch.peers.codec import MAX_MESSAGE_BYTES, Envelope, Message, encode
from greengagelatch.peers.messages import Busy, NotUnderstood, Unanswered

from .peer_link import OutgoingFrame

if TYPE_CHECKING:
    from greengagelatch.peers import MessageHandler

    from ..metrics import Metrics
    from .peer_link import Link

__all__ = ("MessageDispatcher", "encode_bounded")

logger = logging.getLogger(__name__)


def encode_bounded(envelope: Envelope, metrics: Metrics) -> bytes | None:
    """Encode an envelope; ``None`` if it exceeds the size limit of messages."""
    frame = encode(envelope)
    if len(frame) <= MAX_MESSAGE_BYTES:
        return frame
    metrics.count("peers.too_large")
    logger.error("%s not sent: %s bytes are too large", envelope.message, len(frame))
    return None


class MessageDispatcher:
    """Message handlers by type, and the handler calls in progress.

    :param max_in_work: maximum concurrent calls; messages above it get ``Busy``
    """

    def __init__(self, *, max_in_work: int, metrics: Metrics) -> None:
        self._max_in_work = max_in_work
        self._metrics = metrics
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._in_work: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._in_work)

    def handle(self, message_type: type[Message], handler: MessageHandler) -> None:
        """Register ``handler`` for the messages of a type."""
        if message_type in self._handlers:
            msg = f"{message_type.__name__} already has a handler"
            raise ValueError(msg)
        self._handlers[message_type] = handler

    async def stop(self) -> None:
        """Cancel the calls in progress; their senders get ``Unanswered``."""
        tasks = tuple(self._in_work)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def take(self, link: Link, question: int, message: Message) -> None:
        """Dispatch a message; ``question`` is its call id, 0 if it is not a call."""
        if question and link.finished:
            # the peer knows that this message is not handled, and retries it elsewhere
            self._metrics.count("peers.untouched_questions")
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.count("peers.unhandled_messages")
            reason = f"no handler for {message.wire_name}"
            self.answer(link, question, NotUnderstood(reason))
            return
        if len(self._in_work) >= self._max_in_work:
            # answers are still received: otherwise two peers that wait for each
            # other's answers would deadlock
            self._metrics.count("peers.busy")
            self.answer(link, question, Busy())
            return
        self._call(link, question, handler, message)

    def answer(self, link: Link, question: int, message: Message) -> None:
        """Send the answer to a call; does nothing if ``question`` is 0."""
        if not question:
            return
        frame = encode_bounded(Envelope(message, reply_to=question), self._metrics)
        if frame is None:
            frame = encode(Envelope(Unanswered(), reply_to=question))
        if not link.offer(OutgoingFrame(frame, message.wire_name), droppable=False):
            # the peer does not read its answers, so the queue is full
            self._metrics.count("peers.answers_without_room")
            link.abort()

    def _call(
        self, link: Link, question: int, handler: MessageHandler, message: Message
    ) -> None:
        try:
            answer = handler(link.instance_id, message)
        except Exception:
            logger.exception("handler of %s failed", message.wire_name)
            self.answer(link, question, Unanswered())
            return
        if not inspect.isawaitable(answer):
            self.answer(link, question, answer or Unanswered())
            return
        task = asyncio.create_task(self._finish_call(link, question, answer, message))
        self._in_work.add(task)
        link.calls += 1
        task.add_done_callback(lambda done: self._note_done(link, done))

    def _note_done(self, link: Link, task: asyncio.Task[None]) -> None:
        link.calls -= 1
        self._in_work.discard(task)

    async def _finish_call(
        self, link: Link, question: int, pending: Any, message: Message
    ) -> None:
        answer: Message | None = None
        try:
            answer = await pending
        except asyncio.CancelledError:
            # the handler was cancelled, for instance by a stop: without an answer the
            # sender would wait until the link closes, and could not retry elsewhere
            self.answer(link, question, Unanswered())
            raise
        except Exception:
            logger.exception("handler of %s failed", message.wire_name)
        self.answer(link, question, answer or Unanswered())
