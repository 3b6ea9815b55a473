"""Simulated model engine with batching, token streams, a prefix cache and orders.

In addition to the endpoints of every target, ``GET /record/orders`` returns
``{"orders": [OrderRecord]}``, and ``GET /orders`` includes the last order's ``fence``.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import asdict
from typing import Any

from aiohttp import web

from .answers import compute_digest, expected_tokens
from .batch import Batch
from .faults import Fault
from .options import EngineOptions, parse_options
from .order_executor import EngineState, OrderExecutor
from .prefixes import PrefixCache
from .run_log import RunOutcome, read_ms
from .serving import read_json, serve
from .target import Attempt, Target, refuse

__all__ = ("Engine", "main")

STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}


class Engine(Target):
    """A simulated model engine."""

    def __init__(self, options: EngineOptions) -> None:
        super().__init__(options)
        self._cache = PrefixCache(
            entries=options.cache_entries,
            lag_ms=options.cache_event_lag_ms,
            gap_rate=options.cache_gap_rate,
            random_source=self.random,
        )
        self._executor = OrderExecutor(
            checks=options.fencing == "checked", duration=options.order_ms / 1000
        )
        self._batch = Batch(
            options=options, cache=self._cache, get_slowdown=lambda: self.faults.slow
        )

    def build_app(self) -> web.Application:
        app = super().build_app()
        app.add_routes(
            [
                web.get("/cache-events", self._get_events),
                web.post("/orders", self._order),
                web.get("/orders", self._get_orders),
                web.get("/record/orders", self._get_order_record),
                web.post("/kv-cache/export", self._export),
                web.post("/kv-cache/import", self._import),
            ]
        )
        app.cleanup_ctx.append(self._run_batch)
        return app

    async def run(self, attempt: Attempt) -> None:
        await self._batch.run(attempt)

    def report_load(self) -> dict[str, Any]:
        state = self._executor.state
        own = {
            "cached_prefixes": self._cache.list_prefixes(),
            "models": list(state.models),
            "role": state.role,
        }
        return super().report_load() | own

    async def stream(
        self, request: web.Request, attempt: Attempt, fault: Fault
    ) -> web.StreamResponse:
        call = attempt.call
        texts = expected_tokens(call.pipeline, call.stage, call.kind, call.input)
        resume_unsupported = self.faults.no_resume and call.resume_at > 0
        if resume_unsupported or call.resume_at > len(texts):
            return web.json_response({"attempt": call.attempt}, status=409)
        attempt.task.add_done_callback(lambda _: attempt.changed.set())
        await attempt.changed.wait()
        if attempt.run is None:
            # cancelled while queued; no status is sent yet, so the refusal can be
            return refuse(call)
        response = web.StreamResponse(headers=STREAM_HEADERS)
        await response.prepare(request)
        try:
            complete = await self._send_tokens(response, attempt, fault)
        except ConnectionError:
            # the caller disconnected; the run is recorded as cancelled
            return response
        if not complete and fault is Fault.MUTE:
            attempt.task.cancel()
            attempt.end(RunOutcome.FAILED)
            await self.wait_for_disconnect(request)
            return response
        if not complete or fault is Fault.FAIL:
            cancelled = attempt.task.cancelled()
            attempt.end(RunOutcome.CANCELLED if cancelled else RunOutcome.FAILED)
            request.transport.abort()
            return response
        attempt.end(RunOutcome.DONE)
        answered_call = self.choose_answered_call(call, fault)
        end = {
            "attempt": answered_call.attempt,
            "request": answered_call.request,
            "stage": answered_call.stage,
            "count": len(texts),
            "digest": compute_digest(texts),
            "cost_ms": attempt.run.cost_ms,
        }
        await response.write(_encode_event("end", end))
        return response

    async def _send_tokens(
        self, response: web.StreamResponse, attempt: Attempt, fault: Fault
    ) -> bool:
        """Send tokens as they are generated; return whether all of them were sent."""
        answered_call = self.choose_answered_call(attempt.call, fault)
        limited = fault in (Fault.CUT, Fault.MUTE)
        sent = 0
        while True:
            attempt.changed.clear()
            finished = attempt.task.done()
            texts = attempt.tokens[sent:]
            if limited:
                texts = texts[: self.faults.cut_after - sent]
            frames = []
            for text in texts:
                token = {
                    "attempt": answered_call.attempt,
                    "offset": attempt.call.resume_at + sent,
                    "text": text,
                }
                frames.append(_encode_event("token", token))
                sent += 1
            if frames:
                await response.write(b"".join(frames))
            if limited and sent >= self.faults.cut_after:
                return False
            if finished:
                return not attempt.task.cancelled() and not limited
            await attempt.changed.wait()

    async def _run_batch(self, app: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(self._batch.run_steps())
        yield
        task.cancel()

    async def _get_events(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", 0))
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response(self._cache.read_events(after, read_ms()))

    async def _order(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        try:
            fence = int(body["fence"])
            wanted = _decode_state(body["wanted"])
        except (KeyError, TypeError, ValueError) as error:
            raise web.HTTPBadRequest(text=repr(error)) from error
        # an order is applied even if its sender disconnects
        if await asyncio.shield(self._executor.apply(fence, wanted)):
            return web.json_response(self._executor.encode())
        return web.json_response({"fence": self._executor.highest_fence}, status=409)

    async def _get_orders(self, request: web.Request) -> web.Response:
        return web.json_response(self._executor.encode())

    async def _get_order_record(self, request: web.Request) -> web.Response:
        orders = [asdict(order) for order in self._executor.orders]
        return web.json_response({"orders": orders})

    async def _export(self, request: web.Request) -> web.Response:
        prefix = (await read_json(request)).get("prefix", "")
        data = self._cache.export(prefix)
        if data is None:
            return web.json_response({}, status=404)
        return web.json_response({"prefix": prefix, "data": data})

    async def _import(self, request: web.Request) -> web.Response:
        body = await read_json(request)
        prefix = body.get("prefix", "")
        if not self._cache.import_entry(prefix, body.get("data", ""), read_ms()):
            return web.json_response({}, status=400)
        return web.json_response({"prefix": prefix})


def _decode_state(wanted: dict[str, Any]) -> EngineState:
    return EngineState(
        models=tuple(wanted.get("models", ())),
        adapters=tuple(wanted.get("adapters", ())),
        role=wanted.get("role", ""),
    )


def _encode_event(name: str, body: dict[str, Any]) -> bytes:
    return f"event: {name}\ndata: {json.dumps(body)}\n\n".encode()


def main() -> None:
    """Run a simulated model engine."""
    options = parse_options(EngineOptions, main.__doc__)
    serve(Engine(options).build_app(), options.listen)


if __name__ == "__main__":
    main()
