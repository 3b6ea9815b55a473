"""Tests of greengagelatch_lab.capacity.control_plane."""

from __future__ import annotations

from collections import Counter

from greengagelatch_lab.capacity.control_plane import compute_rates


def test_kind_without_calls_in_the_window_has_a_rate():
    """Guards against figures that are missing where nothing was called.

    The difference of two counters leaves out what is zero.
    """
    before = Counter(fetch=4, keep=2)
    after = Counter(fetch=4, keep=8, swap=3)
    rates = compute_rates(before, after, seconds=3.0)
    assert rates == {"fetch": 0.0, "keep": 2.0, "swap": 1.0}
