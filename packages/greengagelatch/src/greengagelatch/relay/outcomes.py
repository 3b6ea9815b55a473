"""Outcomes of sending a request to a target, and the decision whether to retry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = (
    "NextStep",
    "RetryContext",
    "SendOutcome",
    "SilenceDecision",
    "decide_next",
    "decide_on_silence",
)


class SendOutcome(Enum):
    """How a send to a target ended without an answer for the caller."""

    #: no byte reached the target
    UNSENT = "unsent"
    #: another target has the address now; the request did not run
    MISDIRECTED = "misdirected"
    #: the target answered that the request did not run
    REJECTED = "rejected"
    #: the request may have run, but no answer arrived
    LOST = "lost"
    #: the target answered with a failure
    FAILED = "failed"

    @property
    def proves_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {SendOutcome.UNSENT, SendOutcome.MISDIRECTED, SendOutcome.REJECTED}
)


class NextStep(Enum):
    """What to do after a send that was not answered."""

    #: send it to another target, charged to the retry budget
    RETRY = "repeat"
    #: send it to another target, without charge as no target has received it yet
    SEND = "send"
    #: answer the caller with the failure
    GIVE_UP = "give-up"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryContext:
    """What the decision about a retry depends on."""

    outcome: SendOutcome
    #: whether a request that may have run may be retried
    repeatable: bool
    #: number of targets that have received the request so far
    deliveries: int
    max_attempts: int
    #: number of sends so far that reached no target
    unsent: int
    #: seconds until the deadline
    remaining: float
    #: minimum number of seconds that a send needs to be useful
    min_seconds: float


#: sends of one request that reach no target, after which the network is taken to be
#: broken
MAX_UNSENT = 4


def decide_next(facts: RetryContext) -> NextStep:
    """Return what to do after a send that was not answered.

    A request that is not idempotent is retried only if it certainly did not run: a
    booking whose answer was lost may have been made.
    """
    if facts.remaining <= facts.min_seconds:
        return NextStep.GIVE_UP
    if facts.outcome in (SendOutcome.UNSENT, SendOutcome.MISDIRECTED):
        if facts.unsent >= MAX_UNSENT:
            return NextStep.GIVE_UP
        # a target other than the intended one received and rejected it
        misdirected = facts.outcome is SendOutcome.MISDIRECTED
        return NextStep.RETRY if misdirected else NextStep.SEND
    if not facts.repeatable and not facts.outcome.proves_not_run:
        return NextStep.GIVE_UP
    if facts.deliveries >= facts.max_attempts:
        return NextStep.GIVE_UP
    return NextStep.RETRY


class SilenceDecision(Enum):
    """Whether to leave a target that is silent, and why not."""

    LEAVE = "leave"
    NO_TIME = "too little time is left for a retry"
    #: no retry would be allowed
    NO_ATTEMPT = "no further attempt is allowed"
    NO_TARGET = "no other target is healthy and has room"
    NO_BUDGET = "the retry budget is exhausted"
    SUSPECTED = "it is suspected of crashing targets"
    NO_STAGES = "its stages can't be executed again in time"
    STAGES_FIRST = "its stages are executed again first"


def decide_on_silence(
    facts: RetryContext, *, count_targets: Callable[[], int], retries: int
) -> SilenceDecision:
    """Return whether to leave a target that does not go on with its answer.

    A sound target may be silent for a while. It is left only if the request is certain
    to be sent to another one; otherwise a late answer would be exchanged for none.

    :param facts: as if the answer were lost, with the time that a retry is expected to
        take as the minimum
    :param count_targets: returns the number of other targets that are healthy; called
        only if they matter, as it looks at each target
    :param retries: number of retries that the budget allows
    """
    if facts.remaining <= facts.min_seconds:
        return SilenceDecision.NO_TIME
    if decide_next(facts) is not NextStep.RETRY:
        return SilenceDecision.NO_ATTEMPT
    if retries < 1:
        return SilenceDecision.NO_BUDGET
    if count_targets() < 1:
        return SilenceDecision.NO_TARGET
    return SilenceDecision.LEAVE
