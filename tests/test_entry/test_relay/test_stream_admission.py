"""Tests of greengagelatch_entry.relay.stream_admission."""

from __future__ import annotations

import random

import pytest

from greengagelatch.clock import ManualClock
from greengagelatch.relay.admission import AdmitAll, DeadlineAdmission
from greengagelatch.relay.deployment import Route, RouteKind
from greengagelatch.relay.requests import OpaqueRequest, RefusedError
from greengagelatch.relay.stage_plan import ChainEstimate
from greengagelatch.verdict import Verdict
from greengagelatch_entry.relay.exchange import RelayExchange
from greengagelatch_entry.relay.stream_admission import StreamAdmission

ROUTE = Route(
    name="notes",
    host="",
    prefix="/",
    kind=RouteKind.STREAMING,
    timeout=6.0,
    objective=1.0,
)


class NullDecisions:
    """Discards the lines of the decision log."""

    def log_decision(self, kind: str, **fields) -> None:
        pass


def create(clock: ManualClock, policy=None) -> StreamAdmission:
    return StreamAdmission(
        policy=policy or DeadlineAdmission(),
        clock=clock,
        random_source=random.Random(1),
        decisions=NullDecisions(),
    )


def create_exchange(now: float, timeout: float = 6.0) -> RelayExchange:
    request = OpaqueRequest(
        request_id="r-1",
        method="POST",
        host="",
        target="/",
        headers=(),
        body=b"",
        received=now,
        timeout=timeout,
    )
    return RelayExchange(
        request=request, writer=None, route=ROUTE, deadline=now + timeout
    )


def refuse(chain: ChainEstimate):
    clock = ManualClock()
    with pytest.raises(RefusedError) as caught:
        create(clock).check_start(create_exchange(clock.now()), chain, 0.1)
    return caught.value.refusal


def test_refused_caller_is_told_a_time_at_which_it_may_be_served():
    chain = ChainEstimate(2.0, 0.6, urgent_wait=1.4, total_wait=1.4)
    assert 1400 <= refuse(chain).retry_after_ms <= ROUTE.timeout * 1000 / 3


def test_caller_without_a_chance_is_not_told_to_return():
    """Guards against callers that return as told only to be refused again."""
    chain = ChainEstimate(6.0, 0.6, urgent_wait=5.4, total_wait=5.4)
    assert refuse(chain).retry_after_ms is None


def test_request_that_is_late_is_still_sent_to_its_target():
    clock = ManualClock()
    exchange = create_exchange(clock.now())
    clock.advance(ROUTE.silence_limit - 0.5)
    create(clock, AdmitAll()).check_target(exchange)


def test_request_whose_caller_has_left_is_not_sent_to_its_target():
    """Guards against engines that work for callers that have abandoned the stream.

    Stages of a burst end after the silence at which callers leave, long before the
    route's timeout.
    """
    clock = ManualClock()
    exchange = create_exchange(clock.now())
    clock.advance(ROUTE.silence_limit)
    with pytest.raises(RefusedError) as caught:
        create(clock, AdmitAll()).check_target(exchange)
    assert caught.value.refusal.verdict is Verdict.NOT_RUN
