"""HTTP client of the platform's key-value store."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from greengagelatch.store import (
    ABSENT,
    Entry,
    Lease,
    Store,
    StoreError,
    StoreErrorKind,
    WriteOutcome,
    WriteResult,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..metrics import Metrics

__all__ = ("HttpStore",)

T = TypeVar("T")

#: seconds after which an idle connection is closed
IDLE_SECONDS = 5.0

#: share of a call's timeout that is allowed for connecting
CONNECT_SHARE = 0.4

#: share of a call's timeout that may pass without a byte of the response
READ_SHARE = 0.45

#: maximum number of open connections to the service, including watches
MAX_CONNECTIONS = 64

#: statuses sent before a call is executed, so that it took no effect
_REFUSALS = frozenset({429, 503})

#: statuses of calls that the service rejects as malformed or not allowed
_REJECTIONS = frozenset({400, 404, 405, 413})


@dataclass(slots=True)
class _Trace:
    """Progress of one call, updated by aiohttp's trace signals."""

    kind: str
    #: whether a connection was obtained, after which bytes may have been sent
    connected: bool = False


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: Any


@dataclass(frozen=True, slots=True)
class _NoResponse:
    """A call without a response; ``sent`` if the service may have received it."""

    kind: StoreErrorKind
    message: str
    sent: bool


class HttpStore(Store):
    """Calls the platform's key-value service.

    Writes are sent once, by POST: aiohttp resends GET, PUT and DELETE by itself when
    a kept-alive connection turns out to be closed, and the second of two equal swaps
    would report a conflict with the first. A failed read is retried once, on a new
    connection, within the call's timeout.

    A connection can become unresponsive, so that calls on it are lost without an
    error. The timeout of a single socket read detects this and drops the connection;
    connections that are idle for some seconds are not reused.

    :param address: ``host:port`` of the service, the host as an IP address.
    :param timeout: seconds allowed for a call, except watches.
    """

    def __init__(self, *, address: str, timeout: float, metrics: Metrics) -> None:
        self._base = f"http://{address}"
        self._timeout = timeout
        self._metrics = metrics
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections; a later call opens new ones."""
        sessions = (self._pooled, self._fresh)
        self._pooled = None
        self._fresh = None
        for session in sessions:
            if session is not None:
                await session.close()

    async def get(self, key: str) -> Result[Entry | None, StoreError]:
        match await self._read("get", _key_path("/kv/", key)):
            case Err(error):
                return Err(error)
            case Ok(_Response(status=404)):
                return Ok(None)
            case Ok(response):
                return _parse(lambda: _to_entry(response.body))

    async def list(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        match await self._read("list", f"/kv?prefix={quote(prefix, safe='')}"):
            case Err(error):
                return Err(error)
            case Ok(response):
                return _parse(
                    lambda: tuple(_to_entry(item) for item in response.body["entries"])
                )

    async def swap(
        self, key: str, value: bytes, expected: int, *, lease_id: str = ""
    ) -> WriteResult:
        body: dict[str, Any] = {
            "value": base64.b64encode(value).decode("ascii"),
            "expected": expected,
        }
        if lease_id:
            body["lease"] = lease_id
        return await self._write("swap", _key_path("/kv/", key), body)

    async def delete(self, key: str, expected: int) -> WriteResult:
        path = _key_path("/kv/", key) + "/delete"
        return await self._write("delete", path, {"expected": expected})

    async def watch(
        self, key: str, after: int, wait: float
    ) -> Result[Entry | None, StoreError]:
        path = f"{_key_path('/watch/', key)}?after={after}&wait={wait:g}"
        seconds = wait + self._timeout
        timeout = aiohttp.ClientTimeout(
            total=seconds, connect=self._timeout, sock_connect=self._timeout
        )
        match await self._call("GET", "watch", path, timeout=timeout):
            case _NoResponse(kind, message):
                return Err(StoreError(kind, message))
            case _Response(status=204 | 404):
                return Ok(None)
            case _Response(status=200, body=body):
                return _parse(lambda: _to_entry(body))
            case response:
                return Err(_to_error(response))

    async def grant_lease(self, ttl: float) -> Result[Lease, StoreError]:
        return await self._call_lease("/leases", {"ttl": ttl})

    async def renew_lease(self, lease_id: str) -> Result[Lease, StoreError]:
        return await self._call_lease(_key_path("/leases/", lease_id) + "/keep", {})

    async def revoke_lease(self, lease_id: str) -> WriteResult:
        path = _key_path("/leases/", lease_id) + "/revoke"
        return await self._write("lease", path, {})

    async def _call_lease(
        self, path: str, body: dict[str, Any]
    ) -> Result[Lease, StoreError]:
        match await self._call("POST", "lease", path, body=body):
            case _NoResponse(kind, message):
                return Err(StoreError(kind, message))
            case _Response(status=200, body=body):
                return _parse(lambda: _to_lease(body))
            case _Response(status=404):
                return Err(
                    StoreError(StoreErrorKind.LEASE_GONE, "lease does not exist")
                )
            case response:
                return Err(_to_error(response))

    async def _read(self, kind: str, path: str) -> Result[_Response, StoreError]:
        # all pooled connections may be unresponsive, so the second and last attempt
        # uses a new connection
        timeout = self._share_timeout(0.5)
        outcome = await self._call("GET", kind, path, timeout=timeout)
        if isinstance(outcome, _NoResponse):
            self._metrics.count("store.read_retries")
            outcome = await self._call("GET", kind, path, timeout=timeout, fresh=True)
        if isinstance(outcome, _NoResponse):
            return Err(StoreError(outcome.kind, outcome.message))
        if outcome.status not in (200, 404):
            return Err(_to_error(outcome))
        return Ok(outcome)

    async def _write(self, kind: str, path: str, body: dict[str, Any]) -> WriteResult:
        match await self._call("POST", kind, path, body=body):
            case _NoResponse(sent=True, message=message):
                self._metrics.count(f"store.unknown.{kind}")
                return WriteResult(WriteOutcome.UNKNOWN, message=message)
            case _NoResponse(message=message):
                return WriteResult(WriteOutcome.NOT_APPLIED, message=message)
            case response:
                return _to_write_result(response)

    def _share_timeout(self, share: float) -> aiohttp.ClientTimeout:
        seconds = self._timeout * share
        return aiohttp.ClientTimeout(
            total=seconds,
            connect=self._timeout * CONNECT_SHARE,
            sock_connect=self._timeout * CONNECT_SHARE,
            sock_read=self._timeout * READ_SHARE,
        )

    async def _call(
        self,
        method: str,
        kind: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        timeout: aiohttp.ClientTimeout | None = None,
        fresh: bool = False,
    ) -> _Response | _NoResponse:
        trace = _Trace(kind)
        try:
            async with self._session(fresh).request(
                method,
                URL(self._base + path, encoded=True),
                json=body,
                timeout=timeout or self._share_timeout(1.0),
                trace_request_ctx=trace,
                allow_redirects=False,
            ) as response:
                data = await response.read()
                status = response.status
        except TimeoutError as error:
            reason = StoreErrorKind.TIMEOUT
            message = f"no response within the timeout: {type(error).__name__}"
        except (aiohttp.ClientError, OSError) as error:
            reason = StoreErrorKind.UNREACHABLE
            message = f"{type(error).__name__}: {error}"
        else:
            return _decode_response(status, data)
        self._metrics.count(f"store.failures.{kind}")
        return _NoResponse(reason, message, sent=trace.connected)

    def _session(self, fresh: bool) -> aiohttp.ClientSession:
        # sessions are created on first use, as they need the running loop
        if fresh:
            if self._fresh is None:
                connector = aiohttp.TCPConnector(
                    limit=MAX_CONNECTIONS, force_close=True
                )
                self._fresh = self._open_session(connector)
            return self._fresh
        if self._pooled is None:
            connector = aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS, keepalive_timeout=IDLE_SECONDS
            )
            self._pooled = self._open_session(connector)
        return self._pooled

    def _open_session(self, connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(self._record_connection)
        tracing.on_connection_reuseconn.append(self._record_connection)
        return aiohttp.ClientSession(
            connector=connector,
            trace_configs=[tracing],
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def _record_connection(
        self, session: aiohttp.ClientSession, context: Any, params: Any
    ) -> None:
        # count here instead of at the start of a call: aiohttp may resend a read by
        # itself, and the service counts both
        trace = context.trace_request_ctx
        trace.connected = True
        self._metrics.count(f"store.calls.{trace.kind}")


def _key_path(base: str, key: str) -> str:
    return base + quote(key, safe="/")


def _decode_response(status: int, data: bytes) -> _Response:
    if not data:
        return _Response(status, None)
    try:
        return _Response(status, json.loads(data))
    except ValueError:
        return _Response(status, None)


def _to_write_result(response: _Response) -> WriteResult:
    body = response.body if isinstance(response.body, dict) else {}
    revision = body.get("revision", ABSENT)
    message = f"status {response.status}"
    if response.status == 200:
        return WriteResult(WriteOutcome.APPLIED, revision)
    if response.status == 412:
        return WriteResult(WriteOutcome.CONFLICT, revision)
    if response.status in _REFUSALS or response.status in _REJECTIONS:
        return WriteResult(WriteOutcome.NOT_APPLIED, message=message)
    # any other error may have occurred after the write took effect
    return WriteResult(WriteOutcome.UNKNOWN, message=message)


def _to_error(response: _Response) -> StoreError:
    message = f"status {response.status}"
    if response.status == 429:
        return StoreError(StoreErrorKind.RATE_LIMITED, message)
    if response.status >= 500:
        return StoreError(StoreErrorKind.UNREACHABLE, message)
    return StoreError(StoreErrorKind.BAD_ANSWER, message)


def _parse(read: Callable[[], T]) -> Result[T, StoreError]:
    try:
        return Ok(read())
    except (KeyError, TypeError, ValueError) as error:
        message = f"{type(error).__name__}: {error}"
        return Err(StoreError(StoreErrorKind.BAD_ANSWER, message))


def _to_entry(body: Any) -> Entry:
    value = base64.b64decode(body["value"], validate=True)
    return Entry(str(body["key"]), value, int(body["revision"]))


def _to_lease(body: Any) -> Lease:
    return Lease(str(body["lease"]), float(body["ttl"]), int(body["number"]))
