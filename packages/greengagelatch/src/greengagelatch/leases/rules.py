"""Durations and intervals of leases."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("LeaseRules",)

#: minimum duration of a lease, as a multiple of the longest guarded action plus the
#: margin, so that enough time for an action remains at any point between renewals
MIN_ACTIONS = 3.0

#: share of a lease's duration after which it is renewed, or checked for being free
INTERVAL_SHARE = 0.25

#: factor by which a stand-by instance checks for a free lease less often
STAND_BY_FACTOR = 3.0

#: share of the interval after which a failed call is retried
RETRY_SHARE = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRules:
    """Durations of leases, in seconds."""

    #: time after which the store expires a lease that is not renewed
    ttl: float
    #: time by which a holder considers its lease expired before the store does; it must
    #: cover the clock drift between holder and store over one ``ttl``
    margin: float

    @property
    def interval(self) -> float:
        """Time between renewals, or between checks for a free lease."""
        return self.ttl * INTERVAL_SHARE

    @property
    def standby_interval(self) -> float:
        """Time between checks for a free lease by a stand-by instance."""
        return self.interval * STAND_BY_FACTOR

    @property
    def retry_delay(self) -> float:
        """Time after which a failed call is retried."""
        return self.interval * RETRY_SHARE

    @classmethod
    def create(cls, *, ttl: float, margin: float, longest_action: float) -> LeaseRules:
        """Return rules, raising ``ttl`` if it is too short for the guarded action."""
        needed = MIN_ACTIONS * (longest_action + margin)
        return cls(ttl=max(ttl, needed), margin=margin)
