"""Tests of greengagelatch_entry.relay.stage_groups."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from greengagelatch.peers import Member, MemberState
from greengagelatch.relay.deployment import MakerProfile
from greengagelatch.relay.groups import CapacityBasedOwnership, MakerGroup
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.stage_groups import MakerGroups

SERVICE = "ledger"
DATA_CENTRES = ("east", "north", "west")
PROFILE = MakerProfile(
    slots=1,
    queue=2,
    batch=60,
    call_seconds=0.2,
    item_seconds=0.003,
    result_memory_bytes=8_000_000,
    retention_seconds=4.0,
)
WHOLE = MakerGroup(SERVICE)


class World:
    """Makers in several data centres, and the known instances."""

    def __init__(self) -> None:
        self.makers = self.list_makers(*DATA_CENTRES * 3)
        self.members = self.list_members(*DATA_CENTRES)
        self.groups = MakerGroups(
            rule=CapacityBasedOwnership(),
            target_table=SimpleNamespace(list_service=lambda service: self.makers),
            list_members=lambda: self.members,
            find_profile=lambda service: PROFILE,
        )

    def list_makers(self, *data_centres: str) -> tuple[ListedTarget, ...]:
        return tuple(
            ListedTarget(
                incarnation=Incarnation(f"m-{number}"),
                service=SERVICE,
                address=f"10.0.0.{number}:80",
                data_centre=data_centre,
            )
            for number, data_centre in enumerate(data_centres)
        )

    def list_members(
        self,
        *data_centres: str,
        capacity: int = 100,
        state: MemberState = MemberState.ALIVE,
    ) -> tuple[Member, ...]:
        return tuple(
            Member(
                instance_id=f"entry-{data_centre}",
                data_centre=data_centre,
                address="",
                state=state,
                capacity=capacity,
            )
            for data_centre in data_centres
        )


@pytest.fixture
def world():
    return World()


def test_each_data_centre_has_its_makers(world):
    groups = world.groups.list_groups(SERVICE)
    assert groups == tuple(
        MakerGroup(SERVICE, data_centre) for data_centre in DATA_CENTRES
    )
    for group in groups:
        makers = world.groups.list_makers(group)
        assert {one.data_centre for one in makers} == {group.data_centre}
        assert len(makers) == 3


def test_strong_instance_has_all_makers(world):
    world.members += world.list_members("south", capacity=900)
    assert world.groups.list_groups(SERVICE) == (WHOLE,)
    assert world.groups.list_makers(WHOLE) == world.makers


def test_instance_that_is_cut_off_keeps_the_groups(world):
    """Guard against ownership that changes with each network partition."""
    before = world.groups.list_groups(SERVICE)
    dead = world.list_members("east", "west", state=MemberState.DEAD)
    world.members = world.list_members("north") + dead
    assert world.groups.list_groups(SERVICE) == before


def test_makers_are_listed_anew_only_where_something_changed(world):
    group = MakerGroup(SERVICE, "north")
    before = world.groups.list_makers(group)
    assert world.groups.list_makers(group) is before
    world.makers = world.list_makers(*DATA_CENTRES)
    assert len(world.groups.list_makers(group)) == 1


def test_makers_beside_an_instance_are_found_whether_divided_or_not(world):
    near = MakerGroup(SERVICE, "north")
    assert world.groups.find_local_group(SERVICE, "north") == near
    assert world.groups.find_local_group(SERVICE, "nowhere") == WHOLE
    assert world.groups.find_group(SERVICE, "north") == near
    world.members = world.list_members(*DATA_CENTRES, capacity=900)
    assert world.groups.find_local_group(SERVICE, "north") == near
    assert world.groups.find_group(SERVICE, "north") == WHOLE
