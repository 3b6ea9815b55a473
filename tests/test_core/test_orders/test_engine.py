"""Tests of the calls that are due to one engine."""

from __future__ import annotations

from greengagelatch.orders import EngineReport, EngineState, Order
from greengagelatch.orders.engine import EngineAction, EngineRecord
from greengagelatch.orders.rules import OrderRules

RULES = OrderRules(timeout=5.0, max_execution=20.0, interval=0.1, margin=2.0)
EMPTY = EngineState()
WANTED = EngineState(models=("draft-1",))
ORDER = Order(7, WANTED)


def read(record, now, state=EMPTY, fence=0):
    return record.record_report(now, EngineReport(state, fence), RULES)


def test_an_order_takes_precedence_over_a_read_that_is_due():
    """Guards against an engine that is read again and again but never gets its order.

    The read interval is shorter than the time between two plans, so that a read is due
    at each of them; if reads came first, orders would starve.
    """
    record = EngineRecord()
    assert record.plan(0.0, WANTED, may_order=True) is EngineAction.READ
    record = read(record, 0.0)
    assert record.plan(9.0, WANTED, may_order=True) is EngineAction.ORDER
    assert record.plan(9.0, WANTED, may_order=False) is EngineAction.READ
    assert record.plan(0.05, WANTED, may_order=False) is EngineAction.IDLE


def test_an_engine_is_read_back_before_the_next_order():
    record = read(EngineRecord(), 0.0).record_sending(1.0, ORDER).record_answer(2.0)
    assert record.plan(2.0, WANTED, may_order=True) is EngineAction.READ


def test_an_unanswered_order_ends_when_it_is_reported_or_its_lifetime_ends():
    sent = read(EngineRecord(), 0.0).record_sending(1.0, ORDER).record_lost_answer(6.0)
    other = EngineState(models=("draft-0",))
    # the desired state alone may come from an older order, with the new one pending
    for state, fence in ((other, 7), (WANTED, 6)):
        assert read(sent, 7.0, state, fence).unsettled == ORDER
    assert read(sent, 7.0, WANTED, 7).unsettled is None
    assert read(sent, 27.9, other, 6).unsettled == ORDER
    assert read(sent, 28.0, other, 6).unsettled is None


def test_an_unreachable_engine_is_read_before_it_gets_an_order():
    record = read(EngineRecord(), 0.0).record_failure(1.0, 4.0)
    assert record.plan(2.0, WANTED, may_order=True) is EngineAction.IDLE
    assert record.plan(5.0, WANTED, may_order=True) is EngineAction.READ
    record = read(record, 5.0)
    assert record.plan(5.0, WANTED, may_order=True) is EngineAction.ORDER
