"""Simulated balancer that may prefer one instance for new connections."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    import aiohttp

    from .fleet import Instance

__all__ = ("UnevenBalancer",)

#: seconds between two questions whether an instance is ready
CHECK_SECONDS = 1.0


class UnevenBalancer:
    """Chooses the instance of each new connection, among those that are ready.

    :param session: used to ask instances whether they are ready
    """

    def __init__(
        self, instances: Sequence[Instance], session: aiohttp.ClientSession
    ) -> None:
        self._instances = instances
        self._session = session
        self._turns = itertools.count()
        #: answer of each instance, and when it was given
        self._ready: dict[str, tuple[float, bool]] = {}
        #: gets all new connections while it is ready; ``None``: all get some in turn
        self.preferred: Instance | None = None

    async def choose(self) -> str:
        """Return the address to connect to."""
        preferred = self.preferred
        if preferred is not None and await self._is_ready(preferred):
            return preferred.front
        first = next(self._turns)
        for offset in range(len(self._instances)):
            instance = self._instances[(first + offset) % len(self._instances)]
            if await self._is_ready(instance):
                return instance.front
        return self._instances[first % len(self._instances)].front

    async def _is_ready(self, instance: Instance) -> bool:
        now = asyncio.get_running_loop().time()
        asked_at, ready = self._ready.get(instance.name, (float("-inf"), False))
        if now - asked_at >= CHECK_SECONDS:
            ready = await instance.is_ready(self._session)
            self._ready[instance.name] = (now, ready)
        return ready
