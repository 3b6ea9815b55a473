"""Request paths to the target, and the measurement of latency and throughput."""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from dataclasses import dataclass
from uuid import uuid4

import aiohttp
import psutil

__all__ = ("Rate", "Way", "measure_latencies", "measure_rate")

#: concurrent requests when throughput is measured
CONCURRENCY = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Way:
    """One request path to the target: direct, through a proxy or through a daemon."""

    name: str
    url: str
    headers: dict[str, str]
    body: bytes
    #: process whose processor time is measured
    pid: int
    #: whether each request carries a unique idempotency key
    keyed: bool = False
    #: whether the response is a stream of tokens
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Rate:
    """Throughput of one path, per second and per second of processor time."""

    per_second: float
    per_core_second: float


async def measure_latencies(
    session: aiohttp.ClientSession, ways: list[Way], rounds: int
) -> dict[str, float]:
    """Return the median latency of each path in milliseconds, one call at a time.

    Calls alternate between the paths, so that other load on the machine affects all
    of them equally.
    """
    times: dict[str, list[float]] = {way.name: [] for way in ways}
    for _ in range(rounds):
        for way in ways:
            started = time.perf_counter()
            await _take(session, way)
            times[way.name].append((time.perf_counter() - started) * 1000)
    return {name: statistics.median(values) for name, values in times.items()}


async def measure_rate(
    session: aiohttp.ClientSession, way: Way, seconds: float
) -> Rate:
    """Return requests per second and per second of the process's processor time."""
    process = psutil.Process(way.pid)
    before = process.cpu_times()
    started = time.perf_counter()
    end = started + seconds
    counts = await asyncio.gather(
        *(_repeat(session, way, end) for _ in range(CONCURRENCY))
    )
    elapsed = time.perf_counter() - started
    after = process.cpu_times()
    spent = after.user + after.system - before.user - before.system
    return Rate(sum(counts) / elapsed, sum(counts) / spent)


async def _repeat(session: aiohttp.ClientSession, way: Way, end: float) -> int:
    count = 0
    while time.perf_counter() < end:
        await _take(session, way)
        count += 1
    return count


async def _take(session: aiohttp.ClientSession, way: Way) -> None:
    headers = way.headers
    if way.keyed:
        headers = {**headers, "Idempotency-Key": uuid4().hex}
    async with session.post(way.url, data=way.body, headers=headers) as response:
        body = await response.read()
        if response.status != 200:
            raise RuntimeError(f"{way.name}: status {response.status}: {body[:200]!r}")
        if not way.stream:
            json.loads(body)
        elif b"event: end" not in body:
            raise RuntimeError(f"{way.name}: no end event: {body[-200:]!r}")
