"""Tests of greengagelatch_entry.relay.crash_evidence in virtual time."""

from __future__ import annotations

import random

import pytest

from greengagelatch.peers import MemberState
from greengagelatch_entry.relay.crash_evidence import RefusalEvidence
from greengagelatch_entry.relay.target_dialers import DialFailure
from greengagelatch_entry.relay.tunnel_dialer import TunnelFailure

from .test_routed_dialer import World, create_error

pytestmark = pytest.mark.looptime


class EvidenceWorld(World):
    """One instance that looks for evidence of a crash."""

    def __init__(self) -> None:
        super().__init__()
        self.evidence = RefusalEvidence(
            prober=self.dialer,
            reachability=self.reachability,
            target_table=self.table,
            random_source=random.Random(1),
        )

    async def has_ended(self, target_id: str) -> bool:
        return await self.evidence.has_ended(self.table.find_listed(target_id))

    def fail_tunnels(self, failure: TunnelFailure, *, refused: bool = False) -> None:
        for peer_id in "abc":
            self.tunnels.failures[peer_id] = create_error(failure, refused=refused)


@pytest.fixture
async def world():
    return EvidenceWorld()


async def test_target_that_answers_has_not_ended(world):
    assert not await world.has_ended("desk-1")


@pytest.mark.parametrize("failure", [DialFailure.TIMED_OUT, DialFailure.FAILED])
async def test_target_out_of_reach_has_not_ended(world, failure):
    world.direct.cut["desk-1"] = failure
    assert not await world.has_ended("desk-1")


async def test_refusal_beside_a_target_that_is_reached_shows_a_crash(world):
    """Guards against crashes that are taken for partitions."""
    world.cut(DialFailure.REFUSED, "desk")
    del world.direct.cut["desk-2"]
    assert await world.has_ended("desk-1")
    assert world.tunnels.asked == []


async def test_refusal_that_a_peer_contradicts_shows_no_crash(world):
    """Guards against requests that are held for a partition of this instance."""
    world.cut(DialFailure.REFUSED)
    assert not await world.has_ended("desk-1")
    # and the instance has learnt of it
    assert not world.reachability.is_reachable(world.find("desk-1").incarnation)


async def test_refusal_that_peers_confirm_shows_a_crash(world):
    """Guards against a service whose targets have all crashed without a report."""
    world.cut(DialFailure.REFUSED, "desk")
    world.fail_tunnels(TunnelFailure.TARGET_UNREACHABLE, refused=True)
    assert await world.has_ended("desk-1")


async def test_partitioned_instance_does_not_believe_refusals_of_peers(world):
    """Guards against peers that are partitioned from the target as well."""
    world.cut(DialFailure.REFUSED)
    await world.dial("llm-1")
    world.fail_tunnels(TunnelFailure.TARGET_UNREACHABLE, refused=True)
    assert not await world.has_ended("desk-1")


@pytest.mark.parametrize(
    "failure", [TunnelFailure.DENIED, TunnelFailure.PEER_UNREACHABLE]
)
async def test_refusal_without_word_of_a_peer_shows_no_crash(world, failure):
    world.cut(DialFailure.REFUSED)
    world.fail_tunnels(failure)
    assert not await world.has_ended("desk-1")


async def test_only_instance_believes_a_refusal(world):
    world.cut(DialFailure.REFUSED)
    world.members = [one for one in world.members if one.instance_id == "own"]
    assert await world.has_ended("desk-1")


async def test_dead_peers_contradict_nothing(world):
    world.cut(DialFailure.REFUSED)
    world.members = [
        one
        if one.instance_id == "own"
        else type(one)(
            instance_id=one.instance_id,
            data_centre=one.data_centre,
            address="",
            state=MemberState.DEAD,
        )
        for one in world.members
    ]
    assert await world.has_ended("desk-1")
