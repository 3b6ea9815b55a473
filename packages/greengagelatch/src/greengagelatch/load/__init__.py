"""Decisions under load: who is served, when, and by which target."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from result import Result

from ..config.objects import StageKind
from ..errors import Refusal
from ..targets import Target

__all__ = ("Dispatcher", "Grant", "Outcome", "OutcomeKind", "Ticket")


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A stage call that waits for a target."""

    request_id: str
    workspace: str
    pipeline: str
    stage: str
    service: str
    kind: StageKind
    #: monotonic seconds by which the whole request must be answered
    deadline: float
    #: monotonic seconds by which this stage should be done
    stage_deadline: float
    #: higher is served first
    priority: int = 0
    repeatable: bool = True
    #: whether an earlier stage of the request has already been answered
    begun: bool = False
    #: text whose equality suggests a shared prompt prefix; empty: none
    prefix: str = ""
    #: targets that must not be chosen, such as those that failed this call
    excluded: frozenset[str] = frozenset()
    #: whether this is a second or later attempt, charged to the retry budget
    retry: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to make one call to one target; it must be released."""

    grant_id: int
    ticket: Ticket
    target: Target
    #: monotonic seconds
    granted: float
    #: whether the call is to show if a target that was out of service works again;
    #: it should get a backup sooner than others
    probe: bool = False


class OutcomeKind(Enum):
    """How a granted call ended, as far as load decisions care."""

    SUCCESS = "success"
    FAILURE = "failure"
    #: the target said it is too busy; nothing ran
    REJECTED = "rejected"
    #: the caller left or the deadline passed; says nothing about the target
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a granted call ended; ``seconds`` is the time it took."""

    kind: OutcomeKind
    seconds: float
    #: tokens received, where the call was a stream; also of one that was given up
    tokens: int = 0


class Dispatcher(ABC):
    """Gives calls to targets: queues, chooses and limits."""

    @abstractmethod
    async def acquire(self, ticket: Ticket) -> Result[Grant, Refusal]:
        """Wait for a target; a refusal comes as soon as waiting is pointless."""

    def record_first_token(self, grant: Grant, seconds: float) -> None:  # noqa: B027
        """Take in that a granted stream has begun, ``seconds`` after it was sent.

        A target that has become slow shows it in the first token long before any
        of its streams ends.
        """

    @abstractmethod
    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Give back a grant, exactly once."""
