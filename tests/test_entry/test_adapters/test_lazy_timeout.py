"""The time limit that is moved often."""

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


async def test_the_end_cancels_what_runs():
    with pytest.raises(TimeoutError):
        await _run_late(LazyTimeout(_now() + SOON))


async def test_a_later_end_counts_from_then_on():
    """Symptom: streams are cut although their tokens keep coming.

    The timer that was set for the first token fires after the limit was moved on.
    Cause: a timer is taken for the end itself.
    """
    async with LazyTimeout(_now() + SOON) as timeout:
        timeout.reschedule(_now() + FAR)
        await asyncio.sleep(5 * SOON)
    with pytest.raises(TimeoutError):
        async with LazyTimeout(_now() + SOON) as timeout:
            timeout.reschedule(_now() + 2 * SOON)
            await asyncio.sleep(FAR)


async def test_a_sooner_end_counts():
    """Symptom: a call to a silent target lasts until its deadline.

    Its first limit was long, a shorter one was set once it was sent.
    Cause: only the timer of the first limit is waited for.
    """
    with pytest.raises(TimeoutError):
        async with LazyTimeout(_now() + FAR) as timeout:
            timeout.reschedule(_now() + SOON)
            await asyncio.sleep(FAR)


async def test_a_cancellation_from_outside_stays_one():
    task = asyncio.create_task(_run_late(LazyTimeout(_now() + FAR)))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
