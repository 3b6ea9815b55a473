"""Tests of greengagelatch.relay.capacity."""

from __future__ import annotations

import pytest

from greengagelatch.relay.capacity import Capacity, Usage, is_busy

REST = {"work": 0.1, "link": 0.1, "lag": 0.0}


@pytest.mark.parametrize(
    "short", [{"work": 0.85}, {"link": 0.85}, {"lag": 0.15}], ids=str
)
def test_instance_short_of_any_resource_is_busy(short):
    assert is_busy(Usage(**{**REST, **short}), was_busy=False)


def test_busy_state_has_hysteresis():
    usage = Usage(**{**REST, "link": 0.7})
    assert not is_busy(usage, was_busy=False)
    assert is_busy(usage, was_busy=True)
    assert not is_busy(Usage(**REST), was_busy=True)


def test_scarcer_resource_bounds_the_bundles_of_an_instance():
    strong = Capacity(cores=2.0, link_bytes=12_500_000)
    small_link = Capacity(cores=2.0, link_bytes=625_000)
    assert small_link.bundles < strong.bundles
    assert strong.bundles == Capacity(cores=2.0).bundles
    assert Capacity().bundles == 0
