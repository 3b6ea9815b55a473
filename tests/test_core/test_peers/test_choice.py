import random

from greengagelatch.peers.choice import choose_peers

MEMBERS = [f"i-{number}" for number in range(100)]
NEIGHBOURS = MEMBERS[:8]


def test_now_and_then_a_member_without_a_link_is_told():
    """Two parts of the fleet hold different views for good.

    Their views of the members differ so that no neighbour of the one is in the other.
    """
    source = random.Random(1)
    told = []
    for _ in range(400):
        told += choose_peers(MEMBERS, NEIGHBOURS, 2, source)
    others = [name for name in told if name not in NEIGHBOURS]
    assert len(told) == 800
    assert 0.05 < len(others) / len(told) < 0.25


def test_nobody_is_told_twice_and_all_are_told_if_few():
    source = random.Random(1)
    chosen = choose_peers(MEMBERS[:5], MEMBERS[3:9], 9, source)
    assert sorted(chosen) == MEMBERS[:5]
    assert len(choose_peers(MEMBERS, (), 3, source)) == 3
    assert choose_peers((), NEIGHBOURS, 2, source) == ()
