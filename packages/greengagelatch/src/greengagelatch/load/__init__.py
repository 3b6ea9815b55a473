"""Load management: admission, queueing, load balancing and circuit breaking."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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
    #: affinity key: calls with an equal key probably share a prompt prefix; empty: none
    prefix: str = ""
    #: targets that must not be chosen, such as those that failed this call
    excluded: frozenset[str] = frozenset()
    #: whether this is a second or later attempt, charged to the retry budget
    retry: bool = False
    #: whether the retry budget has been charged for it already
    charged: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to make one call to one target; it must be released."""

    grant_id: int
    ticket: Ticket
    target: Target
    #: monotonic seconds
    granted: float
    #: whether the call probes a target whose circuit breaker is half-open; it should
    #: be hedged sooner than others
    probe: bool = False


class OutcomeKind(Enum):
    """How a granted call ended, as reported to the dispatcher."""

    SUCCESS = "success"
    FAILURE = "failure"
    #: the target rejected the call because it is overloaded; nothing ran
    REJECTED = "rejected"
    #: the caller disconnected or the deadline passed; no evidence about the target
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a granted call; ``seconds`` is its duration."""

    kind: OutcomeKind
    seconds: float
    #: tokens received if the call was a stream, also if it was abandoned
    tokens: int = 0


class Dispatcher(ABC):
    """Assigns calls to targets: queueing, load balancing, concurrency limits."""

    @abstractmethod
    async def acquire(self, ticket: Ticket) -> Result[Grant, Refusal]:
        """Wait for a target; refuse as soon as the deadline can't be met."""

    def record_first_token(self, grant: Grant, seconds: float) -> None:  # noqa: B027
        """Record the time to first token of a granted stream.

        A target that has become slow shows it in the time to first token long
        before any of its streams ends.

        :param seconds: time from sending the call to its first token.
        """

    def record_silence(self, grant: Grant) -> None:  # noqa: B027
        """Record that the target of a call is silent while the call goes on."""

    @abstractmethod
    def count_targets(self, ticket: Ticket) -> int:
        """Return how many healthy targets would take a call at once."""

    @abstractmethod
    def count_retries(self) -> int:
        """Return the number of retries that the retry budget allows now."""

    @abstractmethod
    def charge_retry(self) -> bool:
        """Charge one retry in advance; return ``False`` if the budget is exhausted."""

    @abstractmethod
    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Release a grant; must be called exactly once."""
