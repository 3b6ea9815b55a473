"""Rate limit on loads of weights that one lease holder may cause."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

__all__ = ("LoadBudget",)

SECONDS_PER_MINUTE = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadBudget:
    """Token bucket of loads that starts empty.

    A new holder does not know which loads the former one caused just before. With a
    full bucket, each change of holder would allow another burst, and the weight
    store would be overloaded when holders change often.
    """

    #: monotonic seconds of ``level``
    at: float
    #: available loads; below 0 after an order that causes several
    level: float = 0.0

    def refill(self, now: float, per_minute: float) -> LoadBudget:
        """Add the tokens earned since the last refill; the capacity is one load."""
        earned = max(0.0, now - self.at) * per_minute / SECONDS_PER_MINUTE
        return LoadBudget(at=now, level=min(1.0, self.level + earned))

    def allows(self, loads: int) -> bool:
        """Whether an order that causes ``loads`` loads may be sent now.

        An order of several loads is sent as soon as one load is available, since
        the bucket never holds more; later orders wait until the debt is repaid.
        """
        return loads == 0 or self.level >= 1.0

    def spend(self, loads: int) -> LoadBudget:
        """Remove the loads of an order that is being sent."""
        return dataclasses.replace(self, level=self.level - loads)
