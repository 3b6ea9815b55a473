"""Targets and the calls made to them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from result import Result

from ..config.objects import StageKind
from ..verdict import Verdict

__all__ = (
    "CallFailure",
    "FailureKind",
    "StageAnswer",
    "StageCall",
    "Target",
    "TargetClient",
    "TokenListener",
)


@dataclass(frozen=True, slots=True)
class Target:
    """One replica of a service."""

    target_id: str
    service: str
    data_centre: str
    #: ``host:port`` with the host as an IP address
    address: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StageCall:
    """One attempt at one stage.

    Every attempt has its own id, which the target echoes: a late answer to an
    earlier attempt can then not be taken for the answer to this one.
    """

    attempt_id: str
    request_id: str
    workspace: str
    pipeline: str
    stage: str
    kind: StageKind
    input: Any
    #: whether this call may be sent again once it may have run
    repeatable: bool
    #: monotonic seconds
    deadline: float
    priority: int = 0
    stream: bool = False
    #: number of tokens already received from earlier attempts
    resume_at: int = 0
    #: those tokens, without which the digest of the whole can't be checked
    received: tuple[str, ...] = ()
    #: seconds without a first byte after which the call is given up; ``None``: as
    #: long as the client sees fit
    first_byte_timeout: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class StageAnswer:
    """A target's answer, already checked against the call's three ids."""

    output: Any
    #: tokens of a streamed call, all of them from offset zero
    tokens: tuple[str, ...] = ()
    #: seconds of the target's time, by the target's own word
    cost: float = 0.0
    #: whether the target said that it is leaving
    leaving: bool = False


class FailureKind(Enum):
    """Why a call has no answer."""

    CONNECT = "connect"
    #: the target's explicit word that nothing ran
    TARGET_REFUSED = "target-refused"
    STALLED = "stalled"
    CUT = "cut"
    DEADLINE = "deadline"
    #: an answer that belongs to another attempt, request or stage
    CROSSED = "crossed"
    TARGET_ERROR = "target-error"
    #: the target can't begin a stream at the wanted offset
    CANNOT_RESUME = "cannot-resume"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFailure:
    """A call without an answer."""

    kind: FailureKind
    #: ``NOT_RUN`` only where the call certainly was not sent or not run
    verdict: Verdict
    message: str
    #: tokens received before the failure, from offset zero
    tokens: tuple[str, ...] = ()
    retry_after_ms: int | None = None
    leaving: bool = False


#: called with the offset and text of each new token, in order and without gaps
TokenListener = Callable[[int, str], None]


class TargetClient(ABC):
    """Makes calls to targets; an implementation never repeats a call by itself."""

    @abstractmethod
    async def call(
        self, target: Target, call: StageCall, on_token: TokenListener | None = None
    ) -> Result[StageAnswer, CallFailure]:
        """Make one attempt at a stage."""

    @abstractmethod
    async def cancel(self, target: Target, attempt_id: str) -> bool:
        """Ask ``target`` to stop an attempt; whether it confirmed that."""
