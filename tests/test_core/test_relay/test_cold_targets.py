"""Tests of greengagelatch.relay.cold_targets."""

from __future__ import annotations

import random

import pytest

from greengagelatch.relay.cold_targets import (
    MAX_COLD_SECONDS,
    WINDOW_SECONDS,
    ColdTargetRule,
    ColdTargets,
    compute_share,
    count_allowed,
)
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import ListedTarget

RULE = ColdTargetRule(overshoot=1.5, slack=5)
TARGET = ListedTarget(
    incarnation=Incarnation("t-1", 1),
    service="llm",
    address="10.0.0.1:80",
    data_centre="north",
)


def list_addresses(count: int) -> frozenset[str]:
    return frozenset(f"10.0.0.{number}:7" for number in range(count))


def create_targets(count: int = 1, rate: float = 11.0) -> ColdTargets:
    addresses = list_addresses(count)
    return ColdTargets(
        own="10.0.0.0:7",
        rule=RULE,
        find_instances=lambda: addresses,
        find_rate=lambda service: rate,
    )


@pytest.mark.parametrize(
    ("rate", "slack", "allowed"), [(11, 5, 16), (0.4, 5, 1), (0.4, 0.5, 0), (2, 0, 3)]
)
def test_allowed_requests_leave_the_slack_unused(rate, slack, allowed):
    rule = ColdTargetRule(overshoot=1.5, slack=slack)
    assert count_allowed(rate, rule) == allowed


@pytest.mark.parametrize("count", [1, 2, 7, 9, 16, 17, 77, 89, 195, 300, 570])
@pytest.mark.parametrize("allowed", [1, 3, 16, 45])
def test_shares_of_all_instances_use_what_is_allowed(count, allowed):
    addresses = list_addresses(count)
    shares = [compute_share("t-1", one, addresses, allowed) for one in addresses]
    assert sum(shares) == allowed
    assert max(shares) - min(shares) <= 1


@pytest.mark.parametrize("seed", range(50))
def test_larger_view_never_yields_a_larger_share(seed):
    """Guards against more requests in sum while views of the fleet differ."""
    rng = random.Random(seed)
    own = "10.0.0.0:7"
    view = {own}
    share = 1000
    for one in rng.sample(sorted(list_addresses(120)), 120):
        view.add(one)
        smaller = compute_share("t-1", own, view, 16)
        assert smaller <= share
        share = smaller


def test_different_targets_are_shared_among_different_instances():
    """Guards against instances that may use none of many cold targets."""
    addresses = list_addresses(89)
    for own in addresses:
        shares = [compute_share(f"t-{n}", own, addresses, 16) for n in range(45)]
        assert sum(shares) >= 1


def test_instance_sends_its_share_in_each_window():
    targets = create_targets(count=4)
    targets.record(TARGET.incarnation, 3.0, 10.0)
    sent = []
    for now in (10.0 + 0.05 * number for number in range(60)):
        if targets.may_send(TARGET, now):
            targets.record_send(TARGET.incarnation, now)
            sent.append(now)
    assert len(sent) >= 4 * 2
    for start in sent:
        assert sum(start <= one < start + WINDOW_SECONDS for one in sent) <= 4


def test_target_is_unlimited_once_it_is_warm():
    targets = create_targets()
    targets.record(TARGET.incarnation, 3.0, 10.0)
    for _ in range(100):
        targets.record_send(TARGET.incarnation, 12.9)
    assert not targets.may_send(TARGET, 12.95)
    assert targets.may_send(TARGET, 13.0)
    assert targets.list_cold(13.0) == []


def test_service_without_a_rate_is_unlimited():
    targets = create_targets(rate=0.0)
    targets.record(TARGET.incarnation, 3.0, 10.0)
    for _ in range(100):
        assert targets.may_send(TARGET, 10.5)
        targets.record_send(TARGET.incarnation, 10.5)


def test_share_follows_the_configured_rate():
    rates = [11.0]
    addresses = list_addresses(1)
    targets = ColdTargets(
        own="10.0.0.0:7",
        rule=RULE,
        find_instances=lambda: addresses,
        find_rate=lambda service: rates[-1],
    )
    targets.record(TARGET.incarnation, 3.0, 10.0)
    for _ in range(4):
        assert targets.may_send(TARGET, 10.0)
        targets.record_send(TARGET.incarnation, 10.0)
    rates.append(2.0)
    assert not targets.may_send(TARGET, 10.1)


def test_targets_that_are_never_listed_are_forgotten():
    """Guards against memory that grows with each restart of a target elsewhere."""
    targets = create_targets()
    for number in range(50):
        targets.record(Incarnation(f"t-{number}", 1), 3.0, 10.0 * number)
    assert len(targets._cold) == 1


def test_older_report_does_not_shorten_the_cold_time():
    """Guards against entries and peers whose news are older than the target's."""
    targets = create_targets()
    assert targets.record(TARGET.incarnation, 3.0, 10.0)
    assert not targets.record(TARGET.incarnation, 0.5, 11.0)
    assert targets.list_cold(11.0) == [(TARGET.incarnation, 2.0)]
    # it has become cold again without a restart
    assert targets.record(TARGET.incarnation, 3.0, 20.0)


@pytest.mark.parametrize("seconds", [float("nan"), float("inf"), -1.0, 0.0, 1e300])
def test_invalid_report_limits_no_target_for_good(seconds):
    targets = create_targets()
    targets.record(TARGET.incarnation, seconds, 10.0)
    assert targets.may_send(TARGET, 10.0 + MAX_COLD_SECONDS)


def test_nothing_is_sent_while_the_fleet_is_unknown():
    """Guards against each of many instances that start taking itself for alone."""
    targets = ColdTargets(
        own="10.0.0.0:7", find_instances=lambda: None, find_rate=lambda service: 11.0
    )
    targets.record(TARGET.incarnation, 3.0, 10.0)
    assert not targets.may_send(TARGET, 10.0)
