"""Pools of kept-alive connections to targets, replaced by age."""

from __future__ import annotations

import asyncio
import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING

import aiohttp

from .socket_options import LOSS_RULE, configure_socket

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from greengagelatch.clock import Clock

__all__ = ("TargetPool",)

#: maximum relative jitter of the age limit, so that many instances do not reconnect
#: to one target at the same time
JITTER = 0.3
#: maximum number of targets with a pool; the least recently used one is retired
MAX_TARGETS = 1024


class _Entry:
    """Session with its expiry time and the number of calls that use it."""

    __slots__ = ("expires", "session", "users")

    def __init__(self, session: aiohttp.ClientSession, expires: float) -> None:
        self.session = session
        self.expires = expires
        self.users = 0


class TargetPool:
    """One session for each target, and one that never reuses a connection.

    Data written to a pooled connection whose state a middlebox has dropped is lost
    without an error. Whole pools are therefore replaced by age, and at once when one
    of their connections becomes unresponsive: a middlebox that dropped the state of
    one connection to a target has probably dropped that of the others too.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random_source: random.Random,
        idle_timeout: float,
        max_age: float,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._idle_timeout = idle_timeout
        self._max_age = max_age
        self._entries: dict[str, _Entry] = {}
        self._fresh: aiohttp.ClientSession | None = None
        self._closing: set[asyncio.Task[None]] = set()
        self.replaced = 0

    def __len__(self) -> int:
        return len(self._entries)

    @contextmanager
    def use(self, address: str) -> Iterator[aiohttp.ClientSession]:
        """Provide the session that keeps its connections to ``address`` alive."""
        entry = self._acquire(address)
        entry.users += 1
        try:
            yield entry.session
        finally:
            entry.users -= 1
            if entry.users == 0 and self._entries.get(address) is not entry:
                self._close_later(entry)

    def get_fresh(self) -> aiohttp.ClientSession:
        """Return the session that opens a new connection for every call."""
        if self._fresh is None:
            self._fresh = self._open(keep=False)
        return self._fresh

    def retire(self, address: str) -> None:
        """Stop using the present connections to ``address`` for new calls."""
        entry = self._entries.pop(address, None)
        if entry is not None:
            self._retire(entry)

    async def close(self) -> None:
        """Close every connection."""
        for entry in self._entries.values():
            await entry.session.close()
        self._entries.clear()
        if self._fresh is not None:
            await self._fresh.close()
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _acquire(self, address: str) -> _Entry:
        now = self._clock.now()
        entry = self._entries.pop(address, None)
        if entry is not None and now >= entry.expires:
            self._retire(entry)
            entry = None
        if entry is None:
            expires = now + self._max_age * self._draw_jitter()
            entry = _Entry(self._open(keep=True), expires)
        # reinsert at the end, so that the first entry is the least recently used one
        self._entries[address] = entry
        if len(self._entries) > MAX_TARGETS:
            oldest = next(iter(self._entries))
            self._retire(self._entries.pop(oldest))
        return entry

    def _retire(self, entry: _Entry) -> None:
        self.replaced += 1
        # calls in flight still use the session; the last one closes it
        if entry.users == 0:
            self._close_later(entry)

    def _close_later(self, entry: _Entry) -> None:
        task = asyncio.create_task(entry.session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _draw_jitter(self) -> float:
        return self._random.uniform(1 - JITTER, 1 + JITTER)

    def _open(self, *, keep: bool) -> aiohttp.ClientSession:
        if keep:
            connector = aiohttp.TCPConnector(
                limit=0,
                keepalive_timeout=self._idle_timeout * self._draw_jitter(),
                socket_factory=_create_socket,
            )
        else:
            connector = aiohttp.TCPConnector(
                limit=0, force_close=True, socket_factory=_create_socket
            )
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("Accept-Encoding", "User-Agent"),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
        )


def _create_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    created = socket.socket(family, kind, protocol)
    configure_socket(created, LOSS_RULE)
    return created
