"""Interface to the targets known to this instance."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from . import Target

__all__ = ("Candidate", "LoadReport", "TargetDirectory")


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of a target, as reported by the target."""

    in_flight: int
    queued: int
    #: maximum number of calls that the target runs concurrently
    capacity: int
    #: time of the measurement, in monotonic seconds of this instance
    taken: float
    #: prefixes that the target reports as cached; they are only hints
    cached_prefixes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that accepts new work, with its latest load report."""

    target: Target
    report: LoadReport | None = None


class TargetDirectory(ABC):
    """Targets by service; leaving and removed targets are never candidates."""

    @abstractmethod
    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return the targets of ``service`` that accept new work, sorted by id."""

    @abstractmethod
    def accepts(self, target_id: str) -> bool:
        """Whether ``target_id`` accepts new work now.

        This is checked again immediately before a call is sent, since the target may
        have begun to leave while the call was queued.
        """

    @abstractmethod
    def mark_leaving(self, target_id: str) -> None:
        """Mark a target as leaving, as reported by itself; this is permanent."""

    @abstractmethod
    def record_call(self, target_id: str, *, answered: bool) -> None:
        """Record whether a call was answered or the target was unreachable."""
