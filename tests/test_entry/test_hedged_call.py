"""Tests of greengagelatch_entry.hedged_call."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from greengagelatch.targets import CallFailure, FailureKind, StageAnswer
from greengagelatch.verdict import Verdict
from greengagelatch_entry.hedged_call import call_with_hedge

HEDGE_DELAY = 0.02


def answer(output):
    return Ok(StageAnswer(output=output))


def fail(message):
    kind, verdict = FailureKind.DISCONNECTED, Verdict.MAY_HAVE_RUN
    return Err(CallFailure(kind=kind, verdict=verdict, message=message))


class Call:
    """A call that returns ``result`` once ``gate`` is set."""

    def __init__(self, result, *, open_at_once=False):
        self.result = result
        self.gate = asyncio.Event()
        self.started = asyncio.Event()
        self.cancelled = False
        if open_at_once:
            self.gate.set()

    async def __call__(self):
        self.started.set()
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        return self.result


async def test_answered_call_gets_no_backup():
    """Guards against a backup call for a request that was already answered.

    The first call is answered before the hedge delay has passed; the timer of the
    backup call must be cancelled.
    """
    first, backup = Call(answer("first"), open_at_once=True), Call(answer("backup"))
    assert (
        await call_with_hedge(first, backup, HEDGE_DELAY)
    ).ok_value.output == "first"
    await asyncio.sleep(3 * HEDGE_DELAY)
    assert not backup.started.is_set()


async def test_failure_waits_for_the_pending_backup():
    """Guards against a failed request whose backup call would have been answered."""
    first, backup = Call(fail("first")), Call(answer("backup"))
    task = asyncio.create_task(call_with_hedge(first, backup, HEDGE_DELAY))
    await backup.started.wait()
    first.gate.set()
    await asyncio.sleep(0)
    backup.gate.set()
    assert (await task).ok_value.output == "backup"


@pytest.mark.parametrize("backup_result", [fail("backup"), None])
async def test_failed_backup_does_not_cancel_the_first_call(backup_result):
    """Guards against a first call that is abandoned as its backup call failed."""
    first, backup = Call(answer("first")), Call(backup_result, open_at_once=True)
    task = asyncio.create_task(call_with_hedge(first, backup, HEDGE_DELAY))
    await backup.started.wait()
    await asyncio.sleep(0)
    assert not first.cancelled
    first.gate.set()
    assert (await task).ok_value.output == "first"


async def test_first_answer_cancels_the_backup():
    first, backup = Call(answer("first")), Call(answer("backup"))
    task = asyncio.create_task(call_with_hedge(first, backup, HEDGE_DELAY))
    await backup.started.wait()
    first.gate.set()
    assert (await task).ok_value.output == "first"
    assert backup.cancelled


async def test_cancelled_hedged_call_cancels_both_calls():
    first, backup = Call(answer("first")), Call(answer("backup"))
    task = asyncio.create_task(call_with_hedge(first, backup, HEDGE_DELAY))
    await backup.started.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert first.cancelled
    assert backup.cancelled


async def test_two_failures_return_one():
    first, backup = Call(fail("first")), Call(fail("backup"), open_at_once=True)
    task = asyncio.create_task(call_with_hedge(first, backup, HEDGE_DELAY))
    await backup.started.wait()
    first.gate.set()
    assert (await task).err_value.kind is FailureKind.DISCONNECTED
