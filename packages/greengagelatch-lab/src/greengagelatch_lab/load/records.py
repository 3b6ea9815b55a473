"""What the targets recorded of the calls made to them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ("StageRecord", "TargetRecord")


@dataclass(frozen=True, slots=True, kw_only=True)
class StageRecord:
    """One run of a stage call, by the word of the target that ran it."""

    attempt: str
    request: str
    stage: str
    #: whether it ran to its end
    finished: bool
    #: milliseconds of the target's time
    cost_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRecord:
    """All that one target recorded."""

    target: str
    service: str
    runs: tuple[StageRecord, ...]
    #: side effects by ``(effect, stage)``; the effect is the marker of an arrival
    effects: Mapping[tuple[str, str], int] = field(default_factory=dict)
    #: runs that the target no longer knows; above 0 nothing can be proved
    dropped: int = 0
