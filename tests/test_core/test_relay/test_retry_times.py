"""Tests of greengagelatch.relay.retry_times."""

from __future__ import annotations

from greengagelatch.relay.retry_times import find_retry_window


def find(drain: float, remaining: float, service: float = 0.9):
    return find_retry_window(
        drain_seconds=drain, service_time=service, remaining=remaining
    )


def test_callers_return_once_the_queue_has_drained():
    window = find(drain=1.2, remaining=6.0)
    assert window.earliest == 1.2


def test_callers_refused_together_are_spread():
    """Guards against callers of a burst that return in the same moment."""
    window = find(drain=1.0, remaining=6.0)
    assert window.draw(0.0) < window.draw(0.5) < window.draw(1.0)


def test_callers_are_not_told_to_wait_longer_than_they_would():
    """Guards against returns earlier than told, which callers do after a third."""
    assert find(drain=3.0, remaining=6.0).latest <= 6.0 / 3


def test_returning_caller_has_time_left_to_be_served():
    assert find(drain=0.6, remaining=2.2, service=1.4).latest <= 2.2 - 1.4


def test_caller_that_cannot_be_served_is_not_told_to_return():
    """Guards against callers that return only to be refused again.

    Behind a queue of five seconds, no return before a deadline in six helps.
    """
    assert find(drain=5.5, remaining=6.0) is None


def test_caller_without_time_left_is_not_told_to_return():
    assert find(drain=0.0, remaining=1.0) is None
