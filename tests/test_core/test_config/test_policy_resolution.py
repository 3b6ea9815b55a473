"""Selectors, the precedence of policies and the resolution of the effective policy."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.objects import Policy, PolicyEffect
from greengagelatch.config.policy_resolution import resolve_policy
from greengagelatch.config.precedence import order_policies
from greengagelatch.config.selectors import parse_selector
from greengagelatch.config.snapshot import Snapshot

LABELS = {"tier": "gold", "region": "luzon"}


@pytest.mark.parametrize(
    ("text", "matches"),
    [
        ("", True),
        ("tier = gold", True),
        ("tier==gold, region=luzon", True),
        ("tier = gold, region = kyushu", False),
        ("tier != silver", True),
        ("trial != yes", True),
        ("tier != gold", False),
        ("tier in (silver, gold)", True),
        ("tier in (silver)", False),
        ("tier notin (silver)", True),
        ("trial notin (yes)", True),
        ("tier notin (gold)", False),
        ("tier", True),
        ("trial", False),
        ("!trial, tier", True),
        ("!tier", False),
        ("name = lathe", True),
        ("name in (lathe, other), name != other", True),
        ("!name", False),
    ],
)
def test_selectors_match_names_and_labels(text, matches):
    assert parse_selector(text).unwrap().matches("lathe", LABELS) is matches


@pytest.mark.parametrize(
    "text",
    ["=", "a =", "a in", "a in b", "a in ()", "a in (b", "a, ,b", "a b", "!", "a=b c"],
)
def test_invalid_selectors_are_rejected(text):
    assert parse_selector(text).is_err()


policies = st.builds(
    Policy,
    name=st.text("abc", min_size=1, max_size=3),
    effect=st.just(PolicyEffect.PRIORITY),
    workspaces=st.sampled_from(["", "a", "a, b", "a = x, b, !c"]),
    services=st.sampled_from(["", "a"]),
    rank=st.integers(-1, 1),
    values=st.builds(lambda number: {"priority": str(number)}, st.integers(0, 9)),
)


@settings(max_examples=60, deadline=None)
@given(st.lists(policies, unique_by=lambda item: item.name), st.randoms())
def test_the_order_of_policies_is_total(items, source):
    """Guards against different priorities of one request on two instances.

    They hold the same policies in a different order.
    """
    ordered = order_policies(items)
    shuffled = list(items)
    source.shuffle(shuffled)
    assert order_policies(shuffled) == ordered


def build_snapshot(text):
    objects = parse_objects(text).unwrap()
    return Snapshot(
        generation=1,
        policies={item.name: item for item in objects if isinstance(item, Policy)},
        workspaces={
            item.name: item for item in objects if not isinstance(item, Policy)
        },
    )


def test_the_first_matching_policy_applies_as_a_whole():
    snapshot = build_snapshot("""
[workspace:luzon]
labels = tier=gold
[policy:all]
effect = quota
requests_per_second = 5
[policy:gold]
effect = quota
workspaces = tier = gold
tokens_per_second = 100
[policy:forced]
effect = priority
rank = 1
priority = -3
[policy:narrow]
effect = priority
workspaces = tier = gold
priority = 9
[policy:drafts]
effect = weights
services = name = planner-llm
attainment = 3
cost = 1
""")
    effective = resolve_policy(snapshot, "luzon", "shift-plan", "planner-llm")
    assert effective.quota.policy == "gold"
    assert effective.quota.requests_per_second is None
    assert effective.priority == -3
    assert effective.weights.attainment == 0.75
    other = resolve_policy(snapshot, "stranger")
    assert other.quota.policy == "all"
    assert other.weights.attainment == 0.5
    assert resolve_policy(snapshot, "luzon", "shift-plan", "planner-llm") is effective


def test_a_new_snapshot_has_its_own_cached_results():
    """Guards against stale cached results after a change of a policy.

    Results are cached by the ``id`` of a snapshot, which Python may reuse for a later
    snapshot once the earlier one is freed.
    """
    for number in range(20):
        text = f"[policy:p]\neffect = priority\npriority = {number}\n"
        assert resolve_policy(build_snapshot(text), "w").priority == number


def test_a_split_is_deterministic_and_follows_its_shares():
    snapshot = build_snapshot(
        "[policy:s]\neffect = split\nto_pipelines = a=90, b=10, c=0\n"
    )
    split = resolve_policy(snapshot, "w", "a").pipeline_split
    picks = [split.pick(f"req-{number}") for number in range(10_000)]
    assert picks == [split.pick(f"req-{number}") for number in range(10_000)]
    assert "c" not in picks
    assert 800 < picks.count("b") < 1200
