"""Measures the store calls and the latency of claims at several request rates.

Run as ``python -m greengagelatch_lab.claims_cost``. All instances run in this
process, on an in-memory store whose calls take :data:`STORE_LATENCY`; messages between
instances are encoded and decoded but use no socket. Each claim is followed by a
give-back or a recorded outcome, as in production.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from greengagelatch.clock import SystemClock
from greengagelatch.request import Answer, Request
from greengagelatch.settings import Settings, parse
from greengagelatch.verdict import Verdict
from greengagelatch_entry.controllers.claims import ClaimsController, Permit
from greengagelatch_entry.metrics import Metrics

from .standins.memory import MemoryStore
from .standins.peers import MemoryNetwork

__all__ = ("Cost", "measure")

#: simulated latency of a store call, in seconds
STORE_LATENCY = 0.003
#: fraction of claims that are given back
GIVE_BACK_RATIO = 0.05
#: time allowed for each request, in seconds
DEADLINE_SECONDS = 6.0
#: statsd address on which nothing listens, so that datagrams are dropped
UNUSED_ADDRESS = "127.0.0.1:9"
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Measurements at one request rate."""

    claims: int
    seconds: float
    refused: int
    writes: int
    reads: int
    written_bytes: int
    #: latency of a claim in milliseconds
    median: float
    p99: float
    #: processor time of all instances together, in seconds
    processor: float


class _CountingStore(MemoryStore):
    """An in-memory store that counts the bytes written to it."""

    written_bytes = 0

    async def swap(self, key, value, expected, *, lease_id=""):
        self.written_bytes += len(value)
        return await super().swap(key, value, expected, lease_id=lease_id)


async def measure(
    rate: float, seconds: float, *, instances: int = 9, shards: int = 32, seed: int = 1
) -> Cost:
    """Claim ``rate`` keys a second for ``seconds``, at random instances."""
    clock = SystemClock()
    store = _CountingStore(clock=clock)

    async def delay(kind: str, key: str) -> None:
        await asyncio.sleep(STORE_LATENCY)

    store.faults.before_call = delay
    network = MemoryNetwork()
    settings = _create_settings(shards)
    random_source = random.Random(seed)
    controllers = []
    for number in range(instances):
        name = f"instance-{number}"
        controllers.append(
            ClaimsController(
                store=store,
                peers=network.join(name),
                clock=clock,
                random_source=random.Random(number),
                settings=settings,
                metrics=Metrics(UNUSED_ADDRESS),
                instance_id=name,
            )
        )
    for controller in controllers:
        await controller.start()
    histogram = HdrHistogram(1, 60 * MICROSECONDS_PER_SECOND, 3)
    refused = 0

    async def claim(number: int) -> None:
        nonlocal refused
        controller = random_source.choice(controllers)
        now = clock.now()
        request = Request(
            request_id=f"request-{number}",
            workspace="depot",
            pipeline="book",
            input=None,
            received=now,
            deadline=now + DEADLINE_SECONDS,
            key=f"key-{number}",
            digest="digest",
        )
        permit = await controller.claim(request)
        histogram.record_value(int((clock.now() - now) * MICROSECONDS_PER_SECOND))
        if not isinstance(permit, Permit):
            refused += 1
            return
        ran = random_source.random() >= GIVE_BACK_RATIO
        verdict = Verdict.RAN if ran else Verdict.NOT_RUN
        answer = Answer(request_id=request.request_id, verdict=verdict, result="r")
        controller.settle(permit, answer, verdict)

    # the shard layout is read once, with the first claim; it is not measured
    await claim(-1)
    store.calls.clear()
    store.written_bytes = 0
    processor = time.process_time()
    started = clock.now()
    tasks = []
    while clock.now() - started < seconds:
        tasks.append(asyncio.create_task(claim(len(tasks))))
        due = started + len(tasks) / rate
        await asyncio.sleep(max(0.0, due - clock.now()))
    await asyncio.gather(*tasks)
    elapsed = clock.now() - started
    cost = Cost(
        claims=len(tasks),
        seconds=elapsed,
        refused=refused,
        writes=store.calls["swap"] + store.calls["delete"],
        reads=store.calls["get"],
        written_bytes=store.written_bytes,
        median=histogram.get_value_at_percentile(50) / 1000,
        p99=histogram.get_value_at_percentile(99) / 1000,
        processor=time.process_time() - processor,
    )
    for controller in controllers:
        await controller.stop()
    return cost


def _create_settings(shards: int) -> Settings:
    lines = [
        "[instance]",
        "id = measured",
        "data_centre = north",
        "[platform]",
        "store = 127.0.0.1:1",
        "instances = 127.0.0.1:1",
        "[claims]",
        f"shards = {shards}",
        # the handover at the stop of an instance is not part of the measurement
        "handover_bytes = 0",
    ]
    return parse("\n".join(lines)).unwrap()


def main() -> None:
    """Print a Markdown table with one row for each request rate."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rates", default="5,20,100,300,900")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--shards", type=int, default=32)
    options = parser.parse_args()
    print("| claims/s | writes/claim | reads/claim | writes/s | KB/s written", end="")
    print(" | median ms | p99 ms | refused | processor, s per s |")
    print("|---|---|---|---|---|---|---|---|---|")
    for rate in options.rates.split(","):
        cost = asyncio.run(measure(float(rate), options.seconds, shards=options.shards))
        print(_format_row(cost), flush=True)


def _format_row(cost: Cost) -> str:
    cells = (
        f"{cost.claims / cost.seconds:.0f}",
        f"{cost.writes / cost.claims:.2f}",
        f"{cost.reads / cost.claims:.3f}",
        f"{cost.writes / cost.seconds:.0f}",
        f"{cost.written_bytes / cost.seconds / 1000:.0f}",
        f"{cost.median:.1f}",
        f"{cost.p99:.1f}",
        cost.refused,
        f"{cost.processor / cost.seconds:.2f}",
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


if __name__ == "__main__":
    main()
