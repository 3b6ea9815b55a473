"""What to do with a keyed request while nobody can reach the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..errors import Refusal, RefusalCode
from ..verdict import Verdict

__all__ = (
    "Outage",
    "OutagePolicy",
    "RefuseAtOnce",
    "RefuseLater",
    "TryAgain",
    "create_policy",
)

#: milliseconds after which a caller that was refused may ask again
RETRY_AFTER_MS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """A request that found no way to the store."""

    #: whether the caller declares that it has not sent this key before
    first_attempt: bool
    #: seconds since the request was received
    elapsed: float
    #: seconds until its deadline
    remaining: float
    #: seconds since this instance last had an answer from the store
    down_for: float


@dataclass(frozen=True, slots=True)
class TryAgain:
    """The decision to try all ways once more after ``delay`` seconds."""

    delay: float


class OutagePolicy(ABC):
    """Decides on a keyed request without a claim.

    No policy runs such a request. Whoever runs a declared first attempt without a
    claim doubles it as soon as its repeat reaches an instance for which the store
    is there: that instance finds no record and runs it, too.
    """

    @abstractmethod
    def decide(self, outage: Outage) -> TryAgain | Refusal:
        """Return the refusal to answer with, or that it is worth another try."""


class RefuseAtOnce(OutagePolicy):
    """Refuses, and says when to come back."""

    def decide(self, outage: Outage) -> TryAgain | Refusal:
        return refuse(outage)


class RefuseLater(OutagePolicy):
    """Tries again for a part of the time left, then refuses.

    Once the store has been away for longer than ``patience`` seconds, requests are
    refused at once: each would else hold its caller and its memory for nothing.
    """

    def __init__(
        self, *, share: float = 0.5, delay: float = 0.2, patience: float = 5.0
    ) -> None:
        self._share = share
        self._delay = delay
        self._patience = patience

    def decide(self, outage: Outage) -> TryAgain | Refusal:
        budget = (outage.elapsed + outage.remaining) * self._share
        if outage.down_for > self._patience:
            return refuse(outage)
        if outage.elapsed + self._delay >= budget:
            return refuse(outage)
        return TryAgain(self._delay)


def refuse(outage: Outage) -> Refusal:
    """Return the refusal of a request whose earlier attempts can't be looked up.

    Nothing of this attempt ran. But only a declared first attempt has no earlier
    one, which may have run: a caller that is told "not run" about a repeat might
    order once more under a new key.
    """
    verdict = Verdict.NOT_RUN if outage.first_attempt else Verdict.MAY_HAVE_RUN
    return Refusal(
        code=RefusalCode.STORE_UNREACHABLE,
        message="the key can't be claimed now; nothing was run for this attempt",
        verdict=verdict,
        retry_after_ms=RETRY_AFTER_MS,
    )


def create_policy(name: str) -> OutagePolicy:
    """Return the policy that the setting ``claims.store_down`` names."""
    if name == "refuse-later":
        return RefuseLater()
    return RefuseAtOnce()
