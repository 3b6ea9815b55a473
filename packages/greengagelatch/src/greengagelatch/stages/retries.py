"""Retry decisions for failed stage calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..config.objects import Stage, StageKind
from ..request import Request
from ..targets import CallFailure, FailureKind
from ..verdict import Verdict

__all__ = ("NoRetryReason", "RetryRules", "decide_retry", "may_retry", "needs_cancel")


class NoRetryReason(Enum):
    """Why a failed call is not retried."""

    #: the deadline passed or the caller disconnected
    OVER = "over"
    #: the call may have run and is not retryable
    NOT_REPEATABLE = "not-repeatable"
    ATTEMPTS = "attempts"
    NO_TIME = "no-time"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryRules:
    """Bounds on the retries of one stage."""

    max_attempts: int = 3
    #: seconds that must remain, as a later attempt could not succeed
    min_remaining: float = 0.005


#: failures that end the request itself, so that no retry is of use
_REQUEST_ENDED = frozenset({FailureKind.DEADLINE, FailureKind.CANCELLED})

#: failures after which the target may still be executing the call
_MAY_STILL_RUN = frozenset(
    {
        FailureKind.STALLED,
        FailureKind.DISCONNECTED,
        FailureKind.DEADLINE,
        FailureKind.MISMATCHED,
        FailureKind.CANCELLED,
    }
)


def may_retry(stage: Stage, request: Request) -> bool:
    """Whether a call of ``stage`` that may have run may be retried.

    A caller that forbids retries can't see which stages an operator has declared
    repeatable. As that is the default, an undeclared plain service could execute a
    side effect such as a booking twice. So for such callers only kinds of stages
    without side effects are retried.
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
    """Return why the call must not be retried, or ``None`` if it may be.

    :param attempts: attempts made at this stage so far
    :param remaining: seconds until the request's deadline
    """
    if failure.kind in _REQUEST_ENDED:
        return NoRetryReason.OVER
    # retrying a call that ran duplicates its side effect, such as a booking. Only
    # proof that nothing ran makes a retry safe, never the kind of error
    if not repeatable and failure.verdict is not Verdict.NOT_RUN:
        return NoRetryReason.NOT_REPEATABLE
    if attempts >= rules.max_attempts:
        return NoRetryReason.ATTEMPTS
    if remaining < rules.min_remaining:
        return NoRetryReason.NO_TIME
    return None


def needs_cancel(failure: CallFailure) -> bool:
    """Whether the target may still be executing the failed call."""
    if failure.verdict is Verdict.NOT_RUN:
        return False
    return failure.kind in _MAY_STILL_RUN
