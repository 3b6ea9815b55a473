"""Stand-ins for the platform, its store and replicas, for the scripts of the review.

They use the standard library only, and speak what the users' pages say.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 30.0
#: longest time that a script runs, with some seconds to end its processes
LONGEST_SECONDS = 115.0
PAGE = 500
HOST = "desk.example"
KEY = "key-of-the-first-tenant"
TENANT = "first"
#: how often a replica renews its entry, and after which silence the entry ends
PING_SECONDS, ENTRY_SECONDS = 1.2, 3.6
#: most bytes that a replica reads at once
READ_BYTES = 65_536


@dataclass
class Message:
    """A request or a response."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(
    reader: asyncio.StreamReader, *, bodiless: bool = False
) -> Message | None:
    """Return the next message; ``None`` at the end of the connection.

    :raises asyncio.IncompleteReadError: if it is truncated
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if bodiless:
        return Message(first, headers, b"")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(first, headers, await _read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(first, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if not size:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def encode_message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:9.3f} {text}\n")
        self._file.flush()


async def run_script(
    record: Record, execute: Callable[[Path, bool], Awaitable[int]]
) -> int:
    """Run a script in a temporary folder; return its exit code.

    Whatever stops it early, a signal too, leads to exit code 2, not to that of a broken
    rule, and its processes are ended on the way.

    :param execute: runs it, with or without the disruption, and ends its processes
    """
    task = asyncio.current_task()

    def cancel() -> None:
        # a second signal must not interrupt the end of the processes
        if not task.cancelling():
            task.cancel()

    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, cancel)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with asyncio.timeout(LONGEST_SECONDS):
                return await execute(Path(folder), is_troubled)
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2


class Server:
    """An HTTP server on a loopback address."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        listening = socket.socket()
        # small windows, so that a peer that does not read blocks the writer
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        listening.bind((self.host, 0))
        self._server = await asyncio.start_server(
            self._serve, sock=listening, backlog=512
        )
        self.address = f"{self.host}:{listening.getsockname()[1]}"

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass
class _Lease:
    ttl: float
    until: float


class Store(Server):
    """The platform's store.

    While it is silent it answers nothing and does nothing; leases run on. Calls that
    wait then are answered once it is back, as by a process that stood still.
    """

    def __init__(self, host: str, record: Record) -> None:
        super().__init__(host)
        self._record = record
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 0
        self._history: list[tuple[str, int]] = []
        self._changed = asyncio.Event()
        self._speaks = asyncio.Event()
        self._speaks.set()
        self.revision = 1
        #: loop times at which the watches that wait have begun
        self.watches: dict[object, float] = {}

    @property
    def is_silent(self) -> bool:
        """Whether it answers nothing."""
        return not self._speaks.is_set()

    def fall_silent(self) -> None:
        """Begin to answer nothing."""
        self._record.write("the store falls silent")
        self._speaks.clear()

    def speak(self) -> None:
        """Answer again; leases that ran out meanwhile end."""
        self._record.write("the store answers again")
        self._expire()
        self._speaks.set()

    async def expire_forever(self) -> None:
        """End leases that have run out, while the store is there."""
        while True:
            await asyncio.sleep(0.05)
            if not self.is_silent:
                self._expire()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item."""
        revision = self._record_change(key)
        known = self._items.get(key)
        created = known.created if known else revision
        self._items[key] = _Item(value, revision, created, lease)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._record_change(key)

    def find(self, key: str) -> bytes | None:
        """Return the value of an item."""
        item = self._items.get(key)
        return None if item is None else item.value

    def grant(self, ttl: float) -> int:
        """Return the id of a new lease."""
        self._last_lease += 1
        self._leases[self._last_lease] = _Lease(ttl, time.monotonic() + ttl)
        return self._last_lease

    def keep(self, lease_id: int) -> bool:
        """Renew a lease; return whether it has not ended."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.until = time.monotonic() + lease.ttl
        return True

    def _expire(self) -> None:
        now = time.monotonic()
        for lease_id, lease in tuple(self._leases.items()):
            if lease.until <= now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        for key in [one for one, item in self._items.items() if item.lease == lease_id]:
            self._record.write(f"the store removes {key}, as its lease has ended")
            self.remove(key)

    def _record_change(self, key: str) -> int:
        self.revision += 1
        self._history.append((key, self.revision))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            await self._speaks.wait()
            status, fields = await self._answer(request)
            await self._speaks.wait()
            body = json.dumps(fields).encode()
            headers = {"Content-Type": "application/json"}
            writer.write(encode_message(f"HTTP/1.1 {status} Said", headers, body))
            await writer.drain()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        _, target, _ = request.first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        body = json.loads(request.body) if request.body else {}
        if path == "/v1/kv-key":
            if query["key"] not in self._items:
                return 404, {}
            return 200, self._describe(query["key"])
        if path == "/v1/kv-range":
            return 200, self._list(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._write(body)
        if path == "/v1/kv-lease":
            return 200, {
                "lease": self.grant(body["ttl-ms"] / 1000),
                "ttl-ms": body["ttl-ms"],
            }
        lease_id = int(path.rpartition("/")[2])
        if path.startswith("/v1/kv-keep/"):
            if not self.keep(lease_id):
                return 404, {}
            return 200, {"ttl-ms": round(self._leases[lease_id].ttl * 1000)}
        self._end_lease(lease_id)
        return 200, {}

    def _list(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            "items": [self._describe(key) for key in keys[:PAGE]],
            "has-more": len(keys) > PAGE,
            "store-revision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        mark = object()
        self.watches[mark] = time.monotonic()
        try:
            while True:
                events = self._list_events(prefix, after)
                left = end - time.monotonic()
                if not self.is_silent and (events or left <= 0):
                    return 200, {"events": events, "store-revision": self.revision}
                await self._wait_for_change(left)
        finally:
            del self.watches[mark]

    async def _wait_for_change(self, seconds: float) -> None:
        if self.is_silent:
            await self._speaks.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, seconds)):
                await self._changed.wait()

    def _list_events(self, prefix: str, after: int) -> list[dict]:
        events = []
        for key, revision in self._history:
            if revision <= after or not key.startswith(prefix):
                continue
            item = self._items.get(key)
            if item is None:
                events.append({"key": key, "revision": revision, "tombstone": True})
            elif item.revision == revision:
                events.append(self._describe(key))
        return events

    def _write(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expected", []):
            item = self._items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        for put in body.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {}
        for put in body.get("puts", []):
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _describe(self, key: str) -> dict:
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
            "store-revision": self.revision,
        }


class Replica(Server):
    """A replica of a plain service.

    :param work: seconds that a request takes
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        store: Store,
        record: Record,
        *,
        zone: str,
        work: float,
        version: str = "v1",
    ) -> None:
        super().__init__(host)
        self.version = version
        self.name = name
        self.service = service
        self.work = work
        self.zone = zone
        self._store = store
        self._record = record
        self._reads = asyncio.Event()
        self._reads.set()
        self._is_cut = False
        #: times that each request was run, by its id
        self.runs: dict[str, int] = {}
        #: bytes of bodies read in a second on each channel; 0: all at once
        self.reading_rate = 0

    def fall_silent(self) -> None:
        """Neither read nor answer anything, as a process that hangs."""
        self._record.write(f"replica {self.name} falls silent")
        self._reads.clear()

    def go_on(self) -> None:
        """Read and answer again."""
        self._record.write(f"replica {self.name} goes on")
        self._reads.set()

    def cut_from_store(self) -> None:
        """Reach the store no more."""
        self._record.write(f"replica {self.name} is cut off from the store")
        self._is_cut = True

    def join_store(self) -> None:
        """Reach the store again."""
        self._record.write(f"replica {self.name} reaches the store again")
        self._is_cut = False

    async def register_forever(self) -> None:
        """Keep the entry in the store."""
        lease = 0
        key = f"servers/{self.name}"
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 96,
            "state": "ready",
            "cold-left-ms": 0,
            "seq-no": 1,
        }
        while True:
            is_up = not (self._store.is_silent or self._is_cut) and (
                self._reads.is_set()
            )
            if is_up and not (lease and self._store.keep(lease)):
                lease = self._store.grant(ENTRY_SECONDS)
                self._store.put(key, json.dumps(fields).encode(), lease)
                self._record.write(f"replica {self.name} registers itself")
            await asyncio.sleep(PING_SECONDS if is_up else 0.2)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await self._reads.wait()
            request = await read_message(reader, bodiless=True)
            if request is None:
                return
            await self._read_body(reader, request)
            await self._reads.wait()
            await self._answer(request, writer)
            await writer.drain()

    async def _read_body(self, reader: asyncio.StreamReader, request: Message) -> None:
        left = int(request.headers.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            if self.reading_rate:
                await asyncio.sleep(len(data) / self.reading_rate)

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("x-expected-replica", self.name)
        if expected != self.name:
            headers = {"X-Replica-Id": self.name}
            writer.write(encode_message("HTTP/1.1 421 Misdirected", headers))
            return
        request_id = request.headers.get("x-attempt-id", "")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._record.write(f"replica {self.name} runs {request_id}")
        await asyncio.sleep(self.work)
        await self._reads.wait()
        headers = {
            "X-Attempt-Id": request_id,
            "X-Replica-Signature": f"signed-by-{self.name}",
        }
        body = f"answer to {request_id}".encode()
        writer.write(encode_message("HTTP/1.1 200 OK", headers, body))


class SilentChannels(Server):
    """A proxy whose open channels can go silent for good, while new ones work."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self._beyond = ""
        #: set for each open channel; cleared once it is silent
        self._open: set[asyncio.Event] = set()
        self._is_cut = False

    async def start(self, beyond: str = "") -> None:
        """Listen on a free port.

        :param beyond: address that the channels lead to
        """
        self._beyond = beyond
        await super().start()

    def fall_silent(self) -> None:
        """Carry nothing more on the channels that are open now."""
        for one in self._open:
            one.clear()

    def cut(self) -> None:
        """Carry nothing more on any channel, as in a partition."""
        self._is_cut = True
        self.fall_silent()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._beyond.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        speaks = asyncio.Event()
        if not self._is_cut:
            speaks.set()
        self._open.add(speaks)
        try:
            await asyncio.gather(
                self._carry(reader, far_writer, speaks),
                self._carry(far_reader, writer, speaks),
            )
        finally:
            self._open.discard(speaks)
            far_writer.close()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        speaks: asyncio.Event,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            await speaks.wait()
            writer.write(data)
            await writer.drain()
        await speaks.wait()
        writer.close()


class Engine(Replica):
    """A replica that answers with a stream of events.

    :param work: seconds between two events
    """

    #: events of each stream
    events = 8

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("x-expected-replica", self.name)
        if expected != self.name:
            headers = {"X-Replica-Id": self.name}
            writer.write(encode_message("HTTP/1.1 421 Misdirected", headers))
            return
        request_id = request.headers.get("x-attempt-id", "")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        first = int(request.headers.get("last-event-id", "0")) + 1
        self._record.write(
            f"replica {self.name} ({self.version}) runs {request_id} from event {first}"
        )
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request_id}",
            f"X-Replica-Signature: signed-by-{self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.work)
        writer.write(b"0\r\n\r\n")


@dataclass
class Instance:
    """One process of the program, on a loopback address of its own."""

    name: str
    host: str
    folder: Path
    settings: dict
    process: asyncio.subprocess.Process | None = None
    creation: asyncio.Future | None = None
    log_files: list = field(default_factory=list)

    @property
    def front(self) -> tuple[str, int]:
        """Address for requesters."""
        host, _, port = self.settings["listen"]["front"].rpartition(":")
        return host, int(port)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        log = (self.folder / f"{self.name}.log").open("ab")
        self.log_files.append(log)
        creation = asyncio.create_subprocess_exec(
            *read_command(),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **{name: os.environ[name] for name in ("PATH",)},
                "HOME": str(self.folder),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "GREENGAGELATCH_BOOT": str(path),
            },
        )
        # goes on where this call is cancelled, so that the process is known and ended
        self.creation = asyncio.ensure_future(creation)
        self.process = await asyncio.shield(self.creation)

    async def wait_ready(self) -> None:
        """Wait until the balancer's question is answered with 200."""
        host, _, port = self.settings["listen"]["readiness"].rpartition(":")
        async with asyncio.timeout(READY_SECONDS):
            while True:
                if self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} has ended")
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    question = "GET /v1/readyz HTTP/1.1"
                    writer.write(encode_message(question, {"Host": host}))
                    answer = await read_message(reader)
                    writer.close()
                    if answer is not None and answer.status == 200:
                        return
                await asyncio.sleep(0.05)

    def read_resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        path = Path(f"/proc/{self.process.pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def end(self) -> None:
        """Kill the process if it runs."""
        if self.creation is not None:
            with contextlib.suppress(OSError):
                self.process = await self.creation
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        for log in self.log_files:
            log.close()
        self.log_files.clear()


def read_command() -> list[str]:
    """Return the command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    line = next(one for one in text.splitlines() if one.startswith("run = "))
    return line.partition("=")[2].strip().strip('"').split()


def create_instances(folder: Path, count: int, store: Store) -> list[Instance]:
    """Return instances with settings like those of the smallest sheet."""
    hosts = [f"127.{80 + os.getpid() % 100}.1.{number + 11}" for number in range(count)]
    zones = ["zone-a", "zone-b", "zone-c"]
    controls = [f"{host}:{_find_port(host)}" for host in hosts]
    instances = []
    for number, host in enumerate(hosts):
        zone = zones[number % len(zones)]
        name = f"edge-{zone}-{number + 1}"
        settings = {
            "node-name": name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": host,
            "zone": zone,
            "region": "region",
            "zones": dict.fromkeys(zones, "region"),
            "listen": {
                "front": f"{host}:{_find_port(host)}",
                "readiness": f"{host}:{_find_port(host)}",
                "control": controls[number],
            },
            "port-range": [7740, 7755],
            "seeds": controls[:3],
            "bootstrap": True,
            "limits": {
                "cpu-share": 0.537,
                "cores": 2,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "heartbeat-ms": 1200,
            "bounds": {
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "config-apply-ms": 2000,
                "retry-ratio": 0.2,
                "budget-window-s": 10,
                "retry-slack": 58,
                "recovery-s": 12,
            },
            "platform": {
                "address": store.address,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }
        instances.append(Instance(name, host, folder, settings))
    return instances


def create_configuration(routes: list[dict], services: list[str], version: int) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/healthz",
                "max-conns": 500,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }


def create_route(name: str, service: str, kind: str, timeout_ms: int) -> dict:
    """Return a route without stages."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route-kind": kind,
        "timeout-ms": timeout_ms,
        "slo-ms": 125,
        "priority": 2,
        "service": service,
        "max-attempts": 2 if kind == "safe" else 1,
        "public": False,
    }


def encode_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    key: str = KEY,
    more_headers: dict[str, str] | None = None,
) -> bytes:
    """Return a requester's request."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
        **(more_headers or {}),
    }
    return encode_message(f"{method} {path} HTTP/1.1", headers, body)


def _find_port(host: str) -> int:
    with socket.socket() as found:
        found.bind((host, 0))
        return found.getsockname()[1]
