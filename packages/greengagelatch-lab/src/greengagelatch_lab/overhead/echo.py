"""A target that responds immediately, so that only the path to it is measured."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import xxhash
from aiohttp import web

from ..standins.serving import serve

__all__ = ("TOKENS", "main")

#: tokens of each streamed response, and seconds between two of them, as for an engine
#: with continuous batching
TOKENS = 50
TOKEN_INTERVAL = 0.02
TEXT = " lathe"
DIGEST = xxhash.xxh64_hexdigest((TEXT * TOKENS).encode())


async def _call(request: web.Request) -> web.StreamResponse:
    fields: dict[str, Any] = json.loads(await request.read())
    if fields["stream"]:
        return await _stream(request, fields)
    answer = {name: fields[name] for name in ("attempt", "request", "stage")}
    answer |= {"output": fields["input"], "cost_ms": 0}
    return web.Response(
        body=json.dumps(answer).encode(), content_type="application/json"
    )


async def _stream(request: web.Request, fields: dict[str, Any]) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    for offset in range(TOKENS):
        token = {"attempt": fields["attempt"], "offset": offset, "text": TEXT}
        await response.write(_encode_event("token", token))
        await asyncio.sleep(TOKEN_INTERVAL)
    end = {name: fields[name] for name in ("attempt", "request", "stage")}
    end |= {"count": TOKENS, "digest": DIGEST, "cost_ms": 0}
    await response.write(_encode_event("end", end))
    return response


def _encode_event(name: str, fields: dict[str, Any]) -> bytes:
    return f"event: {name}\ndata: {json.dumps(fields)}\n\n".encode()


async def _get_load(request: web.Request) -> web.Response:
    report = {"in_flight": 0, "queued": 0, "capacity": 256, "age_ms": 0}
    return web.json_response(report | {"state": "live"})


def main() -> None:
    """Serve on the address given as the only command-line argument."""
    app = web.Application()
    app.router.add_post("/call", _call)
    app.router.add_get("/load", _get_load)
    serve(app, sys.argv[1])


if __name__ == "__main__":
    main()
