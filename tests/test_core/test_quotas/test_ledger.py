"""Tests of greengagelatch.quotas.ledger: the bound over many instances."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagelatch.config.effects import Quota
from greengagelatch.quotas import QuotaKey
from greengagelatch.quotas.membership import CRASH_GRACE
from greengagelatch_lab.quotas.simulation import QuotaSimulation

RATE = 100.0
#: rounds in which shares converge after a shift of demand
CONVERGED = 30
#: fraction by which the sum of all shares may exceed the quota after convergence
TOLERANCE = 0.1
#: the same at any time while all instances can reach each other
TOLERANCE_MOVING = 0.35
CENTRES = ["north", "south", "west"] * 3


def create_model(**options):
    quota = Quota(policy="small", requests_per_second=RATE)
    return QuotaSimulation(CENTRES, quota, **options)


def check_rounds(model, rounds, spare):
    """Run rounds and check the sum of all shares after each."""
    for _ in range(rounds):
        model.run(1)
        assert model.sum_shares() <= 1 + spare


demands = st.lists(
    st.sampled_from([0.0, 2.0, 20.0, 200.0]), min_size=9, max_size=9
).filter(any)


@settings(max_examples=12, deadline=None, derandomize=True)
@given(
    first=demands,
    second=demands,
    loss=st.sampled_from([0.0, 0.2]),
    seed=st.integers(0, 99),
)
def test_shares_stay_bounded_while_demand_moves(first, second, loss, seed):
    """Guards against exceeding a quota whenever load shifts between instances.

    Callers move to another instance. If it took a greater share at once, the sum
    would exceed the quota until its report reaches the others.
    """
    model = create_model(loss=loss, seed=seed)
    model.demand = first
    check_rounds(model, CONVERGED, TOLERANCE_MOVING)
    model.demand = second
    check_rounds(model, CONVERGED, TOLERANCE_MOVING)
    check_rounds(model, 10, TOLERANCE)
    admitted = sum(model.run(20))
    # each bucket may also admit one request beyond its share
    assert admitted <= RATE * 20 * (1 + TOLERANCE) + RATE + len(CENTRES)
    wanted = min(sum(second), RATE) * 20
    if sum(second) > 2 * RATE:
        assert admitted >= 0.8 * wanted


@settings(max_examples=8, deadline=None, derandomize=True)
@given(
    moved=st.lists(st.sampled_from([5.0, 60.0]), min_size=9, max_size=9),
    seed=st.integers(0, 99),
)
def test_partitioned_data_centres_stay_within_the_quota(moved, seed):
    """Guards against twice the quota while a data centre is partitioned.

    Neither side receives demand reports of the other. If unreachable instances
    counted as gone, each side would take the whole quota.
    """
    model = create_model(loss=0.2, seed=seed)
    model.demand = [20.0] * 9
    model.run(CONVERGED)
    model.partitioned = {"north"}
    check_rounds(model, CONVERGED, TOLERANCE)
    model.demand = moved
    check_rounds(model, CONVERGED, TOLERANCE_MOVING)
    check_rounds(model, 20, TOLERANCE)


def test_after_the_hold_each_side_uses_the_quota():
    model = create_model(hold=40.0)
    model.demand = [20.0] * 9
    model.run(CONVERGED)
    model.partitioned = {"north"}
    check_rounds(model, 39, TOLERANCE)
    model.run(10)
    assert model.sum_shares() == pytest.approx(2.0, abs=0.15)


def test_share_of_a_crashed_instance_goes_to_the_others():
    model = create_model()
    model.demand = [20.0] * 9
    model.run(CONVERGED)
    model.crashed = {0}
    model.run(1)
    assert model.sum_shares() < 0.95
    model.run(int(CRASH_GRACE) + 5)
    assert model.sum_shares() == pytest.approx(1.0, abs=TOLERANCE)


def test_demand_below_the_quota_is_not_refused():
    model = create_model(loss=0.2)
    model.demand = [0.7 * RATE / 9] * 9
    model.run(CONVERGED)
    rates = [use.meter.rate for use in list_uses(model)]
    shares = [use.share * RATE for use in list_uses(model)]
    assert all(share > rate for share, rate in zip(shares, rates, strict=True))


def test_instance_with_few_requests_admits_a_burst():
    """Guards against refused requests of a workspace far below its quota.

    An instance gets no request for a while, then two at almost the same time. If
    the share followed demand alone, the second would be refused.
    """
    model = create_model()
    model.demand = [4.0] * 8 + [0.05]
    quota = model.quota
    model.run(CONVERGED)
    admissions = [
        model.ledgers[8].admit(quota, model.workspaces[0], model.now) for _ in range(5)
    ]
    assert all(admission.admitted for admission in admissions)


def test_reports_stay_small_with_many_keys():
    model = create_model(keys=1200)
    model.demand = [1.0] * 9
    model.run(3)
    assert 500 < max(model.sent_bytes) / model.now < 2000


def test_many_keys_stay_within_their_quotas_from_the_start():
    """Guards against exceeding each quota by half when many workspaces are active.

    Rows of many keys are sent in turn and arrive late. An average that starts at
    zero would report too low a demand, and the others would take the rest; the
    same happens if the propagation time ignores rows that are not known yet.
    """
    model = create_model(keys=100, loss=0.2)
    model.demand = [2.5 * RATE / 9 / 100] * 9
    model.quota = replace(model.quota, requests_per_second=RATE / 100)
    for _ in range(60):
        model.run(1)
        sums = [model.sum_shares(number) for number in range(100)]
        assert sum(sums) / 100 <= 1 + TOLERANCE


def list_uses(model):
    key = QuotaKey("small", model.workspaces[0])
    return [ledger.find(key) for ledger in model.ledgers]
