"""Callers that send requests on kept connections, whatever happens."""

from __future__ import annotations

import asyncio
import random
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..platform_standins.deployment import API_KEY, HOST
from ..platform_standins.targets import EVENTS
from .fleet import VERSION_NOTE

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ("HURRIED_ROUTES", "ROUTES", "Caller", "Outcome", "Route")

#: seconds that callers wait for an answer
DEADLINE_SECONDS = 8.0
#: seconds after which a caller gives up for good
ABANDON_SECONDS = 20.0
#: seconds between attempts to connect
RECONNECT_SECONDS = 0.1
#: average seconds between the requests of one caller
BETWEEN_REQUESTS = 0.6
#: share of resumable streams that a caller leaves after an event, to take them up
LEAVE_SHARE = 0.3
#: header lines of streams, and of those with stages
STREAM_LINES = ("X-Model: m", "X-Token-Counts: 100,20", "X-Prefix-Hash: aa:60,bb:40")
STAGE_LINES = ("X-Pieces: 1,2", "X-Piece-Key: k")


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """What a caller knows of a route."""

    path: str
    #: services that take part in a response
    services: tuple[str, ...]
    method: str = "POST"
    body: bytes = b""
    lines: tuple[str, ...] = ()
    #: whether a request may run once only
    once: bool = False
    #: whether its stream may be taken up at another instance
    resumable: bool = False
    #: targets that it may be sent to
    attempts: int = 1

    @property
    def stream(self) -> bool:
        """Whether the response is a series of events."""
        return bool(self.lines)


ROUTES = (
    Route(path="/look/1", services=("desk",), method="GET", attempts=2),
    Route(path="/open/1", services=("desk",), method="GET"),
    Route(path="/book/1", services=("desk",), body=b"order", once=True),
    Route(path="/scan/1", services=("llm",), lines=STREAM_LINES, once=True),
    Route(
        path="/draft/1",
        services=("llm", "portal", "ledger"),
        lines=(*STREAM_LINES, *STAGE_LINES),
        resumable=True,
        attempts=2,
    ),
)
#: routes whose requests are answered by a target at once, and may run once only
HURRIED_ROUTES = tuple(one for one in ROUTES if one.once and not one.stream)
RESUMABLE_ROUTE = ROUTES[-1]


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What a caller saw of one request; times of the loop in seconds."""

    request_id: str
    instance: str
    route: Route
    sent: float
    ended: float = 0.0
    #: 0: the connection was closed before the head of a response
    status: int = 0
    #: whether the response came to its end
    complete: bool = False
    #: whether the caller gave up
    abandoned: bool = False
    #: number of complete events, if it is a stream, and of those before it
    events: int = 0
    events_before: int = 0
    #: software versions that wrote these events
    versions: frozenset[bytes] = frozenset()
    #: id of the attempt that began the stream; empty: this one
    resumes: str = ""
    #: whether the caller has left it, to take it up at another instance
    left: bool = False

    @property
    def served(self) -> bool:
        """Whether the request was served in full."""
        events = self.events_before + self.events
        whole = not self.route.stream or events == EVENTS
        return self.complete and self.status == 200 and whole

    def __str__(self) -> str:
        kind = f"{self.route.method} {self.route.path}"
        end = "complete" if self.complete else "broken"
        return (
            f"{self.request_id} ({kind}) at {self.instance}, sent {self.sent:.3f}, "
            f"ended {self.ended:.3f}: {self.status} {end}, {self.events} events"
        )


#: version at the end of an event
_VERSION = re.compile(VERSION_NOTE.encode() + rb"([^\n]+)\n\n")


class _LeftError(Exception):
    """The caller has left its stream."""


class Caller:
    """Sends one request after the other to an instance, without retries.

    It leaves some streams after an event, and takes them up at another instance.

    :param others: name and address of each other instance
    :param routes: what it sends requests on
    :param pause: average seconds between two of its requests
    """

    def __init__(
        self,
        name: str,
        instance: str,
        address: str,
        random_source: random.Random,
        record: Callable[[Outcome], None],
        others: Sequence[tuple[str, str]] = (),
        routes: Sequence[Route] = ROUTES,
        pause: float = BETWEEN_REQUESTS,
    ) -> None:
        self._others = others
        self._routes = routes
        self._pause = pause
        # of its own, so that the requests of a seed stay as they are
        self._leaving = random.Random(name)
        self._name = name
        self._instance = instance
        self._address = address
        self._random = random_source
        self._record = record
        self._number = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self, stopped: asyncio.Event) -> None:
        """Send requests until stopped; the last one is completed."""
        try:
            while not stopped.is_set():
                await _wait(stopped, self._random.expovariate(1 / self._pause))
                route = self._random.choice(self._routes)
                if stopped.is_set() or not await self._connect():
                    continue
                await self._send(route)
        finally:
            self._close()

    async def _connect(self) -> bool:
        if self._writer is not None and not self._reader.at_eof():
            return True
        self._close()
        host, _, port = self._address.rpartition(":")
        try:
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(RECONNECT_SECONDS)
            return False
        return True

    async def _send(self, route: Route) -> None:
        self._number += 1
        loop = asyncio.get_running_loop()
        outcome = Outcome(
            request_id=f"{self._name}-{self._number}",
            instance=self._instance,
            route=route,
            sent=loop.time(),
        )
        may_leave = route.resumable and self._others
        if may_leave and self._leaving.random() < LEAVE_SHARE:
            outcome.left = True
        await self._send_outcome(outcome)

    async def _send_outcome(self, outcome: Outcome) -> None:
        loop = asyncio.get_running_loop()
        leaves, outcome.left = outcome.left, False
        keep = False
        try:
            async with asyncio.timeout(ABANDON_SECONDS):
                self._writer.write(_encode(outcome))
                keep = await self._read(outcome, leaves=leaves)
        except TimeoutError:
            outcome.abandoned = True
        except _LeftError:
            outcome.left = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        outcome.ended = loop.time()
        self._record(outcome)
        if not keep:
            self._close()
        if outcome.left and self._others:
            name, address = self._leaving.choice(self._others)
            await Caller(
                f"{name}-{self._name}", name, address, None, self._record
            ).take_up(outcome)

    async def begin_stream(self) -> Outcome | None:
        """Begin a stream and leave it after an event; ``None`` if that failed."""
        if not await self._connect():
            return None
        outcome = Outcome(
            request_id=self._name,
            instance=self._instance,
            route=RESUMABLE_ROUTE,
            sent=asyncio.get_running_loop().time(),
            left=True,
        )
        await self._send_outcome(outcome)
        self._close()
        return outcome if outcome.left else None

    async def take_up(self, left: Outcome) -> None:
        """Go on with a stream that was left at another instance."""
        if not await self._connect():
            return
        outcome = Outcome(
            request_id=f"{self._instance}-{left.request_id}-again",
            instance=self._instance,
            route=left.route,
            sent=asyncio.get_running_loop().time(),
            events_before=left.events,
            resumes=left.request_id,
        )
        await self._send_outcome(outcome)
        self._close()

    async def _read(self, outcome: Outcome, *, leaves: bool) -> bool:
        """Read a response; return whether the connection may be used again.

        :param leaves: whether to leave a stream after an event
        """
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        outcome.status = int(head.split(" ")[1])
        headers = dict(
            line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
        )
        if headers.get("transfer-encoding") == "chunked":
            await self._read_chunks(outcome, leaves=leaves)
        elif "content-length" in headers:
            await self._reader.readexactly(int(headers["content-length"]))
        else:
            await self._reader.read()
        outcome.complete = True
        return headers.get("connection") != "close"

    async def _read_chunks(self, outcome: Outcome, *, leaves: bool) -> None:
        body = b""
        while size := int((await self._reader.readuntil(b"\r\n"))[:-2], 16):
            body += (await self._reader.readexactly(size + 2))[:-2]
            outcome.events = body.count(b"\n\n")
            outcome.versions = frozenset(_VERSION.findall(body))
            if leaves and 0 < outcome.events < EVENTS:
                raise _LeftError
        await self._reader.readexactly(2)

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def _encode(outcome: Outcome) -> bytes:
    route = outcome.route
    lines = [
        f"{route.method} {route.path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {API_KEY}",
        f"X-Attempt-Id: {outcome.request_id}",
        f"X-Deadline-Ms: {round(DEADLINE_SECONDS * 1000)}",
        f"Content-Length: {len(route.body)}",
        *route.lines,
    ]
    if outcome.resumes:
        lines += [
            f"Resumes: {outcome.resumes}",
            f"Last-Event-Id: {outcome.events_before}",
        ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + route.body


async def _wait(stopped: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await stopped.wait()
    except TimeoutError:
        return
