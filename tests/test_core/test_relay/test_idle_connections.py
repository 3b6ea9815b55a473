"""Tests of greengagelatch.relay.connections."""

from __future__ import annotations

import pytest

from greengagelatch.relay.idle_connections import (
    IDLE_SHARE,
    MAX_IDLE,
    count_idle_connections,
)


def count_all(max_connections: int, instances: int) -> int:
    """Return the idle connections of all instances to one target."""
    return sum(
        count_idle_connections(max_connections, instances, f"entry-{number}", "t-1")
        for number in range(instances)
    )


@pytest.mark.parametrize("instances", [9, 84, 195, 570])
@pytest.mark.parametrize("most", [49, 120, 1200])
def test_idle_connections_leave_capacity_for_active_ones(most, instances):
    """Guards against connections that a target resets although few requests run.

    84 instances kept up to four idle connections each to a target that accepts 120 in
    all; the bound did not depend on the number of instances.
    """
    # the margin covers the choice by hashes where not every instance keeps one
    assert count_all(most, instances) <= most * (IDLE_SHARE + 0.15)


def test_few_instances_keep_the_maximum():
    assert count_idle_connections(500, 9, "entry-1", "t-1") == MAX_IDLE


def test_unknown_limit_allows_the_maximum():
    assert count_idle_connections(0, 195, "entry-1", "t-1") == MAX_IDLE


def test_some_instances_keep_one_if_the_share_is_below_one():
    assert 0 < count_all(49, 195) < 49
