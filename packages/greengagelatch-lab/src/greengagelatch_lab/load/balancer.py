"""A client-side stand-in for the platform's load balancer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    import random
    from types import TracebackType

__all__ = ("Balancer", "EntryInstance")

#: seconds between readiness checks of an instance: the load balancer's lag
POLL_INTERVAL = 0.5
#: time-out of a readiness check in seconds
POLL_TIMEOUT = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryInstance:
    """Addresses of one entry instance, each as ``host:port``."""

    instance_id: str
    caller_address: str
    operator_address: str


class Balancer:
    """Picks a ready instance for each request.

    Readiness is polled, so requests are still sent to an instance for about
    one interval after it starts to drain.

    :param interval: seconds between readiness checks of an instance
    """

    def __init__(
        self, *, random_source: random.Random, interval: float = POLL_INTERVAL
    ) -> None:
        self._random = random_source
        self._interval = interval
        self._polls: dict[EntryInstance, asyncio.Task[None]] = {}
        self._ready: dict[str, EntryInstance] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def ready(self) -> frozenset[str]:
        """Ids of the instances that receive requests."""
        return frozenset(self._ready)

    def add(self, instance: EntryInstance) -> None:
        """Start polling the readiness of ``instance``."""
        self._polls[instance] = asyncio.create_task(self._poll(instance))

    def remove(self, instance: EntryInstance) -> None:
        """Send no more requests to ``instance`` and stop polling it."""
        self._ready.pop(instance.instance_id, None)
        poll = self._polls.pop(instance, None)
        if poll is not None:
            poll.cancel()

    def pick(self, avoid: str = "") -> EntryInstance | None:
        """Return a random ready instance, ``avoid`` only if no other is ready."""
        names = sorted(name for name in self._ready if name != avoid)
        if not names:
            return self._ready.get(avoid)
        return self._ready[self._random.choice(names)]

    async def __aenter__(self) -> Balancer:
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        polls = list(self._polls.values())
        for poll in polls:
            poll.cancel()
        await asyncio.gather(*polls, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _poll(self, instance: EntryInstance) -> None:
        while True:
            if await self._is_ready(instance):
                self._ready[instance.instance_id] = instance
            else:
                self._ready.pop(instance.instance_id, None)
            await asyncio.sleep(self._interval)

    async def _is_ready(self, instance: EntryInstance) -> bool:
        try:
            async with self._session.get(
                f"http://{instance.operator_address}/readyz"
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
