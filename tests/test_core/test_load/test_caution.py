"""Tests of greengagelatch.load.caution."""

from __future__ import annotations

import random

from greengagelatch.load.safety_factor import SafetyFactor


def test_share_of_late_calls_settles_at_what_is_allowed():
    """A fifth of the drafts started in good time is cut by the deadline, for hours.

    Durations are measured of answered calls only, so the longest are missing from
    every percentile. A fixed margin on a percentile would be the cause.
    """
    source = random.Random(7)
    caution = SafetyFactor(late_share=0.03)
    late = 0
    for index in range(4000):
        now = index * 0.2
        # what is measured has a 95th percentile of 1, what really happens is longer
        allowed = 1.0 * caution.find_factor("draft", now)
        is_late = source.lognormvariate(0.0, 0.6) > allowed
        caution.record("draft", late=is_late, now=now)
        late += is_late and index >= 1000
    assert 0.01 <= late / 3000 <= 0.06


def test_caution_fades_when_nothing_is_started():
    """A kind of call that went wrong once is refused for good.

    Many calls end late, and none is started any more, so none can end in time.
    """
    caution = SafetyFactor(late_share=0.03)
    for _ in range(50):
        caution.record("draft", late=True, now=0.0)
    assert caution.find_factor("draft", 0.0) > 2
    assert caution.find_factor("draft", 300.0) < 1.01
