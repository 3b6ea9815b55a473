"""Waits with a time-out until the instances have converged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..fleets.daemon import Daemon

__all__ = ("find_unjoined", "find_without", "read_generation")

#: time until a change must be in force at all reachable instances, in seconds
IN_FORCE_TIMEOUT = 15.0
#: time until every instance must see all others as alive again, in seconds
JOINED_TIMEOUT = 45.0
#: interval between polls, and time-out of each, in seconds
POLL_INTERVAL = 0.2
POLL_TIMEOUT = 2.0
#: membership state of an instance that is seen as alive
ALIVE = "alive"


async def read_generation(daemon: Daemon) -> int:
    """Return the configuration generation that is in force at a daemon."""
    async with _open_session() as session:
        return (await _read_status(session, daemon))["generation"]


async def find_without(daemons: Sequence[Daemon], generation: int) -> list[str]:
    """Return the ids of daemons that do not reach ``generation`` in time."""

    def find_late(statuses: dict[str, dict[str, Any]]) -> list[str]:
        return [
            daemon.instance_id
            for daemon in daemons
            if statuses.get(daemon.instance_id, {}).get("generation", 0) < generation
        ]

    return await _wait_none(daemons, find_late, IN_FORCE_TIMEOUT)


async def find_unjoined(daemons: Sequence[Daemon]) -> list[str]:
    """Return ``A sees B: STATE`` for pairs that are not alive to each other in time."""

    def find_unseen(statuses: dict[str, dict[str, Any]]) -> list[str]:
        found = []
        for seer in daemons:
            members = statuses.get(seer.instance_id, {}).get("members", {})
            for seen in daemons:
                state = members.get(seen.instance_id, {}).get("state")
                if state != ALIVE:
                    found.append(f"{seer.instance_id} sees {seen.instance_id}: {state}")
        return found

    return await _wait_none(daemons, find_unseen, JOINED_TIMEOUT)


async def _wait_none(
    daemons: Sequence[Daemon],
    find: Callable[[dict[str, dict[str, Any]]], list[str]],
    timeout: float,
) -> list[str]:
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    async with _open_session() as session:
        while True:
            found = find(await _read_all(session, daemons))
            if not found or loop.time() > end:
                return found
            await asyncio.sleep(POLL_INTERVAL)


async def _read_all(
    session: aiohttp.ClientSession, daemons: Sequence[Daemon]
) -> dict[str, dict[str, Any]]:
    reads = [_read_status(session, daemon) for daemon in daemons]
    answers = await asyncio.gather(*reads, return_exceptions=True)
    statuses = {}
    for daemon, answer in zip(daemons, answers, strict=True):
        if isinstance(answer, aiohttp.ClientError | TimeoutError):
            # a daemon that is paused or gone counts as not converged
            continue
        if isinstance(answer, BaseException):
            raise answer
        statuses[daemon.instance_id] = answer
    return statuses


async def _read_status(
    session: aiohttp.ClientSession, daemon: Daemon
) -> dict[str, Any]:
    url = f"http://{daemon.entry.operators}/status"
    async with session.get(url) as response:
        return await response.json()


def _open_session() -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
    return aiohttp.ClientSession(timeout=timeout)
