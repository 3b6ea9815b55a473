"""A target that answers at once, so that nothing but the way to it is measured."""

from __future__ import annotations

import json
import sys
from typing import Any

from aiohttp import web

from ..standins.serving import run

__all__ = ("main",)


async def _call(request: web.Request) -> web.Response:
    fields: dict[str, Any] = json.loads(await request.read())
    answer = {name: fields[name] for name in ("attempt", "request", "stage")}
    answer |= {"output": fields["input"], "cost_ms": 0}
    return web.Response(
        body=json.dumps(answer).encode(), content_type="application/json"
    )


async def _get_load(request: web.Request) -> web.Response:
    report = {"in_flight": 0, "queued": 0, "capacity": 256, "age_ms": 0}
    return web.json_response(report | {"state": "live"})


def main() -> None:
    """Serve on the address given as the only argument."""
    app = web.Application()
    app.router.add_post("/call", _call)
    app.router.add_get("/load", _get_load)
    run(app, sys.argv[1])


if __name__ == "__main__":
    main()
