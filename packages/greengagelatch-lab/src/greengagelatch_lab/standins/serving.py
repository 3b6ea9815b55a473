"""HTTP server process of the simulators, and helpers for their handlers."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import Any

from aiohttp import web

__all__ = ("ControlError", "read_json", "serve", "update_fields")

#: seconds that open calls get to finish at shutdown
SHUTDOWN_TIMEOUT = 1.0
#: maximum request body in bytes; larger than any base64-encoded store value
MAX_BODY = 4 * 1024 * 1024


class ControlError(ValueError):
    """Invalid control call: an unknown field or a value of the wrong type."""


def serve(app: web.Application, listen: str) -> None:
    """Serve ``app`` on ``listen`` (``host:port``) until SIGTERM or SIGINT.

    Prints the line ``ready host:port`` once the server accepts connections.
    """
    asyncio.run(_serve(app, listen))


async def read_json(request: web.Request) -> dict[str, Any]:
    """Parse the request's JSON object; respond ``400`` if it is not one."""
    try:
        body = json.loads(await request.read())
    except ValueError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="body must be a JSON object")
    return body


def update_fields(record: Any, names: frozenset[str], values: dict[str, Any]) -> None:
    """Set fields of ``record`` from ``values``; only ``names`` are allowed.

    A misspelt fault would let a test pass without its fault, so unknown names and
    values of a different type raise :class:`ControlError`.
    """
    for name, value in values.items():
        if name not in names:
            raise ControlError(f"unknown field {name!r}; known: {sorted(names)}")
        known = getattr(record, name)
        if type(known) is float and type(value) is int:
            value = float(value)
        if type(known) is not type(value):
            raise ControlError(
                f"{name} must be a {type(known).__name__}, got {value!r}"
            )
        setattr(record, name, value)


async def _serve(app: web.Application, listen: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT, keepalive_timeout=75
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, int(port)).start()
        bound_host, bound_port = runner.addresses[0][:2]
        print(f"ready {bound_host}:{bound_port}", flush=True)
        await stopped.wait()
    finally:
        await runner.cleanup()
