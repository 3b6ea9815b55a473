"""Simulated targets that record every call they run."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import xxhash

from greengagelatch_entry.adapters.event_stream import encode_event

from .engines import Engine

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from .engines import EngineOrder

__all__ = ("FleetTarget", "StageRun", "TargetRecord", "create_tokens", "find_markers")

TOKENS = 6
#: seconds of one call by stage kind, and seconds of one token
SECONDS = {"retrieve": 0.02, "plain": 0.03, "generate": 0.02}
TOKEN_SECONDS = 0.02
#: calls that a target runs concurrently, and calls that its queue holds
CAPACITY = 4
MAX_WAITING = 8


@dataclass(slots=True, kw_only=True)
class StageRun:
    """One execution of a call; ``effect`` is set once its side effect has happened."""

    attempt: str
    request: str
    stage: str
    target: str
    marker: str
    started: float
    ended: float | None = None
    effect: bool = False


@dataclass(slots=True)
class TargetRecord:
    """Everything that targets received and ran, in chronological order."""

    runs: list[StageRun] = field(default_factory=list)
    #: time and target of each call that arrived
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    #: time at which a target began to drain, by target id
    leaving: dict[str, float] = field(default_factory=dict)
    #: inputs that contained data of more than one request, or of none
    mixed_inputs: list[str] = field(default_factory=list)
    #: orders applied by engines, in order of application
    orders: list[EngineOrder] = field(default_factory=list)


def create_tokens(marker: str) -> tuple[str, ...]:
    """Return the tokens that the request with ``marker`` must be answered with."""
    return tuple(f"{marker}/{number} " for number in range(TOKENS))


def find_markers(value: Any) -> set[str]:
    """Return all markers in a value, at any depth of nested objects."""
    if isinstance(value, dict):
        found = {value["marker"]} if isinstance(value.get("marker"), str) else set()
        for inner in value.values():
            found |= find_markers(inner)
        return found
    return set()


class FleetTarget:
    """One replica of a service.

    :param resumes: whether it can resume a stream at an offset
    :param checks_fence: whether it rejects orders with stale fencing tokens
    """

    def __init__(
        self,
        *,
        target_id: str,
        service: str,
        data_centre: str,
        address: str,
        record: TargetRecord,
        random_source: random.Random,
        resumes: bool = True,
        checks_fence: bool = True,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.data_centre = data_centre
        self.address = address
        #: factor by which calls take longer than usual
        self.slowness = 1.0
        #: fraction of calls that fail, before or after their side effect
        self.failure_rate = 0.0
        self.leaving = False
        #: whether its process is running
        self.alive = True
        self.engine = Engine(
            target_id=target_id,
            checks_fence=checks_fence,
            on_order=record.orders.append,
        )
        self._record = record
        self._random = random_source
        self._resumes = resumes
        self._slots = asyncio.Semaphore(CAPACITY)
        self._waiting = 0
        self._running = 0
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._cancelled: set[str] = set()

    def start_draining(self) -> None:
        """Begin to drain; each response reports it from now on."""
        self.leaving = True
        now = asyncio.get_running_loop().time()
        self._record.leaving.setdefault(self.target_id, now)

    def kill(self) -> None:
        """Kill the process, which aborts the calls it runs."""
        self.alive = False
        for task in self._tasks.values():
            task.cancel()

    def describe_load(self) -> bytes:
        """Return the response body of ``GET /load``."""
        report = {
            "in_flight": self._running,
            "queued": self._waiting,
            "capacity": CAPACITY,
            "state": "leaving" if self.leaving else "live",
            "age_ms": 0,
        }
        return json.dumps(report).encode()

    def cancel(self, attempt: str) -> bool:
        """Cancel an attempt, even one that has not arrived yet."""
        self._cancelled.add(attempt)
        task = self._tasks.get(attempt)
        return task is not None and task.cancel()

    async def serve(
        self, call: Mapping[str, Any], answer: Callable[[int, bytes, bool], None]
    ) -> None:
        """Run one call.

        :param answer: called with status, bytes and whether these are the last
        """
        now = asyncio.get_running_loop().time()
        self._record.arrivals.append((now, self.target_id))
        attempt = call["attempt"]
        if attempt in self._cancelled or self._waiting >= MAX_WAITING:
            answer(503, _create_rejection(attempt), True)
            return
        self._tasks[attempt] = asyncio.current_task()
        try:
            self._waiting += 1
            try:
                await self._slots.acquire()
            finally:
                self._waiting -= 1
            try:
                self._running += 1
                await self._run(call, answer)
            finally:
                self._running -= 1
                self._slots.release()
        finally:
            del self._tasks[attempt]

    async def _run(
        self, call: Mapping[str, Any], answer: Callable[[int, bytes, bool], None]
    ) -> None:
        markers = sorted(find_markers(call["input"]))
        if len(markers) != 1:
            self._record.mixed_inputs.append(
                f"{call['request']} {call['stage']}: {markers}"
            )
        run = StageRun(
            attempt=call["attempt"],
            request=call["request"],
            stage=call["stage"],
            target=self.target_id,
            marker=markers[0],
            started=asyncio.get_running_loop().time(),
        )
        self._record.runs.append(run)
        early, late = self._random.random(), self._random.random()
        fails = self._random.random() < self.failure_rate
        if fails and early < 0.5:
            answer(500, b"failed before its effect", True)
            return
        await asyncio.sleep(SECONDS[call["kind"]] * self.slowness)
        run.effect = True
        if fails and late < 0.5:
            answer(500, b"failed after its effect", True)
            return
        if call["kind"] == "generate":
            await self._generate(run, call, answer, fails)
        else:
            answer(200, _create_answer(call, {"marker": run.marker}), True)
        run.ended = asyncio.get_running_loop().time()

    async def _generate(
        self,
        run: StageRun,
        call: Mapping[str, Any],
        answer: Callable[[int, bytes, bool], None],
        fails: bool,
    ) -> None:
        tokens = create_tokens(run.marker)
        if not call["stream"]:
            await asyncio.sleep(TOKEN_SECONDS * self.slowness * len(tokens))
            answer(200, _create_answer(call, "".join(tokens)), True)
            return
        start = call["resume_at"]
        if start and not self._resumes:
            answer(409, b"can't resume", True)
            return
        for offset in range(start, len(tokens)):
            if fails and offset == len(tokens) // 2:
                # the stream ends early, half way through
                answer(200, b"", True)
                return
            fields = {
                "attempt": call["attempt"],
                "offset": offset,
                "text": tokens[offset],
            }
            answer(200, encode_event("token", fields), False)
            await asyncio.sleep(TOKEN_SECONDS * self.slowness)
        answer(200, encode_event("end", _create_end_fields(call, tokens)), True)


def _create_answer(call: Mapping[str, Any], output: Any) -> bytes:
    fields = {
        "attempt": call["attempt"],
        "request": call["request"],
        "stage": call["stage"],
        "output": output,
        "cost_ms": 1,
    }
    return json.dumps(fields).encode()


def _create_end_fields(
    call: Mapping[str, Any], tokens: tuple[str, ...]
) -> dict[str, Any]:
    return {
        "attempt": call["attempt"],
        "request": call["request"],
        "stage": call["stage"],
        "count": len(tokens),
        "digest": xxhash.xxh64_hexdigest("".join(tokens).encode()),
        "cost_ms": 1,
    }


def _create_rejection(attempt: str) -> bytes:
    fields = {"attempt": attempt, "not_run": True, "retry_after_ms": 100}
    return json.dumps(fields).encode()
