"""Tests of greengagelatch_entry.adapters.peer_calls."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from greengagelatch.peers.codec import Message, decode, register
from greengagelatch.peers.messages import Unanswered
from greengagelatch_entry.adapters.peer_calls import MessageDispatcher
from greengagelatch_entry.metrics import Metrics


@register("test-calls-hold")
@dataclass(frozen=True, slots=True)
class Hold(Message):
    pass


@dataclass
class FakeLink:
    """Link that records the answers."""

    instance_id: str = "e-2"
    drained: bool = False
    active_handlers: int = 0
    answered: list[tuple[int, Message]] = field(default_factory=list)

    def offer(self, outgoing, *, droppable: bool) -> bool:
        envelope = decode(outgoing.frame).ok_value
        self.answered.append((envelope.reply_to, envelope.message))
        return True


class Harness:
    """Dispatcher with a handler that waits for a task."""

    def __init__(self) -> None:
        self.dispatcher = MessageDispatcher(
            max_concurrent=8, metrics=Metrics("127.0.0.1:9")
        )
        self.link = FakeLink()
        self.task = asyncio.ensure_future(asyncio.Event().wait())
        self.dispatcher.handle(Hold, self._wait)

    async def _wait(self, sender: str, message: Hold) -> None:
        await asyncio.shield(self.task)


@pytest.fixture
async def harness():
    created = Harness()
    yield created
    created.task.cancel()


async def test_call_with_a_cancelled_handler_is_answered(harness):
    """Guards against stages that are delayed when their owner stops.

    A stopping owner cancels the bundle of a peer. Without an answer from the cancelled
    handler, the peer would wait until the link closes at the end of the stop.
    """
    harness.dispatcher.dispatch(harness.link, 7, Hold())
    await asyncio.sleep(0)
    harness.task.cancel()
    await asyncio.sleep(0.01)
    assert harness.link.answered == [(7, Unanswered())]
    assert len(harness.dispatcher) == 0


async def test_stop_answers_calls_in_progress(harness):
    harness.dispatcher.dispatch(harness.link, 7, Hold())
    await asyncio.sleep(0)
    await harness.dispatcher.stop()
    assert harness.link.answered == [(7, Unanswered())]
    assert harness.link.active_handlers == 0
