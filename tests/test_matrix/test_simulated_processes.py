"""Tests of simulated processes that are stopped and ended."""

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
    Symptom: a run of the matrix warns that a coroutine was never awaited. Sequence: a
    process starts a task and is stopped in the same turn, and the run ends. Cause: the
    task's first step was held back with the process, so that its cancellation never
    reached it either.
    """
    begun = []

    async def work() -> None:
        begun.append("work")

    async def play(process: SimulatedProcess) -> None:
        process.spawn(work())
        end(process)
        await asyncio.sleep(1.0)

    # what other tests have left is not this one's
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
