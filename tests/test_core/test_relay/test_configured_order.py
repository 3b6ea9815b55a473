"""Tests of greengagelatch.relay.configured_order."""

from __future__ import annotations

import pytest

from greengagelatch.relay.configured_order import ConfiguredOrder, can_yield
from greengagelatch.relay.deployment import Route, RouteKind, RouteStage


def create_route(priority: int, objective: float, service: str = "s") -> Route:
    return Route(
        name=f"{priority}-{objective}",
        host="",
        prefix="/",
        kind=RouteKind.STREAMING,
        timeout=20.0,
        objective=objective,
        priority=priority,
        stages=(RouteStage(service=service),),
    )


@pytest.mark.parametrize(
    ("objectives", "expected"),
    [
        ((1.0, 2.0, 4.0), True),
        ((0.5, 1.0, 2.0), True),
        ((1.9, 1.1, 1.7), False),
        ((1.8, 2.0, 0.79), False),
        ((1.9, 1.4, 2.0), False),
        ((4.0, 2.0, 1.0), False),
        ((2.0,), False),
    ],
)
def test_less_urgent_routes_yield_if_their_objective_is_much_looser(
    objectives, expected
):
    routes = [create_route(*row) for row in enumerate(objectives)]
    assert can_yield(routes, "s") is expected


def test_routes_that_share_no_makers_do_not_yield():
    routes = [create_route(0, 1.0), create_route(2, 4.0, "other")]
    assert not can_yield(routes, "s")


def test_order_follows_the_configuration():
    routes = [(create_route(0, 1.0),), (create_route(0, 1.0), create_route(2, 4.0))]
    order = ConfiguredOrder("s", lambda: routes[0])
    assert not order.by_rank
    routes.reverse()
    assert order.by_rank
