"""Tests of greengagelatch.load.limits."""

from __future__ import annotations

from greengagelatch.load.limits import AdaptiveLimit, LimitRule

RULE = LimitRule()


def run(limit, ratio, seconds, *, start=0.0, held=None):
    for index in range(int(seconds * 20)):
        now = start + index * 0.05
        limit.record_latency(ratio, limit.value if held is None else held, now)


def test_limit_falls_while_calls_are_slow_and_rises_again():
    limit = AdaptiveLimit(RULE)
    limit.update_capacity(16, 2.0)
    full = limit.value
    run(limit, 3 * RULE.latency_tolerance, 5)
    fallen = limit.value
    assert fallen <= full / 4
    run(limit, 1.0, 20, start=5)
    assert limit.value == full


def test_unused_limit_does_not_rise():
    """Guards against a limit far above the target's capacity when a burst arrives.

    Few calls are in flight and so all are fast. A limit that rises on every fast
    call would grow without being used.
    """
    limit = AdaptiveLimit(RULE)
    run(limit, 1.0, 60, held=1)
    assert limit.value == RULE.initial


def test_fast_targets_may_queue_some_calls_and_slow_ones_hardly_any():
    fast, slow = AdaptiveLimit(RULE), AdaptiveLimit(RULE)
    fast.update_capacity(4, 0.05)
    slow.update_capacity(4, 3.0)
    assert fast.value == 4 * (1 + RULE.allowed_queueing / 0.05)
    assert 4 <= slow.value < 4.2


def test_rejections_lower_the_limit_below_the_calls_in_flight():
    limit = AdaptiveLimit(RULE)
    limit.update_capacity(16, 2.0)
    limit.record_rejection(10, 1.0)
    assert limit.value == 10 * RULE.rejection_factor
    limit.record_rejection(10, 1.1)
    assert limit.value == 10 * RULE.rejection_factor
