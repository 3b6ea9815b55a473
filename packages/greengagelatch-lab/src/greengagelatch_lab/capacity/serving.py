"""Benchmarks requests, streamed tokens and load polls at one daemon."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import aiohttp

from ..fleets.daemon import Daemon
from ..fleets.instance_list import InstanceListClient, create_list_entry
from ..processes import Process, ProcessGroup
from .fits import Point, Series
from .meters import ProcessMeter

__all__ = ("measure_in_flight", "measure_polls", "measure_requests", "measure_tokens")

PLATFORM = "greengagelatch_lab.standins.platform"
ECHO = "greengagelatch_lab.overhead.echo"
ENGINE = "greengagelatch_lab.standins.engine"
PLAIN = "greengagelatch_lab.standins.plain"
ANY_PORT = "127.0.0.1:0"
DATA_CENTRE = "tutuban-hall"
WORKSPACE = "metro-east"
STAGES = (1, 3, 6)
RATES = (13, 50, 100)
TOKENS = (20, 200, 400)
STREAMS_PER_SECOND = 8
IN_FLIGHT = (0, 40, 80, 160)
POLL_RATES = (1, 20, 60)
POLL_TARGETS = 400
POLL_SERVICES = 20
#: duration of each measurement, and of the warm-up before polls, in seconds
MEASUREMENT_SECONDS = 6.0
SETTLE_SECONDS = 3.0
DEADLINE_MS = 20_000
#: number of targets as which one process is listed: concurrency limits adapt for each
#: target and start low
ALIAS_COUNT = 40
SUBSET_SETTINGS = {"targets.subset": str(ALIAS_COUNT)}
#: seconds until the daemon must answer a first request
READY_TIMEOUT = 20.0
CAPACITY = 1024
#: milliseconds that a call takes at the service whose requests stay in flight
SLOW_MS = 6000
SETTINGS = {"drain.balancer_lag": "0", "drain.longest": "8", "log.level": "requests"}


@dataclass(slots=True)
class _TestEnvironment:
    """One daemon under test with its simulated platform and targets."""

    group: ProcessGroup
    session: aiohttp.ClientSession
    daemon: Daemon
    platform: Process

    @classmethod
    async def start(
        cls,
        group: ProcessGroup,
        session: aiohttp.ClientSession,
        name: str,
        targets: Sequence[dict[str, str]],
        settings: Mapping[str, str],
        objects: str,
    ) -> _TestEnvironment:
        """Start platform and daemon and wait until a request succeeds."""
        platform = await group.run_module(f"{name}-platform", PLATFORM)
        daemon = Daemon(
            name,
            DATA_CENTRE,
            directory=group.directory,
            platform=platform.ready,
            settings={**SETTINGS, **settings},
        )
        group.processes.append(daemon.process)
        await daemon.start()
        async with InstanceListClient(platform.ready) as registry:
            await registry.put([*targets, daemon.create_list_entry()])
        environment = cls(group, session, daemon, platform)
        await environment._apply(objects)
        await environment._wait_ready()
        return environment

    async def call(self, pipeline: str, *, stream: bool, tokens: int = 1) -> None:
        """Send one request and read its whole response."""
        url = f"http://{self.daemon.entry.caller_address}/v1/pipelines/{pipeline}"
        headers = {"X-Workspace": WORKSPACE, "X-Deadline-Ms": str(DEADLINE_MS)}
        body = {"input": {"tokens": tokens}, "stream": stream}
        data = json.dumps(body).encode()
        async with self.session.post(url, data=data, headers=headers) as response:
            answer = await response.read()
        if response.status != 200 or b"event: refusal" in answer:
            raise RuntimeError(
                f"{pipeline}: status {response.status}: {answer[-300:]!r}"
            )

    async def call_at_rate(
        self, rate: float, number: int, pipeline: str, **options
    ) -> None:
        """Start ``number`` requests at a fixed rate and wait for all of them."""
        begun = time.monotonic()
        calls = []
        for index in range(number):
            await asyncio.sleep(max(0.0, begun + index / rate - time.monotonic()))
            calls.append(asyncio.create_task(self.call(pipeline, **options)))
        await asyncio.gather(*calls)

    async def read_counters(self) -> dict[str, int]:
        """Return the daemon's counters."""
        url = f"http://{self.daemon.entry.operator_address}/dump"
        async with self.session.get(url) as response:
            return (await response.json())["metrics"]["counters"]

    async def _apply(self, objects: str) -> None:
        url = f"http://{self.daemon.entry.operator_address}/changes"
        body = {"change_id": "objects", "mode": "apply", "text": objects}
        async with self.session.post(url, json=body) as response:
            answer = await response.json()
        if answer.get("state") != "settled":
            raise RuntimeError(f"change of the objects did not settle: {answer}")

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT):
            while True:
                try:
                    await self.call("ready", stream=False)
                except RuntimeError:
                    await asyncio.sleep(0.1)
                    continue
                return


async def measure_requests(
    group: ProcessGroup,
    stages: Sequence[int] = STAGES,
    rates: Sequence[float] = RATES,
    seconds: float = MEASUREMENT_SECONDS,
) -> Series:
    """Serve unary requests to pipelines of several lengths at several rates."""
    echo = await group.run_module("echo", ECHO, ANY_PORT)
    objects = _format_objects("plain", {f"p{n}": n for n in stages})
    async with _open_session() as session:
        environment = await _TestEnvironment.start(
            group, session, "requests", [_create_list_entry(echo)], {}, objects
        )
        idle_ms = await _measure_idle(environment, seconds)
        points = []
        for count in stages:
            for rate in rates:
                number = max(5, int(rate * seconds))
                meter = ProcessMeter(environment.daemon.process.pid)
                begun = time.monotonic()
                await environment.call_at_rate(rate, number, f"p{count}", stream=False)
                cpu_ms = meter.read_cpu_ms() - idle_ms * (time.monotonic() - begun)
                figures = {"cpu_ms": cpu_ms / number}
                point = Point(drivers={"stages": count, "rate": rate}, figures=figures)
                points.append(point)
    return Series(
        role="serving, one whole answer",
        points=points,
        fit_drivers={"cpu_ms": ("stages", "rate")},
    )


async def measure_tokens(
    group: ProcessGroup,
    tokens: Sequence[int] = TOKENS,
    rate: float = STREAMS_PER_SECOND,
    seconds: float = MEASUREMENT_SECONDS,
) -> Series:
    """Serve streamed responses of several lengths."""
    engine = await group.run_module(
        "engine",
        ENGINE,
        f"--capacity={CAPACITY}",
        "--tokens-ms=5",
        "--batch-growth=0",
        "--prefill-ms=1",
    )
    objects = _format_objects("generate", {"p1": 1})
    async with _open_session() as session:
        environment = await _TestEnvironment.start(
            group,
            session,
            "tokens",
            _create_alias_entries(engine),
            SUBSET_SETTINGS,
            objects,
        )
        idle_ms = await _measure_idle(environment, seconds)
        points = []
        for count in tokens:
            number = max(3, int(rate * seconds))
            meter = ProcessMeter(environment.daemon.process.pid)
            begun = time.monotonic()
            await environment.call_at_rate(
                rate, number, "p1", stream=True, tokens=count
            )
            elapsed = time.monotonic() - begun
            cpu_ms = meter.read_cpu_ms() - idle_ms * elapsed
            figures = {
                "cpu_ms": cpu_ms / number,
                "tokens_per_s": number * count / elapsed,
            }
            points.append(Point(drivers={"tokens": count}, figures=figures))
    return Series(
        role="serving, one streamed answer of one stage",
        points=points,
        fit_drivers={"cpu_ms": ("tokens",)},
    )


async def measure_in_flight(
    group: ProcessGroup, counts: Sequence[int] = IN_FLIGHT, slow_ms: int = SLOW_MS
) -> Series:
    """Measure memory with a growing number of requests in flight."""
    slow = await group.run_module(
        "slow",
        PLAIN,
        f"--capacity={CAPACITY}",
        f"--queue={CAPACITY}",
        f"--service-ms={slow_ms}",
    )
    echo = await group.run_module("quick", ECHO, ANY_PORT)
    # long calls of a repeatable stage would be hedged
    objects = _format_objects("plain", {"p1": 1}, ready="quick", repeatable="no")
    targets = [*_create_alias_entries(slow), _create_list_entry(echo, service="quick")]
    async with _open_session() as session:
        environment = await _TestEnvironment.start(
            group, session, "in-flight", targets, SUBSET_SETTINGS, objects
        )
        points = []
        for count in counts:
            calls = [
                asyncio.create_task(environment.call("p1", stream=False))
                for _ in range(count)
            ]
            await asyncio.sleep(slow_ms / 2000)
            memory = ProcessMeter(environment.daemon.process.pid).read_mb()
            await asyncio.gather(*calls)
            figures = {"memory_mb": memory}
            points.append(Point(drivers={"in_flight": count}, figures=figures))
    return Series(
        role="serving, requests in flight",
        points=points,
        fit_drivers={"memory_mb": ("in_flight",)},
    )


async def measure_polls(
    group: ProcessGroup,
    rates: Sequence[float] = POLL_RATES,
    targets: int = POLL_TARGETS,
    seconds: float = MEASUREMENT_SECONDS,
) -> Series:
    """Poll the load of many targets, all served by one process."""
    echo = await group.run_module("polled", ECHO, ANY_PORT)
    rows = [
        _create_list_entry(echo, number, f"service-{number % POLL_SERVICES}")
        for number in range(targets)
    ]
    rows.append(_create_list_entry(echo))
    points = []
    async with _open_session() as session:
        for rate in rates:
            environment = await _TestEnvironment.start(
                group,
                session,
                f"polls-{rate:g}",
                rows,
                {"targets.load_rate": str(rate), "targets.load_interval": "0.1"},
                _format_objects("plain", {"p1": 1}),
            )
            await asyncio.sleep(SETTLE_SECONDS)
            before = await environment.read_counters()
            meter = ProcessMeter(environment.daemon.process.pid)
            await asyncio.sleep(seconds)
            cpu_percent = meter.read_cpu_percent()
            after = await environment.read_counters()
            polls = after["targets.polls"] - before["targets.polls"]
            await environment.daemon.process.stop()
            point = Point(
                drivers={"polls_per_s": polls / seconds},
                figures={"cpu_percent": cpu_percent},
            )
            points.append(point)
    return Series(
        role="load reports asked for by one daemon",
        points=points,
        fit_drivers={"cpu_percent": ("polls_per_s",)},
    )


async def _measure_idle(environment: _TestEnvironment, seconds: float) -> float:
    """Return the idle processor time in milliseconds per second."""
    meter = ProcessMeter(environment.daemon.process.pid)
    await asyncio.sleep(seconds)
    return meter.read_cpu_ms() / seconds


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000 + 5),
    )


def _create_list_entry(
    process: Process, number: int = 0, service: str = "service"
) -> dict[str, str]:
    return create_list_entry(
        f"{service}-{number}", "target", DATA_CENTRE, process.ready, service=service
    )


def _create_alias_entries(process: Process) -> list[dict[str, str]]:
    return [_create_list_entry(process, number) for number in range(ALIAS_COUNT)]


def _format_objects(
    kind: str,
    pipelines: Mapping[str, int],
    ready: str = "service",
    repeatable: str = "yes",
) -> str:
    rows = [f"[service:service]\nkind = {kind}\n", f"[workspace:{WORKSPACE}]\n"]
    if ready != "service":
        rows.append(f"[service:{ready}]\nkind = plain\n")
    rows.append(_format_pipeline("ready", 1, kind, ready, "yes"))
    for name, stages in pipelines.items():
        rows.append(_format_pipeline(name, stages, kind, "service", repeatable))
    return "\n".join(rows)


def _format_pipeline(
    name: str, stages: int, kind: str, service: str, repeatable: str
) -> str:
    names = [f"s{number}" for number in range(stages)]
    rows = [f"[pipeline:{name}]\nstages = {', '.join(names)}\n"]
    for number, stage in enumerate(names):
        inputs = f"inputs = {names[number - 1]}\n" if number else ""
        rows.append(
            f"[stage:{name}/{stage}]\nkind = {kind}\nservice = {service}\n"
            f"repeatable = {repeatable}\n{inputs}"
        )
    return "\n".join(rows)
