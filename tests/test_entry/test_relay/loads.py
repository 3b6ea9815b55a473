"""Steady requests to all instances of a fleet."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .conftest import Fleet, LinkedInstance

__all__ = ("Load",)

#: seconds between two requests to an instance
PAUSE_SECONDS = 0.08
#: most requests in flight at an instance: on a busy machine, more would wait for the
#: processor until their deadlines
MAX_IN_FLIGHT = 4
#: fewest requests to an instance, however long they take
MIN_REQUESTS = 20


class Load:
    """Requests at a steady rate, or one that the machine bears, counted by status.

    :param path: path of plain requests, or the name of a route of streams
    """

    def __init__(self, fleet: Fleet, path: str) -> None:
        self._fleet = fleet
        self._path = path
        self.statuses: Counter[int] = Counter()
        self._numbers = itertools.count(1)

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds at the least, and wait for all answers."""
        end = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(
            *(self._send_to(one, end) for one in self._fleet.instances)
        )

    def find_served_share(self) -> float:
        """Return the share of requests that were answered successfully."""
        return self.statuses[200] / self.statuses.total()

    async def _send_to(self, instance: LinkedInstance, end: float) -> None:
        tasks = []
        in_flight = asyncio.Semaphore(MAX_IN_FLIGHT)
        while len(tasks) < MIN_REQUESTS or asyncio.get_running_loop().time() < end:
            await in_flight.acquire()
            task = asyncio.create_task(self._send(instance))
            task.add_done_callback(lambda _: in_flight.release())
            tasks.append(task)
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.gather(*tasks)

    async def _send(self, instance: LinkedInstance) -> None:
        if self._path.startswith("/"):
            reply = await instance.ask(self._path)
        else:
            number = next(self._numbers)
            # no stream shares a part with another one
            parts = f"{number:04x}:60,{number + 0x8000:x}:40"
            reply = await instance.stream(self._path, X_Prefix_Hash=parts)
        self.statuses[reply.status] += 1
