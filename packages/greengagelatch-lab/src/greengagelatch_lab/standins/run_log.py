"""Log of the runs of a target, for checkers to compare with callers' results."""

from __future__ import annotations

import time
from collections import Counter, defaultdict, deque
from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields
from enum import Enum
from typing import Any

__all__ = ("Call", "RunLog", "RunOutcome", "RunRecord", "decode_call", "read_ms")

#: maximum number of retained finished runs; the summary counts those dropped
MAX_RUNS = 200_000


class RunOutcome(Enum):
    """Outcome of a run, whether or not its answer reached the caller."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Body of ``POST /call``."""

    attempt: str
    request: str
    stage: str
    workspace: str
    pipeline: str
    kind: str
    input: Any
    repeatable: bool = True
    budget_ms: float = 0
    priority: int = 0
    stream: bool = False
    resume_at: int = 0


CALL_FIELDS = frozenset(item.name for item in fields(Call))


@dataclass(slots=True, kw_only=True)
class RunRecord:
    """One run of a call; times are wall-clock milliseconds."""

    attempt: str
    request: str
    stage: str
    workspace: str
    started_ms: float
    ended_ms: float | None = None
    outcome: RunOutcome = RunOutcome.RUNNING
    #: target time consumed by the run, in milliseconds
    cost_ms: float = 0.0


class RunLog:
    """Log of the runs of one target.

    It contains only calls that started to run: calls that were rejected, or
    cancelled while queued, are counted in ``not_run``.
    """

    def __init__(self) -> None:
        #: wall-clock milliseconds at which the target started to leave
        self.leaving_since_ms: float | None = None
        self.not_run = 0
        self._dropped = 0
        self._arrived_leaving = 0
        self._running: dict[int, RunRecord] = {}
        self._ended: deque[RunRecord] = deque(maxlen=MAX_RUNS)
        self._outcomes: Counter[str] = Counter()
        self._costs: dict[str, Counter[str]] = defaultdict(Counter)

    def record_arrival(self) -> None:
        """Count a call that arrives while the target is leaving."""
        if self.leaving_since_ms is not None:
            self._arrived_leaving += 1

    def record_start(self, call: Call) -> RunRecord:
        """Record the start of a run."""
        run = RunRecord(
            attempt=call.attempt,
            request=call.request,
            stage=call.stage,
            workspace=call.workspace,
            started_ms=read_ms(),
        )
        self._running[id(run)] = run
        return run

    def record_end(self, run: RunRecord, outcome: RunOutcome) -> None:
        """Record the end of a run; further calls have no effect."""
        if self._running.pop(id(run), None) is None:
            return
        run.ended_ms = read_ms()
        run.outcome = outcome
        self._dropped += len(self._ended) == MAX_RUNS
        self._ended.append(run)
        self._outcomes[outcome.value] += 1
        self._costs[run.stage][outcome.value] += run.cost_ms

    def encode(self) -> list[dict[str, Any]]:
        """Return all runs, unfinished ones last."""
        runs = [*self._ended, *self._running.values()]
        return [asdict(run) | {"outcome": run.outcome.value} for run in runs]

    def summarize(self) -> dict[str, Any]:
        """Return counts and costs by stage and outcome."""
        return {
            "runs": self._outcomes,
            "running": len(self._running),
            "not_run": self.not_run,
            "cost_ms": self._costs,
            "dropped": self._dropped,
            "leaving_since_ms": self.leaving_since_ms,
            "arrived_leaving": self._arrived_leaving,
        }


def decode_call(body: Mapping[str, Any]) -> Call:
    """Decode the call in ``body``, ignoring fields that a later release may add."""
    return Call(**{name: body[name] for name in CALL_FIELDS & body.keys()})


def read_ms() -> float:
    """Return the wall clock in milliseconds, comparable between processes."""
    return time.time() * 1000
