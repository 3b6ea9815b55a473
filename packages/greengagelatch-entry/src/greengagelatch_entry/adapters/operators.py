"""HTTP server for operators."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from json import JSONDecodeError
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.typedefs import Handler
from mode import Service

from greengagelatch.clock import SystemClock
from greengagelatch.connection_limits import ConnectionLimits

from ..controllers import Controller
from .bounded_server import BoundedServer
from .loop_lag import LoopLag
from .state_dump import encode

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from greengagelatch.clock import Clock

    from ..metrics import Metrics
    from .operators_status import InstanceStatus
    from .state_dump import StateDump

__all__ = ("OperatorsServer",)

logger = logging.getLogger(__name__)

#: maximum bytes of a request body; fits the configuration of a large deployment
MAX_BODY_BYTES = 8 * 1024 * 1024
#: seconds within which a request body must arrive
BODY_TIMEOUT = 10.0
#: seconds after which a load balancer may repeat a readiness check
READY_RETRY = 1
#: seconds that handlers get to finish when the server stops
STOP_TIMEOUT = 2.0
#: limits on the connections of operators and health checks
CONNECTION_LIMITS = ConnectionLimits(
    max_connections=128, max_read_ahead=4 * 1024 * 1024
)

TARGET_FIELD = "target"
#: maximum characters of an invalid value in an error message
MAX_SHOWN = 200


class _BoundedRunner(web.AppRunner):
    """Runs an application on connections that are bounded in sum."""

    async def _make_server(self) -> BoundedServer:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            limits=CONNECTION_LIMITS,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


class OperatorsServer(Controller):
    """Serves health checks, state dump, status, drain and additional routes.

    :param listen: ``host:port``; port 0 selects a free port, see :attr:`port`.
    :param ready: whether callers may be routed here; false until a configuration
        is known, and from the start of a planned stop.
    :param drain: starts the planned stop; idempotent.
    :param mark_leaving: marks a target as leaving.
    :param routes: functions that add routes to the application before it starts.
    """

    name = "operators"

    def __init__(
        self,
        *,
        listen: str,
        state_dump: StateDump,
        status: Callable[[], InstanceStatus],
        ready: Callable[[], bool],
        drain: Callable[[], None],
        mark_leaving: Callable[[str], None],
        metrics: Metrics,
        routes: Sequence[Callable[[web.Application], None]] = (),
        clock: Clock | None = None,
    ) -> None:
        super().__init__()
        self._listen = listen
        self._state_dump = state_dump
        self._status = status
        self._ready = ready
        self._drain = drain
        self._mark_leaving = mark_leaving
        self._metrics = metrics
        self._routes = routes
        self._lag = LoopLag(clock or SystemClock())
        self._runner: web.AppRunner | None = None
        self._dump_requested = asyncio.Event()
        self.port = 0

    async def on_start(self) -> None:
        """Bind the address and start serving."""
        host, _, port = self._listen.rpartition(":")
        self._runner = _BoundedRunner(
            self._create_application(),
            access_log=None,
            shutdown_timeout=STOP_TIMEOUT,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host.strip("[]"), int(port))
        await site.start()
        self.port = self._runner.addresses[0][1]
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._dump_requested.set)

    async def on_stop(self) -> None:
        """Close the listener and abort requests in progress."""
        asyncio.get_running_loop().remove_signal_handler(signal.SIGUSR1)
        if self._runner is not None:
            await self._runner.cleanup()

    def dump(self) -> dict[str, Any]:
        return {"port": self.port, "loop_lag_seconds": self._lag.dump()}

    @Service.task
    async def _watch_loop(self) -> None:
        while not self.should_stop:
            lag = await self._lag.sample()
            self._metrics.gauge("loop.lag_ms", lag * 1000)
            self._metrics.gauge("log.dropped", self._state_dump.count_dropped_lines())

    @Service.task
    async def _log_dumps(self) -> None:
        while not self.should_stop:
            await self._dump_requested.wait()
            self._dump_requested.clear()
            await self._log_dump()

    async def _log_dump(self) -> None:
        self._state_dump.log_part("process", self._state_dump.describe_process())
        for name in self._state_dump.names():
            # let requests in flight run between two controllers
            await asyncio.sleep(0)
            state = self._state_dump.describe_controller(name)
            self._state_dump.log_part(name, state)

    def _create_application(self) -> web.Application:
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[_answer_errors, _read_body]
        )
        application.router.add_get("/healthz", self._show_health)
        application.router.add_get("/readyz", self._show_ready)
        application.router.add_get("/dump", self._show_dump)
        application.router.add_get("/status", self._show_status)
        application.router.add_post("/drain", self._start_drain)
        for install in self._routes:
            install(application)
        return application

    async def _show_health(self, request: web.Request) -> web.Response:
        return _answer({"healthy": True})

    async def _show_ready(self, request: web.Request) -> web.Response:
        if self._ready():
            return _answer({"ready": True})
        headers = {"Retry-After": str(READY_RETRY)}
        return _answer({"ready": False}, status=503, headers=headers)

    async def _show_dump(self, request: web.Request) -> web.Response:
        names = self._state_dump.names()
        requested = request.query.get("controller")
        if requested is not None:
            if requested not in names:
                known = ", ".join(sorted(names))
                return _refuse(
                    404, f"no such controller; known: {known}", "controller", requested
                )
            names = (requested,)
        controllers = {}
        for name in names:
            controllers[name] = self._state_dump.describe_controller(name)
            await asyncio.sleep(0)
        if requested is not None:
            return _answer({"controllers": controllers})
        process = self._state_dump.describe_process()
        process["loop_lag_seconds"] = self._lag.dump()
        return _answer({**process, "controllers": controllers})

    async def _show_status(self, request: web.Request) -> web.Response:
        return _answer(self._status().as_dict())

    async def _start_drain(self, request: web.Request) -> web.Response:
        body = await _read_object(request)
        # a misspelt "target" must not drain the instance instead
        for field in body:
            if field != TARGET_FIELD:
                return _refuse(400, "unknown field", field, str(body[field]))
        if TARGET_FIELD not in body:
            self._drain()
            return _answer({"state": "leaving"}, status=202)
        target_id = body[TARGET_FIELD]
        if not isinstance(target_id, str) or not target_id:
            return _refuse(400, "must be a target id", TARGET_FIELD, str(target_id))
        if not self._status().has_target(target_id):
            return _refuse(404, "no such target", TARGET_FIELD, target_id)
        self._mark_leaving(target_id)
        return _answer({"target": target_id, "state": "leaving"}, status=202)


async def _read_object(request: web.Request) -> dict[str, Any]:
    text = (await request.text()).strip()
    if not text:
        return {}
    try:
        body = json.loads(text)
    except (JSONDecodeError, RecursionError) as error:
        raise web.HTTPBadRequest(reason=f"request body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(reason="request body must be a JSON object")
    return body


@web.middleware
async def _read_body(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Read the whole body first, so that a stalled sender does not block a handler."""
    if request.can_read_body:
        try:
            async with asyncio.timeout(BODY_TIMEOUT):
                await request.read()
        except TimeoutError as error:
            reason = f"request body not received within {BODY_TIMEOUT:g} s"
            raise web.HTTPRequestTimeout(reason=reason) from error
    return await handler(request)


@web.middleware
async def _answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Convert errors to JSON responses."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        return _refuse(error.status, error.reason)
    except Exception:
        logger.exception("%s %s failed", request.method, request.path)
        return _refuse(500, "internal error; see the traceback in the log")


def _refuse(
    status: int, message: str, field: str = "", value: str = ""
) -> web.Response:
    body = {"message": message, "field": field, "value": value[:MAX_SHOWN]}
    return _answer(body, status=status)


def _answer(
    body: dict[str, Any], *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.json_response(body, status=status, headers=headers, dumps=encode)
