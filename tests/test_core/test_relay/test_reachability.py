"""Tests of greengagelatch.relay.reachability."""

from __future__ import annotations

import random

import pytest

from greengagelatch.peers import Member, MemberState
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.reachability import (
    DENIED_SECONDS,
    DIRECT_SECONDS,
    DOWN_SECONDS,
    FAILING_SECONDS,
    MAX_PEERS,
    MAX_TARGETS,
    PROBE_JITTER,
    PROBE_SECONDS,
    UNANSWERED_SECONDS,
    Approach,
    Reachability,
)

T1, T2, T3 = (Incarnation(f"t{number}", 1) for number in (1, 2, 3))


def create_members(*names: str, data_centre: str = "north") -> list[Member]:
    return [
        Member(
            instance_id=name,
            data_centre=data_centre,
            address="",
            state=MemberState.ALIVE,
        )
        for name in names
    ]


@pytest.fixture
def reachability():
    return Reachability(
        instance_id="own", data_centre="north", random_source=random.Random(1)
    )


def test_peers_that_do_not_answer_get_more_time_for_a_while(reachability):
    """Guards against an instance that gives up each tunnel right before it opens."""
    assert not reachability.may_be_partitioned("desk", 1.0)
    reachability.record_unanswered("desk", 0.8, 1.0)
    assert reachability.may_be_partitioned("desk", 1.0)
    assert reachability.find_approach(T1, "desk", 1.0) is Approach.RACE
    assert not reachability.may_be_partitioned("llm", 1.0)
    assert not reachability.may_be_partitioned("desk", 1.0 + UNANSWERED_SECONDS)


def test_direct_connection_shows_that_there_is_no_partition(reachability):
    """Guards against peers that are asked beside direct attempts that succeed."""
    reachability.record_unanswered("desk", 0.8, 1.0)
    reachability.record_direct(T1, "desk", 1.1)
    assert not reachability.may_be_partitioned("desk", 1.1)
    # the slower one of two attempts is given up after the other has succeeded
    reachability.record_unanswered("desk", 0.9, 1.1)
    assert not reachability.may_be_partitioned("desk", 1.1)


def test_target_is_bypassed_from_a_tunnel_until_a_direct_connection(reachability):
    assert reachability.find_approach(T1, "desk", 0.0) is Approach.DIRECT_FIRST
    assert reachability.record_tunnel("a", T1, "desk", 0.0)
    assert not reachability.record_tunnel("a", T1, "desk", 0.1)
    assert reachability.find_approach(T1, "desk", 0.1) is Approach.TUNNEL
    assert not reachability.is_reachable(T1)
    assert reachability.find_approach(T2, "desk", 0.1) is Approach.RACE
    assert reachability.is_reachable(T2)
    assert reachability.record_direct(T1, "desk", 1.0)
    assert reachability.find_approach(T1, "desk", 1.0) is Approach.DIRECT_FIRST
    assert reachability.find_approach(T2, "desk", 1.0) is Approach.DIRECT_FIRST


def test_crashed_target_is_looked_for_at_one_peer_only(reachability):
    """Guards against a crashed target whose every request asks peers in vain."""
    reachability.record_direct(T2, "desk", 0.0)
    assert reachability.record_unreachable("a", T1, "desk", 0.1)
    assert reachability.find_approach(T1, "desk", 0.1) is Approach.DIRECT
    # the peer is not to blame
    assert reachability.choose_peers("desk", create_members("a"), 0.1) == ("a",)
    later = 0.1 + DOWN_SECONDS
    assert reachability.find_approach(T1, "desk", later) is Approach.DIRECT_FIRST


def test_peer_that_is_partitioned_itself_does_not_make_a_target_down(reachability):
    """Guards against targets given up since a peer is cut off from them as well."""
    now = DIRECT_SECONDS + 0.1
    reachability.record_direct(T2, "desk", 0.0)
    assert not reachability.record_unreachable("a", T1, "desk", now)
    assert reachability.find_approach(T1, "desk", now) is Approach.DIRECT_FIRST
    members = create_members("a", "b")
    assert reachability.choose_peers("desk", members, now) == ("b",)
    assert set(reachability.choose_peers("llm", members, now)) == {"a", "b"}
    now += FAILING_SECONDS
    assert set(reachability.choose_peers("desk", members, now)) == {"a", "b"}


def test_target_that_all_asked_peers_fail_to_reach_is_down(reachability):
    for peer_id in ("a", "b", "c"):
        assert not reachability.record_unreachable(peer_id, T1, "desk", 0.0)
    assert reachability.record_all_failed(("a", "b", "c"), T1, "desk", 0.0)
    assert reachability.find_approach(T1, "desk", 0.0) is Approach.DIRECT
    assert len(reachability.choose_peers("desk", create_members(*"abc"), 0.0)) == 3


def test_partitioned_instance_does_not_take_three_peers_for_all(reachability):
    """Guards against targets that count as down since three peers are cut off."""
    reachability.record_tunnel("d", T2, "llm", 0.0)
    for peer_id in ("a", "b", "c"):
        assert not reachability.record_unreachable(peer_id, T1, "desk", 0.0)
    assert not reachability.record_all_failed(("a", "b", "c"), T1, "desk", 0.0)
    assert reachability.find_approach(T1, "desk", 0.0) is Approach.RACE
    members = create_members(*"abcde")
    assert set(reachability.choose_peers("desk", members, 0.0)) == {"d", "e"}


def test_bypassed_target_that_crashes_is_not_asked_for(reachability):
    reachability.record_tunnel("a", T1, "desk", 0.0)
    reachability.record_tunnel("a", T2, "desk", 0.0)
    assert reachability.record_unreachable("a", T1, "desk", 0.1)
    assert reachability.find_approach(T1, "desk", 0.1) is Approach.NONE
    assert reachability.find_approach(T2, "desk", 0.1) is Approach.TUNNEL
    assert reachability.choose_peers("desk", create_members("a"), 0.1) == ("a",)


def test_peer_that_lost_its_targets_is_not_preferred_any_more(reachability):
    """Guards against tunnels through a peer that has been cut off meanwhile."""
    reachability.record_tunnel("a", T1, "desk", 0.0)
    assert reachability.record_unreachable("a", T1, "desk", 0.1)
    assert not reachability.record_unreachable("a", T2, "desk", 0.1)
    members = create_members("a", "b")
    assert reachability.choose_peers("desk", members, 0.1) == ("b",)


def test_peers_that_reached_the_service_come_first_then_near_ones(reachability):
    members = [
        *create_members("own", "near-1", "near-2"),
        *create_members("far-1", "far-2", data_centre="south"),
    ]
    reachability.record_tunnel("far-2", T1, "desk", 0.0)
    chosen = reachability.choose_peers("desk", members, 0.1)
    assert chosen[0] == "far-2"
    assert set(chosen[1:]) == {"near-1", "near-2"}
    assert len(chosen) == MAX_PEERS
    chosen = reachability.choose_peers("llm", members, 0.1, data_centre="south")
    assert set(chosen) <= {"near-1", "near-2", "far-1", "far-2"}


def test_connections_are_spread_over_the_peers_that_reach_a_service(reachability):
    """Guards against all connections of an instance through one peer."""
    members = create_members(*"abcd")
    for peer_id in "abc":
        reachability.record_tunnel(peer_id, T1, "desk", 0.0)
    first = [reachability.choose_peers("desk", members, 0.1)[0] for _ in range(300)]
    assert all(first.count(peer_id) > 50 for peer_id in "abc")


def test_peers_outside_the_allowed_data_centres_are_never_asked(reachability):
    """Guards against data that passes a region which it may not."""
    members = [
        *create_members("near"),
        *create_members("far", data_centre="south"),
    ]
    reachability.record_tunnel("near", T1, "desk", 0.0)
    allowed = frozenset({"south"})
    chosen = reachability.choose_peers("desk", members, 0.1, data_centres=allowed)
    assert chosen == ("far",)
    chosen = reachability.choose_peers("desk", members, 0.1, data_centres=frozenset())
    assert chosen == ()


@pytest.mark.parametrize(
    "state", [MemberState.DEAD, MemberState.LEAVING, MemberState.SUSPECT]
)
def test_only_live_peers_are_asked(reachability, state):
    member = Member(instance_id="a", data_centre="north", address="", state=state)
    assert reachability.choose_peers("desk", [member], 0.0) == ()


def test_peer_that_denies_is_left_out_for_a_while(reachability):
    members = create_members("a", "b")
    reachability.record_denied("a", "desk", 0.0)
    assert reachability.choose_peers("desk", members, 0.1) == ("b",)
    assert set(reachability.choose_peers("llm", members, 0.1)) == {"a", "b"}
    chosen = reachability.choose_peers("desk", members, DENIED_SECONDS)
    assert set(chosen) == {"a", "b"}


def test_peer_that_gives_no_answer_is_asked_last(reachability):
    """Guards against peers left out by all since they were slow for a moment."""
    members = create_members("a", "b")
    reachability.record_tunnel("a", T1, "desk", 0.0)
    reachability.record_lost_peer("a", 0.1)
    assert reachability.choose_peers("desk", members, 0.2) == ("b", "a")
    reachability.record_lost_peer("b", 0.2)
    assert reachability.choose_peers("desk", members, 0.3) == ("a", "b")
    reachability.record_tunnel("b", T1, "desk", 0.3)
    assert reachability.choose_peers("desk", members, 0.4) == ("b", "a")
    later = 0.1 + FAILING_SECONDS
    assert set(reachability.choose_peers("desk", members, later)) == {"a", "b"}


def test_one_target_of_a_service_is_probed_at_a_time(reachability):
    """Guards against a herd of probes at targets after a partition."""
    for target in (T1, T2):
        reachability.record_tunnel("a", target, "desk", 0.0)
    reachability.record_tunnel("a", T3, "llm", 0.0)
    longest = PROBE_SECONDS * (1 + PROBE_JITTER)
    assert reachability.choose_probes(PROBE_SECONDS * (1 - PROBE_JITTER) / 2) == ()
    first = reachability.choose_probes(longest)
    assert set(first) == {T1, T3}
    assert reachability.choose_probes(longest) == ()
    assert set(reachability.choose_probes(2 * longest)) == {T2, T3}
    reachability.record_direct(T1, "desk", 2 * longest)
    assert reachability.list_bypassed("desk") == (T2,)
    reachability.forget(T2)
    assert set(reachability.choose_probes(3 * longest)) == {T3}


def test_memory_is_bounded(reachability):
    for number in range(2 * MAX_TARGETS):
        target = Incarnation(f"t{number}")
        reachability.record_tunnel("a", target, f"s{number}", 0.0)
        reachability.record_unreachable("b", target, f"s{number}", 0.0)
        reachability.record_direct(target, f"d{number}", 0.0)
        reachability.record_tunnel("a", target, f"s{number}", 0.0)
        if number % 1000 == 0:
            reachability.choose_probes(0.0)
    described = reachability.describe(0.0)
    assert described["bypassed_targets"] <= MAX_TARGETS
    assert len(described["bypassed"]) < 100
    assert len(described["reached_by"]) < 100
