"""Propagation of a new generation over open connections."""

import random

import pytest

from greengagelatch.config.gossip import choose_recipients
from greengagelatch.membership.overlay import choose_neighbours
from greengagelatch.membership.records import MemberRecord
from greengagelatch.peers import Member, MemberState

MEMBERS = 570
DATA_CENTRES = 11
LINKS = 8


@pytest.fixture(scope="module")
def members():
    return [
        Member(
            instance_id=f"i-{number:03d}",
            data_centre=f"centre-{number % DATA_CENTRES}",
            address="127.0.0.1:1",
            state=MemberState.ALIVE,
        )
        for number in range(MEMBERS)
    ]


@pytest.fixture(scope="module")
def neighbours(members):
    """Neighbours of each member in the overlay network."""
    found = {}
    for own in members:
        others = [
            MemberRecord(
                instance_id=one.instance_id,
                data_centre=one.data_centre,
                address=one.address,
                incarnation=1,
                state=one.state,
                since=0.0,
            )
            for one in members
            if one is not own
        ]
        chosen = choose_neighbours(own.instance_id, own.data_centre, others, LINKS)
        found[own.instance_id] = tuple(sorted(chosen))
    return found


def propagate(members, neighbours, start):
    """Return the members that a generation reaches if each notifies its recipients."""
    source = random.Random(1)
    places = {member.instance_id: member.data_centre for member in members}
    reached, waiting = {start}, [start]
    while waiting:
        own = waiting.pop()
        recipients = choose_recipients(
            members, neighbours[own], own, places[own], source
        )
        assert len(recipients) <= LINKS
        newly_reached = set(recipients) - reached
        reached |= newly_reached
        waiting.extend(newly_reached)
    return reached


def test_a_change_reaches_every_instance_over_open_links(members, neighbours):
    """Guards against changes that take seconds to activate and cause false suspicions.

    If each instance notified random members without an open connection, the
    handshakes would keep all instances busy.
    """
    assert len(propagate(members, neighbours, "i-000")) == MEMBERS


def test_a_change_reaches_every_instance_of_a_data_centre_that_is_cut_off(
    members, neighbours
):
    """Guards against instances of a data centre that a change never reaches.

    The data centre is partitioned from the others, so that only links within it
    remain.
    """
    inside = [one for one in members if one.data_centre == "centre-3"]
    reached = propagate(inside, neighbours, inside[0].instance_id)
    assert len(reached) == len(inside)
