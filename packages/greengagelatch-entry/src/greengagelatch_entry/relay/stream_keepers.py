"""Other instances that are to remember where streams have begun."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.peers import MemberState
from greengagelatch.relay.stream_messages import StreamVersionsUpdate
from greengagelatch.relay.stream_versions import COPIES, find_group, rank_keepers

if TYPE_CHECKING:
    from greengagelatch.peers import Member, PeerNetwork
    from greengagelatch.relay.stream_versions import StreamOrigin

    from ..metrics import Metrics

__all__ = ("StreamKeepers",)

#: seconds in which the streams to be remembered by an instance are collected
FLUSH_SECONDS = 0.01


class StreamKeepers:
    """Ranks the instances that are to remember each stream, and tells them of it."""

    def __init__(self, *, peers: PeerNetwork, metrics: Metrics) -> None:
        self._peers = peers
        self._metrics = metrics
        #: other instances by group, ranked as its keepers, and what they were ranked of
        self._ranked: dict[int, tuple[str, ...]] = {}
        self._members: tuple[Member, ...] = ()
        #: rows to be sent, by instance
        self._pending: dict[str, list[tuple[str, StreamOrigin]]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def rank(self, request_id: str) -> tuple[str, ...]:
        """Return the other instances, those that should remember a request first."""
        members = self._peers.members()
        if members is not self._members:
            self._members = members
            self._ranked.clear()
        group = find_group(request_id)
        if group not in self._ranked:
            own = self._peers.instance_id
            alive = [one for one in members if one.state is MemberState.ALIVE]
            ranked = rank_keepers(group, alive)
            self._ranked[group] = tuple(one for one in ranked if one != own)
        return self._ranked[group]

    def tell(self, request_id: str, origin: StreamOrigin) -> tuple[str, ...]:
        """Tell a few instances soon where a stream is sent to, and return them."""
        told = self.rank(request_id)[:COPIES]
        for keeper in told:
            self._pending.setdefault(keeper, []).append((request_id, origin))
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_SECONDS, self.flush)
        return told

    def discard(self, request_id: str) -> None:
        """Tell nobody what was to be told of a stream."""
        for rows in self._pending.values():
            rows[:] = [row for row in rows if row[0] != request_id]

    def flush(self, *, handed_over: bool = False) -> None:
        """Send what is to be told.

        :param handed_over: whether it is told as this instance stops
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        pending, self._pending = self._pending, {}
        for keeper, rows in pending.items():
            update = StreamVersionsUpdate.create(rows, handed_over)
            if self._peers.send(keeper, update):
                self._metrics.count("stream_versions.updates_sent")
