"""HTTP endpoints for the balancer and operators: readiness, metrics and state."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from ..controllers import Controller

if TYPE_CHECKING:
    from collections.abc import Callable

    from .prometheus import PrometheusMetrics

__all__ = ("ReadinessServer",)

#: idle timeout of connections from the balancer in seconds
IDLE_TIMEOUT = 15.0


class ReadinessServer(Controller):
    """Serves internal endpoints on addresses that callers can't reach.

    :param listen: address of the readiness endpoint
    :param metrics_listen: address of the metrics and state endpoints; empty: not served
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
    ) -> None:
        super().__init__()
        self._listen = listen
        self._readiness_path = readiness_path
        self._metrics_listen = metrics_listen
        self._metrics_path = metrics_path
        self._is_ready = is_ready
        self._describe = describe
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
            text = json.dumps(self._describe(), default=str)
            return web.Response(text=text, content_type="application/json")
        return web.Response(status=404)
