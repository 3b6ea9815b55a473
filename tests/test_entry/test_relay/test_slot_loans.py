"""Tests of the loans of slots of brittle targets through whole instances."""

from __future__ import annotations

import asyncio

import pytest

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.slot_messages import (
    BrittleSlotsLoan,
    BrittleSlotsRequest,
    decode_slots,
    encode_slots,
)

from .test_brittle_targets import BURST, SERVED, list_brittle, make_brittle

SLOTS = 6


async def test_instance_that_gets_all_requests_borrows_slots(fleet):
    """Guards against slots kept for instances that the balancer gives no requests."""
    states = make_brittle(fleet, limit=1, slots=SLOTS)
    busy, *idle = fleet.instances
    for instance in fleet.instances:
        table = instance.find("news")._target_table
        await instance.wait_for(
            lambda one=table: one.find_listed("desk-north-1").slots == SLOTS
        )
    assert (await busy.ask("/look/1")).status == SERVED
    for instance in idle:
        await instance.wait_for(lambda one=instance: list_brittle(one))
    for one in states:
        one.serve_seconds, one.shrinks_after = 0.2, 0.0
    async with asyncio.timeout(20):
        while not busy.describe()["slot_loans"]["borrowed"]:
            await asyncio.gather(*(busy.ask(f"/look/{n}") for n in range(BURST)))
    lent = [instance.count("brittle_targets.loans_made") for instance in idle]
    assert any(lent)
    assert busy.count("decisions.brittle-slots-wanted") >= 1
    assert busy.count("brittle_targets.loans_received") >= 1
    assert sum(one.falls for one in states) == 0


def test_loan_passes_through_the_codec():
    lent = {Incarnation("desk-1", 7): 3}
    loan = BrittleSlotsLoan(4, "host:1", encode_slots(lent))
    received = decode(encode(Envelope(loan))).unwrap().message
    assert (received.number, received.lender) == (4, "host:1")
    assert decode_slots(received.rows) == lent


@pytest.mark.parametrize(
    "create",
    [
        lambda: BrittleSlotsLoan(1, "host:1", (("desk-1", 7),)),
        lambda: BrittleSlotsLoan(1, "host:1", (("desk-1", 7, "3"),)),
        lambda: BrittleSlotsRequest(1, (3,)),
    ],
)
def test_malformed_message_is_refused(create):
    with pytest.raises(ValueError, match=r"unexpected type|zip"):
        create()
