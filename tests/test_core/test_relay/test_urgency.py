"""Tests of greengagelatch.relay.urgency."""

from __future__ import annotations

import pytest

from greengagelatch.relay.urgency import compute_rank


@pytest.mark.parametrize("route", [0, 1, 2, 9])
def test_workspace_takes_precedence_over_the_route(route):
    assert compute_rank(route, 0) < compute_rank(0, 1)


def test_route_orders_workspaces_of_the_same_priority():
    """Guards against summaries that are late behind chats, though ranked first.

    All workspaces had the same priority, which replaced the priority of the route.
    """
    assert compute_rank(0, 1) < compute_rank(1, 1) < compute_rank(2, 1)


def test_route_counts_if_workspaces_have_no_priority():
    assert compute_rank(0, None) < compute_rank(1, None)
