"""Tests of greengagelatch.load.concurrency."""

from __future__ import annotations

import random

import pytest

from greengagelatch.load.concurrency import ConcurrencyTuner
from greengagelatch_lab.experiment.models import EngineRule

ENGINE = EngineRule()


def run_engine(tuner, source, seconds, *, backlogged=True, start=0.0):
    """Run an engine at the tuner's concurrency, with noise."""
    now = start
    value = float(ENGINE.capacity)
    while now < start + seconds:
        now += 0.25
        held = min(max(1.0, source.gauss(value, value / 6)), ENGINE.capacity)
        tokens = source.randint(40, 160)
        noise = source.uniform(0.7, 1.3)
        step = ENGINE.measure_step(round(held))
        tuner.record(held, tokens * step * noise, tokens, now)
        value = tuner.update(ENGINE.capacity, backlogged=backlogged, now=now)
    return value


@pytest.mark.parametrize("seed", range(5))
def test_knee_of_continuous_batching_is_found(seed):
    """Guards against twice the latency at the same throughput.

    An engine reports a capacity of 16, but its throughput is best at 11. Using the
    reported capacity as the limit would only raise the latency.
    """
    value = run_engine(ConcurrencyTuner(), random.Random(seed), 240)
    best = ENGINE.find_best_batch()
    throughput = value / ENGINE.measure_step(round(value))
    assert throughput >= 0.9 * best / ENGINE.measure_step(best)
    assert value <= best + 1.5


def test_low_load_does_not_lower_the_limit():
    """Guards against a low limit after a time of low load.

    Only a low concurrency is measured for minutes, with no call queued. Taking the
    highest concurrency seen as the best would refuse calls once load arrives.
    """
    tuner = ConcurrencyTuner()
    now = 0.0
    for _ in range(400):
        now += 0.5
        tuner.record(2, 100 * ENGINE.measure_step(2), 100, now)
        value = tuner.update(ENGINE.capacity, backlogged=False, now=now)
    assert value == ENGINE.capacity


def test_slowdown_predicts_the_effect_of_more_calls():
    tuner = ConcurrencyTuner()
    for index in range(200):
        held = 2 + index % 9
        taken = 100 * ENGINE.measure_step(held)
        tuner.record(held, taken, 100, index * 0.1)
    now_idle = tuner.estimate_slowdown(2)
    now_busy = tuner.estimate_slowdown(12)
    assert now_idle < 1 < now_busy
    real = ENGINE.measure_step(12) / ENGINE.measure_step(6)
    assert now_busy == pytest.approx(real, rel=0.2)
    assert ConcurrencyTuner().estimate_slowdown(12) == 1.0
