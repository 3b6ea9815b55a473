"""Whom to tell something now and then."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

__all__ = ("choose_peers",)

#: share of the words that go to any member and not to a neighbour
RANDOM_SHARE = 0.125


def choose_peers(
    members: Sequence[str],
    neighbours: Collection[str],
    number: int,
    source: random.Random,
) -> tuple[str, ...]:
    """Return ``number`` of ``members`` at most, mostly ones with an open link.

    A word to a member picked anew each time costs a dial, a handshake at both ends
    and heartbeats until the link is closed as idle: far more than the word itself,
    seen as instances that are busy though idle. Now and then it is any member all the
    same: where views differ, neighbours alone may not reach everyone.

    :param neighbours: those to which links are kept; others may be among them.
    """
    left = list(members)
    linked = [name for name in left if name in neighbours]
    chosen: list[str] = []
    while left and len(chosen) < number:
        near = linked and source.random() >= RANDOM_SHARE
        name = source.choice(linked if near else left)
        chosen.append(name)
        left.remove(name)
        if name in linked:
            linked.remove(name)
    return tuple(chosen)
