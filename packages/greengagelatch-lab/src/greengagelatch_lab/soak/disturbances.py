"""Disturbances of a fleet: silences, partitions, brittle targets, planned work."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp

from greengagelatch.relay.rate_limits import RECOVERY_SECONDS
from greengagelatch_entry.application import ExitCode

from ..platform_standins.announced_leaving import DRAIN_SECONDS
from ..platform_standins.deployment import API_KEY, HOST
from .callers import Caller
from .fleet import (
    BRITTLE_SERVICE,
    ENGINE_SERVICE,
    FIRST_VERSION,
    QUEUE,
    SERVE_SECONDS,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..platform_standins.fleet import Instance
    from ..platform_standins.target_links import PartitionForm
    from ..platform_standins.targets import SimulatedTarget
    from .callers import Outcome
    from .fleet import LinkedFleet

__all__ = (
    "BAD_PART",
    "BrittleTime",
    "BrokenStreams",
    "Cause",
    "ConfigurationChange",
    "CrashingPart",
    "Disturbance",
    "LeavingTarget",
    "LimitedTime",
    "Outage",
    "Partition",
    "Period",
    "Periods",
    "Reload",
    "Restart",
    "RestingTarget",
    "Silence",
    "find_instance",
    "is_starting",
)

#: seconds from which on brittle targets let fewer requests wait
CONTACT_SECONDS = 3.0
#: seconds from SIGTERM to SIGKILL; as in the instances' settings
GRACE_SECONDS = 8.0
#: seconds that a run takes at a brittle target, and the requests that may wait there
BRITTLE_SERVE_SECONDS, BRITTLE_QUEUE = 0.8, 1


#: path of the streams that may go on at another engine
RESUMABLE_PATH = "/draft"
#: prompt part that engines crash on
BAD_PART = "bad"
#: beginning of the ids of requests with that part; number and instance follow
CRASHING_PREFIX = "crashing-"
#: seconds between two of them at one instance
BETWEEN_CRASHING = 0.6
#: seconds until an engine that crashed is started again, and between two checks
DOWN_SECONDS, POLL_SECONDS = 1.0, 0.05
#: streams that callers take up after all instances were killed, and the seconds for
#: which these know that the engines of a version have left
OUTAGE_STREAMS, AFTER_LEAVING = 12, 1.0
#: text in the log of a process that aborted requests
REQUESTS_ABORTED = "requests aborted"


class Cause(Enum):
    """What happens in a period."""

    SILENCE = "silence"
    PARTITION = "partition"
    BRITTLE = "brittle"
    #: requests come with a prompt part that crashes engines
    CRASHING_PART = "crashing-part"
    #: targets name a rate
    LIMIT = "limit"
    CONFIGURATION = "configuration"
    RELOAD = "reload"
    #: from SIGTERM until the instance is ready again
    RESTART = "restart"
    #: a SIGKILL after the grace period
    KILL = "kill"
    #: a process has not ended within its grace period
    OVERDUE = "overdue"
    #: a target says in its answers that it leaves
    LEAVING = "leaving"
    #: a target rejects requests and asks for rest
    REST = "rest"
    #: all instances are killed at once, and start again
    OUTAGE = "outage"
    #: the process has ended, though nobody stopped it
    EXIT = "exit"


@dataclass(slots=True, kw_only=True)
class Period:
    """A time in which something is disturbed; times of the loop in seconds."""

    cause: Cause
    #: the instances; empty: all
    instances: tuple[str, ...] = ()
    #: the service; empty: all
    service: str = ""
    start: float
    end: float = float("inf")
    #: falls of targets in it
    falls: int = 0
    #: rate that targets name in it, in requests per second, and until when
    rate: float = 0.0
    named_until: float = float("inf")
    #: times at which targets crashed on a prompt part in it
    crashes: list[float] = field(default_factory=list)
    #: time and instance of each request with that part that has reached a target
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether a part of the period lies in the given time."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class Periods:
    """All periods of one run, in order of their start."""

    all: list[Period] = field(default_factory=list)

    def begin(self, cause: Cause, *instances: str, service: str = "") -> Period:
        """Begin a period now."""
        now = asyncio.get_running_loop().time()
        period = Period(cause=cause, instances=instances, service=service, start=now)
        self.all.append(period)
        return period

    def end(self, period: Period) -> None:
        """End a period now."""
        period.end = asyncio.get_running_loop().time()

    def find(self, *causes: Cause) -> Iterator[Period]:
        """Return the periods with one of the causes."""
        return (one for one in self.all if one.cause in causes)


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance(ABC):
    """One disturbance at a time after the start of the run, in seconds."""

    at: float

    @abstractmethod
    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Disturb a fleet, and end the disturbance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Silence(Disturbance):
    """A target falls silent for some times, shortly after each other."""

    target_id: str
    seconds: tuple[float, ...]
    pause: float
    #: events after which one response is silent too; 0: before it
    events: int

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Hold back the data of all connections to the target."""
        target = _find_target(fleet, self.target_id)
        for seconds in self.seconds:
            period = periods.begin(Cause.SILENCE, service=target.service)
            target.silences = [self.events]
            for links in fleet.links.values():
                links.pause(self.target_id)
            await asyncio.sleep(seconds)
            target.silences = []
            target.resume()
            for links in fleet.links.values():
                links.resume(self.target_id)
            periods.end(period)
            await asyncio.sleep(self.pause)


@dataclass(frozen=True, slots=True, kw_only=True)
class Partition(Disturbance):
    """Instances are cut off from the targets of a service; empty: from all."""

    instances: tuple[str, ...]
    form: PartitionForm
    service: str
    seconds: float

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Cut the links, and heal them."""
        period = periods.begin(Cause.PARTITION, *self.instances, service=self.service)
        for name in self.instances:
            await fleet.links[name].cut(self.form, self.service)
        await asyncio.sleep(self.seconds)
        for name in self.instances:
            await fleet.links[name].heal()
        periods.end(period)


@dataclass(frozen=True, slots=True, kw_only=True)
class BrittleTime(Disturbance):
    """The targets of a service are slow and say that they are brittle."""

    limit: int
    seconds: float

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Announce the limit first, and have less room later."""
        states = [one.brittleness for one in fleet.find_targets(BRITTLE_SERVICE)]
        before = sum(state.falls for state in states)
        period = periods.begin(Cause.BRITTLE, service=BRITTLE_SERVICE)
        for state in states:
            state.limit, state.serve_seconds = self.limit, BRITTLE_SERVE_SECONDS
        await asyncio.sleep(CONTACT_SECONDS)
        for state in states:
            state.later_queue = BRITTLE_QUEUE
        await asyncio.sleep(self.seconds - CONTACT_SECONDS)
        for state in states:
            state.limit, state.serve_seconds = None, SERVE_SECONDS
            state.later_queue = QUEUE
        period.falls = sum(state.falls for state in states) - before
        # those that have fallen are not back before
        await asyncio.sleep(max(state.down_seconds for state in states))
        periods.end(period)


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitedTime(Disturbance):
    """The targets of a service name a rate that they take."""

    rate: float
    seconds: float

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Let them name it, and no longer."""
        targets = fleet.find_targets(BRITTLE_SERVICE)
        period = periods.begin(Cause.LIMIT, service=BRITTLE_SERVICE)
        period.rate = self.rate
        for target in targets:
            target.announced_rate.value = str(self.rate)
        await asyncio.sleep(self.seconds)
        for target in targets:
            target.announced_rate.value = None
        period.named_until = asyncio.get_running_loop().time()
        # the end is known once the next request is permitted and answered
        await asyncio.sleep(1 / self.rate + RECOVERY_SECONDS)
        periods.end(period)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeavingTarget(Disturbance):
    """A target says in its answers that it leaves, before its entry does."""

    target_id: str
    seconds: float

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Let it say so, and start again under its id."""
        target = _find_target(fleet, self.target_id)
        period = periods.begin(Cause.LEAVING, service=target.service)
        target.announced_leaving.value = "1"
        await asyncio.sleep(self.seconds)
        target.register(fleet.store, "draining")
        await asyncio.sleep(DRAIN_SECONDS)
        await target.restart(fleet.store, cut=False)
        periods.end(period)


@dataclass(frozen=True, slots=True, kw_only=True)
class RestingTarget(Disturbance):
    """A target rejects requests and asks for rest."""

    target_id: str
    rest: float
    #: it rejects each request whose number this divides
    every: int
    seconds: float

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Let it reject requests, and wait until its last rest is over."""
        target = _find_target(fleet, self.target_id)
        period = periods.begin(Cause.REST, service=target.service)
        announced = target.announced_rest
        announced.value, announced.every = str(self.rest), self.every
        await asyncio.sleep(self.seconds)
        announced.value = None
        await asyncio.sleep(self.rest)
        periods.end(period)


@dataclass(frozen=True, slots=True, kw_only=True)
class Outage(Disturbance):
    """All instances are killed at once; engines of a version leave around that."""

    #: when they leave: before, while the instances are down, or never
    leaves: str

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Begin streams, kill all instances, and take the streams up after."""
        names = [one.name for one in fleet.instances]
        left = await self._begin_streams(fleet)
        if self.leaves == "before":
            _end_first_version(fleet)
            await asyncio.sleep(AFTER_LEAVING)
        kill = periods.begin(Cause.KILL, *names)
        outage = periods.begin(Cause.OUTAGE, *names)
        restart = periods.begin(Cause.RESTART, *names)
        await asyncio.gather(*map(fleet.kill, fleet.instances))
        periods.end(kill)
        if self.leaves == "meanwhile":
            _end_first_version(fleet)
        for instance in fleet.instances:
            await fleet.launch(instance)
        for instance in fleet.instances:
            await fleet.wait_ready(instance)
        periods.end(restart)
        async with asyncio.TaskGroup() as group:
            for number, outcome in enumerate(left):
                caller = _create_caller(fleet, f"up-{number}", number)
                group.create_task(caller.take_up(outcome))
        for engine in _list_first_version(fleet):
            await engine.restart(fleet.store, cut=False)
        periods.end(outage)

    async def _begin_streams(self, fleet: LinkedFleet) -> list[Outcome]:
        callers = [
            _create_caller(fleet, f"outage-{number}", number)
            for number in range(OUTAGE_STREAMS)
        ]
        begun = await asyncio.gather(*(one.begin_stream() for one in callers))
        return [one for one in begun if one is not None]


@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenStreams(Disturbance):
    """Engines break streams that may go on elsewhere, after some events."""

    count: int

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Break the next streams, at whatever engines they are."""
        breaks = [1 + number % 3 for number in range(self.count)]
        for engine in fleet.find_targets(ENGINE_SERVICE):
            engine.breaks, engine.broken_path = breaks, RESUMABLE_PATH
            # a stream may be sent to two engines only
            engine.breaks_resumed = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashingPart(Disturbance):
    """Requests come whose prompts have a part that crashes engines."""

    #: shared parts; one of them is ``bad``
    parts: tuple[str, ...]
    seconds: float

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Send such requests to all instances, and restart the engines that crash."""
        engines = fleet.find_targets(ENGINE_SERVICE)
        period = periods.begin(Cause.CRASHING_PART, service=ENGINE_SERVICE)
        for engine in engines:
            engine.crashed_by_parts = frozenset({BAD_PART})
        try:
            async with asyncio.timeout(self.seconds), asyncio.TaskGroup() as group:
                for engine in engines:
                    group.create_task(_keep_restarting(engine, fleet))
                for instance in fleet.instances:
                    group.create_task(self._send_forever(instance))
        except TimeoutError:
            pass
        for engine in engines:
            engine.crashed_by_parts = frozenset()
            period.crashes += engine.part_crashes
            period.arrivals += _list_crashing_arrivals(engine)
            if not engine.is_serving():
                await engine.restart(fleet.store)
        period.crashes.sort()
        periods.end(period)

    async def _send_forever(self, instance: Instance) -> None:
        prompt = ",".join(f"{part}:20" for part in self.parts)
        async with aiohttp.ClientSession() as session:
            for number in itertools.count():
                lines = {
                    "Host": HOST,
                    "Authorization": f"Bearer {API_KEY}",
                    "X-Attempt-Id": f"{CRASHING_PREFIX}{number}-{instance.name}",
                    "X-Deadline-Ms": "3000",
                    "X-Model": "m",
                    "X-Token-Counts": "100,20",
                    "X-Prefix-Hash": f"{prompt},own-{number}:20",
                }
                url = f"http://{instance.front}/scan/{instance.name}-{number}"
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.post(url, headers=lines) as response:
                        await response.read()
                await asyncio.sleep(BETWEEN_CRASHING)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange(Disturbance):
    """The operator writes a new version."""

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Write it."""
        period = periods.begin(Cause.CONFIGURATION)
        fleet.change_configuration()
        periods.end(period)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reload(Disturbance):
    """An instance gets SIGHUP."""

    instance: str

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Send it, unless the process is about to be started again."""
        instance = find_instance(fleet, self.instance)
        if instance.process.returncode is not None or is_starting(periods, instance):
            return
        period = periods.begin(Cause.RELOAD, self.instance)
        instance.process.send_signal(signal.SIGHUP)
        periods.end(period)


@dataclass(frozen=True, slots=True, kw_only=True)
class Restart(Disturbance):
    """An instance gets SIGTERM and is started again at the same address."""

    instance: str

    async def run(self, fleet: LinkedFleet, periods: Periods) -> None:
        """Stop it, kill it after the grace period, and start it again."""
        instance = find_instance(fleet, self.instance)
        if is_starting(periods, instance):
            return
        if instance.process.returncode is not None:
            periods.end(periods.begin(Cause.EXIT, self.instance))
        period = periods.begin(Cause.RESTART, self.instance)
        if instance.process.returncode is None:
            instance.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                code = await instance.process.wait()
        except TimeoutError:
            periods.end(periods.begin(Cause.OVERDUE, self.instance))
            periods.end(periods.begin(Cause.KILL, self.instance))
            await fleet.kill(instance)
            code = 0
        if not _has_stopped(instance, code):
            periods.end(periods.begin(Cause.EXIT, self.instance))
        await fleet.launch(instance)
        await fleet.wait_ready(instance)
        periods.end(period)


def is_starting(periods: Periods, instance: Instance) -> bool:
    """Return whether an instance is stopped, or may not have run its first lines."""
    return any(
        instance.name in one.instances and one.end == float("inf")
        for one in periods.find(Cause.RESTART)
    )


def _create_caller(fleet: LinkedFleet, name: str, number: int) -> Caller:
    """Create a caller of one of the instances, in turn."""
    instance = fleet.instances[number % len(fleet.instances)]
    return Caller(
        f"{instance.name}-{name}",
        instance.name,
        instance.front,
        None,
        fleet.outcomes.append,
    )


def _list_first_version(fleet: LinkedFleet) -> list[SimulatedTarget]:
    return [
        one
        for one in fleet.find_targets(ENGINE_SERVICE)
        if one.software_version == FIRST_VERSION
    ]


def _end_first_version(fleet: LinkedFleet) -> None:
    """Remove the entries of the engines of a version, which serve a while longer."""
    for engine in _list_first_version(fleet):
        fleet.store.remove(f"servers/{engine.target_id}")


def _find_target(fleet: LinkedFleet, target_id: str) -> SimulatedTarget:
    [found] = [one for one in fleet.targets if one.target_id == target_id]
    return found


def _has_stopped(instance: Instance, code: int) -> bool:
    """Return whether an exit code is that of a stop without a fault."""
    if code == ExitCode.FINISHED:
        return True
    # requests that outlast the grace period are aborted just before its end
    return code == ExitCode.FAILED and REQUESTS_ABORTED in instance.read_log()


async def _keep_restarting(engine: SimulatedTarget, fleet: LinkedFleet) -> None:
    """Start an engine again some time after each crash."""
    while True:
        await asyncio.sleep(POLL_SECONDS)
        if not engine.is_serving():
            await asyncio.sleep(DOWN_SECONDS)
            await engine.restart(fleet.store)


def _list_crashing_arrivals(engine: SimulatedTarget) -> list[tuple[float, str]]:
    """Return time and instance of the requests with the crashing part."""
    return [
        (arrived_at, request_id.removeprefix(CRASHING_PREFIX).partition("-")[2])
        for request_id, arrived_at in engine.arrived_at.items()
        if request_id.startswith(CRASHING_PREFIX)
    ]


def find_instance(fleet: LinkedFleet, name: str) -> Instance:
    """Return the instance with a name."""
    [found] = [one for one in fleet.instances if one.name == name]
    return found
