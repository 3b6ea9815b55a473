"""Simulated targets of the platform: plain services, engines, stage makers."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from .announced_leaving import AnnouncedLeaving
from .announced_rates import AnnouncedRate
from .announced_rest import AnnouncedRest

if TYPE_CHECKING:
    from .brittleness import Brittleness
    from .store import SimulatedStore

__all__ = ("EndlessPart", "TargetFault", "SimulatedTarget")

SIGNATURE = "signed-by-"
#: number of events in a stream
EVENTS = 5
EVENT_SECONDS = 0.01
CALL_SECONDS = 0.03
MAX_BODY = 8 * 1024 * 1024
#: start time of a target in Unix milliseconds, and its increment per restart
FIRST_START = 1_700_000_000_000
BETWEEN_STARTS = 1000


class TargetFault(Enum):
    """Fault that a target injects into requests."""

    NONE = "none"
    #: it responds 503 with ``X-Not-Executed`` and does not run the request
    FULL = "full"
    #: it runs the request and aborts the connection without a response
    LOSE_ANSWER = "lose-answer"
    #: it runs the request and never responds
    MUTE = "mute"
    #: it runs the request and responds 500
    FAIL = "fail"
    #: it responds 500, and never sends the rest of the body
    HANG_IN_ERROR = "hang-in-error"
    #: it sends a second, unsolicited response after a complete one
    EXTRA = "extra"
    #: it sends the answer to a stage call once more, ahead of that to the next call on
    #: the connection
    REPEAT = "repeat"
    #: it aborts the connection before the body is complete
    TRUNCATE = "truncate"
    #: it responds without ``Content-Length`` and resets the connection
    UNFRAMED_RESET = "unframed-reset"
    #: it responds with the id of a different request
    FOREIGN = "foreign"


class EndlessPart(Enum):
    """Part of a response that a target sends without end."""

    #: one header line
    HEADER = "header"
    #: header lines
    HEADERS = "headers"
    #: informational responses
    INFORMATIONAL = "informational"
    #: a body without a length
    BODY = "body"
    #: a chunked body
    CHUNKS = "chunks"
    #: the extension of a chunk's size
    CHUNK_EXTENSION = "chunk-extension"
    #: lines after the last chunk
    TRAILERS = "trailers"


#: what a target sends once, and then again and again
_ENDLESS_BYTES = {
    EndlessPart.HEADER: (b"X-Long: ", b"a" * 1000),
    EndlessPart.HEADERS: (b"", b"X-More: " + b"a" * 100 + b"\r\n"),
    EndlessPart.INFORMATIONAL: (b"", b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
    EndlessPart.BODY: (b"\r\n", b"a" * 1000),
    EndlessPart.CHUNKS: (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"3e8\r\n" + b"a" * 1000 + b"\r\n",
    ),
    EndlessPart.CHUNK_EXTENSION: (
        b"Transfer-Encoding: chunked\r\n\r\n5;a=",
        b"a" * 1000,
    ),
    EndlessPart.TRAILERS: (
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n",
        b"X-More: " + b"a" * 100 + b"\r\n",
    ),
}
#: size in bytes of each write of an endless response, and its pause in seconds
_ENDLESS_WRITE_BYTES, _ENDLESS_PAUSE = 64 * 1024, 0.001


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class SimulatedTarget:
    """One target; it uses raw streams, so that it can violate HTTP."""

    target_id: str
    service: str
    data_centre: str = "north"
    #: its start time in Unix milliseconds; ``None``: not in its store entry
    started_ms: int | None = FIRST_START
    fault: TargetFault = TargetFault.NONE
    #: version of its software
    software_version: str = "v1"
    #: events that it has written, by request id
    events: Counter[str] = field(default_factory=Counter)
    #: number of runs by request id
    runs: Counter[str] = field(default_factory=Counter)
    #: received requests, in order of arrival
    received: list[_Request] = field(default_factory=list)
    #: times of the event loop at which they arrived, by request id
    arrived_at: dict[str, float] = field(default_factory=dict)
    #: the rate that it names in its answers
    announced_rate: AnnouncedRate = field(default_factory=AnnouncedRate)
    #: whether it says in its answers that it leaves
    announced_leaving: AnnouncedLeaving = field(default_factory=AnnouncedLeaving)
    #: the rest that it asks for when it rejects requests
    announced_rest: AnnouncedRest = field(default_factory=AnnouncedRest)
    #: what its former processes, under the same id, have announced
    former_leavings: list[AnnouncedLeaving] = field(default_factory=list)
    former_rests: list[AnnouncedRest] = field(default_factory=list)
    #: number of times each piece was made, by request id, stage and segment
    pieces: Counter[tuple[str, int, int]] = field(default_factory=Counter)
    #: number of pieces in each stage call
    batches: list[int] = field(default_factory=list)
    freed_handles: set[str] = field(default_factory=set)
    #: handles of the inputs of stage calls, in order
    input_handles: list[str] = field(default_factory=list)
    #: handles of the results that it retains
    held_handles: set[str] = field(default_factory=set)
    connections: int = 0
    #: requests and stage calls that were addressed to a different target
    misdirected: int = 0
    #: awaited before any response, including those to stage calls
    gate: asyncio.Event | None = None
    #: reported load as ``running,queued,slots``; empty: no load header
    load: str = ""
    #: reason phrase of its responses to requests that it runs, and further headers of
    #: these and of responses to stage calls
    reason: str = "Said"
    more_headers: dict[str, str] = field(default_factory=dict)
    #: awaited by a stream after its first event
    stream_gate: asyncio.Event | None = None
    address: str = ""
    #: number of events after which a stream is closed; ``None``: it completes
    break_after: int | None = None
    #: the same for one stream each, last first; targets may share the list
    breaks: list[int] = field(default_factory=list)
    #: beginning of the paths of these streams, and whether those that go on count
    broken_path: str = ""
    breaks_resumed: bool = True
    #: places at which it falls silent until :meth:`resume`, next first: the number of
    #: events that it has sent of a response; 0: before the response
    silences: list[int] = field(default_factory=list)
    #: whether it is silent
    silent: bool = False
    #: the first event of each stream; ``None``: like the others
    first_event: bytes | None = None
    #: end of the text of each event
    event_note: str = ""
    #: paths of requests, and input keys of stage calls, that crash it when they start
    #: to run
    crashed_by: frozenset[str] = frozenset()
    #: ids of shared prompt parts that crash it when it begins to respond to them
    crashed_by_parts: frozenset[str] = frozenset()
    #: times of the event loop at which it crashed on one
    part_crashes: list[float] = field(default_factory=list)
    #: whether its responses have neither a length nor chunks, and end with the
    #: connection
    unframed: bool = False
    #: status of responses that never have a body, such as 204; 0: none
    bodiless_status: int = 0
    #: protocol version in its responses
    http_version: str = "1.1"
    #: part of its responses that has no end
    endless: EndlessPart | None = None
    #: status of such a response
    endless_status: int = 200
    #: bytes of such responses that callers have taken, one number for each
    endless_bytes: list[int] = field(default_factory=list)
    #: for how long it is cold, as its entry tells
    cold_ms: int = 0
    #: requests within a second that crash it while it is cold; ``None``: no number
    cold_limit: int | None = None
    #: its slots and queue, and the rejections that it tolerates; ``None``: it has room
    #: for all requests
    brittleness: Brittleness | None = None
    _server: asyncio.Server | None = None
    _port: int = 0
    _fallen: asyncio.Task[None] | None = None
    _arrivals: list[float] = field(default_factory=list)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    #: body of the last answer to a stage call on each connection
    _answers: dict[asyncio.StreamWriter, bytes] = field(default_factory=dict)
    _resumed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Start serving on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    async def stop(self) -> None:
        """Stop listening and abort every connection, as in a crash."""
        if self._fallen is not None and self._fallen is not asyncio.current_task():
            self._fallen.cancel()
        self._server.close()
        self.abort_connections()

    def is_serving(self) -> bool:
        """Return whether it accepts connections."""
        return self._server.is_serving()

    def abort_connections(self) -> None:
        """Abort every connection with whatever is in flight on it."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def reset_connections(self) -> None:
        """Reset every connection, after the data that was written."""
        for writer in tuple(self._writers):
            _reset(writer)

    def has_open_connections(self) -> bool:
        """Return whether a connection is open."""
        return bool(self._writers)

    def resume(self) -> None:
        """End a silence; the target goes on where it was."""
        self.silent = False
        self._resumed.set()

    async def _fall(self) -> None:
        """Crash, and come back at the same address some seconds later."""
        await self.stop()
        await asyncio.sleep(self.brittleness.down_seconds)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)

    async def restart(self, store: SimulatedStore, *, cut: bool = True) -> None:
        """Restart under the same id and address, without the results held before.

        :param cut: whether open connections are aborted; otherwise requests in flight
            complete, as in a process that is slow to exit
        """
        if cut:
            await self.stop()
            self._server = await asyncio.start_server(
                self._serve, "127.0.0.1", self._port
            )
        if self.started_ms is not None:
            self.started_ms += BETWEEN_STARTS
        self.former_leavings.append(self.announced_leaving)
        self.former_rests.append(self.announced_rest)
        self.announced_leaving = AnnouncedLeaving()
        self.announced_rest = AnnouncedRest()
        self.held_handles.clear()
        self.register(store)

    def register(self, store: SimulatedStore, state: str = "ready") -> None:
        """Write this target's entry to the store."""
        store.put(f"servers/{self.target_id}", self.describe(state))

    def describe(self, state: str = "ready") -> dict[str, Any]:
        """Create this target's store entry."""
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.software_version,
            "slots": 4 if self.brittleness is None else self.brittleness.slots,
            "state": state,
            "cold-left-ms": self.cold_ms,
            "seq-no": 1,
        }
        if self.started_ms is not None:
            fields["born"] = self.started_ms
        return fields

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (request := await _read(reader)) is not None:
                if not await self._answer(request, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            self._answers.pop(writer, None)
            writer.close()

    async def _answer(self, request: _Request, writer: asyncio.StreamWriter) -> bool:
        """Respond to one request; return whether the connection stays open."""
        expected = request.headers.get("x-expected-replica")
        if expected not in (None, self.target_id):
            self.misdirected += 1
            _write(writer, 421, {"X-Replica-Id": self.target_id}, b"")
            return True
        now = asyncio.get_running_loop().time()
        host, _ = writer.get_extra_info("peername")
        notice = self.announced_leaving.describe(now, host)
        if request.target == "/v1/stage-free":
            handles = json.loads(request.body)["handles"]
            self.freed_handles.update(handles)
            self.held_handles.difference_update(handles)
            _write(writer, 200, notice, b"{}")
            return True
        self._record_arrival(request, host, now)
        if self.announced_rest.rejects():
            request_id = request.headers.get("x-attempt-id", "")
            lines = {
                "X-Attempt-Id": request_id,
                **notice,
                **self.announced_rate.describe(now, request_id),
                **self.announced_rest.describe(now, host),
            }
            if not self.announced_rest.is_marked:
                lines["X-Replica-Signature"] = SIGNATURE + self.target_id
            _write(writer, 503, lines, b"")
            return True
        if request.target == "/v1/stage-run":
            return await self._make_with_room(request, writer, notice)
        self.received.append(request)
        if self._is_overloaded():
            await self.stop()
            return False
        request_id = request.headers.get("x-attempt-id", "")
        self.arrived_at[request_id] = asyncio.get_running_loop().time()
        rate = self.announced_rate.describe(self.arrived_at[request_id], request_id)
        headers = {"X-Attempt-Id": request_id, **rate, **notice}
        if self.load:
            headers["X-Replica-Load"] = self.load
        if self.fault is TargetFault.FULL:
            _write(writer, 503, {**headers, "X-Not-Executed": "1"}, b"")
            return True
        if self.brittleness is not None:
            return await self._answer_with_room(request, headers, writer)
        return await self._run(request, headers, writer)

    def _record_arrival(self, request: _Request, host: str, now: float) -> None:
        """Record a request of a caller or a stage call."""
        request_id = request.headers.get("x-attempt-id", "")
        self.announced_rate.record_arrival(now, request_id)
        self.announced_rest.record_arrival(now, host)
        ids = [request_id]
        if request.target == "/v1/stage-run":
            ids = [item["id"] for item in json.loads(request.body)["items"]]
        for one in ids:
            self.announced_leaving.record_arrival(now, host, one)

    async def _answer_with_room(
        self, request: _Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request if there is room for it."""
        if not self.brittleness.has_room(asyncio.get_running_loop().time()):
            return self._reject(headers, writer)
        async with self.brittleness.occupy():
            headers.update(self._describe_brittleness())
            return await self._run(request, headers, writer)

    def _reject(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        """Reject for want of room; return whether the connection stays open."""
        lines = {**headers, **self._describe_brittleness(), "X-Not-Executed": "1"}
        _write(writer, 503, lines, b"")
        if not self.brittleness.record_rejection(asyncio.get_running_loop().time()):
            return True
        self._fallen = asyncio.create_task(self._fall())
        return False

    def _describe_brittleness(self) -> dict[str, str]:
        headers = {"X-Replica-Load": self.brittleness.describe_load()}
        if self.brittleness.limit is not None:
            headers["Server-Brittle"] = str(self.brittleness.limit)
        return headers

    async def _run(
        self, request: _Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        self.runs[headers["X-Attempt-Id"]] += 1
        headers["X-Replica-Signature"] = SIGNATURE + self.target_id
        headers |= self.more_headers
        await self._wait_for_gate()
        await self._keep_silence(0)
        if self.has_crashing_part(request):
            self.part_crashes.append(asyncio.get_running_loop().time())
            await self.stop()
            return False
        if request.target in self.crashed_by:
            await self.stop()
            return False
        if self.endless is not None:
            return await self._send_without_end(headers, writer)
        if self.fault is TargetFault.HANG_IN_ERROR:
            _write(writer, 500, headers, b"fai", length=6)
            await asyncio.sleep(3600)
        if "x-prefix-hash" in request.headers:
            return await self._stream(request, headers, writer)
        return await self._answer_plain(request, headers, writer)

    def has_crashing_part(self, request: _Request) -> bool:
        """Return whether it crashes on a shared part of the request's prompt."""
        *shared, _ = request.headers.get("x-prefix-hash", "").split(",")
        return any(part.partition(":")[0] in self.crashed_by_parts for part in shared)

    async def _send_without_end(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Send a response until the caller closes the connection."""
        first, again = _ENDLESS_BYTES[self.endless]
        if self.endless is not EndlessPart.INFORMATIONAL:
            lines = [f"HTTP/1.1 {self.endless_status} Said"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n" + first)
        data = again * (_ENDLESS_WRITE_BYTES // len(again))
        number = len(self.endless_bytes)
        self.endless_bytes.append(0)
        while True:
            writer.write(data)
            await writer.drain()
            self.endless_bytes[number] += len(data)
            await asyncio.sleep(_ENDLESS_PAUSE)

    def _is_overloaded(self) -> bool:
        """Return whether it received too many requests for a cold target."""
        now = asyncio.get_running_loop().time()
        self._arrivals = [one for one in self._arrivals if now - one < 1.0]
        self._arrivals.append(now)
        return self.cold_limit is not None and len(self._arrivals) > self.cold_limit

    async def _answer_plain(
        self, request: _Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        body = b"answer to " + headers["X-Attempt-Id"].encode() + b" " + request.body
        match self.fault:
            case TargetFault.LOSE_ANSWER:
                writer.transport.abort()
                return False
            case TargetFault.MUTE:
                await asyncio.sleep(3600)
            case TargetFault.FAIL:
                if self.unframed:
                    self._write_unframed(writer, 500, headers, b"failed")
                    return False
                _write(writer, 500, headers, b"failed")
                return True
            case TargetFault.TRUNCATE:
                _write(writer, 200, headers, body, length=len(body) + 10)
                await writer.drain()
                writer.transport.abort()
                return False
            case TargetFault.UNFRAMED_RESET:
                _write(writer, 200, headers, body, length=None)
                await writer.drain()
                writer.transport.set_write_buffer_limits(0)
                _reset(writer)
                return False
            case TargetFault.FOREIGN:
                headers = {**headers, "X-Attempt-Id": "somebody-else"}
        if self.bodiless_status:
            _write(writer, self.bodiless_status, headers, b"", length=None)
            return True
        if request.method == "HEAD":
            _write(writer, 200, headers, b"", length=len(body))
            return True
        if self.unframed:
            self._write_unframed(writer, 200, headers, body)
            return False
        _write(writer, 200, headers, body, reason=self.reason)
        if self.fault is TargetFault.EXTRA:
            _write(writer, 200, headers, b"once more")
        return True

    async def _stream(
        self, request: _Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        if self.fault is TargetFault.MUTE:
            await asyncio.sleep(3600)
        first = int(request.headers.get("last-event-id", "0")) + 1
        break_after = self.break_after
        if self.breaks and self._may_break(request):
            break_after = self.breaks.pop()
        lines = {**headers, "Content-Type": "text/event-stream"}
        if self.unframed:
            self._write_unframed(writer, 200, lines, b"")
        else:
            _write(writer, 200, lines, b"", chunked=True, reason=self.reason)
        for number in range(first, EVENTS + 1):
            if break_after is not None and number > break_after:
                half = f"id: {number}\ndata: ha".encode()
                writer.write(self._frame(half))
                await writer.drain()
                # an orderly close: a reset would discard data the client has not read
                return False
            event = f"id: {number}\ndata: piece {number}{self.event_note}\n\n".encode()
            if number == 1 and self.first_event is not None:
                event = self.first_event
            writer.write(self._frame(event))
            self.events[headers["X-Attempt-Id"]] += 1
            await writer.drain()
            if number == first and self.stream_gate is not None:
                await self.stream_gate.wait()
            await self._keep_silence(number)
            await asyncio.sleep(EVENT_SECONDS)
        if self.unframed:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    def _may_break(self, request: _Request) -> bool:
        is_resumed = "last-event-id" in request.headers
        is_on_path = request.target.startswith(self.broken_path)
        return is_on_path and (self.breaks_resumed or not is_resumed)

    def _frame(self, data: bytes) -> bytes:
        if self.unframed:
            return data
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    def _write_unframed(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        _write(
            writer,
            status,
            headers,
            body,
            length=None,
            reason=self.reason,
            version=self.http_version,
        )

    async def _make_with_room(
        self, request: _Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        if self.brittleness is None:
            return await self._make(request, writer, headers)
        if not self.brittleness.has_room(asyncio.get_running_loop().time()):
            return self._reject(headers, writer)
        async with self.brittleness.occupy():
            lines = {**headers, **self._describe_brittleness()}
            return await self._make(request, writer, lines)

    async def _make(
        self, request: _Request, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        headers = {**headers, **self.announced_rate.describe()}
        items = json.loads(request.body)["items"]
        if self.fault is TargetFault.FULL:
            _write(writer, 503, {"X-Not-Executed": "1"}, b"")
            return True
        if self.fault is TargetFault.MUTE:
            await asyncio.sleep(3600)
        self.batches.append(len(items))
        await self._wait_for_gate()
        if self.endless is not None:
            return await self._send_without_end(headers, writer)
        if any(item.get("key") in self.crashed_by for item in items):
            await self.stop()
            return False
        await asyncio.sleep(CALL_SECONDS)
        if self.fault is TargetFault.REPEAT and writer in self._answers:
            _write(writer, 200, headers, self._answers[writer])
        results = [self._make_piece(item) for item in items]
        body = json.dumps({"items": results}).encode()
        lines = {"Content-Type": "application/json", **headers, **self.more_headers}
        if self.unframed:
            self._write_unframed(writer, 200, lines, body)
            return False
        self._answers[writer] = body
        _write(writer, 200, lines, body)
        return True

    async def _wait_for_gate(self) -> None:
        if self.gate is not None:
            await self.gate.wait()

    async def _keep_silence(self, events: int) -> None:
        while self.silences and self.silences[0] == events:
            del self.silences[0]
            self._resumed.clear()
            self.silent = True
            await self._resumed.wait()

    def _make_piece(self, item: dict[str, Any]) -> dict[str, str]:
        place = (item["id"], item["stage"], item["segment"])
        self.pieces[place] += 1
        self.input_handles.extend(item.get("inputs", ()))
        name = "-".join(map(str, place))
        handle = f"{self.address}/{name}-{self.pieces[place]}"
        self.held_handles.add(handle)
        return {"handle": handle}


async def _read(reader: asyncio.StreamReader) -> _Request | None:
    head = await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b""
    if not head:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = min(MAX_BODY, int(headers.get("content-length", "0")))
    body = await reader.readexactly(length) if length else b""
    return _Request(method, target, headers, body)


def _write(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
    *,
    length: int | None = -1,
    chunked: bool = False,
    reason: str = "Said",
    version: str = "1.1",
) -> None:
    lines = [f"HTTP/{version} {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(f"Content-Length: {len(body) if length < 0 else length}")
    head = "\r\n".join(lines).encode("utf-8", "surrogateescape")
    writer.write(head + b"\r\n\r\n" + body)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Send a TCP reset, which closing with a zero linger time does."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
