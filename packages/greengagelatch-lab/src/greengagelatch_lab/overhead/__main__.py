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
from ..fleets.instance_list import InstanceListClient, create_list_entry
from ..processes import Process, ProcessGroup
from .echo import TOKENS
from .request_paths import (
    RequestPath,
    Throughput,
    measure_latencies,
    measure_throughput,
)

PLATFORM = "greengagelatch_lab.standins.platform"
ECHO = "greengagelatch_lab.overhead.echo"
PASS_THROUGH = "greengagelatch_lab.overhead.pass_through"
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
WARM_UP_ROUNDS = 200
LATENCY_ROUNDS = 600
THROUGHPUT_ROUNDS = 3
THROUGHPUT_SECONDS = 3.0
#: request paths whose throughput is measured
THROUGHPUT_PATHS = ("passing", "one", "keyed", "stream")
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
            paths = await _start(group)
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                print(json.dumps(await _measure(session, paths)), flush=True)


async def _start(group: ProcessGroup) -> dict[str, RequestPath]:
    platform = await group.run_module("platform", PLATFORM)
    echo = await group.run_module("echo", ECHO, ANY_PORT)
    pass_through = await group.run_module("passing", PASS_THROUGH, ANY_PORT, echo.ready)
    daemon = Daemon(
        "entry-1",
        DATA_CENTRE,
        directory=group.directory,
        platform=platform.ready,
        settings={"drain.balancer_lag": "0", "drain.longest": "5"},
    )
    group.processes.append(daemon.process)
    await daemon.start()
    async with InstanceListClient(platform.ready) as registry:
        targets = [
            create_list_entry(name, "target", DATA_CENTRE, echo.ready, service=service)
            for name, service in (("target-1", SERVICE), ("target-2", ENGINE))
        ]
        await registry.put([*targets, daemon.create_list_entry()])
    await _apply(group, daemon)
    paths = {
        "direct": _create_target_path("direct", echo),
        "passing": _create_target_path("passing", pass_through),
    }
    for pipeline in ("one", "three", "once"):
        paths[pipeline] = _create_daemon_path(pipeline, daemon)
    paths["keyed"] = replace(paths["one"], name="keyed", has_idempotency_key=True)
    paths["stream"] = _create_daemon_path("stream", daemon, stream=True)
    await _wait_ready(paths["one"])
    await _wait_ready(paths["stream"])
    return paths


async def _apply(group: ProcessGroup, daemon: Daemon) -> None:
    path = group.directory / "objects.ini"
    path.write_text(OBJECTS, encoding="utf-8")
    command = ("-m", CLIENT, "apply", str(path), "--wait")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        "--server",
        daemon.entry.operator_address,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(
            f"applying objects failed: {output.decode(errors='replace')}"
        )


def _create_target_path(name: str, process: Process) -> RequestPath:
    return RequestPath(
        name=name,
        url=f"http://{process.ready}/call",
        headers={"Content-Type": "application/json"},
        body=json.dumps(CALL).encode(),
        pid=process.pid,
    )


def _create_daemon_path(
    pipeline: str, daemon: Daemon, *, stream: bool = False
) -> RequestPath:
    return RequestPath(
        name=pipeline,
        url=f"http://{daemon.entry.caller_address}/v1/pipelines/{pipeline}",
        headers={"X-Workspace": WORKSPACE, "X-Deadline-Ms": "5000"},
        body=json.dumps({"input": CALL["input"], "stream": stream}).encode(),
        pid=daemon.process.pid,
        stream=stream,
    )


async def _wait_ready(path: RequestPath) -> None:
    """Wait until a request succeeds: the daemon knows its target and objects."""
    async with asyncio.timeout(READY_TIMEOUT), aiohttp.ClientSession() as session:
        while True:
            async with session.post(
                path.url, data=path.body, headers=path.headers
            ) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.1)


async def _measure(
    session: aiohttp.ClientSession, paths: dict[str, RequestPath]
) -> dict[str, float]:
    # the latency of a stream is dominated by its token interval
    compared = [path for path in paths.values() if not path.stream]
    await measure_latencies(session, compared, WARM_UP_ROUNDS)
    medians = await measure_latencies(session, compared, LATENCY_ROUNDS)
    throughputs: dict[str, list[Throughput]] = {name: [] for name in THROUGHPUT_PATHS}
    for _ in range(THROUGHPUT_ROUNDS):
        for name, samples in throughputs.items():
            samples.append(
                await measure_throughput(session, paths[name], THROUGHPUT_SECONDS)
            )
    figures = {f"{name}_ms": value for name, value in medians.items()}
    direct = medians["direct"]
    figures["passing_added_ms"] = medians["passing"] - direct
    figures["added_one_stage_ms"] = medians["one"] - direct
    figures["added_per_stage_of_three_ms"] = medians["three"] / STAGES - direct
    figures["added_once_ms"] = medians["once"] - direct
    figures["added_keyed_ms"] = medians["keyed"] - direct
    for name, samples in throughputs.items():
        per_second = [throughput.per_second for throughput in samples]
        per_core_second = [throughput.per_core_second for throughput in samples]
        figures[f"{name}_per_second"] = statistics.median(per_second)
        figures[f"{name}_per_core_second"] = statistics.median(per_core_second)
    for unit in ("per_second", "per_core_second"):
        ratio = figures[f"one_{unit}"] / figures[f"passing_{unit}"]
        figures[f"{unit}_ratio"] = ratio
    tokens = figures["stream_per_core_second"] * TOKENS
    figures["token_us"] = MICROSECONDS / tokens
    return {name: round(value, 3) for name, value in figures.items()}


if __name__ == "__main__":
    asyncio.run(main())
