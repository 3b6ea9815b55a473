"""Tests of greengagelatch.load.safety_factor."""

from __future__ import annotations

import random

from greengagelatch.load.safety_factor import SafetyFactor


def test_share_of_late_calls_settles_at_what_is_allowed():
    """Guards against a fifth of the started calls missing their deadline for hours.

    Only answered calls are measured, so the longest durations are missing from
    every percentile, and a fixed margin on a percentile would be too small.
    """
    source = random.Random(7)
    safety_factor = SafetyFactor(late_share=0.03)
    late = 0
    for index in range(4000):
        now = index * 0.2
        # the measured 95th percentile is 1, but real durations exceed it
        allowed = 1.0 * safety_factor.find_factor("draft", now)
        is_late = source.lognormvariate(0.0, 0.6) > allowed
        safety_factor.record("draft", late=is_late, now=now)
        late += is_late and index >= 1000
    assert 0.01 <= late / 3000 <= 0.06


def test_factor_decays_while_no_call_is_started():
    """Guards against refusing a kind of call forever after some were late.

    Many calls end late; then none is started, so none can end in time and lower
    the factor.
    """
    safety_factor = SafetyFactor(late_share=0.03)
    for _ in range(50):
        safety_factor.record("draft", late=True, now=0.0)
    assert safety_factor.find_factor("draft", 0.0) > 2
    assert safety_factor.find_factor("draft", 300.0) < 1.01
