"""Tests of the platform program as processes with stand-ins for the platform."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import socket

import aiohttp
import pytest

from greengagelatch_lab.platform_standins.deployment import (
    API_KEY,
    HOST,
    create_configuration,
)
from greengagelatch_lab.platform_standins.fleet import (
    PlatformFleet,
    find_free_addresses,
)
from greengagelatch_lab.platform_standins.store import StoreFault
from greengagelatch_lab.platform_standins.targets import EVENTS

pytestmark = [pytest.mark.processes, pytest.mark.timeout(180)]

#: timeout of every wait in seconds
WAIT_SECONDS = 60


@pytest.fixture
async def fleet(tmp_path):
    created = PlatformFleet(tmp_path, count=3)
    try:
        await created.start()
        yield created
    finally:
        await created.stop()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as created:
        yield created


async def ask(
    session, instance, path="/look/1", *, key=API_KEY, **headers
) -> int | str:
    """Return the status of one request, or the error that interrupted it."""
    lines = {
        "Host": HOST,
        "X-Attempt-Id": headers.pop("request_id", "r-1"),
        "X-Deadline-Ms": "2500",
        "Authorization": f"Bearer {key}",
        **headers,
    }
    method = "GET" if path.startswith("/look") else "POST"
    try:
        async with session.request(
            method, f"http://{instance.front}{path}", headers=lines
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError as error:
        return f"{type(error).__name__}: {error}"


async def wait_for_status(session, instance, status: int, **fields) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while await ask(session, instance, **fields) != status:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def read_log(instance, kind: str) -> list[dict]:
    lines = []
    for line in instance.read_log().splitlines():
        if not line.startswith("{"):
            continue
        fields = json.loads(line)
        if fields["message_type"] == f"greengagelatch:{kind}":
            lines.append(fields)
    return lines


def find_log_message(instance, text: str) -> bool:
    return any(text in str(line["message"]) for line in read_log(instance, "log"))


def knows_version(instance, version: int) -> bool:
    lines = read_log(instance, "configuration")
    return any(line["version"] == version for line in lines)


def count_runs(engines) -> int:
    return sum(engine.runs.total() for engine in engines)


async def wait_until(condition) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def wait_for_log_message(instance, text: str) -> None:
    await wait_until(lambda: find_log_message(instance, text))


async def wait_for_version(instance, version: int) -> None:
    """Wait until an instance uses a version of the configuration."""
    await wait_until(lambda: knows_version(instance, version))


async def extend_timeouts(fleet, instance) -> None:
    """Configure timeouts that are longer than a stop, even on a loaded machine."""
    fleet.store.put("op/config", create_configuration(4, timeout_ms=60_000))
    await wait_for_version(instance, 4)


async def wait_for_runs(engines, count: int) -> None:
    """Wait until engines have begun to run a number of requests."""
    await wait_until(lambda: count_runs(engines) >= count)


class KeepAliveCaller:
    """Sends streaming requests in sequence on one connection until it is closed."""

    def __init__(self, instance, number: int) -> None:
        self._instance = instance
        self._number = number

    async def call(self) -> list[int]:
        """Return the statuses of the responses; 0 for a truncated one."""
        host, _, port = self._instance.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        statuses = []
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                writer.write(self._encode(len(statuses)))
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    break
                statuses.append(await self._read_rest(reader, head))
        writer.close()
        return statuses

    def _encode(self, sent: int) -> bytes:
        lines = [
            "POST /scan/1 HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {API_KEY}",
            f"X-Attempt-Id: kept-{self._number}-{sent}",
            "X-Deadline-Ms: 60000",
            "X-Model: m",
            "X-Token-Counts: 100,20",
            "X-Prefix-Hash: aa:60,bb:40",
            "Content-Length: 0",
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _read_rest(self, reader: asyncio.StreamReader, head: bytes) -> int:
        status = int(head.split(b" ")[1])
        length = re.search(rb"content-length: (\d+)", head.lower())
        try:
            if length is not None:
                await reader.readexactly(int(length[1]))
            else:
                await reader.readuntil(b"\r\n0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        return status


async def test_unary_and_streaming_requests_are_served(fleet, session):
    for number, instance in enumerate(fleet.instances):
        assert await ask(session, instance) == 200
        status = await ask(
            session,
            instance,
            "/draft/1",
            request_id=f"d-{number}",
            **{
                "X-Token-Counts": "100,20",
                "X-Prefix-Hash": "aa:60,bb:40",
                "X-Pieces": "1,2",
                "X-Piece-Key": "k",
            },
        )
        assert status == 200
    engines = fleet.find_targets("llm")
    assert count_runs(engines) == len(fleet.instances)
    assert EVENTS > 1


async def test_stop_interrupts_no_request(fleet, session):
    """Guards against requests interrupted by a rollout.

    An instance receives SIGTERM twice while callers send on open and on new
    connections, and the balancer removes it some seconds later. The faults are to close
    the listener at once, or to exit at once on the second signal.
    """
    instance = fleet.instances[0]
    statuses = []
    stopped = asyncio.Event()

    async def send_forever() -> None:
        while not stopped.is_set():
            statuses.append(await ask(session, instance))

    senders = [asyncio.create_task(send_forever()) for _ in range(3)]
    await asyncio.sleep(0.3)
    instance.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    assert not await instance.is_ready(session)
    instance.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    stopped.set()
    await asyncio.gather(*senders)
    assert set(statuses) == {200}
    async with asyncio.timeout(WAIT_SECONDS):
        assert await instance.process.wait() == 0


async def test_stop_answers_requests_on_keep_alive_connections(fleet):
    """Guards against requests lost in rolling restarts.

    Streams in flight on persistent connections end after a stopping instance has closed
    its listener. The fault is to accept further requests on these connections until the
    process exits.
    """
    instance = fleet.instances[0]
    await extend_timeouts(fleet, instance)
    engines = fleet.find_targets("llm")
    gate = asyncio.Event()
    for engine in engines:
        engine.gate = gate
    callers = [
        asyncio.create_task(KeepAliveCaller(instance, n).call()) for n in range(4)
    ]
    await wait_for_runs(engines, len(callers))
    instance.process.send_signal(signal.SIGTERM)
    await wait_for_log_message(instance, "no new connections")
    gate.set()
    answered = await asyncio.gather(*callers)
    # each caller got a complete response, then its connection was closed
    assert answered == [[200]] * len(callers)
    assert count_runs(engines) == len(callers)
    async with asyncio.timeout(WAIT_SECONDS):
        assert await instance.process.wait() == 0


async def test_hangup_interrupts_no_request(fleet, session):
    instance = fleet.instances[0]
    instance.process.send_signal(signal.SIGHUP)
    for _ in range(5):
        assert await ask(session, instance) == 200
    assert instance.process.returncode is None


@pytest.mark.parametrize("settings", ["gone", "invalid", "changed"])
async def test_reload_during_a_stop_interrupts_no_request(fleet, settings):
    """Guards against a signal that ends a process which is completing its requests.

    A stopping instance is told to reload settings that are missing or invalid, or that
    name other addresses, and is then told to stop again.
    """
    instance = fleet.instances[0]
    await extend_timeouts(fleet, instance)
    engines = fleet.find_targets("llm")
    gate = asyncio.Event()
    for engine in engines:
        engine.stream_gate = gate
    calling = asyncio.create_task(KeepAliveCaller(instance, 0).call())
    await wait_for_runs(engines, 1)
    instance.process.send_signal(signal.SIGTERM)
    text = instance.settings.read_text(encoding="utf-8")
    match settings:
        case "gone":
            instance.settings.unlink()
        case "invalid":
            instance.settings.write_text(text[:-9], encoding="utf-8")
        case "changed":
            text = text.replace(instance.front, fleet.instances[1].front)
            instance.settings.write_text(text, encoding="utf-8")
    for one in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        await asyncio.sleep(0.1)
        instance.process.send_signal(one)
    await wait_for_log_message(instance, "no new connections")
    gate.set()
    assert await calling == [200]
    async with asyncio.timeout(WAIT_SECONDS):
        assert await instance.process.wait() == 0
    text = "settings reloaded" if settings == "changed" else "cannot reload"
    assert find_log_message(instance, text)


async def test_revoked_key_is_received_from_peers(fleet, session):
    """Guards against revoked keys that one instance accepts for minutes.

    The store rejects all calls of that instance and serves the others; here it rejects
    all calls once the others have read the change. The fault is to wait for the store
    although peers know the change.
    """
    late = fleet.instances[2]
    await fleet.kill(late)
    fleet.store.put("op/config", create_configuration(8, keys=("new",)))
    for instance in fleet.instances[:2]:
        await wait_for_status(session, instance, 200, key="new")
    fleet.store.fault = StoreFault.UNAVAILABLE
    await fleet.launch(late)
    await fleet.wait_ready(late)
    assert await ask(session, late, key="new") == 200
    assert await ask(session, late) == 401
    assert read_log(late, "configuration")[-1]["origin"] == "peer"


async def test_fleet_serves_after_the_loss_of_an_instance(fleet, session):
    """Guards against stages that stall for seconds after the loss of an instance.

    The owner of a service, which batches its pieces, is killed. The fault is that the
    others keep sending calls to it.
    """
    headers = {
        "X-Token-Counts": "100,20",
        "X-Prefix-Hash": "aa:60,bb:40",
        "X-Pieces": "1,2",
        "X-Piece-Key": "k",
    }
    await fleet.kill(fleet.instances[1])
    for number in range(6):
        instance = fleet.instances[0 if number % 2 else 2]
        status = await ask(
            session, instance, "/draft/1", request_id=f"d-{number}", **headers
        )
        assert status == 200


@pytest.mark.parametrize("stop_signal", [signal.SIGKILL, signal.SIGTERM])
async def test_peers_find_an_instance_that_restarts_without_the_store(
    fleet, session, stop_signal
):
    """Guards against instances that refuse everybody until the store is back.

    An instance restarts in a data centre that is partitioned from the store and from
    the seeds in its settings. It knows no peer, but its peers know its address.
    """
    restarted = fleet.instances[0]
    fleet.store.fault = StoreFault.UNAVAILABLE
    restarted.process.send_signal(stop_signal)
    await restarted.process.wait()
    await fleet.launch(restarted)
    await fleet.wait_ready(restarted)
    assert await ask(session, restarted) == 200


async def test_log_leads_from_a_request_to_its_targets(fleet, session):
    instance = fleet.instances[0]
    assert await ask(session, instance, request_id="look-for-me") == 200
    lines: list[dict] = []
    async with asyncio.timeout(WAIT_SECONDS):
        while not lines:
            await asyncio.sleep(0.05)
            lines = read_log(instance, "request")
            lines = [one for one in lines if one["request"] == "look-for-me"]
    assert lines[0]["outcome"] == "answered"
    assert lines[0]["version"] == 3
    assert lines[0]["targets"][0].startswith("desk-")


async def test_metrics_and_state_are_served(fleet, session):
    instance = fleet.instances[0]
    await ask(session, instance)
    base = f"http://{instance.metrics}"
    async with session.get(f"{base}/metrics") as response:
        text = await response.text()
    assert 'greengagelatch_events_total{event="requests.answered"} 1.0' in text
    assert 'greengagelatch_seconds_bucket{le="+Inf",operation="requests"} 1.0' in text
    async with session.get(f"{base}/state") as response:
        state = await response.json()
    assert state["configuration"]["version"] == 3
    assert state["listing"]["targets"] == 8
    assert "seconds_since_answer" in state["store"]


def create_fleet_whose_last_port_is_taken(
    directory,
) -> tuple[PlatformFleet, socket.socket]:
    """Create a fleet of one instance; another socket has its metrics port at first."""
    first = find_free_addresses(4)
    host, _, port = first[-1].rpartition(":")
    taken = socket.create_server((host, int(port)))
    return create_fleet(directory, first), taken


def create_fleet(directory, first: list[str]) -> PlatformFleet:
    """Create a fleet of one instance that gets the given addresses at first."""
    given = iter([first])
    return PlatformFleet(
        directory,
        count=1,
        find_addresses=lambda count: next(given, None) or find_free_addresses(count),
    )


async def test_instance_whose_port_is_taken_gets_another(tmp_path):
    """Guards against rare time-outs of tests while an instance starts.

    Between finding a free port and binding it, the system may assign it to another
    process, so that the instance exits. Without a check for that, a test waits half a
    minute and fails.
    """
    fleet, taken = create_fleet_whose_last_port_is_taken(tmp_path)
    try:
        await fleet.start()
        assert fleet.instances[0].process.returncode is None
    finally:
        await fleet.stop()
        taken.close()


async def test_log_of_a_failed_start_is_not_read(tmp_path):
    """Guards against tests that take a log line of a start that failed for a new one.

    An instance that can't bind an address closes its listener and says so, then starts
    again with the same log.
    """
    fleet, taken = create_fleet_whose_last_port_is_taken(tmp_path)
    try:
        await fleet.start()
        (instance,) = fleet.instances
        assert "no new connections" in instance.log.read_text(encoding="utf-8")
        assert not find_log_message(instance, "no new connections")
    finally:
        await fleet.stop()
        taken.close()


async def test_instance_is_not_ready_by_the_answers_of_another(tmp_path):
    """Guards against tests of an instance whose readiness address another one has.

    The address is taken between finding a free port and binding it, and whoever took it
    answers 200. The fault is to take that for the answer of the instance, which exits.
    """

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    first = find_free_addresses(4)
    host, _, port = first[1].rpartition(":")
    other = await asyncio.start_server(answer, host, int(port))
    fleet = create_fleet(tmp_path, first)
    try:
        await fleet.start()
        assert fleet.instances[0].readiness != first[1]
    finally:
        await fleet.stop()
        other.close()
