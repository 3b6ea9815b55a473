"""Tests of greengagelatch.relay.urgency."""

from __future__ import annotations

import pytest

from greengagelatch.relay.urgency import compute_rank


@pytest.mark.parametrize("route", [0, 1, 2, 9])
def test_workspace_goes_before_every_route(route):
    assert compute_rank(route, 0) < compute_rank(0, 1)


def test_route_counts_among_workspaces_of_the_same_priority():
    """Symptom: summaries that operators rank first are late, chats are in time.

    Sequence: all workspaces have the same priority; a burst of summaries comes.
    Cause: the workspace's priority took the place of the route's.
    """
    assert compute_rank(0, 1) < compute_rank(1, 1) < compute_rank(2, 1)


def test_route_counts_where_workspaces_have_no_priority():
    assert compute_rank(0, None) < compute_rank(1, None)
