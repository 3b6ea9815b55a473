"""Records of a run for the checker, independent of the code under test."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .fleet import TargetRecord

__all__ = (
    "AttemptRecord",
    "ChangeRecord",
    "ChangeState",
    "InstanceRecord",
    "RunRecord",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRecord:
    """One attempt of a request; times are loop time in seconds."""

    marker: str
    request: str
    instance: str
    sent: float
    deadline: float
    #: whether its stages are idempotent and may run twice
    repeatable: bool
    keyed: bool
    stream: bool
    tokens: tuple[tuple[int, str], ...]
    #: number of final responses
    answers: int
    answered: float | None
    #: ``not-run``, ``may-have-run`` or ``ran``; empty without a response
    verdict: str
    result: str | None
    #: error code of the rejection, empty if there is none
    code: str
    retry_after_ms: int | None
    #: whether the connection was refused before anything was sent on it
    refused: bool
    #: whether the connection was reset
    reset: bool
    #: whether it was sent after the faults and has to succeed
    must_succeed: bool


class ChangeState:
    """The outcome of a change as reported to the operator."""

    SETTLED = "settled"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRecord:
    """One configuration change."""

    change_id: str
    state: str
    #: generation reported to the operator
    generation: int
    settled: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """One entry instance."""

    name: str
    #: whether it was killed
    killed: bool
    #: whether a planned stop was requested
    stopping: bool
    #: whether a planned stop drained all requests; ``None`` without a planned stop
    finished: bool | None
    #: start and end of each pause
    pauses: tuple[tuple[float, float], ...]
    #: generations in force, with the time at which each was first observed
    generations: tuple[tuple[float, int], ...]
    #: ids of all changes in force at the end of the run
    changes: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """All records of one run."""

    attempts: Sequence[AttemptRecord]
    changes: Sequence[ChangeRecord]
    instances: Sequence[InstanceRecord]
    targets: TargetRecord
    #: models loaded by each engine at the end of the run
    engines: Mapping[str, tuple[str, ...]]
    #: model that all engines must have loaded by then; empty if there is none
    expected_model: str
    #: times at which the fault and the run ended
    fault_ended: float
    ended: float
