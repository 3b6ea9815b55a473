"""Tests of greengagelatch.relay.owners."""

from __future__ import annotations

from collections import Counter

from greengagelatch.peers import Member, MemberState
from greengagelatch.relay.groups import MakerGroup
from greengagelatch.relay.owners import rank_owners


def create_members(*capacities: int) -> list[Member]:
    return [
        Member(
            instance_id=f"entry-{number}",
            data_centre="north",
            address="",
            state=MemberState.ALIVE,
            capacity=capacity,
        )
        for number, capacity in enumerate(capacities)
    ]


def test_instances_with_large_capacity_are_preferred_as_owners():
    """Guards against a service whose owner is the smallest of all instances."""
    members = create_members(*[200] * 20, 860, 500, *[200] * 20)
    for number in range(50):
        ranked = rank_owners(MakerGroup(f"service-{number}"), members)
        assert set(ranked[:2]) == {"entry-20", "entry-21"}
        assert len(set(ranked)) == len(members)


def test_services_are_spread_over_equal_instances():
    members = create_members(*[600] * 9)
    firsts = Counter(
        rank_owners(MakerGroup(f"service-{n}"), members)[0] for n in range(300)
    )
    assert len(firsts) == 9
    assert max(firsts.values()) < 3 * 300 / 9


def test_ranking_does_not_depend_on_the_order_of_members():
    members = create_members(200, 860, 0, 860, 200)
    ranked = rank_owners(MakerGroup("ledger"), members)
    assert rank_owners(MakerGroup("ledger"), members[::-1]) == ranked


def test_departed_instance_moves_only_the_groups_it_owns():
    members = create_members(*[600] * 9)
    for number in range(50):
        ranked = rank_owners(MakerGroup(f"service-{number}"), members)
        left = [one for one in members if one.instance_id != ranked[4]]
        assert rank_owners(MakerGroup(f"service-{number}"), left)[0] == ranked[0]
