"""Tests of what the timeouts of callers show of earlier waits."""

from __future__ import annotations

import random

from greengagelatch.relay.caller_timeouts import MAX_SPREAD_SHARE, CallerTimeouts

ROUTE_TIMEOUT = 20.0


def record(timeouts: CallerTimeouts, shares: list[float]) -> None:
    for share in shares:
        timeouts.record(share * ROUTE_TIMEOUT, ROUTE_TIMEOUT)


def test_whole_timeouts_have_no_spread_beside_returning_callers() -> None:
    """A third of the callers returns after a refusal: their waits are still seen."""
    timeouts = CallerTimeouts()
    record(timeouts, [1.0, 0.8, 1.0] * 20)
    assert timeouts.find_spread() == 0.0


def test_own_timeouts_of_callers_count_as_no_wait() -> None:
    """Callers that wait for 85 to 100 in 100 would be taken to have waited for 3 s."""
    timeouts = CallerTimeouts()
    source = random.Random(1)
    record(timeouts, [source.uniform(0.85, 1.0) for _ in range(200)])
    assert 0.1 < timeouts.find_spread() < 0.2


def test_burst_of_returning_callers_widens_the_spread_little() -> None:
    """Most requests come from refused callers: waits of over a quarter stay seen."""
    timeouts = CallerTimeouts()
    record(timeouts, [1.0, 0.3, 0.3] * 20)
    assert timeouts.find_spread() == MAX_SPREAD_SHARE


def test_few_requests_show_no_spread() -> None:
    """The first callers after a start may all return after a refusal elsewhere."""
    timeouts = CallerTimeouts()
    record(timeouts, [0.8, 0.8])
    assert timeouts.find_spread() == 0.0


def test_routes_without_a_timeout_are_skipped() -> None:
    timeouts = CallerTimeouts()
    for _ in range(10):
        timeouts.record(1.0, 0.0)
    assert timeouts.find_spread() == 0.0
