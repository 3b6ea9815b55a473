"""Run by ``python -m greengagelatch_lab.overhead``; prints one line of JSON.

One target, one pass-through proxy, one daemon and the simulated platform run as
separate processes. All medians and ratios of a line come from the same run.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import aiohttp

from ..fleets.daemon import Daemon
from ..fleets.registry import Registry, describe_instance
from ..processes import Process, ProcessGroup
from .echo import TOKENS
from .ways import Rate, Way, measure_latencies, measure_rate

PLATFORM = "greengagelatch_lab.standins.platform"
ECHO = "greengagelatch_lab.overhead.echo"
PASSING = "greengagelatch_lab.overhead.passing"
CLIENT = "greengagelatch_cli"
ANY_PORT = "127.0.0.1:0"
DATA_CENTRE = "tutuban-hall"
SERVICE = "lathe-desk"
ENGINE = "planner-llm"
WORKSPACE = "metro-east"
#: number of stages of the pipeline "three"
STAGES = 3

OBJECTS = f"""
[service:{SERVICE}]
kind = plain

[service:{ENGINE}]
kind = generate

[workspace:{WORKSPACE}]

[pipeline:one]
stages = first

[stage:one/first]
kind = plain
service = {SERVICE}

[pipeline:three]
stages = first, second, third

[stage:three/first]
kind = plain
service = {SERVICE}

[stage:three/second]
kind = plain
service = {SERVICE}
inputs = first

[stage:three/third]
kind = plain
service = {SERVICE}
inputs = second

[pipeline:once]
stages = first

[stage:once/first]
kind = plain
service = {SERVICE}
repeatable = no

[pipeline:stream]
stages = first

[stage:stream/first]
kind = generate
service = {ENGINE}
"""

MICROSECONDS = 1_000_000
#: rounds of requests before and during the latency measurement
WARM_UP = 200
LATENCY_ROUNDS = 600
RATE_ROUNDS = 3
RATE_SECONDS = 3.0
#: request paths whose throughput is measured
RATED = ("passing", "one", "keyed", "stream")
#: seconds until the daemon must answer a first request
READY_TIMEOUT = 20.0

CALL = {
    "attempt": "attempt-1",
    "request": "request-1",
    "stage": "first",
    "workspace": WORKSPACE,
    "pipeline": "one",
    "kind": "plain",
    "input": {"set": 4},
    "repeatable": True,
    "budget_ms": 5000,
    "priority": 0,
    "stream": False,
    "resume_at": 0,
}


async def main() -> None:
    """Start all processes, run the benchmark and print its figures as JSON."""
    with tempfile.TemporaryDirectory() as name:
        async with ProcessGroup(Path(name)) as group:
            ways = await _start(group)
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                print(json.dumps(await _measure(session, ways)), flush=True)


async def _start(group: ProcessGroup) -> dict[str, Way]:
    platform = await group.run_module("platform", PLATFORM)
    echo = await group.run_module("echo", ECHO, ANY_PORT)
    passing = await group.run_module("passing", PASSING, ANY_PORT, echo.ready)
    daemon = Daemon(
        "entry-1",
        DATA_CENTRE,
        directory=group.directory,
        platform=platform.ready,
        settings={"drain.balancer_lag": "0", "drain.longest": "5"},
    )
    group.processes.append(daemon.process)
    await daemon.start()
    async with Registry(platform.ready) as registry:
        targets = [
            describe_instance(name, "target", DATA_CENTRE, echo.ready, service=service)
            for name, service in (("target-1", SERVICE), ("target-2", ENGINE))
        ]
        await registry.put([*targets, daemon.describe()])
    await _apply(group, daemon)
    ways = {
        "direct": _create_call("direct", echo),
        "passing": _create_call("passing", passing),
    }
    for pipeline in ("one", "three", "once"):
        ways[pipeline] = _create_request(pipeline, daemon)
    ways["keyed"] = replace(ways["one"], name="keyed", keyed=True)
    ways["stream"] = _create_request("stream", daemon, stream=True)
    await _wait_ready(ways["one"])
    await _wait_ready(ways["stream"])
    return ways


async def _apply(group: ProcessGroup, daemon: Daemon) -> None:
    path = group.directory / "objects.ini"
    path.write_text(OBJECTS, encoding="utf-8")
    command = ("-m", CLIENT, "apply", str(path), "--wait")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        "--server",
        daemon.entry.operators,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(
            f"applying objects failed: {output.decode(errors='replace')}"
        )


def _create_call(name: str, process: Process) -> Way:
    return Way(
        name=name,
        url=f"http://{process.ready}/call",
        headers={"Content-Type": "application/json"},
        body=json.dumps(CALL).encode(),
        pid=process.pid,
    )


def _create_request(pipeline: str, daemon: Daemon, *, stream: bool = False) -> Way:
    return Way(
        name=pipeline,
        url=f"http://{daemon.entry.callers}/v1/pipelines/{pipeline}",
        headers={"X-Workspace": WORKSPACE, "X-Deadline-Ms": "5000"},
        body=json.dumps({"input": CALL["input"], "stream": stream}).encode(),
        pid=daemon.process.pid,
        stream=stream,
    )


async def _wait_ready(way: Way) -> None:
    """Wait until a request succeeds: the daemon knows its target and objects."""
    async with asyncio.timeout(READY_TIMEOUT), aiohttp.ClientSession() as session:
        while True:
            async with session.post(
                way.url, data=way.body, headers=way.headers
            ) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.1)


async def _measure(
    session: aiohttp.ClientSession, ways: dict[str, Way]
) -> dict[str, float]:
    # the latency of a stream is dominated by its token interval
    compared = [way for way in ways.values() if not way.stream]
    await measure_latencies(session, compared, WARM_UP)
    medians = await measure_latencies(session, compared, LATENCY_ROUNDS)
    rates: dict[str, list[Rate]] = {name: [] for name in RATED}
    for _ in range(RATE_ROUNDS):
        for name, found in rates.items():
            found.append(await measure_rate(session, ways[name], RATE_SECONDS))
    figures = {f"{name}_ms": value for name, value in medians.items()}
    direct = medians["direct"]
    figures["passing_added_ms"] = medians["passing"] - direct
    figures["added_one_stage_ms"] = medians["one"] - direct
    figures["added_per_stage_of_three_ms"] = medians["three"] / STAGES - direct
    figures["added_once_ms"] = medians["once"] - direct
    figures["added_keyed_ms"] = medians["keyed"] - direct
    for name, found in rates.items():
        seconds = [rate.per_second for rate in found]
        cores = [rate.per_core_second for rate in found]
        figures[f"{name}_per_second"] = statistics.median(seconds)
        figures[f"{name}_per_core_second"] = statistics.median(cores)
    for unit in ("per_second", "per_core_second"):
        ratio = figures[f"one_{unit}"] / figures[f"passing_{unit}"]
        figures[f"{unit}_ratio"] = ratio
    tokens = figures["stream_per_core_second"] * TOKENS
    figures["token_us"] = MICROSECONDS / tokens
    return {name: round(value, 3) for name, value in figures.items()}


if __name__ == "__main__":
    asyncio.run(main())
