"""Many lightweight fleet members in one process, next to the daemons measured.

Each member has the links, the failure detector and the configuration of a daemon, but
no callers, targets or operators' server. The instance list is read once for all of
them. Run with ``--platform``, ``--first`` and ``--count``; the process registers its
members and prints

- ``ready COUNT`` once they have started,
- ``in-force GENERATION SECONDS`` when all of them have reached a generation, with the
  time of the machine's monotonic clock,
- ``late SECONDS`` whenever the event loop lags by that much.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import time
from functools import partial
from typing import TYPE_CHECKING

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.settings import Settings, parse
from greengagelatch.targets.messages import LeavingQuery, TargetsLeaving
from greengagelatch_entry.adapters.instances import HttpInstanceList
from greengagelatch_entry.adapters.peers import PeerHub
from greengagelatch_entry.adapters.store import HttpStore
from greengagelatch_entry.controllers.configuration import (
    CONFIGURATION_CHANGED,
    ConfigurationController,
)
from greengagelatch_entry.controllers.listing import LISTING_RECEIVED
from greengagelatch_entry.metrics import Metrics

from ..fleets.instance_list import InstanceListClient, create_list_entry

if TYPE_CHECKING:
    from greengagelatch.config.snapshot import Snapshot
    from greengagelatch_entry.controllers import Controller

__all__ = ("DATA_CENTRES", "main")

STATSD = "127.0.0.1:9"
DATA_CENTRES = tuple(f"centre-{number:02d}" for number in range(11))
#: seconds between two reads of the instance list
LIST_SECONDS = 5.0
#: seconds between two checks of the event-loop lag
LAG_CHECK_SECONDS = 0.1
#: smallest event-loop lag in seconds that is reported
MIN_REPORTED_LAG = 0.2
#: timeout of platform calls in seconds
TIMEOUT_SECONDS = 10.0
SETTINGS = """
[instance]
id = {name}
data_centre = {data_centre}

[peers]
listen = 127.0.0.1:0

[platform]
store = {platform}
instances = {platform}
"""


class _Member:
    """One member with links, failure detection and configuration."""

    def __init__(self, number: int, platform: str) -> None:
        self.name = f"member-{number:04d}"
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        settings = self._read_settings(platform)
        self.events = EventBus()
        clock = SystemClock()
        metrics = Metrics(STATSD)
        random_source = random.Random(number)
        self.store = HttpStore(
            address=platform, timeout=TIMEOUT_SECONDS, metrics=metrics
        )
        self._hub = PeerHub(
            clock=clock,
            random_source=random_source,
            events=self.events,
            settings=settings,
            metrics=metrics,
        )
        # daemons repeat this query until a peer answers
        self._hub.handle(LeavingQuery, lambda sender, query: TargetsLeaving(()))
        self._hub.handle(TargetsLeaving, lambda sender, message: None)
        configuration = ConfigurationController(
            store=self.store,
            peers=self._hub,
            data_centre=self.data_centre,
            clock=clock,
            random_source=random_source,
            events=self.events,
            settings=settings,
            metrics=metrics,
        )
        self.controllers: tuple[Controller, ...] = (self._hub, configuration)

    def create_list_entry(self) -> dict[str, str]:
        """Return the member's entry in the platform's instance list."""
        address = f"127.0.0.1:{self._hub.port}"
        return create_list_entry(self.name, "entry", self.data_centre, address)

    def _read_settings(self, platform: str) -> Settings:
        text = SETTINGS.format(
            name=self.name, data_centre=self.data_centre, platform=platform
        )
        return parse(text).unwrap()


class _GenerationReporter:
    """Reports each configuration generation that all members have reached."""

    def __init__(self, members: list[_Member]) -> None:
        self._generations = {member.name: 0 for member in members}
        self._reported = 0
        for member in members:
            member.events.connect(
                CONFIGURATION_CHANGED, partial(self._record_generation, member)
            )

    def _record_generation(self, member: _Member, snapshot: Snapshot) -> None:
        self._generations[member.name] = snapshot.generation
        lowest = min(self._generations.values())
        if lowest > self._reported:
            self._reported = lowest
            print("in-force", lowest, time.monotonic(), flush=True)


async def _report_loop_lag() -> None:
    """Report event-loop lag, during which no member of this process can act."""
    while True:
        due = time.monotonic() + LAG_CHECK_SECONDS
        await asyncio.sleep(LAG_CHECK_SECONDS)
        lag = time.monotonic() - due
        if lag >= MIN_REPORTED_LAG:
            print("late", round(lag, 3), flush=True)


async def _run(platform: str, first: int, count: int) -> None:
    members = [_Member(first + n, platform) for n in range(count)]
    _GenerationReporter(members)
    for member in members:
        for controller in member.controllers:
            await controller.start()
    async with InstanceListClient(platform) as registry:
        await registry.put([member.create_list_entry() for member in members])
    print("ready", count, flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    instance_list = HttpInstanceList(
        address=platform, timeout=TIMEOUT_SECONDS, metrics=Metrics(STATSD)
    )
    lag_task = asyncio.create_task(_report_loop_lag())
    try:
        while not stopped.is_set():
            result = await instance_list.fetch()
            for member in members:
                if result.is_ok():
                    member.events.emit(LISTING_RECEIVED, result.ok_value)
            try:
                async with asyncio.timeout(LIST_SECONDS):
                    await stopped.wait()
            except TimeoutError:
                continue
    finally:
        lag_task.cancel()
        await instance_list.close()
        for member in members:
            await member.store.close()


def main() -> None:
    """Run members until SIGTERM; the process then exits without stopping them."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, required=True)
    options = parser.parse_args()
    loop = asyncio.new_event_loop()
    loop.run_until_complete(_run(options.platform, options.first, options.count))
    # closes the loop without waiting for the services, which were not stopped
    sys.stdout.flush()
    loop.close()


if __name__ == "__main__":
    main()
