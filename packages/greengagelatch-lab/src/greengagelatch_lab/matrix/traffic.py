"""Background requests of every run, besides the probe."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .clients import ClientRequest
from .objects import BOOKING

if TYPE_CHECKING:
    from .bench import Bench

__all__ = ("RECOVERY_SECONDS", "send_background_requests", "verify_recovery", "warm_up")

#: seconds between the first configuration in force and the first requests
WARM_UP_SECONDS = 1.5
#: seconds after the end of the fault within which the fleet must have recovered
RECOVERY_SECONDS = 12.0


async def warm_up(bench: Bench) -> None:
    """Send requests to each instance so that connections are established."""
    await asyncio.sleep(WARM_UP_SECONDS)
    for number, instance in enumerate(bench.instances):
        bench.call(ClientRequest(marker=f"warm-{number}"), instance)
        keyed = ClientRequest(marker=f"warm-key-{number}", pipeline=BOOKING, keyed=True)
        bench.call(keyed, instance)
    await bench.finish()
    await asyncio.sleep(0.3)


def send_background_requests(bench: Bench, number: int) -> None:
    """Send one request of each kind to each listening instance."""
    for place, instance in enumerate(bench.instances):
        if not instance.callers_server.listening:
            continue
        name = f"{number}-{place}"
        bench.call(ClientRequest(marker=f"draft-{name}"), instance)
        book = ClientRequest(marker=f"book-{name}", pipeline=BOOKING, stream=False)
        bench.call(book, instance)
        others = [one for one in bench.instances if one is not instance]
        keyed = ClientRequest(marker=f"keyed-{name}", pipeline=BOOKING, keyed=True)
        bench.call(keyed, instance, *others)
    _send_concurrent_duplicates(bench, number)


def _send_concurrent_duplicates(bench: Bench, number: int) -> None:
    """Send a keyed request to two instances concurrently."""
    listening = [one for one in bench.instances if one.callers_server.listening]
    request = ClientRequest(
        marker=f"twin-{number}", pipeline=BOOKING, keyed=True, marks_first_attempt=False
    )
    for instance in bench.random.sample(listening, min(2, len(listening))):
        bench.call(request, instance)


async def verify_recovery(
    bench: Bench, fault_ended: float, recovery_seconds: float = RECOVERY_SECONDS
) -> None:
    """Wait for recovery, then send requests that must all succeed."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, fault_ended + recovery_seconds - loop.time()))
    for place, instance in enumerate(bench.instances):
        if not instance.callers_server.listening or instance.stopping:
            continue
        requests = (
            ClientRequest(marker=f"last-draft-{place}"),
            ClientRequest(marker=f"last-keyed-{place}", pipeline=BOOKING, keyed=True),
        )
        for request in requests:
            bench.must_succeed.add(request.marker)
            bench.call(request, instance)
    await bench.finish()
