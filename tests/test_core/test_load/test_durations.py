"""Tests of greengagelatch.load.durations."""

from __future__ import annotations

import random

import pytest

from greengagelatch.load.durations import DurationTracker


def test_percentiles_follow_a_change_within_two_windows():
    source = random.Random(1)
    tracker = DurationTracker(window=10.0)
    for index in range(400):
        tracker.record("draft", source.uniform(1, 2), index * 0.1)
    assert tracker.estimate("draft", 50, 40.0, 0.0) == pytest.approx(1.5, rel=0.1)
    for index in range(250):
        tracker.record("draft", source.uniform(4, 5), 40 + index * 0.1)
    assert tracker.estimate("draft", 50, 65.0, 0.0) == pytest.approx(4.5, rel=0.1)
    assert tracker.find_baseline("draft", 65.0, 0.0) == pytest.approx(1.5, rel=0.1)


def test_too_few_samples_give_the_prior():
    tracker = DurationTracker()
    tracker.record("draft", 9.0, 0.0)
    assert tracker.estimate("draft", 95, 0.0, 0.7) == 0.7
    assert tracker.estimate("unknown", 95, 0.0, 0.7) == 0.7


def test_outdated_slow_durations_expire():
    """Guards against refusing a kind of call for hours after its targets were slow.

    They were slow until every call was refused as too long. Without calls there
    are no newer durations, so the old ones must expire.
    """
    tracker = DurationTracker(window=10.0)
    for index in range(100):
        tracker.record("draft", 1.0, index * 0.2)
    for index in range(200):
        tracker.record("draft", 8.0, 20 + index * 0.2)
    assert tracker.estimate("draft", 50, 60.0, 0.0) == pytest.approx(8.0, rel=0.1)
    assert tracker.estimate("draft", 50, 90.0, 0.0) == pytest.approx(1.0, rel=0.1)
