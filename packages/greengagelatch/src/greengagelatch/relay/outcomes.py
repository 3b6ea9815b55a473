"""What one send to a target came to, and what may follow it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ("NextStep", "RetryContext", "SendOutcome", "decide_next")


class SendOutcome(Enum):
    """How one send to a target ended without an answer for the caller."""

    #: no byte of it reached the target
    UNSENT = "unsent"
    #: another target has the address now; nothing ran
    MISDIRECTED = "misdirected"
    #: the target said that it did not run it
    REJECTED = "rejected"
    #: it may have run, and no answer says what became of it
    LOST = "lost"
    #: the target answered that it failed
    FAILED = "failed"

    @property
    def proves_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {SendOutcome.UNSENT, SendOutcome.MISDIRECTED, SendOutcome.REJECTED}
)


class NextStep(Enum):
    """What follows a send that was not answered."""

    #: send it to another target, charged to the budget of repeats
    RETRY = "repeat"
    #: send it to another target; no target has had it yet
    SEND = "send"
    #: tell the caller what is known
    GIVE_UP = "give-up"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryContext:
    """What a repeat depends on."""

    outcome: SendOutcome
    #: whether a request that may have run may be sent again
    repeatable: bool
    #: targets that have had it so far
    deliveries: int
    max_attempts: int
    #: sends that reached no target so far
    unsent: int
    #: seconds that are left
    remaining: float
    #: seconds that a send needs at the least to be of use
    min_seconds: float


#: sends of one request that reach nobody, after which the way is taken to be broken
MAX_UNSENT = 4


def decide_next(facts: RetryContext) -> NextStep:
    """Say what follows a send that was not answered.

    A request that may run only once is sent again only where it certainly did not
    run: a booking whose answer was lost may have been made.
    """
    if facts.remaining <= facts.min_seconds:
        return NextStep.GIVE_UP
    if facts.outcome in (SendOutcome.UNSENT, SendOutcome.MISDIRECTED):
        if facts.unsent >= MAX_UNSENT:
            return NextStep.GIVE_UP
        # another target than the one that was meant has had it, and turned it away
        misdirected = facts.outcome is SendOutcome.MISDIRECTED
        return NextStep.RETRY if misdirected else NextStep.SEND
    if not facts.repeatable and not facts.outcome.proves_not_run:
        return NextStep.GIVE_UP
    if facts.deliveries >= facts.max_attempts:
        return NextStep.GIVE_UP
    return NextStep.RETRY
