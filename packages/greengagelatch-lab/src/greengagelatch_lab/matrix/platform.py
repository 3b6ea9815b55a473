"""Simulated connection of an entry instance to the platform's services."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from result import Err, Result

from greengagelatch.instances import InstanceList, Listing
from greengagelatch.store import (
    Entry,
    Lease,
    Store,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

from .network import PLATFORM
from .processes import spawn_outside

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .network import Network
    from .processes import SimulatedProcess

__all__ = ("PlatformLink", "RemoteInstanceList", "RemoteStore")

NO_ANSWER = StoreError(StoreErrorKind.TIMEOUT, "no answer")


class PlatformLink:
    """Carries one process's calls to the platform and returns the responses.

    A call that was sent takes effect even if its sender has been killed since, as a
    real service applies a write whose client is gone.

    :param on_call: called with process, kind, key, value and response once a call has
        taken effect; returns the response to deliver
    """

    def __init__(
        self,
        *,
        network: Network,
        process: SimulatedProcess,
        place: str,
        on_call: Callable[[SimulatedProcess, str, str, bytes, Any], Any],
    ) -> None:
        self.process = process
        self._network = network
        self._place = place
        self._on_call = on_call
        self._open: set[_Call] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def silence(self) -> None:
        """Drop all further traffic on the connections in use."""
        for call in self._open:
            call.silent = True

    async def call(
        self,
        kind: str,
        key: str,
        operate: Callable[[], Awaitable[Any]],
        *,
        timeout: float,
        value: bytes = b"",
    ) -> Any:
        """Make a call and return its response.

        :raises TimeoutError: if no response arrives within ``timeout`` seconds
        """
        call = _Call(asyncio.get_running_loop().create_future())
        self._open.add(call)
        call.task = spawn_outside(self._serve(call, kind, key, operate, value))
        try:
            async with asyncio.timeout(timeout):
                return await call.answer
        finally:
            self._open.discard(call)

    async def _serve(
        self,
        call: _Call,
        kind: str,
        key: str,
        operate: Callable[[], Awaitable[Any]],
        value: bytes,
    ) -> None:
        await asyncio.sleep(self._network.draw_latency(self._place, PLATFORM))
        if call.silent or not self._network.reaches(self._place, PLATFORM):
            return
        answer = await operate()
        answer = self._on_call(self.process, kind, key, value, answer)
        await asyncio.sleep(self._network.draw_latency(PLATFORM, self._place))
        if call.silent or not self._network.reaches(PLATFORM, self._place):
            return
        self.process.deliver(call.settle, answer)


@dataclass(slots=True, eq=False)
class _Call:
    """One call in flight; ``silent`` once its connection drops all traffic."""

    answer: asyncio.Future[Any]
    silent: bool = False
    task: asyncio.Task[None] | None = None

    def settle(self, answer: Any) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)


class RemoteStore(Store):
    """A store over a :class:`PlatformLink`; replaces ``HttpStore``."""

    def __init__(
        self, *, store: Store, link: PlatformLink, timeout: float, **_adapter: Any
    ) -> None:
        self._store = store
        self._link = link
        self._timeout = timeout

    async def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        return await self._read("get", key, lambda: self._store.get(key))

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        return await self._read("list", prefix, lambda: self._store.list(prefix))

    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        def operate() -> Awaitable[WriteResult]:
            return self._store.swap(key, value, expected, lease_id=lease_id)

        return await self._write("swap", key, operate, value)

    async def delete(self, key: str, expected: int) -> WriteResult:
        return await self._write(
            "delete", key, lambda: self._store.delete(key, expected)
        )

    async def watch(
        self, key: str, after: int, wait: float
    ) -> Result[Entry | None, StoreError]:
        return await self._read(
            "watch", key, lambda: self._store.watch(key, after, wait), wait
        )

    async def grant_lease(self, ttl: float) -> Result[Lease, StoreError]:
        return await self._read("grant", "", lambda: self._store.grant_lease(ttl))

    async def renew_lease(self, lease_id: str) -> Result[Lease, StoreError]:
        return await self._read(
            "keep", lease_id, lambda: self._store.renew_lease(lease_id)
        )

    async def revoke_lease(self, lease_id: str) -> WriteResult:
        return await self._write(
            "revoke", lease_id, lambda: self._store.revoke_lease(lease_id)
        )

    async def _read(
        self,
        kind: str,
        key: str,
        operate: Callable[[], Awaitable[Any]],
        wait: float = 0.0,
    ) -> Any:
        try:
            return await self._link.call(
                kind, key, operate, timeout=self._timeout + wait
            )
        except TimeoutError:
            return Err(NO_ANSWER)

    async def _write(
        self,
        kind: str,
        key: str,
        operate: Callable[[], Awaitable[WriteResult]],
        value: bytes = b"",
    ) -> WriteResult:
        try:
            return await self._link.call(
                kind, key, operate, timeout=self._timeout, value=value
            )
        except TimeoutError:
            return WriteResult(WriteOutcome.UNKNOWN, message="no answer")


class RemoteInstanceList(InstanceList):
    """An instance list over a :class:`PlatformLink`; replaces ``HttpInstanceList``."""

    def __init__(
        self,
        *,
        instance_list: InstanceList,
        link: PlatformLink,
        timeout: float,
        **_adapter: Any,
    ) -> None:
        self._instance_list = instance_list
        self._link = link
        self._timeout = timeout

    async def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    async def fetch(self) -> Result[Listing, StoreError]:
        try:
            return await self._link.call(
                "fetch", "", self._instance_list.fetch, timeout=self._timeout
            )
        except TimeoutError:
            return Err(NO_ANSWER)
