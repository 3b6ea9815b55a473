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
def test_idle_connections_leave_room_for_those_in_use(most, instances):
    """Symptom: a target resets new connections although few requests run.

    Sequence: 84 instances keep up to four idle connections each to a target that
    takes 120 from all of them.
    Cause: the bound was one for each instance, whatever their number.
    """
    # which instances keep one is drawn by hashes where there are too few for all
    assert count_all(most, instances) <= most * (IDLE_SHARE + 0.15)


def test_few_instances_keep_what_is_of_use():
    assert count_idle_connections(500, 9, "entry-1", "t-1") == MAX_IDLE


def test_unknown_bound_leaves_the_usual_number():
    assert count_idle_connections(0, 195, "entry-1", "t-1") == MAX_IDLE


def test_some_instances_keep_one_where_the_share_is_below_one():
    assert 0 < count_all(49, 195) < 49
