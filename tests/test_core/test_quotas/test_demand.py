"""Tests of greengagelatch.quotas.demand."""

from __future__ import annotations

import pytest

from greengagelatch.quotas.demand import DemandMeter

SETTLING = 8.0


def test_first_request_does_not_inflate_the_rate():
    """Guards against refusals at other instances for a workspace below its quota.

    Its first request arrives 10 ms before the round. An average over these 10 ms
    would report 100 requests per second and leave the others almost no share.
    """
    meter = DemandMeter(100.0)
    meter.record_request()
    meter.update(SETTLING, True, 100.01)
    assert meter.rate < 1.0


def test_rise_takes_effect_late_and_fall_at_once():
    meter = DemandMeter(0.0)
    for second in range(1, 80):
        for _ in range(100 if 30 <= second < 60 else 10):
            meter.record_request()
        meter.update(SETTLING, second < SETTLING, float(second))
        if 30 <= second < 30 + SETTLING - 1:
            assert meter.propagated_rate < 25
        if second == 30 + 3 * SETTLING:
            assert meter.propagated_rate > 80
        if second >= 60:
            assert meter.propagated_rate == pytest.approx(meter.rate, rel=0.01)
