"""Targets and the interface for stage calls to them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from result import Result

    from ..config.objects import StageKind
    from ..verdict import Verdict

__all__ = (
    "CallFailure",
    "FailureKind",
    "SilenceListener",
    "StageAnswer",
    "StageCall",
    "Target",
    "TargetClient",
    "TokenListener",
)


@dataclass(frozen=True, slots=True)
class Target:
    """A replica of a service."""

    target_id: str
    service: str
    data_centre: str
    #: ``host:port`` with the host as an IP address
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StageCall:
    """One attempt at one stage.

    Every attempt has its own id, which the target echoes, so that a late answer to an
    earlier attempt is not mistaken for the answer to this one.
    """

    attempt_id: str
    request_id: str
    workspace: str
    pipeline: str
    stage: str
    kind: StageKind
    input: Any
    #: whether the stage may be called again after this call may have run
    repeatable: bool
    #: monotonic seconds after which the call is given up
    deadline: float
    priority: int = 0
    stream: bool = False
    #: number of tokens already received from earlier attempts
    resume_at: int = 0
    #: those tokens, which are needed to check the digest of the whole output
    received: tuple[str, ...] = ()
    #: seconds without a first byte after which the call may leave its target;
    #: ``None``: the client's own stall time-out
    first_byte_timeout: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StageAnswer:
    """A target's answer, whose ids have been checked against those of the call."""

    output: Any
    #: all tokens of a streamed call, from offset zero
    tokens: tuple[str, ...] = ()
    #: seconds of processing time, as reported by the target
    cost: float = 0.0
    #: whether the target reported that it is leaving
    leaving: bool = False


class FailureKind(Enum):
    """Why a call failed."""

    CONNECT = "connect"
    #: the target answered that the call did not run
    TARGET_REFUSED = "target-refused"
    #: the target was silent, and the call left it
    STALLED = "stalled"
    #: the connection was lost before the answer was complete
    DISCONNECTED = "cut"
    DEADLINE = "deadline"
    #: the answer belongs to another attempt, request or stage
    MISMATCHED = "crossed"
    TARGET_ERROR = "target-error"
    #: the target cannot resume a stream at the requested offset
    CANNOT_RESUME = "cannot-resume"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFailure:
    """A failed call."""

    kind: FailureKind
    #: ``NOT_RUN`` only if the call certainly was not sent or did not run
    verdict: Verdict
    message: str
    #: tokens received before the failure, from offset zero
    tokens: tuple[str, ...] = ()
    retry_after_ms: int | None = None
    leaving: bool = False


#: receives the offset and text of each new token, in order and without gaps
TokenListener = Callable[[int, str], None]

#: asked while a target is silent, with whether it was asked before in this call;
#: returns whether to leave the target
SilenceListener = Callable[[bool], bool]


class TargetClient(ABC):
    """Client for calls to targets; implementations must not retry calls."""

    @abstractmethod
    async def call(
        self,
        target: Target,
        call: StageCall,
        on_token: TokenListener | None = None,
        may_leave: SilenceListener | None = None,
    ) -> Result[StageAnswer, CallFailure]:
        """Send one attempt at a stage and return its answer.

        :param may_leave: ``None``: a silent target is left in any case
        """

    @abstractmethod
    async def cancel(self, target: Target, attempt_id: str) -> bool:
        """Request ``target`` to cancel an attempt; return whether it confirmed."""
