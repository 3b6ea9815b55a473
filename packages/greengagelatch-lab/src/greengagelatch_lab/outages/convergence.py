"""Bounded waits until all instances agree."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..fleets.daemon import Daemon

__all__ = ("find_unjoined", "find_without", "read_generation")

#: seconds allowed until a change is in force wherever word of it can get to
IN_FORCE_TIMEOUT = 15.0
#: the same until every instance sees every other one again
JOINED_TIMEOUT = 45.0
POLL_INTERVAL = 0.2
POLL_TIMEOUT = 2.0
ALIVE = "alive"


async def read_generation(daemon: Daemon) -> int:
    """Return the generation that a daemon has in force."""
    async with _open_session() as session:
        return (await _read_status(session, daemon))["generation"]


async def find_without(daemons: Sequence[Daemon], generation: int) -> list[str]:
    """Return the daemons that don't get ``generation`` in time."""

    def find_late(statuses: dict[str, dict[str, Any]]) -> list[str]:
        return [
            daemon.instance_id
            for daemon in daemons
            if statuses.get(daemon.instance_id, {}).get("generation", 0) < generation
        ]

    return await _wait_none(daemons, find_late, IN_FORCE_TIMEOUT)


async def find_unjoined(daemons: Sequence[Daemon]) -> list[str]:
    """Return ``A sees B as STATE`` of daemons that don't see each other in time."""

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
            # it stands still or is gone: so far it agrees with nobody
            continue
        if isinstance(answer, BaseException):
            raise answer
        statuses[daemon.instance_id] = answer
    return statuses


async def _read_status(
    session: aiohttp.ClientSession, daemon: Daemon
) -> dict[str, Any]:
    url = f"http://{daemon.entry.operator_address}/status"
    async with session.get(url) as response:
        return await response.json()


def _open_session() -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
    return aiohttp.ClientSession(timeout=timeout)
