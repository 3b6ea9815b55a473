"""Policies for keyed requests while the store is unreachable."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..errors import Refusal, RefusalCode
from ..verdict import Verdict

__all__ = (
    "Outage",
    "OutagePolicy",
    "ImmediateRefusal",
    "RetryThenRefuse",
    "RetryAfter",
    "StoreContact",
    "create_policy",
)

#: milliseconds after which a refused caller may retry
RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """A request whose claim could not be committed by any instance."""

    #: whether the caller declares that it sends this key for the first time
    first_attempt: bool
    #: seconds since the request was received
    elapsed: float
    #: seconds until its deadline
    remaining: float
    #: seconds since the first of this instance's calls that the store has not answered
    #: since its last answer
    store_silent_for: float


class StoreContact:
    """Since when the store answers none of an instance's calls.

    Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._failing_since: float | None = None

    def record(self, *, answered: bool, now: float) -> None:
        """Record whether the store has answered a call."""
        if answered:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now

    def measure_silence(self, now: float) -> float:
        """Return the seconds since the first unanswered call; 0: the last had one."""
        return 0.0 if self._failing_since is None else now - self._failing_since


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """Decision to try all instances again after ``delay`` seconds."""

    delay: float


class OutagePolicy(ABC):
    """Decides on a keyed request that has no claim.

    No policy runs such a request, not even a declared first attempt: if its repeat
    reached an instance that can use the store, that instance would find no claim
    and run it a second time.
    """

    @abstractmethod
    def decide(self, outage: Outage) -> RetryAfter | Refusal:
        """Return the refusal to answer with, or the decision to try again."""


class ImmediateRefusal(OutagePolicy):
    """Refuses immediately, with a time after which to retry."""

    def decide(self, outage: Outage) -> RetryAfter | Refusal:
        return refuse(outage)


class RetryThenRefuse(OutagePolicy):
    """Retries for a share of the request's time budget, then refuses.

    Once the store has been unreachable for longer than ``max_outage`` seconds,
    requests are refused immediately: otherwise each would occupy memory and its
    caller's connection to no effect.
    """

    def __init__(
        self, *, share: float = 0.5, delay: float = 0.2, max_outage: float = 5.0
    ) -> None:
        self._share = share
        self._delay = delay
        self._max_outage = max_outage

    def decide(self, outage: Outage) -> RetryAfter | Refusal:
        budget = (outage.elapsed + outage.remaining) * self._share
        if outage.store_silent_for > self._max_outage:
            return refuse(outage)
        if outage.elapsed + self._delay >= budget:
            return refuse(outage)
        return RetryAfter(self._delay)


def refuse(outage: Outage) -> Refusal:
    """Return the refusal of a request whose earlier attempts can't be looked up.

    This attempt did not run, but an earlier one may have, unless the caller
    declares this one the first. A caller that gets the verdict "not run" for a
    repeat could send the request again under a new key and run it twice.
    """
    verdict = Verdict.NOT_RUN if outage.first_attempt else Verdict.MAY_HAVE_RUN
    return Refusal(
        code=RefusalCode.STORE_UNREACHABLE,
        message="the key can't be claimed: store unreachable; this attempt did not run",
        verdict=verdict,
        retry_after_ms=RETRY_AFTER_MS,
    )


def create_policy(name: str) -> OutagePolicy:
    """Create the policy that the setting ``claims.store_down`` names."""
    if name == "refuse-later":
        return RetryThenRefuse()
    return ImmediateRefusal()
