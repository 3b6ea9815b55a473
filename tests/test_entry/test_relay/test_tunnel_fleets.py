"""Tests of two instances, one of which reaches targets through the other only."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from greengagelatch_entry.controllers.drain import DrainState
from greengagelatch_entry.relay.composition import compose_relay
from greengagelatch_entry.relay.target_dialers import (
    DialError,
    DialFailure,
    TargetDialer,
)
from greengagelatch_entry.relay.tunnel_dialer import PeerTunnelDialer, TunnelError
from greengagelatch_lab.platform_standins.fleet import find_free_addresses
from greengagelatch_lab.platform_standins.targets import (
    EVENTS,
    SimulatedTarget,
    TargetFault,
)

from .conftest import WAIT_SECONDS, World

if TYPE_CHECKING:
    from greengagelatch_entry.relay.parts import RelaySettings
    from greengagelatch_entry.relay.target_dialers import Destination

PEER = "entry-1"
WHOLE = b"".join(
    f"id: {number}\ndata: piece {number}\n\n".encode()
    for number in range(1, EVENTS + 1)
)


class ThroughPeer(TargetDialer):
    """Opens every connection through the peer and records the destinations."""

    def __init__(self, tunnels: PeerTunnelDialer) -> None:
        self._tunnels = tunnels
        self.destinations: list[Destination] = []

    async def dial(self, destination, create_protocol, timeout):
        self.destinations.append(destination)
        try:
            return await self._tunnels.dial_through(
                PEER, destination, create_protocol, timeout
            )
        except TunnelError as error:
            raise DialError(str(error), DialFailure.FAILED) from error


class Peer(World):
    """The instance that reaches the targets."""

    def __init__(self, longest_drain: float) -> None:
        super().__init__()
        self._longest_drain = longest_drain
        (self.address,) = find_free_addresses(1)

    @property
    def active_tunnels(self) -> int:
        return self.find("tunnels").dump()["active"]

    def hold_targets(self) -> asyncio.Event:
        """Block the responses of all targets; return the event that releases them."""
        gate = asyncio.Event()
        for target in self.targets.values():
            target.gate = gate
        return gate

    def count_runs(self, request_id: str) -> int:
        return sum(target.runs[request_id] for target in self.targets.values())

    def _create_rules(self) -> RelaySettings:
        return replace(
            super()._create_rules(),
            peers_listen=self.address,
            longest_drain=self._longest_drain,
        )


class Partitioned(World):
    """The instance that reaches its peer and the store only."""

    def __init__(self, peer: Peer) -> None:
        super().__init__()
        self.store = peer.store
        (self._address,) = find_free_addresses(1)
        self._peer = peer

    async def start(self, *, configured: bool = True) -> None:
        self.parts = compose_relay(self._create_rules(), self._create_adapters())
        routed = self.find("reachability")._dialer
        self.dialer = ThroughPeer(
            PeerTunnelDialer(peers=self.find("peers"), metrics=routed._metrics)
        )
        routed.dial = self.dialer.dial
        await self.start_parts()
        await self.wait_for(
            lambda: PEER in {one.instance_id for one in self.find("peers").members()}
        )

    async def stop(self) -> None:
        await self.stop_parts()

    def _create_rules(self) -> RelaySettings:
        return replace(
            super()._create_rules(),
            instance_id="entry-2",
            data_centre="south",
            peers_listen=self._address,
            peers_seeds=self._peer.address,
        )


@pytest.fixture
def longest_drain() -> float:
    return WAIT_SECONDS


@pytest.fixture
async def peer(longest_drain):
    created = Peer(longest_drain)
    await created.start()
    for service in ("desk", "llm", "portal", "ledger"):
        await created.add(f"{service}-1", service)
    await created.wait_until_synced(4)
    yield created
    await created.stop()


@pytest.fixture
async def partitioned(peer):
    created = Partitioned(peer)
    await created.start()
    await created.wait_until_synced(4)
    yield created
    await created.stop()


async def test_request_is_served_through_a_peer(peer, partitioned):
    """Guard against instances that refuse callers while they reach no target."""
    for number in range(4):
        reply = await partitioned.ask("/look/1", request_id=f"s-{number}")
        assert reply.status == 200
        assert reply.body == f"answer to s-{number} ".encode()
        assert peer.count_runs(f"s-{number}") == 1
    assert peer.count("tunnels.opened") == 4
    await peer.wait_for(lambda: not peer.active_tunnels)


async def test_stream_and_its_stages_are_served_through_a_peer(peer, partitioned):
    reply = await partitioned.stream(X_Attempt_Id="r-1")
    assert reply.status == 200
    assert reply.body == WHOLE
    made = {
        place: n for one in peer.targets.values() for place, n in one.pieces.items()
    }
    assert set(made.values()) == {1}
    assert len(made) == 5
    await peer.wait_for(lambda: not peer.active_tunnels)


async def add_second_engine(peer, partitioned) -> list[SimulatedTarget]:
    await peer.add("llm-2", "llm")
    await peer.wait_until_synced(5)
    await partitioned.wait_until_synced(5)
    return [peer.targets["llm-1"], peer.targets["llm-2"]]


async def test_broken_stream_is_resumed_through_a_peer(peer, partitioned):
    breaks = [1]
    for engine in await add_second_engine(peer, partitioned):
        engine.breaks = breaks
    reply = await partitioned.stream(X_Attempt_Id="r-1")
    assert reply.status == 200
    assert reply.body == WHOLE
    assert peer.count_runs("r-1") == 2


async def test_stream_goes_on_after_its_tunnel_was_cut(peer, partitioned):
    """Guard against streams that are cut as the peer that carries them is lost."""
    gate = asyncio.Event()
    for engine in await add_second_engine(peer, partitioned):
        engine.stream_gate = gate
    task = asyncio.create_task(partitioned.stream(X_Attempt_Id="r-1"))
    await peer.wait_for(lambda: peer.count_runs("r-1") == 1)
    await partitioned.wait_for(lambda: partitioned.count("front.bytes_out") > 0)
    peer.find("tunnels").abort_all()
    gate.set()
    reply = await task
    assert reply.status == 200
    assert reply.body == WHOLE
    assert peer.count_runs("r-1") == 2


@pytest.mark.parametrize(
    "fault",
    [TargetFault.LOSE_ANSWER, TargetFault.TRUNCATE, TargetFault.UNFRAMED_RESET],
)
async def test_non_idempotent_request_with_a_lost_response_runs_once(
    peer, partitioned, fault
):
    """Guard against running a non-idempotent request twice."""
    peer.targets["desk-1"].fault = fault
    reply = await partitioned.ask("/book/1", method="POST", body=b"x", request_id="b-1")
    assert reply.status == 502
    assert "Retry-After" not in reply.headers
    assert peer.count_runs("b-1") == 1


async def test_response_that_ends_with_its_tunnel_is_complete(peer, partitioned):
    """Guard against the end of a connection that a tunnel takes for its loss."""
    peer.targets["desk-1"].unframed = True
    reply = await partitioned.ask("/book/1", method="POST", body=b"x", request_id="b-1")
    assert (reply.status, reply.body) == (200, b"answer to b-1 x")
    assert peer.count_runs("b-1") == 1


async def test_target_hears_that_the_caller_has_left(peer, partitioned):
    """Guard against work at targets for callers that have left."""
    peer.hold_targets()
    task = asyncio.create_task(partitioned.ask("/look/1", request_id="s-1"))
    await peer.wait_for(lambda: peer.count_runs("s-1") == 1)
    task.cancel()
    await peer.wait_for(lambda: not peer.active_tunnels)
    await partitioned.wait_for(lambda: not partitioned.dialer._tunnels.count_open())


async def test_destination_names_what_may_carry_the_request(peer, partitioned):
    await partitioned.ask("/look/1")
    (destination,) = partitioned.dialer.destinations
    assert destination.incarnation.target_id == "desk-1"
    assert destination.service == "desk"
    assert destination.data_centre == "north"
    assert destination.data_centres is None


async def test_planned_stop_waits_for_tunnels_and_takes_no_more(peer, partitioned):
    """Guard against requests of other instances that are cut by a rollout."""
    gate = peer.hold_targets()
    task = asyncio.create_task(partitioned.ask("/look/1", request_id="s-1"))
    await peer.wait_for(lambda: peer.count_runs("s-1") == 1)
    peer.parts.drain.request_stop()
    drain = asyncio.create_task(peer.parts.drain.wait())
    await peer.wait_for(lambda: peer.parts.drain.state is DrainState.FINISHING)
    reply = await partitioned.ask("/look/2", request_id="s-2")
    assert reply.status == 503
    assert peer.count_runs("s-2") == 0
    assert not drain.done()
    gate.set()
    assert (await task).status == 200
    assert await drain


@pytest.mark.parametrize("longest_drain", [0.1])
async def test_end_of_a_planned_stop_cuts_tunnels(peer, partitioned):
    peer.hold_targets()
    task = asyncio.create_task(
        partitioned.ask("/book/1", method="POST", request_id="b-1")
    )
    await peer.wait_for(lambda: peer.count_runs("b-1") == 1)
    peer.parts.drain.request_stop()
    assert not await peer.parts.drain.wait()
    reply = await task
    assert reply.status == 502
    assert not peer.active_tunnels
