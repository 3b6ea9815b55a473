"""Whether a failed stage call is made again."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..config.objects import Stage, StageKind
from ..request import Request
from ..targets import CallFailure, FailureKind
from ..verdict import Verdict

__all__ = ("NoRetryReason", "RetryRules", "decide_retry", "may_retry", "needs_cancel")


class NoRetryReason(Enum):
    """Why a failed call is not made again."""

    #: the deadline passed or the caller left
    OVER = "over"
    #: the call may have run and may not be repeated
    NOT_REPEATABLE = "not-repeatable"
    ATTEMPTS = "attempts"
    NO_TIME = "no-time"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryRules:
    """Bounds on repeated calls of one stage."""

    max_attempts: int = 3
    #: seconds that must remain, or a further attempt would only cost
    min_remaining: float = 0.005


#: the request itself is over, so that no further answer is of use
_OVER = frozenset({FailureKind.DEADLINE, FailureKind.CANCELLED})

#: the target may still be at work on a call that nobody waits for
_LEFT_RUNNING = frozenset(
    {
        FailureKind.STALLED,
        FailureKind.CUT,
        FailureKind.DEADLINE,
        FailureKind.CROSSED,
        FailureKind.CANCELLED,
    }
)


def may_retry(stage: Stage, request: Request) -> bool:
    """Whether a call of ``stage`` that may have run may be sent again.

    A caller that forbids repeats can't see which stages an operator has declared
    repeatable, and that is their default: a plain service left undeclared would
    book twice. Only the kinds that compute and change nothing are then repeated.
    """
    if not stage.repeatable:
        return False
    return request.repeatable or stage.kind is not StageKind.PLAIN


def decide_retry(
    rules: RetryRules,
    failure: CallFailure,
    *,
    repeatable: bool,
    attempts: int,
    remaining: float,
) -> NoRetryReason | None:
    """Return why the call must not be made again, or ``None`` if it may.

    :param attempts: attempts made at this stage so far
    :param remaining: seconds left of the request's deadline
    """
    if failure.kind in _OVER:
        return NoRetryReason.OVER
    # a second call whose first one ran doubles its side effect: a booking shows up
    # twice. Only the proof that nothing ran makes it safe, never the kind of error
    if not repeatable and failure.verdict is not Verdict.NOT_RUN:
        return NoRetryReason.NOT_REPEATABLE
    if attempts >= rules.max_attempts:
        return NoRetryReason.ATTEMPTS
    if remaining < rules.min_remaining:
        return NoRetryReason.NO_TIME
    return None


def needs_cancel(failure: CallFailure) -> bool:
    """Whether the target may still work on the failed call."""
    if failure.verdict is Verdict.NOT_RUN:
        return False
    return failure.kind in _LEFT_RUNNING
