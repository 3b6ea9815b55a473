"""Small stand-ins of the platform, its replicas and requesters, after the users' pages.

Standard library only. The store answers linearizably, replicas and requesters are
sound unless a case says otherwise.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parents[2]
PAGE_ITEMS = 500
READY_SECONDS = 30.0
MAX_BODY = 64 * 1024 * 1024


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Add one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request:
    """One HTTP request as it was received."""

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def length(self) -> int:
        """Stated length of the body in bytes."""
        return int(self.headers.get("content-length", "0"))


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers; ``None`` at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(
    reader: asyncio.StreamReader, *, with_body: bool = True
) -> Request | None:
    """Read a request with a stated length; ``None`` at the end of the channel."""
    found = await read_head(reader)
    if found is None:
        return None
    method, target, _ = found[0].split(" ", 2)
    request = Request(method, target, found[1])
    if with_body and request.length:
        try:
            request.body = await reader.readexactly(min(MAX_BODY, request.length))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return request


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> None:
    """Write a response with a stated length."""
    lines = [f"HTTP/1.1 {status} Said", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def find_free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as one:
        one.bind((host, 0))
        return one.getsockname()[1]


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[tuple[int, str]] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.address = ""
        #: called with a request; returns whether to answer it
        self.gate = None
        self.calls: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._lease = 0

    async def start(self) -> None:
        """Serve on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop serving."""
        self._server.close()

    def put(self, key: str, fields: object, lease: int = 0) -> int:
        """Write an item; return its revision."""
        return self._put(key, json.dumps(fields).encode(), lease)

    def remove(self, key: str) -> int:
        """Remove an item; return the revision."""
        if self.items.pop(key, None) is not None:
            self._change(key)
        return self.revision

    def _put(self, key: str, value: bytes, lease: int) -> int:
        revision = self._change(key)
        created = self.items[key]["created"] if key in self.items else revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }
        return revision

    def _change(self, key: str) -> int:
        self.revision += 1
        self.history.append((self.revision, key))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (ends, _) in tuple(self.leases.items()):
            if ends <= now:
                del self.leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    self.remove(key)

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if self.gate is not None and not await self.gate(request, writer):
                    break
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request, writer) -> None:
        self._expire()
        url = urlsplit(request.target)
        query = {
            k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()
        }
        self.calls[url.path] += 1
        status, fields = await self._call(request.method, url.path, query, request.body)
        respond(
            writer,
            status,
            {"Content-Type": "application/json"},
            json.dumps(fields).encode(),
        )

    async def _call(self, method, path, query, body) -> tuple[int, dict]:
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}
        if path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > after
            )
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "has-more": len(keys) > PAGE_ITEMS,
                "store-revision": self.revision,
            }
        if path == "/v1/kv-watch":
            return await self._watch(query)
        fields = json.loads(body) if body else {}
        if path == "/v1/kv-txn":
            return self._write(fields)
        if path == "/v1/kv-lease":
            self._lease += 1
            ttl = fields["ttl-ms"] / 1000
            self.leases[self._lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self._lease, "ttl-ms": fields["ttl-ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        ends = 0.0 if method == "DELETE" else time.monotonic() + ttl
        self.leases[lease] = (ends, ttl)
        self._expire()
        return 200, {"ttl-ms": round(ttl * 1000)}

    async def _watch(self, query) -> tuple[int, dict]:
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            self._expire()
            events = []
            for revision, key in self.history:
                if revision <= after or not key.startswith(query["prefix"]):
                    continue
                item = self.items.get(key)
                if item is None:
                    events.append({"key": key, "revision": revision, "tombstone": True})
                elif item["revision"] == revision:
                    events.append(item)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                async with asyncio.timeout(min(left, 0.5)):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(self, fields) -> tuple[int, dict]:
        for row in fields.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in fields.get("puts", []):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in fields.get("puts", []):
            value = base64.b64decode(put["value"], validate=True)
            self._put(put["key"], value, put.get("lease", 0))
        for key in fields.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Instance:
    """One process of the system, started by the command of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        directory: Path,
        seeds: list[str],
        **more,
    ) -> None:
        self.name = name
        self.zone = zone
        self.directory = directory
        self.metrics_port = find_free_port()
        self.front = f"127.0.0.1:{find_free_port()}"
        self.readiness = f"127.0.0.1:{find_free_port()}"
        self.control = f"127.0.0.1:{find_free_port()}"
        self.settings = {
            "node-name": name,
            "role": "entry",
            "machine-class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "one",
            "zones": {"a": "one", "b": "one", "c": "one"},
            "listen": {
                "front": self.front,
                "readiness": self.readiness,
                "control": self.control,
            },
            "port-range": [7740, 7755],
            "seeds": seeds,
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
                "reuse-after-s": 2,
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "loss-slack-ms": 200,
                "config-apply-ms": 2000,
                "revert-slack-ms": 250,
                "outer-ms": 5000,
                "retry-ratio": 0.2,
                "budget-window-s": 10,
                "retry-slack": 58,
                "recovery-s": 12,
            },
            "platform": {
                "address": store,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
            **more,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        run = _read_command()
        words = [word.replace("9102/", f"{self.metrics_port}/") for word in run.split()]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.directory),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "GREENGAGELATCH_BOOT": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self.directory / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready."""
        end = time.monotonic() + READY_SECONDS
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > end:
                raise RuntimeError(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Ask it once, as the platform does."""
        host, _, port = self.readiness.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                found = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return found is not None and found[0].split()[1] == "200"

    def signal(self, number: int) -> None:
        """Send it a signal."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill it and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def read_resident_mb(self) -> float:
        """Return the memory that it holds, in MB."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1000
        return 0.0


def _read_command() -> str:
    import tomllib

    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        return tomllib.load(file)["roles"]["entry"]["run"]


def describe_target(
    service: str, address: str, zone: str = "a", state: str = "ready", slots: int = 6
) -> dict:
    """Return the entry that a replica writes."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": 1,
        "slots": slots,
        "state": state,
        "cold-left-ms": 0,
        "seq-no": 1,
    }


#: exit statuses of a case's program; that of an error of Python is 1
HELD, BROKEN, NOT_RUN = 0, 11, 2
#: seconds after which a case is given up
LONGEST_SECONDS = 105.0


def run_case(play: Callable[[], Awaitable[int]]) -> int:
    """Run a case to its end; a signal, an error or too long a time end it as well.

    :param play: returns 0 if the rule held, 1 if it was broken, else 2; it ends what it
        has started, also if it is cancelled
    :return: the exit status
    """
    try:
        status = asyncio.run(_play(play))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        return NOT_RUN
    return {0: HELD, 1: BROKEN}.get(status, NOT_RUN)


async def _play(play: Callable[[], Awaitable[int]]) -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    async with asyncio.timeout(LONGEST_SECONDS):
        return await play()
