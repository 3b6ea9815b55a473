"""Tests of the waits that callers are taken to have had before a request."""

from __future__ import annotations

import random

from greengagelatch.relay.deployment import Deployment, Route, RouteKind
from greengagelatch.relay.requests import OpaqueRequest
from greengagelatch.relay.routes import RouteTable
from greengagelatch_entry.relay.exchange import RelayExchange
from greengagelatch_entry.relay.filters import RouteFilter

#: hints answer within 2 s or lose most of their value, though callers wait for 20 s
HINTS = Route(
    name="hints",
    host="h",
    prefix="/",
    kind=RouteKind.STREAMING,
    timeout=20.0,
    objective=2.0,
)


def create_filter() -> RouteFilter:
    table = RouteTable(Deployment(version=1, routes=(HINTS,)))
    return RouteFilter(
        find_table=lambda: table,
        find_stop_deadline=lambda: float("inf"),
        regions={},
    )


def create_exchange(timeout: float) -> RelayExchange:
    request = OpaqueRequest(
        request_id="r",
        method="POST",
        host="h",
        target="/",
        headers=(),
        body=b"",
        received=0.0,
        timeout=timeout,
    )
    return RelayExchange(request=request, writer=None)


async def find_wait(route_filter: RouteFilter, timeout: float) -> float:
    """Return the wait before a request with this timeout."""
    exchange = create_exchange(timeout)

    async def proceed(_: RelayExchange) -> None:
        pass

    await route_filter.apply(exchange, proceed)
    return exchange.prior_wait


async def test_calm_load_of_callers_with_own_timeouts_is_on_time():
    """Guards against first attempts that count as late as callers wait for 17 s.

    Two thirds of them counted as having waited for 1 s or more of their 2 s.
    """
    route_filter = create_filter()
    source = random.Random(1)
    timeouts = [source.uniform(17.0, 20.0) for _ in range(120)]
    waits = [await find_wait(route_filter, one) for one in timeouts]
    assert sum(wait >= 1.0 for wait in waits) <= 4


async def test_returning_callers_are_recognized_beside_whole_timeouts():
    route_filter = create_filter()
    for _ in range(20):
        assert await find_wait(route_filter, 20.0) == 0.0
    assert await find_wait(route_filter, 18.5) == 1.5


async def test_explained_requests_are_not_counted_among_callers():
    """Guards against waits that change as operators ask where requests would go."""
    route_filter = create_filter()
    for _ in range(4):
        await find_wait(route_filter, 18.0)
    wait = await find_wait(route_filter, 15.0)
    for _ in range(64):
        route_filter.resolve(create_exchange(float("inf")))
    assert await find_wait(route_filter, 15.0) == wait
