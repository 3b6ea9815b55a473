"""HTTP endpoints for the balancer and operators: readiness, metrics and state."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from ..controllers import Controller
from .explanations import InvalidQuestionError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from .prometheus import PrometheusMetrics

__all__ = ("ReadinessServer",)

#: idle timeout of connections from the balancer in seconds
IDLE_TIMEOUT = 15.0
STATUS_BAD_REQUEST = 400


class ReadinessServer(Controller):
    """Serves internal endpoints on addresses that callers can't reach.

    :param listen: address of the readiness endpoint
    :param metrics_listen: address of the metrics, state and explanation endpoints;
        empty: not served
    :param explain: answers a question where a request would be sent
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
    ) -> None:
        super().__init__()
        self._listen = listen
        self._readiness_path = readiness_path
        self._metrics_listen = metrics_listen
        self._metrics_path = metrics_path
        self._is_ready = is_ready
        self._describe = describe
        self._explain = explain
        self._registry = CollectorRegistry()
        self._registry.register(metrics)
        self._runners: list[web.ServerRunner] = []

    async def on_start(self) -> None:
        """Start the listeners."""
        await self._serve(self._listen, self._handle_readiness)
        if self._metrics_listen:
            await self._serve(self._metrics_listen, self._handle_operators)

    async def on_stop(self) -> None:
        """Stop the listeners."""
        for runner in self._runners:
            await runner.cleanup()

    def dump(self) -> dict[str, Any]:
        return {"ready": self._is_ready()}

    async def _serve(self, address: str, handler) -> None:
        server = web.Server(handler, access_log=None, keepalive_timeout=IDLE_TIMEOUT)
        runner = web.ServerRunner(server)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        if request.path != self._readiness_path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    async def _handle_operators(self, request: web.BaseRequest) -> web.Response:
        if request.path == self._metrics_path:
            return web.Response(
                body=generate_latest(self._registry),
                headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"},
            )
        if request.path == "/state":
            return _create_json(200, self._describe())
        if request.path == "/explain" and request.method == "POST":
            return self._answer(await request.read())
        return web.Response(status=404)

    def _answer(self, body: bytes) -> web.Response:
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


def _create_json(status: int, value: dict[str, Any]) -> web.Response:
    text = json.dumps(value, default=str)
    return web.Response(status=status, text=text, content_type="application/json")
