"""A minimal pass-through proxy on aiohttp, as the baseline for the daemon."""

from __future__ import annotations

import sys
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web

from ..standins.serving import serve

__all__ = ("main",)

SESSION = web.AppKey("session", aiohttp.ClientSession)


async def _manage_session(app: web.Application) -> AsyncIterator[None]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        app[SESSION] = session
        yield


def main() -> None:
    """Forward calls from the address of the first argument to that of the second."""
    listen, target = sys.argv[1:]
    url = f"http://{target}/call"

    async def forward(request: web.Request) -> web.Response:
        body = await request.read()
        async with request.app[SESSION].post(url, data=body) as response:
            return web.Response(
                body=await response.read(),
                status=response.status,
                content_type=response.content_type,
            )

    app = web.Application()
    app.cleanup_ctx.append(_manage_session)
    app.router.add_post("/call", forward)
    serve(app, listen)


if __name__ == "__main__":
    main()
