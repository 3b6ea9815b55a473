"""Tests of greengagelatch.relay.deployment."""

from __future__ import annotations

from dataclasses import replace

import pytest

from greengagelatch.relay.deployment import MakerProfile, Route, RouteKind

ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RouteKind.STREAMING,
    timeout=15.0,
    objective=0.79,
    longest_pause=0.25,
)


@pytest.mark.parametrize(
    ("objective", "pause", "limit"),
    [(0.79, 0.25, 3.16), (0.1, 0.5, 4.0), (0.1, 0.1, 2)],
)
def test_silence_limit_is_shorter_than_the_timeout(objective, pause, limit):
    """Guards against work for callers that have disconnected.

    A request waited for its stages for four seconds of its route's timeout of fifteen,
    but its caller had abandoned the silent stream after three.
    """
    route = replace(ROUTE, objective=objective, longest_pause=pause)
    assert route.silence_limit == pytest.approx(limit)


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, True, False),
        (RouteKind.STREAMING, False, False),
        (RouteKind.STREAMING, True, True),
    ],
)
def test_kind_determines_whether_requests_are_retryable(kind, resumable, repeatable):
    route = replace(ROUTE, kind=kind, resumable=resumable)
    assert route.repeatable is repeatable


def test_call_has_a_fixed_cost_and_a_cost_per_piece():
    maker = MakerProfile(
        slots=1,
        queue=0,
        batch=5,
        call_seconds=0.2,
        item_seconds=0.03,
        result_memory_bytes=0,
        retention_seconds=0.0,
    )
    assert maker.estimate_seconds(4) == pytest.approx(0.32)
