"""Tests of greengagelatch_entry.relay.usage."""

from __future__ import annotations

import asyncio

from greengagelatch.clock import Clock
from greengagelatch.relay.capacity import Capacity
from greengagelatch_entry.metric_totals import MetricTotals
from greengagelatch_entry.relay import usage
from greengagelatch_entry.relay.usage import UsageController

LINK_BYTES = 1000


class StepClock(Clock):
    """Returns the given times in order."""

    def __init__(self, *moments: float) -> None:
        self._moments = list(moments)

    def now(self) -> float:
        return self._moments.pop(0)

    def wall(self) -> float:
        return 0.0


class RecordingLog:
    """Records log lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict]] = []

    def log_state_change(self, kind: str, **fields) -> None:
        self.lines.append((kind, fields))


async def sample(monkeypatch, metrics, clock, sent=0):
    """Take one sample while a number of bytes are sent."""
    monkeypatch.setattr(usage, "SAMPLE_INTERVAL", 0.0)
    log = RecordingLog()
    controller = UsageController(
        capacity=Capacity(cores=1.0, link_bytes=LINK_BYTES),
        clock=clock,
        read_busy_seconds=iter((1.0, 1.0)).__next__,
        metrics=metrics,
        decisions=log,
    )
    sampling = asyncio.create_task(controller._sample())
    await asyncio.sleep(0)
    metrics.count("links.bytes_out", sent)
    controller._publish(await sampling)
    return controller, log


async def test_saturated_link_is_distinguished_from_loop_lag(monkeypatch):
    metrics = MetricTotals()
    _, log = await sample(monkeypatch, metrics, StepClock(5.0, 5.01), sent=9)
    kind, fields = log.lines[0]
    assert kind == "busy"
    assert fields["link"] == 0.9
    assert fields["lag_ms"] == 10


async def test_loop_lag_is_distinguished_from_a_saturated_link(monkeypatch):
    controller, log = await sample(monkeypatch, MetricTotals(), StepClock(5.0, 5.2))
    kind, fields = log.lines[0]
    assert kind == "busy"
    assert fields["link"] == 0.0
    assert fields["lag_ms"] == 200
    assert controller.dump()["busy"]
