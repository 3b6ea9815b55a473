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
    """Takes what is answered."""

    instance_id: str = "e-2"
    drained: bool = False
    active_handlers: int = 0
    answered: list[tuple[int, Message]] = field(default_factory=list)

    def offer(self, outgoing, *, droppable: bool) -> bool:
        envelope = decode(outgoing.frame).ok_value
        self.answered.append((envelope.reply_to, envelope.message))
        return True


class World:
    """Calls whose handler waits for work of its own."""

    def __init__(self) -> None:
        self.dispatcher = MessageDispatcher(
            max_concurrent=8, metrics=Metrics("127.0.0.1:9")
        )
        self.link = FakeLink()
        self.work = asyncio.ensure_future(asyncio.Event().wait())
        self.dispatcher.handle(Hold, self._wait)

    async def _wait(self, sender: str, message: Hold) -> None:
        await asyncio.shield(self.work)


@pytest.fixture
async def world():
    created = World()
    yield created
    created.work.cancel()


async def test_question_whose_work_is_broken_off_is_answered(world):
    """Symptom: stage work ends late where its owner stops.

    Sequence: an owner has a peer's bundle in work and breaks it off at its stop; the
    peer waits until the link ends, last of all.
    Cause: a handler that is cancelled gave no answer.
    """
    world.dispatcher.dispatch(world.link, 7, Hold())
    await asyncio.sleep(0)
    world.work.cancel()
    await asyncio.sleep(0.01)
    assert world.link.answered == [(7, Unanswered())]
    assert len(world.dispatcher) == 0


async def test_stop_answers_what_is_under_way(world):
    world.dispatcher.dispatch(world.link, 7, Hold())
    await asyncio.sleep(0)
    await world.dispatcher.stop()
    assert world.link.answered == [(7, Unanswered())]
    assert world.link.active_handlers == 0
