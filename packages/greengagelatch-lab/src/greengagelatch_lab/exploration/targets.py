"""Model of targets that keep their entries in the store."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from result import Ok, Result

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.targets import ListedTarget
from greengagelatch_entry.relay.codecs import ListingCodec

if TYPE_CHECKING:
    import random

    from greengagelatch.config.problems import Problem

    from .store import ModelStore

__all__ = ("DRAIN_SECONDS", "ModelListingCodec", "ModelTarget")

PREFIX = "targets/"
#: seconds between two writes of a target
HEARTBEAT_SECONDS = 1.2
#: heartbeats without a write after which its entry is removed
MISSED_HEARTBEATS = 3
#: bounds of the seconds in which a target writes again that could not
RETURN_SECONDS = (0.1, 1.0)
#: seconds after the store has taken the word that a target leaves, or the removal of
#: its entry, in which it may get further requests
DRAIN_SECONDS = 2.0


class ModelListingCodec(ListingCodec):
    """Decodes the entries that :class:`ModelTarget` writes."""

    prefix = PREFIX

    def decode(
        self, key: str, value: bytes, revision: int
    ) -> Result[ListedTarget, Problem]:
        fields = json.loads(value)
        return Ok(
            ListedTarget(
                incarnation=Incarnation(key.removeprefix(PREFIX), fields["started_ms"]),
                service=fields["service"],
                address=fields["address"],
                data_centre=fields["data_centre"],
                leaving=fields["leaving"],
                software_version=fields["version"],
                revision=revision,
            )
        )


class ModelTarget:
    """One target, from its start to its end."""

    def __init__(
        self,
        store: ModelStore,
        random_source: random.Random,
        *,
        number: int,
        service: str,
        version: str,
        data_centre: str,
        started_ms: int,
    ) -> None:
        self._store = store
        self._random = random_source
        self.incarnation = Incarnation(f"{service}-{number}", started_ms)
        self.service = service
        self.version = version
        self.data_centre = data_centre
        self._address = f"10.0.0.{number}:80"
        #: whether it can't reach the store
        self.is_cut = False
        #: whether it serves
        self.is_alive = True
        self.is_leaving = False
        #: loop time since which its entry says that it leaves
        self.leaving_since: float | None = None
        self._task = asyncio.create_task(self._write_forever())

    @property
    def key(self) -> str:
        """Key of its entry."""
        return PREFIX + self.incarnation.target_id

    def find_listed_seconds(self) -> float:
        """Return for how long its entry has been there and called it ready."""
        now = asyncio.get_running_loop().time()
        if not self.is_alive or self.is_leaving:
            return 0.0
        return now - self._store.present_since.get(self.key, now)

    def find_gone_seconds(self) -> float:
        """Return for how long it has been leaving or without an entry."""
        now = asyncio.get_running_loop().time()
        gone_at = self._store.removed_at.get(self.key, now)
        if self.leaving_since is not None:
            gone_at = min(gone_at, self.leaving_since)
        return now - gone_at

    def crash(self) -> None:
        """End without a word; the entry lapses."""
        self.is_alive = False
        self._task.cancel()

    async def leave(self) -> None:
        """Say that it leaves, serve on for a while, and end."""
        self.is_leaving = True
        await self._wait_store()
        if self.leaving_since is None:
            self._write()
        await asyncio.sleep(DRAIN_SECONDS + self._random.uniform(0.0, 2.0))
        await self.end()

    async def end(self) -> None:
        """Remove the entry, serve on for a while, and end."""
        self.is_leaving = True
        self._task.cancel()
        await self._wait_store()
        self._store.remove(self.key)
        await asyncio.sleep(DRAIN_SECONDS)
        self.is_alive = False

    async def _write_forever(self) -> None:
        while True:
            await self._wait_store()
            self._write()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _wait_store(self) -> None:
        while self._lacks_store():  # noqa: ASYNC110 - it tries again at its own times
            await asyncio.sleep(self._random.uniform(*RETURN_SECONDS))

    def _lacks_store(self) -> bool:
        return self.is_cut or not self._store.is_available

    def _write(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.is_leaving and self.leaving_since is None:
            self.leaving_since = now
        fields = {
            "service": self.service,
            "address": self._address,
            "data_centre": self.data_centre,
            "version": self.version,
            "leaving": self.is_leaving,
            "started_ms": self.incarnation.started_ms,
        }
        expires_at = now + MISSED_HEARTBEATS * HEARTBEAT_SECONDS
        self._store.put(self.key, json.dumps(fields).encode(), expires_at)
