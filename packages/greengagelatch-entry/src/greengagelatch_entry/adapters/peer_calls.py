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

    :param max_concurrent: maximum concurrent calls; messages above it get ``Busy``
    """

    def __init__(self, *, max_concurrent: int, metrics: Metrics) -> None:
        self._max_concurrent = max_concurrent
        self._metrics = metrics
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._running: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._running)

    def handle(self, message_type: type[Message], handler: MessageHandler) -> None:
        """Register ``handler`` for the messages of a type."""
        if message_type in self._handlers:
            msg = f"{message_type.__name__} already has a handler"
            raise ValueError(msg)
        self._handlers[message_type] = handler

    async def stop(self) -> None:
        """Cancel the calls in progress; their senders get ``Unanswered``."""
        tasks = tuple(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dispatch(self, link: Link, call_id: int, message: Message) -> None:
        """Dispatch a message; ``call_id`` is 0 if it expects no answer."""
        if call_id and link.drained:
            # the peer knows that this message is not handled, and retries it elsewhere
            self._metrics.count("peers.untouched_questions")
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.count("peers.unhandled_messages")
            reason = f"no handler for {message.wire_name}"
            self.send_answer(link, call_id, NotUnderstood(reason))
            return
        if len(self._running) >= self._max_concurrent:
            # answers are still received: otherwise two peers that wait for each
            # other's answers would deadlock
            self._metrics.count("peers.busy")
            self.send_answer(link, call_id, Busy())
            return
        self._run_handler(link, call_id, handler, message)

    def send_answer(self, link: Link, call_id: int, message: Message) -> None:
        """Send the answer to a call; does nothing if ``call_id`` is 0."""
        if not call_id:
            return
        frame = encode_bounded(Envelope(message, reply_to=call_id), self._metrics)
        if frame is None:
            frame = encode(Envelope(Unanswered(), reply_to=call_id))
        if not link.offer(OutgoingFrame(frame, message.wire_name), droppable=False):
            # the peer does not read its answers, so the queue is full
            self._metrics.count("peers.answers_without_room")
            link.abort()

    def _run_handler(
        self, link: Link, call_id: int, handler: MessageHandler, message: Message
    ) -> None:
        try:
            answer = handler(link.instance_id, message)
        except Exception:
            logger.exception("handler of %s failed", message.wire_name)
            self.send_answer(link, call_id, Unanswered())
            return
        if not inspect.isawaitable(answer):
            self.send_answer(link, call_id, answer or Unanswered())
            return
        task = asyncio.create_task(self._finish_handler(link, call_id, answer, message))
        self._running.add(task)
        link.active_handlers += 1
        task.add_done_callback(lambda done: self._record_done(link, done))

    def _record_done(self, link: Link, task: asyncio.Task[None]) -> None:
        link.active_handlers -= 1
        self._running.discard(task)

    async def _finish_handler(
        self, link: Link, call_id: int, pending: Any, message: Message
    ) -> None:
        answer: Message | None = None
        try:
            answer = await pending
        except asyncio.CancelledError:
            # the handler was cancelled, for instance by a stop: without an answer the
            # sender would wait until the link closes, and could not retry elsewhere
            self.send_answer(link, call_id, Unanswered())
            raise
        except Exception:
            logger.exception("handler of %s failed", message.wire_name)
        self.send_answer(link, call_id, answer or Unanswered())
