"""What one run left behind, for the checker; it holds no part of the product."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .fleet import TargetRecord

__all__ = ("AskRecord", "ChangeRecord", "ChangeState", "InstanceRecord", "RunRecord")


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRecord:
    """One request on one connection; times are loop time in seconds."""

    marker: str
    request: str
    instance: str
    sent: float
    deadline: float
    #: whether its stages may be run twice
    repeatable: bool
    keyed: bool
    stream: bool
    tokens: tuple[tuple[int, str], ...]
    #: number of final answers
    answers: int
    answered: float | None
    #: ``not-run``, ``may-have-run`` or ``ran``; empty without an answer
    verdict: str
    result: str | None
    #: code of the refusal, empty if there is none
    code: str
    retry_after_ms: int | None
    #: whether the connection was refused before anything was sent on it
    refused: bool
    #: whether the connection was reset
    reset: bool
    #: whether this request was sent to be answered in any case
    must_succeed: bool


class ChangeState:
    """What an operator was told of a change."""

    SETTLED = "settled"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeRecord:
    """One change of the configuration."""

    change_id: str
    state: str
    #: generation that it was said to have
    generation: int
    settled: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """One entry instance."""

    name: str
    #: whether it was killed
    killed: bool
    #: whether it was asked to stop
    stopping: bool
    #: whether a planned stop finished all that was in flight; ``None``: no stop
    finished: bool | None
    #: when it stood still, from and to
    pauses: tuple[tuple[float, float], ...]
    #: generations in force with the times at which they were first seen
    generations: tuple[tuple[float, int], ...]
    #: ids of all changes in force at the end
    changes: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class RunRecord:
    """All that one run left behind."""

    asks: Sequence[AskRecord]
    changes: Sequence[ChangeRecord]
    instances: Sequence[InstanceRecord]
    targets: TargetRecord
    #: models that each engine holds at the end
    engines: Mapping[str, tuple[str, ...]]
    #: model that all engines are to hold by then; empty: none is named
    wanted: str
    #: when the fault ended, and when the run did
    healed: float
    ended: float
