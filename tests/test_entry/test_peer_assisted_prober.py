"""Tests of greengagelatch_entry.peer_assisted_prober."""

from __future__ import annotations

import random

import pytest

from greengagelatch.peers import MemberState
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.targets import Target
from greengagelatch_entry.peer_assisted_prober import PeerAssistedProber
from greengagelatch_entry.relay.target_dialers import Destination, DialFailure
from greengagelatch_entry.relay.target_probers import PeerFinding
from greengagelatch_lab.standins.peers import MemoryNetwork

TARGET = Target("t0", "desk", "hall", "10.0.0.1:1")
DESTINATION = Destination(incarnation=Incarnation("t0"), address="10.0.0.9:1")
PEERS = ("e-1", "e-2")


class ScriptedPort:
    """What one instance finds, and which addresses it has dialled."""

    def __init__(self, found: DialFailure | None) -> None:
        self.found = found
        self.dialled: list[str] = []

    async def probe(self, address: str) -> DialFailure | None:
        self.dialled.append(address)
        return self.found


class World:
    def __init__(self, own: DialFailure | None = DialFailure.REFUSED) -> None:
        self.network = MemoryNetwork()
        self.listed = {"t0": TARGET}
        self.ports = {name: ScriptedPort(own) for name in ("e-0", *PEERS)}
        self.probers = {name: self.join(name) for name in self.ports}

    def join(self, name: str) -> PeerAssistedProber:
        return PeerAssistedProber(
            port_probe=self.ports[name],
            peers=self.network.join(name),
            find_target=self.listed.get,
            random_source=random.Random(1),
        )

    async def ask_peers(self) -> PeerFinding:
        return await self.probers["e-0"].probe_by_peers(DESTINATION)


async def test_one_peer_that_reaches_the_target_is_enough():
    world = World()
    world.ports["e-2"].found = None
    assert await world.ask_peers() is PeerFinding.REACHED
    # by the address in their own listing, whatever the one that asks knows
    assert world.ports["e-1"].dialled == [TARGET.address]
    assert world.ports["e-0"].dialled == []


async def test_refusal_of_one_peer_stands_if_none_reaches_the_target():
    world = World()
    world.ports["e-1"].found = DialFailure.TIMED_OUT
    assert await world.ask_peers() is PeerFinding.REFUSED


@pytest.mark.parametrize("failure", [DialFailure.TIMED_OUT, DialFailure.FAILED])
async def test_target_that_answers_no_peer_is_unknown(failure):
    assert await World(failure).ask_peers() is PeerFinding.UNKNOWN


async def test_peers_dial_listed_targets_only():
    """Guards against peers that make an instance connect to any address."""
    world = World()
    world.listed.clear()
    assert await world.ask_peers() is PeerFinding.UNKNOWN
    assert not any(port.dialled for port in world.ports.values())


async def test_peers_out_of_reach_tell_nothing():
    world = World()
    world.network.blocked |= {("e-0", peer) for peer in PEERS}
    assert await world.ask_peers() is PeerFinding.UNKNOWN


async def test_suspected_peers_out_of_reach_confirm_nothing():
    """Guards against an instance without any links that believes all refusals."""
    world = World()
    world.network.blocked |= {("e-0", peer) for peer in PEERS}
    for peer in PEERS:
        world.network.states[peer] = MemberState.SUSPECT
    assert await world.ask_peers() is PeerFinding.UNKNOWN


async def test_dead_peers_are_not_asked():
    world = World()
    for peer in PEERS:
        world.network.states[peer] = MemberState.DEAD
    assert await world.ask_peers() is PeerFinding.NO_PEERS


async def test_own_probe_dials_the_given_address():
    world = World()
    assert await world.probers["e-0"].probe(DESTINATION) is DialFailure.REFUSED
    assert world.ports["e-0"].dialled == [DESTINATION.address]
