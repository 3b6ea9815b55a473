"""Continuous batching: calls join and leave the running batch at each step."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from .answers import expected_tokens, find_hint
from .options import EngineOptions
from .prefixes import PrefixCache
from .run_log import read_ms
from .target import Attempt

__all__ = ("Batch",)

#: fraction of the full prefill time that remains on a prefix cache hit
HIT_PREFILL_RATIO = 0.1


@dataclass(slots=True, eq=False)
class _Sequence:
    attempt: Attempt
    texts: tuple[str, ...]
    #: offset of the next token
    position: int
    done: asyncio.Future[None]


class Batch:
    """The calls that an engine decodes together, and the queue of waiting calls.

    Waiting calls are admitted by descending priority, then in order of arrival.
    """

    def __init__(
        self,
        *,
        options: EngineOptions,
        cache: PrefixCache,
        get_slowdown: Callable[[], float],
    ) -> None:
        self._options = options
        self._cache = cache
        self._get_slowdown = get_slowdown
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._active: list[_Sequence] = []
        self._arrived = asyncio.Event()

    async def run(self, attempt: Attempt) -> None:
        """Queue ``attempt`` and wait until all its tokens are generated."""
        call = attempt.call
        texts = expected_tokens(call.pipeline, call.stage, call.kind, call.input)
        done = asyncio.get_running_loop().create_future()
        sequence = _Sequence(attempt, texts, call.resume_at, done)
        entry = (-call.priority, next(self._order), sequence)
        heapq.heappush(self._waiting, entry)
        self._arrived.set()
        await done

    async def run_steps(self) -> None:
        """Run decode steps until cancelled."""
        while True:
            self._active = [item for item in self._active if not item.done.done()]
            prefill_ms = self._admit()
            if not self._active:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            size = len(self._active)
            growth = 1 + self._options.batch_growth * (size - 1)
            step_ms = prefill_ms + self._options.tokens_ms * growth
            step_ms *= self._get_slowdown()
            # the step's time is attributed to its calls in equal shares
            for sequence in self._active:
                sequence.attempt.run.cost_ms += step_ms / size
            await asyncio.sleep(step_ms / 1000)
            self._decode()

    def _admit(self) -> float:
        """Admit waiting calls and return their prefill time in milliseconds."""
        prefill_ms = 0.0
        while self._waiting and len(self._active) < self._options.capacity:
            sequence = heapq.heappop(self._waiting)[2]
            # a call cancelled while queued must not run
            if sequence.done.done():
                continue
            sequence.attempt.start()
            self._active.append(sequence)
            prefix = find_hint(sequence.attempt.call.input, "prefix")
            hit = self._cache.lookup(prefix or "", read_ms())
            share = HIT_PREFILL_RATIO if hit else 1.0
            prefill_ms += self._options.prefill_ms * share
        return prefill_ms

    def _decode(self) -> None:
        for sequence in self._active:
            if sequence.done.done():
                continue
            if sequence.position < len(sequence.texts):
                sequence.attempt.emit(sequence.texts[sequence.position])
                sequence.position += 1
            if sequence.position >= len(sequence.texts):
                sequence.done.set_result(None)
