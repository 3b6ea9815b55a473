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
def test_callers_give_up_a_silent_stream_before_its_timeout(objective, pause, limit):
    """Symptom: makers and engines work for callers that have gone.

    Sequence: a request waits for its stages for four seconds of the fifteen that its
    route allows; its caller has given up after three.
    Cause: only the timeout was looked at.
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
def test_kind_says_what_may_be_repeated(kind, resumable, repeatable):
    route = replace(ROUTE, kind=kind, resumable=resumable)
    assert route.retryable is repeatable


def test_call_has_a_fixed_cost_and_one_for_each_piece():
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
