"""What trials of stage work come to."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ("ClassOutcome", "Outcome")


@dataclass(slots=True)
class ClassOutcome:
    """What became of one class's requests."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refused_again: int = 0
    #: seconds until the first event, of those answered
    times: list[float] = field(default_factory=list)

    @property
    def unserved(self) -> int:
        """Requests that nobody answered."""
        return self.asked - self.in_time - self.late

    @property
    def in_time_share(self) -> float:
        """Share of the requests that were answered within their objective."""
        return self.in_time / max(1, self.asked)


@dataclass(slots=True)
class Outcome:
    """What a trial came to."""

    classes: dict[str, ClassOutcome] = field(default_factory=dict)
    earned: float = 0.0
    owed: float = 0.0
    #: seconds of makers' work, and the share of results that nobody read
    maker_seconds: float = 0.0
    unread_share: float = 0.0
    moved_bytes: float = 0.0
    read_tokens: float = 0.0
    #: greatest share of its link that an instance has sent in a second
    busiest_link: float = 0.0

    @property
    def credit(self) -> float:
        """Share of the worth owed that was earned."""
        return self.earned / self.owed if self.owed else 1.0

    @property
    def unserved_share(self) -> float:
        """Share of the requests that nobody answered."""
        asked = sum(one.asked for one in self.classes.values())
        return sum(one.unserved for one in self.classes.values()) / max(1, asked)
