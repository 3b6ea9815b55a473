"""Reads the targets' records after a run."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from .records import StageRun, TargetRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ("list_targets", "read_records")

#: time-out of a call in seconds
TIMEOUT_SECONDS = 20.0
#: outcome of a completed run
DONE = "done"


async def list_targets(platform: str) -> list[dict[str, Any]]:
    """Return the targets listed by the platform at ``platform``."""
    async with _create_session() as session:
        listing = await _get(session, platform, "/instances")
    return [item for item in listing["instances"] if item["kind"] == "target"]


async def read_records(targets: Sequence[dict[str, Any]]) -> list[TargetRecord]:
    """Return the record of every target.

    :param targets: entries as the platform lists them
    :raises aiohttp.ClientError: if a target can't be read; the run can't be
        verified without its record
    """
    async with _create_session() as session:
        reads = [_read_record(session, target) for target in targets]
        return await asyncio.gather(*reads)


async def _read_record(
    session: aiohttp.ClientSession, target: dict[str, Any]
) -> TargetRecord:
    address = target["address"]
    runs = (await _get(session, address, "/record"))["runs"]
    summary = await _get(session, address, "/record/summary")
    effects = await _get(session, address, "/effects")
    return TargetRecord(
        target=target["id"],
        service=target["service"],
        runs=tuple(_decode_run(run) for run in runs),
        effects=_decode_effects(effects.get("effects", {})),
        dropped=summary["dropped"],
    )


def _decode_run(run: dict[str, Any]) -> StageRun:
    return StageRun(
        attempt=run["attempt"],
        request_id=run["request"],
        stage=run["stage"],
        finished=run["outcome"] == DONE,
        cost_ms=run["cost_ms"],
    )


def _decode_effects(effects: dict[str, int]) -> dict[tuple[str, str], int]:
    decoded: dict[tuple[str, str], int] = {}
    for name, count in effects.items():
        effect, _, stage = name.rpartition("/")
        decoded[(effect, stage)] = count
    return decoded


async def _get(session: aiohttp.ClientSession, address: str, path: str) -> Any:
    async with session.get(f"http://{address}{path}") as response:
        # only plain services record side effects
        if response.status == 404 and path == "/effects":
            return {}
        response.raise_for_status()
        return await response.json()


def _create_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS))
