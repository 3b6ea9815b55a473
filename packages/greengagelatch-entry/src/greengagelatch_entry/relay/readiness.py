"""HTTP endpoints for the balancer and operators: readiness, metrics and state."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from aiohttp.web_response import Response
from prometheus_client import CollectorRegistry, generate_latest

from greengagelatch.connection_limits import ConnectionLimits

from ..adapters.bounded_server import BoundedServer, listen
from ..controllers import Controller
from .explanations import InvalidQuestionError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from aiohttp.web_request import BaseRequest

    from .prometheus import PrometheusMetrics

__all__ = ("ReadinessServer",)

#: idle timeout of connections from the balancer in seconds
IDLE_TIMEOUT = 15.0
#: seconds in which responses may finish during a stop
SHUTDOWN_TIMEOUT = 60.0
#: connections that the kernel queues until this process accepts them
BACKLOG = 128
#: limits on the connections of one endpoint
LIMITS = ConnectionLimits(max_connections=64, max_read_ahead=2 * 1024 * 1024)
STATUS_BAD_REQUEST = 400
#: seconds for which the rest of a body that is not used is read and dropped
LINGER_SECONDS = 1.0


class ReadinessServer(Controller):
    """Serves internal endpoints on addresses that callers can't reach.

    :param listen: address of the readiness endpoint
    :param metrics_listen: address of the metrics, state and explanation endpoints;
        empty: not served
    :param explain: answers a question where a request would be sent
    :param on_limit: called with this listener, the name of a limit, and the address of
        the client whose connection is closed or rejected by it
    """

    name = "readiness"

    def __init__(
        self,
        *,
        listen: str,
        readiness_path: str,
        metrics_listen: str,
        metrics_path: str,
        is_ready: Callable[[], bool],
        metrics: PrometheusMetrics,
        describe: Callable[[], dict[str, Any]],
        explain: Callable[[Mapping[str, Any]], dict[str, Any]],
        on_limit: Callable[[str, str, str], None],
    ) -> None:
        super().__init__()
        self._listen = listen
        self._readiness_path = readiness_path
        self._metrics_listen = metrics_listen
        self._metrics_path = metrics_path
        self._is_ready = is_ready
        self._describe = describe
        self._explain = explain
        self._on_limit = on_limit
        self._registry = CollectorRegistry()
        self._registry.register(metrics)
        self._endpoints: list[_Endpoint] = []

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Host and port of each endpoint that is served."""
        return [endpoint.address for endpoint in self._endpoints]

    async def on_start(self) -> None:
        """Start the listeners."""
        await self._serve(self._listen, self._handle_readiness)
        if self._metrics_listen:
            await self._serve(self._metrics_listen, self._handle_operators)

    async def on_stop(self) -> None:
        """Stop the listeners."""
        for endpoint in self._endpoints:
            await endpoint.close()

    def dump(self) -> dict[str, Any]:
        return {"ready": self._is_ready()}

    async def _serve(self, address: str, handler) -> None:
        server = BoundedServer(
            handler,
            limits=LIMITS,
            on_limit=lambda limit, peer: self._on_limit(self.name, limit, peer),
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT,
            lingering_time=LINGER_SECONDS,
        )
        host, _, port = address.rpartition(":")
        listener = await listen(server, host, int(port), BACKLOG)
        self._endpoints.append(_Endpoint(listener, server))

    async def _handle_readiness(self, request: BaseRequest) -> Response:
        if request.path != self._readiness_path:
            return Response(status=404)
        return Response(status=200 if self._is_ready() else 503)

    async def _handle_operators(self, request: BaseRequest) -> Response:
        if request.path == self._metrics_path:
            return Response(
                body=generate_latest(self._registry),
                headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
            )
        if request.path == "/state":
            return _create_json(200, self._describe())
        if request.path == "/explain" and request.method == "POST":
            return self._answer(await request.read())
        return Response(status=404)

    def _answer(self, body: bytes) -> Response:
        """Answer a question where a request would be sent."""
        try:
            question = json.loads(body)
        except (ValueError, RecursionError):
            question = None
        if not isinstance(question, dict):
            message = {"message": "the question must be a JSON object"}
            return _create_json(STATUS_BAD_REQUEST, message)
        try:
            return _create_json(200, self._explain(question))
        except InvalidQuestionError as error:
            refusal = {
                "message": str(error),
                "field": error.field,
                "value": error.value,
            }
            return _create_json(error.status, refusal)


class _Endpoint:
    """One listener and the connections that it has accepted."""

    def __init__(self, listener: asyncio.Server, server: BoundedServer) -> None:
        self._listener = listener
        self._server = server
        self.address: tuple[str, int] = listener.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._listener.close()
        # a request that has just been received begins to be served before the
        # connections without one are closed
        await asyncio.sleep(0)
        self._server.pre_shutdown()
        await self._server.shutdown(SHUTDOWN_TIMEOUT)


def _create_json(status: int, value: dict[str, Any]) -> Response:
    text = json.dumps(value, default=str)
    return Response(status=status, text=text, content_type="application/json")
