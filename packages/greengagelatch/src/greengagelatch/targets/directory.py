"""Interface to what this instance knows of the targets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from . import Target

__all__ = ("Candidate", "LoadReport", "TargetDirectory")


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """A target's own word on its load."""

    in_flight: int
    queued: int
    #: calls the target runs side by side
    capacity: int
    #: monotonic seconds of this instance at which the report was true
    taken: float
    #: prefixes that the target's cache is said to hold; hints only
    cached_prefixes: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be given new work."""

    target: Target
    report: LoadReport | None = None


class TargetDirectory(ABC):
    """Targets by service; leaving and lost ones are never candidates."""

    @abstractmethod
    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return the targets of ``service`` that may be given new work, by id."""

    @abstractmethod
    def accepts(self, target_id: str) -> bool:
        """Whether ``target_id`` may be given new work at this moment.

        It is asked again right before a call is sent, since a target may have
        begun to leave after the call was queued.
        """

    @abstractmethod
    def mark_leaving(self, target_id: str) -> None:
        """Record a target's own word that it is leaving; it can't be undone."""

    @abstractmethod
    def record_call(self, target_id: str, *, answered: bool) -> None:
        """Record that a call was answered, or that the target could not be reached."""
