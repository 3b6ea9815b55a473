"""Every interleaving of two contenders, their orders and the faults between them."""

from __future__ import annotations

import dataclasses

import pytest

from greengagelatch.leases.tenure import Tenure
from greengagelatch.orders import permission
from greengagelatch.orders.engine import EngineRecord
from greengagelatch.orders.rules import Fencing
from greengagelatch.store import ABSENT, WriteOutcome
from greengagelatch_lab.explore import Mutation, explore, explore_mutations
from greengagelatch_lab.orders_model import Budget, OrdersModel

#: speeds of the clocks of the holder and its successor
RIGHT = (1.0, 1.0)
SLOW_HOLDER = (0.75, 1.0)
BOTH_WRONG = (0.75, 1.25)

CHECKED = Fencing.CHECKED
IGNORED = Fencing.IGNORED


def create_orders(fencing, *, speeds=SLOW_HOLDER, ticks=7, keeps=0, lost=1, **options):
    """The holder's orders, its lapse, and its successor's orders."""
    return OrdersModel(
        speeds=speeds,
        fencing=fencing,
        budget=Budget(ticks=ticks, keeps=keeps, lost_orders=lost),
        slow_calls=False,
        **options,
    )


def create_renewals():
    """Renewals and take-overs whose calls are late, or whose answers are lost."""
    return OrdersModel(
        speeds=BOTH_WRONG,
        fencing=IGNORED,
        budget=Budget(ticks=7, lost_calls=1, keeps=1),
        orders=False,
    )


def create_race():
    """Two contenders that ask at the same time; one may let go."""
    return OrdersModel(
        speeds=RIGHT,
        fencing=IGNORED,
        budget=Budget(ticks=1, lost_calls=1, grants=2, let_go=1),
        holding=False,
        orders=False,
    )


def create_crash():
    """The holder or its successor dies."""
    return OrdersModel(
        speeds=SLOW_HOLDER,
        fencing=IGNORED,
        budget=Budget(ticks=7, crashes=1),
        slow_calls=False,
    )


MODELS = {
    "orders-ignored": lambda: create_orders(IGNORED),
    "orders-ignored-right-clocks": lambda: create_orders(IGNORED, speeds=RIGHT),
    # a fast clock makes the wait of the successor short
    "orders-ignored-wrong-clocks": lambda: create_orders(
        IGNORED, speeds=BOTH_WRONG, keeps=1, lost=0
    ),
    "orders-checked": lambda: create_orders(CHECKED, lost=0),
    "renewals": create_renewals,
    "race": create_race,
    "crash": create_crash,
}


@pytest.mark.parametrize("name", MODELS)
def test_no_interleaving_breaks_the_order_of_holders(name, record_property):
    """An engine goes back to what a former holder wanted.

    A holder is paused, or its answer or order is late or lost, while another one
    takes the lease over. The cause would be any moment at which both may act, or an
    order of the first one that is carried out after one of the second.
    """
    found = explore(MODELS[name](), max_states=300_000)
    print(f"{name}: {found.states} states, {found.depth} steps")
    record_property("states", found.states)
    assert found.violation is None, str(found.violation)
    assert found.complete


class SuccessorsOrder(OrdersModel):
    """Takes an order of the second contender that is carried out for a fault."""

    def find_fault(self, state):
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
def test_the_models_get_as_far_as_the_successors_order(fencing, options):
    model = SuccessorsOrder(
        speeds=options["speeds"],
        fencing=fencing,
        budget=Budget(ticks=7, keeps=options["keeps"]),
        slow_calls=False,
    )
    assert explore(model).violation is not None


def ignore_margin(tenure, now):
    if not tenure.held or tenure.asked is None:
        return 0.0
    return max(0.0, tenure.ttl - now.longest_since(tenure.asked))


def count_from_answer(tenure, answer, now, original=Tenure.take_kept):
    kept = original(tenure, answer, now)
    return dataclasses.replace(kept, asked=now) if answer.is_ok() else kept


def number_by_lease(tenure, answer, now, original=Tenure.take_acquired):
    after = original(tenure, answer, now)
    if after.fence == ABSENT:
        return after
    return dataclasses.replace(after, fence=int(tenure.lease_id.split("-")[1]))


def take_unknown_for_held(tenure, answer, now, original=Tenure.take_acquired):
    if answer.outcome is not WriteOutcome.UNKNOWN:
        return original(tenure, answer, now)
    return dataclasses.replace(tenure._hold(1, now), lease_id=tenure.lease_id)


def forget_unsettled(record, now):
    return dataclasses.replace(record, unsettled=None, due=now)


#: each guard that is taken out, and the model that has to notice
MUTATIONS = (
    (create_renewals, Mutation("no-margin", Tenure, "compute_left", ignore_margin)),
    (
        create_renewals,
        Mutation("time-of-answer", Tenure, "take_kept", count_from_answer),
    ),
    (
        lambda: create_orders(IGNORED),
        Mutation("no-wait", Tenure, "has_waited", lambda *_: True),
    ),
    (
        lambda: create_orders(IGNORED),
        Mutation("no-check-at-sending", permission, "may_send", lambda *_, **__: True),
    ),
    (
        lambda: create_orders(IGNORED, lost=0, delivery=2),
        Mutation(
            "call-not-covered",
            Tenure,
            "covers",
            lambda tenure, now, seconds: tenure.compute_left(now) > 0,
        ),
    ),
    (create_race, Mutation("lease-number", Tenure, "take_acquired", number_by_lease)),
    (
        create_race,
        Mutation("lost-is-held", Tenure, "take_acquired", take_unknown_for_held),
    ),
    (
        create_race,
        Mutation(
            "held-while-revoking",
            Tenure,
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
def test_each_guard_is_missed_when_it_is_taken_out(create, mutation):
    found = explore_mutations(create, [mutation], max_states=300_000)
    violation = found[mutation.name].violation
    assert violation is not None
    print(violation)


def test_an_engine_wrongly_taken_to_check_is_noticed():
    """An engine goes back although its service is labelled as checking.

    The successor does not wait, as the engine is to refuse the former holder's
    order; it does not. The cause is a label that is not true, which no instance can
    make good: the default is therefore that engines ignore numbers.
    """
    found = explore(create_orders(CHECKED, checks=False), max_states=300_000)
    assert found.violation is not None


def test_an_engine_that_checks_is_safe_without_the_other_guards():
    """A holder is paused between its last check and the first byte, for long.

    No clock helps then, since nothing lies between the two any more. An engine that
    checks numbers refuses the order all the same.
    """
    sends = Mutation("sends", permission, "may_send", lambda *_, **__: True)
    found = explore_mutations(
        lambda: create_orders(CHECKED, lost=0), [sends], max_states=300_000
    )["sends"]
    assert found.violation is None, str(found.violation)
    assert found.complete
