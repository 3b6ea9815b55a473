"""Times that leases go by."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("LeaseRules",)

#: a lease lasts at least this many times as long as one guarded action and the
#: margin, so that some of it is left for the action at any time between renewals
MIN_ACTIONS = 3.0

#: share of a lease's duration after which it is renewed, or looked for again
INTERVAL_SHARE = 0.25

#: instances that are second in line look for a free lease this much less often
STAND_BY_FACTOR = 3.0

#: share of the interval after which a call that failed is made again
RETRY_SHARE = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRules:
    """Durations in seconds."""

    #: time after which the store lets a lease lapse that is not renewed
    ttl: float
    #: time by which a holder gives up earlier than the store does; it must cover
    #: what clocks differ in speed over one ``ttl``
    margin: float

    @property
    def interval(self) -> float:
        """Time between two renewals."""
        return self.ttl * INTERVAL_SHARE

    @property
    def standby_interval(self) -> float:
        """Time between two looks of an instance that is second in line."""
        return self.interval * STAND_BY_FACTOR

    @property
    def retry_delay(self) -> float:
        """Time after which a call that failed is made again."""
        return self.interval * RETRY_SHARE

    @classmethod
    def create(cls, *, ttl: float, margin: float, longest_action: float) -> LeaseRules:
        """Return rules whose leases last long enough for the guarded action."""
        needed = MIN_ACTIONS * (longest_action + margin)
        return cls(ttl=max(ttl, needed), margin=margin)
