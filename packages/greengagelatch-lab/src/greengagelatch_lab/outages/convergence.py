"""Waits with a time-out until the instances have converged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ..fleets.daemon import Daemon

__all__ = ("find_not_alive", "find_not_in_force", "read_generation")

#: time until a change must be in force at all reachable instances, in seconds
PROPAGATION_TIMEOUT = 15.0
#: time until every instance must see all others as alive again, in seconds
MEMBERSHIP_TIMEOUT = 45.0
#: interval between polls, and time-out of each, in seconds
POLL_INTERVAL = 0.2
POLL_TIMEOUT = 2.0
#: membership state of an instance that is seen as alive
ALIVE = "alive"


async def read_generation(daemon: Daemon) -> int:
    """Return the configuration generation that is in force at a daemon."""
    async with _open_session() as session:
        return (await _read_status(session, daemon))["generation"]


async def find_not_in_force(daemons: Sequence[Daemon], generation: int) -> list[str]:
    """Return the ids of daemons that do not reach ``generation`` in time."""

    def find_lagging(statuses: dict[str, dict[str, Any]]) -> list[str]:
        return [
            daemon.instance_id
            for daemon in daemons
            if statuses.get(daemon.instance_id, {}).get("generation", 0) < generation
        ]

    return await _poll_until_empty(daemons, find_lagging, PROPAGATION_TIMEOUT)


async def find_not_alive(daemons: Sequence[Daemon]) -> list[str]:
    """Return ``A sees B: STATE`` for pairs that are not alive to each other in time."""

    def find_unseen_pairs(statuses: dict[str, dict[str, Any]]) -> list[str]:
        found = []
        for observer in daemons:
            members = statuses.get(observer.instance_id, {}).get("members", {})
            for peer in daemons:
                state = members.get(peer.instance_id, {}).get("state")
                if state != ALIVE:
                    found.append(
                        f"{observer.instance_id} sees {peer.instance_id}: {state}"
                    )
        return found

    return await _poll_until_empty(daemons, find_unseen_pairs, MEMBERSHIP_TIMEOUT)


async def _poll_until_empty(
    daemons: Sequence[Daemon],
    find: Callable[[dict[str, dict[str, Any]]], list[str]],
    timeout: float,
) -> list[str]:
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    async with _open_session() as session:
        while True:
            found = find(await _read_statuses(session, daemons))
            if not found or loop.time() > end:
                return found
            await asyncio.sleep(POLL_INTERVAL)


async def _read_statuses(
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
    url = f"http://{daemon.entry.operator_address}/status"
    async with session.get(url) as response:
        return await response.json()


def _open_session() -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
    return aiohttp.ClientSession(timeout=timeout)
