"""Tests of greengagelatch.peers.choice."""

import random

from greengagelatch.peers.choice import choose_peers

MEMBERS = [f"i-{number}" for number in range(100)]
NEIGHBOURS = MEMBERS[:8]


def test_members_without_a_link_are_chosen_occasionally():
    """
    Guards against two parts of the fleet keeping different views permanently, which
    happens if no instance of one part is a neighbour of an instance in the other.
    """
    source = random.Random(1)
    chosen = []
    for _ in range(400):
        chosen += choose_peers(MEMBERS, NEIGHBOURS, 2, source)
    others = [name for name in chosen if name not in NEIGHBOURS]
    assert len(chosen) == 800
    assert 0.05 < len(others) / len(chosen) < 0.25


def test_choice_is_without_repetition_and_complete_if_few():
    source = random.Random(1)
    chosen = choose_peers(MEMBERS[:5], MEMBERS[3:9], 9, source)
    assert sorted(chosen) == MEMBERS[:5]
    assert len(choose_peers(MEMBERS, (), 3, source)) == 3
    assert choose_peers((), NEIGHBOURS, 2, source) == ()
