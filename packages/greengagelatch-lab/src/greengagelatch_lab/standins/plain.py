"""Simulated plain service whose calls have a counted side effect.

In addition to the endpoints of every target, ``GET /effects`` returns
``{"requests": {"REQUEST/STAGE": n}, "effects": {"NAME/STAGE": n}}``, where a name is
the input's ``effect``. Totals over all replicas of a service reveal duplicates.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web

from .answers import find_hint
from .options import TargetOptions, parse_options
from .run_log import Call, read_ms
from .serving import serve
from .target import Attempt, Target

__all__ = ("PlainService", "main")


class PlainService(Target):
    """Runs calls concurrently up to its capacity, in order of arrival."""

    def __init__(self, options: TargetOptions) -> None:
        super().__init__(options)
        self._slots = asyncio.Semaphore(options.capacity)
        self._requests: Counter[str] = Counter()
        self._effects: Counter[str] = Counter()

    def build_app(self) -> web.Application:
        app = super().build_app()
        app.router.add_get("/effects", self._get_effects)
        return app

    async def run(self, attempt: Attempt) -> None:
        async with self._slots:
            run = attempt.start()
            try:
                await asyncio.sleep(self.draw_service_ms(attempt.call) / 1000)
                self._count_effect(attempt.call)
            finally:
                run.cost_ms = read_ms() - run.started_ms

    def _count_effect(self, call: Call) -> None:
        self._requests[f"{call.request}/{call.stage}"] += 1
        name = find_hint(call.input, "effect")
        if name is not None:
            self._effects[f"{name}/{call.stage}"] += 1

    async def _get_effects(self, request: web.Request) -> web.Response:
        return web.json_response({"requests": self._requests, "effects": self._effects})


def main() -> None:
    """Run a simulated plain service."""
    options = parse_options(TargetOptions, main.__doc__)
    serve(PlainService(options).build_app(), options.listen)


if __name__ == "__main__":
    main()
