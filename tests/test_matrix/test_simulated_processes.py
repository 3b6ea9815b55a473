"""Tests of paused and killed simulated processes."""

from __future__ import annotations

import asyncio
import gc
import warnings

import pytest

from greengagelatch_lab.matrix.processes import (
    SimulatedProcess,
    close_loop,
    create_loop,
)


@pytest.mark.parametrize("end", [SimulatedProcess.kill, SimulatedProcess.pause])
def test_task_that_a_stopped_process_had_just_started_is_closed(end):
    """
    Guards against the warning that a coroutine was never awaited. It came when a
    process was paused or killed in the same loop iteration in which it started a task:
    the first step was deferred, so that the cancellation at the end of the run never
    reached the task.
    """
    begun = []

    async def work() -> None:
        begun.append("work")

    async def play(process: SimulatedProcess) -> None:
        process.spawn(work())
        end(process)
        await asyncio.sleep(1.0)

    # collect the garbage of other tests, whose warnings are not counted here
    gc.collect()
    loop = create_loop()
    with warnings.catch_warnings(record=True) as caught:
        warnings.simplefilter("always")
        process = SimulatedProcess("one")
        loop.run_until_complete(play(process))
        close_loop(loop, [process])
        del process
        gc.collect()
    assert [str(one.message) for one in caught] == []
    assert begun == []
