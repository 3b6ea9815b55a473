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

__all__ = ("RequestPath", "Throughput", "measure_latencies", "measure_throughput")

#: concurrent requests when throughput is measured
CONCURRENCY = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestPath:
    """One request path to the target: direct, through a proxy or through a daemon."""

    name: str
    url: str
    headers: dict[str, str]
    body: bytes
    #: process whose processor time is measured
    pid: int
    #: whether each request carries a unique idempotency key
    has_idempotency_key: bool = False
    #: whether the response is a stream of tokens
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Throughput:
    """Throughput of one path, per second and per second of processor time."""

    per_second: float
    per_core_second: float


async def measure_latencies(
    session: aiohttp.ClientSession, paths: list[RequestPath], rounds: int
) -> dict[str, float]:
    """Return the median latency of each path in milliseconds, one call at a time.

    Calls alternate between the paths, so that other load on the machine affects all
    of them equally.
    """
    latencies: dict[str, list[float]] = {path.name: [] for path in paths}
    for _ in range(rounds):
        for path in paths:
            started = time.perf_counter()
            await _send_request(session, path)
            latencies[path.name].append((time.perf_counter() - started) * 1000)
    return {name: statistics.median(values) for name, values in latencies.items()}


async def measure_throughput(
    session: aiohttp.ClientSession, path: RequestPath, seconds: float
) -> Throughput:
    """Return requests per second and per second of the process's processor time."""
    process = psutil.Process(path.pid)
    before = process.cpu_times()
    started = time.perf_counter()
    end = started + seconds
    counts = await asyncio.gather(
        *(_send_until(session, path, end) for _ in range(CONCURRENCY))
    )
    elapsed = time.perf_counter() - started
    after = process.cpu_times()
    cpu_seconds = after.user + after.system - before.user - before.system
    return Throughput(sum(counts) / elapsed, sum(counts) / cpu_seconds)


async def _send_until(
    session: aiohttp.ClientSession, path: RequestPath, end: float
) -> int:
    count = 0
    while time.perf_counter() < end:
        await _send_request(session, path)
        count += 1
    return count


async def _send_request(session: aiohttp.ClientSession, path: RequestPath) -> None:
    headers = path.headers
    if path.has_idempotency_key:
        headers = {**headers, "Idempotency-Key": uuid4().hex}
    async with session.post(path.url, data=path.body, headers=headers) as response:
        body = await response.read()
        if response.status != 200:
            raise RuntimeError(f"{path.name}: status {response.status}: {body[:200]!r}")
        if not path.stream:
            json.loads(body)
        elif b"event: end" not in body:
            raise RuntimeError(f"{path.name}: no end event: {body[-200:]!r}")
