"""Tests of the timeout that is cheap to reschedule."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch_entry.adapters.lazy_timeout import LazyTimeout

SOON = 0.01
FAR = 60.0


def _now():
    return asyncio.get_running_loop().time()


async def _run_late(timeout):
    async with timeout:
        await asyncio.sleep(FAR)


async def test_expiry_cancels_the_running_code():
    with pytest.raises(TimeoutError):
        await _run_late(LazyTimeout(_now() + SOON))


async def test_a_later_deadline_replaces_the_earlier_one():
    """Guards against streams that time out although tokens keep arriving.

    The timer set for the first token fires after the deadline was extended.
    """
    async with LazyTimeout(_now() + SOON) as timeout:
        timeout.reschedule(_now() + FAR)
        await asyncio.sleep(5 * SOON)
    with pytest.raises(TimeoutError):
        async with LazyTimeout(_now() + SOON) as timeout:
            timeout.reschedule(_now() + 2 * SOON)
            await asyncio.sleep(FAR)


async def test_an_earlier_deadline_replaces_the_later_one():
    """Guards against calls to an unresponsive target that last until their deadline.

    The first timeout is long; a shorter one is set once the call is sent, and the
    timer of the first must not delay it.
    """
    with pytest.raises(TimeoutError):
        async with LazyTimeout(_now() + FAR) as timeout:
            timeout.reschedule(_now() + SOON)
            await asyncio.sleep(FAR)


async def test_an_external_cancellation_is_no_timeout():
    task = asyncio.create_task(_run_late(LazyTimeout(_now() + FAR)))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
