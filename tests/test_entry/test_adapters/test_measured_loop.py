"""Tests of greengagelatch_entry.adapters.measured_loop."""

from __future__ import annotations

from greengagelatch_entry.adapters.measured_loop import (
    BusyTimeSelector,
    create_measured_loop,
)


def test_time_between_waits_counts_as_busy():
    moments = iter((0.0, 3.0, 10.0, 11.0, 20.0))
    meter = BusyTimeSelector(lambda: next(moments))
    meter.select(0)
    assert meter.busy_seconds == 3.0
    meter.select(0)
    assert meter.busy_seconds == 4.0
    meter.close()


def test_loop_uses_the_selector():
    meter = BusyTimeSelector()
    loop = create_measured_loop(meter)
    try:
        assert loop.run_until_complete(_answer()) == 1
    finally:
        loop.close()
    assert meter.busy_seconds > 0


async def _answer() -> int:
    return 1
