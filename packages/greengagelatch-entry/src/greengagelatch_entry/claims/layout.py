"""Number of shards that all instances use, as recorded in the store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from result import Ok

from greengagelatch.claims.messages import LayoutAnswer, LayoutQuery
from greengagelatch.claims.sharding import LAYOUT_KEY, rank_instances
from greengagelatch.peers import MemberState
from greengagelatch.store import ABSENT, Entry, WriteOutcome

if TYPE_CHECKING:
    from result import Result

    from greengagelatch.claims.outage import StoreContact
    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.store import Store, StoreError

__all__ = ("ShardLayout",)

logger = logging.getLogger(__name__)

#: seconds allowed for the answer of a peer
ASK_TIMEOUT = 0.5
#: peers that are asked if the store is unreachable
MAX_ASKED = 2


class ShardLayout:
    """Determines the number of shards once, from the store or from a peer.

    Two instances with different numbers would map one key to two shards, and both
    would run the request. The first instance that finds no number in the store
    therefore writes its setting there, and all others use the recorded number.
    """

    def __init__(
        self,
        *,
        store: Store,
        contact: StoreContact,
        clock: Clock,
        peers: PeerNetwork | None,
        shards: int,
        own: str,
    ) -> None:
        self._store = store
        self._contact = contact
        self._clock = clock
        self._peers = peers
        self._wanted = shards
        self._own = own
        self._task: asyncio.Task[None] | None = None
        #: number of shards, ``None`` until it is known
        self.shards: int | None = None
        if peers is not None:
            peers.handle(LayoutQuery, self._answer)

    async def resolve(self, timeout: float) -> int | None:
        """Return the number of shards; ``None`` if it is not found in time."""
        if self.shards is not None:
            return self.shards
        if self._task is None:
            self._task = asyncio.create_task(self._resolve())
        # not cancelled at a request's timeout: other requests may be waiting for it
        await asyncio.wait({self._task}, timeout=max(0.0, timeout))
        return self.shards

    async def close(self) -> None:
        """Cancel the lookup."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _resolve(self) -> None:
        try:
            self.shards = await self._read() or await self._ask()
        finally:
            self._task = None
        if self.shards not in (None, self._wanted):
            logger.warning(
                "setting claims.shards is %d, but the store records %d, which is used",
                self._wanted,
                self.shards,
            )

    async def _read(self) -> int | None:
        found = await self._get()
        if found == Ok(None):
            value = str(self._wanted).encode()
            written = await self._store.swap(LAYOUT_KEY, value, ABSENT)
            if written.outcome is WriteOutcome.APPLIED:
                return self._wanted
            # written by another instance, or by this one with a lost answer
            found = await self._get()
        match found:
            case Ok(Entry(value=value)):
                return _parse(value)
        return None

    async def _get(self) -> Result[Entry | None, StoreError]:
        found = await self._store.get(LAYOUT_KEY)
        self._contact.record(answered=found.is_ok(), now=self._clock.now())
        return found

    async def _ask(self) -> int | None:
        if self._peers is None:
            return None
        alive = [
            member.instance_id
            for member in self._peers.members()
            if member.state is MemberState.ALIVE and member.instance_id != self._own
        ]
        for instance_id in rank_instances(self._own, alive)[:MAX_ASKED]:
            answer = await self._peers.ask(instance_id, LayoutQuery(), ASK_TIMEOUT)
            match answer:
                case Ok(LayoutAnswer(shards=shards)) if shards > 0:
                    return shards
        return None

    def _answer(self, sender: str, query: LayoutQuery) -> LayoutAnswer:
        return LayoutAnswer(self.shards or 0)


def _parse(value: bytes) -> int | None:
    text = value.decode("ascii", "replace")
    if not text.isdecimal() or not int(text):
        logger.error("invalid number of shards in the store at %s", LAYOUT_KEY)
        return None
    return int(text)
