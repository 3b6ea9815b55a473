"""Explores all interleavings of two lease contenders, their orders and faults."""

from __future__ import annotations

import dataclasses

import pytest

from greengagelatch.leases.state import LeaseState
from greengagelatch.orders import permission
from greengagelatch.orders.engine import EngineRecord
from greengagelatch.orders.rules import Fencing
from greengagelatch.store import ABSENT, WriteOutcome
from greengagelatch_lab.explore import Mutation, explore, explore_mutations
from greengagelatch_lab.orders_model import FaultBudget, OrdersModel

#: relative clock speeds of the holder and its successor
RIGHT = (1.0, 1.0)
SLOW_HOLDER = (0.75, 1.0)
BOTH_WRONG = (0.75, 1.25)

CHECKED = Fencing.CHECKED
IGNORED = Fencing.IGNORED


def create_orders(fencing, *, speeds=SLOW_HOLDER, ticks=7, keeps=0, lost=1, **options):
    """The holder's orders, the expiry of its lease, and its successor's orders."""
    return OrdersModel(
        speeds=speeds,
        fencing=fencing,
        budget=FaultBudget(ticks=ticks, renewals=keeps, lost_orders=lost),
        slow_calls=False,
        **options,
    )


def create_renewals():
    """Renewals and takeovers with late calls or lost answers."""
    return OrdersModel(
        speeds=BOTH_WRONG,
        fencing=IGNORED,
        budget=FaultBudget(ticks=7, lost_calls=1, renewals=1),
        orders=False,
    )


def create_race():
    """Two contenders that request the lease at the same time; one may release it."""
    return OrdersModel(
        speeds=RIGHT,
        fencing=IGNORED,
        budget=FaultBudget(ticks=1, lost_calls=1, grants=2, releases=1),
        holding=False,
        orders=False,
    )


def create_crash():
    """The holder or its successor crashes."""
    return OrdersModel(
        speeds=SLOW_HOLDER,
        fencing=IGNORED,
        budget=FaultBudget(ticks=7, crashes=1),
        slow_calls=False,
    )


MODELS = {
    "orders-ignored": lambda: create_orders(IGNORED),
    "orders-ignored-right-clocks": lambda: create_orders(IGNORED, speeds=RIGHT),
    # a fast clock shortens the wait of the successor
    "orders-ignored-wrong-clocks": lambda: create_orders(
        IGNORED, speeds=BOTH_WRONG, keeps=1, lost=0
    ),
    "orders-checked": lambda: create_orders(CHECKED, lost=0),
    "renewals": create_renewals,
    "race": create_race,
    "crash": create_crash,
}


@pytest.mark.parametrize("name", MODELS)
def test_no_interleaving_applies_an_order_of_a_former_holder(name, record_property):
    """Guards against an engine that reverts to the state of a former lease holder.

    A holder is paused, or its answer or order is late or lost, while another instance
    takes over the lease. Both must never be able to act at the same time, and no order
    of the first may be carried out after one of the second.
    """
    found = explore(MODELS[name](), max_states=300_000)
    print(f"{name}: {found.states} states, {found.depth} steps")
    record_property("states", found.states)
    assert found.violation is None, str(found.violation)
    assert found.complete


class SuccessorsOrder(OrdersModel):
    """Reports a fault once an order of the second contender is carried out."""

    def find_violation(self, state):
        return "carried out" if state.engine.state.models == ("1",) else ""


@pytest.mark.parametrize(
    "options",
    [
        {"speeds": SLOW_HOLDER, "keeps": 0},
        {"speeds": RIGHT, "keeps": 0},
        {"speeds": BOTH_WRONG, "keeps": 1},
    ],
)
@pytest.mark.parametrize("fencing", Fencing)
def test_the_models_reach_an_order_of_the_successor(fencing, options):
    model = SuccessorsOrder(
        speeds=options["speeds"],
        fencing=fencing,
        budget=FaultBudget(ticks=7, renewals=options["keeps"]),
        slow_calls=False,
    )
    assert explore(model).violation is not None


def ignore_margin(tenure, now):
    if not tenure.held or tenure.requested is None:
        return 0.0
    return max(0.0, tenure.ttl - now.longest_since(tenure.requested))


def count_from_answer(tenure, answer, now, original=LeaseState.handle_renew):
    kept = original(tenure, answer, now)
    return dataclasses.replace(kept, requested=now) if answer.is_ok() else kept


def number_by_lease(tenure, answer, now, original=LeaseState.handle_acquire):
    after = original(tenure, answer, now)
    if after.fence == ABSENT:
        return after
    return dataclasses.replace(after, fence=int(tenure.lease_id.split("-")[1]))


def take_unknown_for_held(tenure, answer, now, original=LeaseState.handle_acquire):
    if answer.outcome is not WriteOutcome.UNKNOWN:
        return original(tenure, answer, now)
    return dataclasses.replace(tenure._hold(1, now), lease_id=tenure.lease_id)


def forget_unsettled(record, now):
    return dataclasses.replace(record, unsettled=None, due=now)


#: each removed guard, and the model that has to detect it
MUTATIONS = (
    (
        create_renewals,
        Mutation("no-margin", LeaseState, "compute_remaining", ignore_margin),
    ),
    (
        create_renewals,
        Mutation("time-of-answer", LeaseState, "handle_renew", count_from_answer),
    ),
    (
        lambda: create_orders(IGNORED),
        Mutation("no-wait", LeaseState, "has_outlasted_predecessor", lambda *_: True),
    ),
    (
        lambda: create_orders(IGNORED),
        Mutation("no-check-at-sending", permission, "may_send", lambda *_, **__: True),
    ),
    (
        lambda: create_orders(IGNORED, lost=0, delivery=2),
        Mutation(
            "call-not-covered",
            LeaseState,
            "covers",
            lambda tenure, now, seconds: tenure.compute_remaining(now) > 0,
        ),
    ),
    (
        create_race,
        Mutation("lease-number", LeaseState, "handle_acquire", number_by_lease),
    ),
    (
        create_race,
        Mutation("lost-is-held", LeaseState, "handle_acquire", take_unknown_for_held),
    ),
    (
        create_race,
        Mutation(
            "held-while-revoking",
            LeaseState,
            "held",
            property(lambda tenure: tenure.fence != ABSENT),
        ),
    ),
    (
        lambda: create_orders(IGNORED),
        Mutation("blind-repeat", EngineRecord, "record_lost_answer", forget_unsettled),
    ),
)


@pytest.mark.parametrize(
    ("create", "mutation"), MUTATIONS, ids=[item[1].name for item in MUTATIONS]
)
def test_each_removed_guard_is_detected(create, mutation):
    found = explore_mutations(create, [mutation], max_states=300_000)
    violation = found[mutation.name].violation
    assert violation is not None
    print(violation)


def test_an_engine_that_is_wrongly_labelled_as_checking_is_detected():
    """An engine reverts although its service is labelled as checking fencing tokens.

    The successor does not wait, since the engine is expected to refuse the former
    holder's order, but it accepts it. No instance can compensate for a wrong label,
    so the default is that engines ignore fencing tokens.
    """
    found = explore(create_orders(CHECKED, checks=False), max_states=300_000)
    assert found.violation is not None


def test_an_engine_that_checks_is_safe_without_the_other_guards():
    """A holder is paused for long between its last check and the first byte.

    No check of the clock can detect this, as none comes after the pause. An engine
    that checks fencing tokens still refuses the order.
    """
    sends = Mutation("sends", permission, "may_send", lambda *_, **__: True)
    found = explore_mutations(
        lambda: create_orders(CHECKED, lost=0), [sends], max_states=300_000
    )["sends"]
    assert found.violation is None, str(found.violation)
    assert found.complete
