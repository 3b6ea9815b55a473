"""Error answers to keyed requests."""

from __future__ import annotations

from ..errors import Refusal, RefusalCode
from ..verdict import Verdict
from .attempt import Action

__all__ = (
    "refuse_attempt",
    "refuse_cancelled",
    "refuse_expired",
    "refuse_long_deadline",
    "refuse_large_result",
)

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Ms"

#: milliseconds after which a running earlier attempt may have finished
IN_PROGRESS_RETRY_MS = 500
#: milliseconds after which the instance of an earlier attempt may be reachable again
UNSETTLED_RETRY_MS = 2000
#: milliseconds after which a claim may succeed within the deadline again
LATE_RETRY_MS = 1000
#: milliseconds after which a slow store or writer may have recovered
LATE_RETRY_MS = 1000
#: milliseconds after which a shard may accept claims again
FULL_RETRY_MS = 2000


def refuse_attempt(action: Action, key: str) -> Refusal:
    """Return the refusal for an attempt that ends with ``action``."""
    match action:
        case Action.REFUSE_KEY_REUSED:
            return Refusal(
                code=RefusalCode.KEY_REUSED,
                message="the key was used for another request",
                field=KEY_HEADER,
                value=key[:64],
            )
        case Action.REFUSE_FULL:
            return Refusal(
                code=RefusalCode.OVERLOADED,
                message="too many claims on idempotency keys",
                retry_after_ms=FULL_RETRY_MS,
            )
        case Action.REFUSE_IN_PROGRESS:
            return Refusal(
                code=RefusalCode.IN_PROGRESS,
                message="an earlier attempt with this key is still running",
                verdict=Verdict.MAY_HAVE_RUN,
                retry_after_ms=IN_PROGRESS_RETRY_MS,
            )
    return Refusal(
        code=RefusalCode.REPEAT_UNSETTLED,
        message="an earlier attempt with this key may have run; its outcome is lost",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_ms=UNSETTLED_RETRY_MS,
    )


def refuse_expired(first_attempt: bool) -> Refusal:
    """Return the refusal of a request whose deadline passed before its claim."""
    return Refusal(
        code=RefusalCode.DEADLINE,
        message="the deadline passed before the key was claimed",
        verdict=Verdict.NOT_RUN if first_attempt else Verdict.MAY_HAVE_RUN,
        retry_after_ms=LATE_RETRY_MS,
    )


def refuse_long_deadline(limit: float) -> Refusal:
    """Return the refusal of a request that could outlive its claim."""
    return Refusal(
        code=RefusalCode.BAD_REQUEST,
        message=f"requests with a key must end within {limit:g} s",
        field=DEADLINE_HEADER,
    )


def refuse_cancelled(verdict: Verdict) -> Refusal:
    """Return the refusal of repeats whose first attempt was cancelled."""
    return Refusal(
        code=RefusalCode.REPEAT_UNSETTLED,
        message="the first attempt with this key was cancelled",
        verdict=verdict,
    )


def refuse_large_result(verdict: Verdict) -> Refusal:
    """Return the refusal of repeats whose first attempt has too large a result."""
    return Refusal(
        code=RefusalCode.REPEAT_UNSETTLED,
        message="the first attempt with this key ran; its result is too large to store",
        verdict=verdict,
    )
