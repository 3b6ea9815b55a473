"""Simulated pool of encoders, retrievers or rerankers that batches its calls."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator

from aiohttp import web

from .options import TargetOptions, parse_options
from .serving import serve
from .target import Attempt, Target

__all__ = ("Pool", "main")

#: fraction of the batch time that each further call adds
BATCH_GROWTH = 0.1


class Pool(Target):
    """Runs one batch at a time; calls that arrive meanwhile wait for the next one."""

    def __init__(self, options: TargetOptions) -> None:
        super().__init__(options)
        self._queue: deque[tuple[Attempt, asyncio.Future[None]]] = deque()
        self._arrived = asyncio.Event()

    def build_app(self) -> web.Application:
        app = super().build_app()
        app.cleanup_ctx.append(self._run_worker)
        return app

    async def run(self, attempt: Attempt) -> None:
        done = asyncio.get_running_loop().create_future()
        self._queue.append((attempt, done))
        self._arrived.set()
        await done

    async def _run_worker(self, app: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(self._run_batches())
        yield
        task.cancel()

    async def _run_batches(self) -> None:
        while True:
            batch = self._pop_batch()
            if not batch:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            runs = [attempt.start() for attempt, _ in batch]
            longest = max(self.draw_service_ms(attempt.call) for attempt, _ in batch)
            batch_ms = longest * (1 + BATCH_GROWTH * (len(batch) - 1))
            for run_record in runs:
                run_record.cost_ms = batch_ms / len(batch)
            await asyncio.sleep(batch_ms / 1000)
            for _, done in batch:
                if not done.done():
                    done.set_result(None)

    def _pop_batch(self) -> list[tuple[Attempt, asyncio.Future[None]]]:
        batch = []
        while self._queue and len(batch) < self.options.capacity:
            attempt, done = self._queue.popleft()
            # a call cancelled while queued must not run
            if done.cancelled():
                continue
            batch.append((attempt, done))
        return batch


def main() -> None:
    """Run a simulated pool of encoders, retrievers or rerankers."""
    options = parse_options(TargetOptions, main.__doc__)
    serve(Pool(options).build_app(), options.listen)


if __name__ == "__main__":
    main()
