"""What a target ran, kept so that a checker can compare it with what callers saw."""

from __future__ import annotations

import time
from collections import Counter, defaultdict, deque
from collections.abc import Mapping
from dataclasses import asdict, dataclass, fields
from enum import Enum
from typing import Any

__all__ = ("Call", "Record", "RunOutcome", "RunRecord", "decode_call", "read_ms")

#: ended runs kept; older ones are dropped, which the summary says
MAX_RUNS = 200_000


class RunOutcome(Enum):
    """How a run ended, whether or not its answer reached the caller."""

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
    #: time of the target that the run used up
    cost_ms: float = 0.0


class Record:
    """The runs of one target.

    Only what began to run is here: calls that were refused, or cancelled while
    they waited, are counted as ``not_run``.
    """

    def __init__(self) -> None:
        #: wall-clock milliseconds since which the target leaves
        self.leaving_since_ms: float | None = None
        self.not_run = 0
        self._dropped = 0
        self._arrived_leaving = 0
        self._running: dict[int, RunRecord] = {}
        self._ended: deque[RunRecord] = deque(maxlen=MAX_RUNS)
        self._outcomes: Counter[str] = Counter()
        self._costs: dict[str, Counter[str]] = defaultdict(Counter)

    def note_arrival(self) -> None:
        """Count a call that arrives although the target leaves."""
        if self.leaving_since_ms is not None:
            self._arrived_leaving += 1

    def begin(self, call: Call) -> RunRecord:
        """Enter a run that begins now."""
        run = RunRecord(
            attempt=call.attempt,
            request=call.request,
            stage=call.stage,
            workspace=call.workspace,
            started_ms=read_ms(),
        )
        self._running[id(run)] = run
        return run

    def end(self, run: RunRecord, outcome: RunOutcome) -> None:
        """Enter the end of a run; a second time changes nothing."""
        if self._running.pop(id(run), None) is None:
            return
        run.ended_ms = read_ms()
        run.outcome = outcome
        self._dropped += len(self._ended) == MAX_RUNS
        self._ended.append(run)
        self._outcomes[outcome.value] += 1
        self._costs[run.stage][outcome.value] += run.cost_ms

    def encode(self) -> list[dict[str, Any]]:
        """Return all runs, those still running last."""
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
    """Return the call in ``body``; unknown fields are those of a later release."""
    return Call(**{name: body[name] for name in CALL_FIELDS & body.keys()})


def read_ms() -> float:
    """Return wall-clock milliseconds, comparable between processes."""
    return time.time() * 1000
