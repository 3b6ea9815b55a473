"""Execution records kept by the targets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ("StageRun", "TargetRecord")


@dataclass(frozen=True, slots=True, kw_only=True)
class StageRun:
    """One run of a stage, as recorded by the target that executed it."""

    attempt: str
    request_id: str
    stage: str
    #: whether the run completed
    finished: bool
    #: processing time in milliseconds
    cost_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRecord:
    """The complete record of one target."""

    target: str
    service: str
    runs: tuple[StageRun, ...]
    #: number of side effects by ``(marker, stage)``, with the marker of the arrival
    effects: Mapping[tuple[str, str], int] = field(default_factory=dict)
    #: number of runs dropped from the record; above 0 the run can't be verified
    dropped: int = 0
