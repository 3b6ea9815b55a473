"""Queue of updates to piggyback on outgoing messages."""

from __future__ import annotations

import math

from .records import MemberUpdate

__all__ = ("GossipQueue",)


class GossipQueue:
    """Recent updates, each sent a bounded number of times.

    With a number of transmissions of ``factor`` times the logarithm of the number of
    members, an update reaches all members with high probability at a bounded cost.

    :param factor: transmissions for each doubling of the number of members.
    :param limit: maximum number of updates; those sent most often are dropped first.
    """

    def __init__(self, *, factor: int, limit: int = 256) -> None:
        self._factor = factor
        self._limit = limit
        #: number of transmissions and update, by instance id
        self._items: dict[str, tuple[int, MemberUpdate]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces an older one of the same instance."""
        self._items[update.instance_id] = (0, update)
        if len(self._items) <= self._limit:
            return
        oldest = max(self._items, key=lambda key: self._items[key][0])
        del self._items[oldest]

    def take(self, number: int, members: int) -> list[MemberUpdate]:
        """Return the ``number`` least often sent updates and count a transmission."""
        if not self._items:
            return []
        most = self._factor * math.ceil(math.log2(members + 1))
        chosen = sorted(self._items.values(), key=lambda item: item[0])[:number]
        for sent, update in chosen:
            if sent + 1 >= most:
                del self._items[update.instance_id]
                continue
            self._items[update.instance_id] = (sent + 1, update)
        return [update for _, update in chosen]
