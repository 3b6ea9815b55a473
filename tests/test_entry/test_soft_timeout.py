"""Tests of greengagelatch_entry.soft_timeout."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from greengagelatch_entry.soft_timeout import (
    ASK_INTERVAL,
    SoftTimeout,
    SoftTimeoutScope,
)

#: timeout of every wait in seconds
WAIT_SECONDS = 20


class Asked:
    """Answers whether a target may be left: from the given call on."""

    def __init__(self, leave_at: int) -> None:
        self.calls: list[bool] = []
        self._leave_at = leave_at

    def __call__(self, asked: bool, path_lost: bool) -> bool:
        self.calls.append(asked)
        return len(self.calls) >= self._leave_at


def find_end() -> float:
    return asyncio.get_running_loop().time() + WAIT_SECONDS


def create(may_leave: Asked, seconds: float = 0.0) -> SoftTimeout:
    return SoftTimeout(seconds=seconds, may_leave=may_leave)


async def test_wait_goes_on_until_the_target_may_be_left():
    may_leave = Asked(3)
    with pytest.raises(TimeoutError):
        async with SoftTimeoutScope(find_end(), create(may_leave)):
            await asyncio.Event().wait()
    assert may_leave.calls == [False, True, True]


async def test_wait_ends_with_the_answer():
    may_leave = Asked(100)
    async with SoftTimeoutScope(find_end(), create(may_leave)):
        while not may_leave.calls:  # noqa: ASYNC110 - no event tells of a call
            await asyncio.sleep(0.001)
    assert may_leave.calls == [False]


async def test_waits_of_one_attempt_count_one_silence():
    """Guards against one slow request that opens the breaker of its target.

    The head of its response comes late and the body later still. Each wait recorded a
    failure, and two failures in a row eject a target.
    """
    may_leave = Asked(100)
    soft_timeout = create(may_leave)
    for calls in (1, 2):
        async with SoftTimeoutScope(find_end(), soft_timeout):
            while len(may_leave.calls) < calls:  # noqa: ASYNC110 - no event tells of it
                await asyncio.sleep(0.001)
    assert may_leave.calls == [False, True]


async def test_wait_without_soft_timeout_ends_at_its_end():
    with pytest.raises(TimeoutError):
        async with SoftTimeoutScope(asyncio.get_running_loop().time(), None):
            await asyncio.Event().wait()


async def test_wait_that_has_ended_asks_no_more():
    """Guards against a retry that is charged in the turn in which the time is over.

    What is awaited takes some turns of the loop to end.
    """
    may_leave = Asked(1)

    async def end_slowly() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            for _ in range(10):
                await asyncio.sleep(0)

    now = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with SoftTimeoutScope(now, create(may_leave)):
            await end_slowly()
    assert may_leave.calls == []


async def test_cancelled_wait_asks_no_more():
    """Guards against a retry that is charged for a caller that has left."""
    may_leave = Asked(100)

    async def wait() -> None:
        async with SoftTimeoutScope(find_end(), create(may_leave)):
            await asyncio.Event().wait()

    task = asyncio.create_task(wait())
    async with asyncio.timeout(WAIT_SECONDS):
        while not may_leave.calls:  # noqa: ASYNC110 - no event tells of a call
            await asyncio.sleep(0.001)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    calls = len(may_leave.calls)
    await asyncio.sleep(2 * ASK_INTERVAL)
    assert len(may_leave.calls) == calls


def stand_still() -> None:
    time.sleep(0.05)


async def test_loop_that_stood_still_reads_first():
    """Guards against leaving a target for a silence of this process."""
    near, far = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=near)
    may_leave = Asked(1)
    async with SoftTimeoutScope(find_end(), create(may_leave, 0.01)):
        far.send(b"answer")
        stand_still()
        assert await reader.read(100) == b"answer"
    assert may_leave.calls == []
    writer.close()
    far.close()


async def test_loop_that_stood_still_reads_through_several_tasks_first():
    """Guards against leaving a target behind a tunnel for a silence of this process.

    What arrives through a tunnel passes several tasks on its way to the request.
    """
    near, far = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=near)
    may_leave = Asked(1)

    async def read() -> bytes:
        return await reader.read(100)

    async def pass_on(task: asyncio.Task[bytes]) -> bytes:
        return await task

    async with SoftTimeoutScope(find_end(), create(may_leave, 0.01)):
        task = asyncio.create_task(read())
        for _ in range(3):
            task = asyncio.create_task(pass_on(task))
        await asyncio.sleep(0)
        far.send(b"answer")
        stand_still()
        assert await task == b"answer"
    assert may_leave.calls == []
    writer.close()
    far.close()


async def test_target_that_goes_on_is_not_left():
    """Guards against streams that are left although tokens keep arriving.

    The timer of the first wait is due after the time was extended.
    """
    may_leave = Asked(1)
    now = asyncio.get_running_loop().time()
    async with SoftTimeoutScope(find_end(), create(may_leave)) as scope:
        scope.reschedule(now + WAIT_SECONDS)
        await asyncio.sleep(0.05)
    assert may_leave.calls == []


async def test_target_that_falls_silent_later_is_left():
    may_leave = Asked(1)
    now = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with SoftTimeoutScope(find_end(), create(may_leave)) as scope:
            scope.reschedule(now + 0.02)
            await asyncio.Event().wait()
    assert may_leave.calls == [False]


async def test_earlier_soft_timeout_replaces_the_later_one():
    """Guards against calls to hung targets that last until their deadline."""
    may_leave = Asked(1)
    soft_timeout = create(may_leave, WAIT_SECONDS)
    with pytest.raises(TimeoutError):
        async with SoftTimeoutScope(find_end() + WAIT_SECONDS, soft_timeout) as scope:
            scope.reschedule(asyncio.get_running_loop().time() + 0.01)
            await asyncio.Event().wait()
    assert may_leave.calls == [False]
