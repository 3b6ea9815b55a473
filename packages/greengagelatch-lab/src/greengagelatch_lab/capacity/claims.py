"""Benchmarks the writer of one claim shard."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence

from result import Result

from greengagelatch.claims import Claim, Token
from greengagelatch.claims.encoding import encode_segment
from greengagelatch.claims.head import Segment, ShardLimits
from greengagelatch.claims.operations import Acquire, ResultKind
from greengagelatch.claims.outage import StoreContact
from greengagelatch.claims.sharding import create_digest, create_key
from greengagelatch.clock import SystemClock
from greengagelatch.store import Entry, StoreError, WriteResult
from greengagelatch_entry.claims.writer import ShardWriter
from greengagelatch_entry.metrics import Metrics

from ..standins.memory import MemoryStore
from .fits import Point, Series
from .meters import measure_cpu, measure_memory

__all__ = ("measure_segment_memory", "measure_writer")

STATSD = "127.0.0.1:9"
#: claims per second in one shard
RATES = (2, 10, 30, 100)
#: claims already in the shard head when the measurement begins
INITIAL_CLAIMS = (0, 350)
#: numbers of sealed claims held in memory
SEALED_CLAIMS = (1000, 8000, 32_000)
#: duration of each measurement in seconds
MEASUREMENT_SECONDS = 3.0
#: seconds between two writes of the shard head
WRITE_SECONDS = 0.1
#: simulated latency of each store call in seconds
STORE_DELAY = 0.002
#: seconds until a claim must have been committed
TIMEOUT_SECONDS = 20.0


class _MeteredStore(MemoryStore):
    """A store with latency that counts the bytes of values read and written."""

    def __init__(self) -> None:
        super().__init__(clock=SystemClock())
        self.bytes_written = 0
        self.bytes_read = 0
        self.faults.before_call = self._delay

    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        result = await super().get(key)
        if result.is_ok() and result.ok_value is not None:
            self.bytes_read += len(result.ok_value.value)
        return result

    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        self.bytes_written += len(value)
        return await super().swap(key, value, expected, lease_id=lease_id)

    async def _delay(self, kind: str, key: str) -> None:
        await asyncio.sleep(STORE_DELAY)


async def measure_writer(
    rates: Sequence[float] = RATES,
    initial_claims: Sequence[int] = INITIAL_CLAIMS,
    seconds: float = MEASUREMENT_SECONDS,
) -> Series:
    """Commit claims at a steady rate to a shard head that already holds some."""
    points = []
    for initial in initial_claims:
        for rate in rates:
            points.append(await _measure_rate(rate, initial, seconds))
    return Series(
        role="writer of one shard of claims",
        points=points,
        fit_drivers={
            "cpu_ms_per_swap": ("batch", "head_kb"),
        },
    )


def measure_segment_memory(counts: Sequence[int] = SEALED_CLAIMS) -> Series:
    """Measure the memory and the encoded size of a segment of sealed claims."""
    points = []
    for count in counts:
        claims = [_create_claim(number) for number in range(count)]
        encoded_bytes = len(encode_segment(Segment.create(1, claims)))
        del claims
        with measure_memory() as usage:
            segment = Segment.create(1, [_create_claim(n) for n in range(count)])
        figures = {
            "memory_kb": usage.retained_bytes / 1000,
            "stored_kb": encoded_bytes / 1000,
        }
        points.append(Point(drivers={"claims": len(segment)}, figures=figures))
    return Series(
        role="claims retained by the writer of a shard",
        points=points,
        fit_drivers={"memory_kb": ("claims",), "stored_kb": ("claims",)},
    )


async def _measure_rate(rate: float, initial: int, seconds: float) -> Point:
    store = _MeteredStore()
    writer = _create_writer(store)
    await asyncio.gather(*(_acquire(writer, -number - 1) for number in range(initial)))
    await asyncio.sleep(WRITE_SECONDS)
    calls_before, bytes_before = store.calls.copy(), store.bytes_written
    latencies = []
    begun = time.monotonic()
    with measure_cpu() as usage:
        tasks = []
        for number in range(max(1, int(rate * seconds))):
            await asyncio.sleep(max(0.0, begun + number / rate - time.monotonic()))
            tasks.append(asyncio.create_task(_acquire(writer, number)))
        latencies = sorted(await asyncio.gather(*tasks))
    elapsed = time.monotonic() - begun
    await writer.close(1.0)
    swaps = store.calls["swap"] - calls_before["swap"]
    reads = store.calls["get"] - calls_before["get"]
    return Point(
        drivers={
            "rate": rate,
            "batch": len(tasks) / swaps,
            "head_kb": (store.bytes_written - bytes_before) / swaps / 1000,
        },
        figures={
            "swaps_per_s": swaps / elapsed,
            "reads_per_s": reads / elapsed,
            "cpu_ms_per_swap": usage.cpu_ms / swaps,
            "cpu_ms_per_claim": usage.cpu_ms / len(tasks),
            "wait_ms_p95": latencies[int(len(latencies) * 0.95)] * 1000,
        },
    )


def _create_writer(store: MemoryStore) -> ShardWriter:
    limits = ShardLimits(
        retention=1200,
        clock_margin=60,
        head_claims=400,
        segment_claims=8000,
        segments=64,
    )
    return ShardWriter(
        shard=1,
        store=store,
        contact=StoreContact(),
        clock=SystemClock(),
        random_source=random.Random(1),
        limits=limits,
        interval=WRITE_SECONDS,
        metrics=Metrics(STATSD),
    )


async def _acquire(writer: ShardWriter, number: int) -> float:
    begun = time.monotonic()
    claim = _create_claim(number)
    operation = Acquire(claim.key, claim.digest, claim.token)
    result = await writer.submit(operation, begun + TIMEOUT_SECONDS)
    if result.kind is not ResultKind.GRANTED:
        raise RuntimeError(f"claim {number} was not granted: {result.kind}")
    return time.monotonic() - begun


def _create_claim(number: int) -> Claim:
    return Claim(
        key=create_key("workspace", "pipeline", str(number)),
        digest=create_digest(str(number)),
        token=Token(f"entry-{number % 570:05d}", 2**62 + number % 570, abs(number)),
        expires_at=1_780_001_200,
    )
