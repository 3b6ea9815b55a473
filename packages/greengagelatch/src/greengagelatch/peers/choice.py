"""Selection of peers for periodic messages."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

__all__ = ("choose_peers",)

#: probability that a peer is chosen from all members instead of from the neighbours
RANDOM_SHARE = 0.125


def choose_peers(
    members: Sequence[str],
    neighbours: Collection[str],
    number: int,
    source: random.Random,
) -> tuple[str, ...]:
    """Return up to ``number`` of ``members``, preferring those with an open link.

    A message to a random member costs a connection, a handshake at both ends and
    heartbeats until the idle link is closed. This is far more than the message itself
    and keeps idle instances busy. A random member is still chosen occasionally: if the
    views of the membership differ, messages to neighbours may not reach everyone.

    :param neighbours: ids to which links are kept; may contain ids not in ``members``.
    """
    remaining = list(members)
    linked = [name for name in remaining if name in neighbours]
    chosen: list[str] = []
    while remaining and len(chosen) < number:
        prefer_linked = linked and source.random() >= RANDOM_SHARE
        name = source.choice(linked if prefer_linked else remaining)
        chosen.append(name)
        remaining.remove(name)
        if name in linked:
            linked.remove(name)
    return tuple(chosen)
