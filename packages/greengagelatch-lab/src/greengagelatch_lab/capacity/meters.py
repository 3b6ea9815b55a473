"""Meters of processor time and memory."""

from __future__ import annotations

import gc
import time
import tracemalloc
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import psutil

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("ProcessMeter", "ResourceUsage", "measure_cpu", "measure_memory")

MILLISECONDS = 1000.0


@dataclass(slots=True)
class ResourceUsage:
    """Resources used by a measured block, set when the block ends."""

    #: processor time of this process in the block, in milliseconds
    cpu_ms: float = 0.0
    #: bytes allocated in the block and still in use at its end
    retained_bytes: int = 0


@contextmanager
def measure_cpu() -> Iterator[ResourceUsage]:
    """Measure the processor time of a block."""
    usage = ResourceUsage()
    gc.collect()
    begun = time.process_time()
    yield usage
    usage.cpu_ms = (time.process_time() - begun) * MILLISECONDS


@contextmanager
def measure_memory() -> Iterator[ResourceUsage]:
    """Measure the memory that a block leaves in use.

    Tracing allocations slows the block down considerably.
    """
    usage = ResourceUsage()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        yield usage
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        usage.retained_bytes = after - before
    finally:
        tracemalloc.stop()


class ProcessMeter:
    """Measures processor time and memory of another process.

    Processor time counts from the creation of the meter.
    """

    def __init__(self, pid: int) -> None:
        self._process = psutil.Process(pid)
        self._begun = time.monotonic()
        self._cpu = self._read_cpu()

    def read_cpu_ms(self) -> float:
        """Return the processor time since the creation, in milliseconds."""
        return (self._read_cpu() - self._cpu) * MILLISECONDS

    def read_cpu_percent(self) -> float:
        """Return the processor time since the creation, in percent of a core."""
        elapsed = time.monotonic() - self._begun
        return (self._read_cpu() - self._cpu) / elapsed * 100

    def read_mb(self) -> float:
        """Return the resident memory in megabytes."""
        return self._process.memory_info().rss / 1e6

    def _read_cpu(self) -> float:
        times = self._process.cpu_times()
        return times.user + times.system
