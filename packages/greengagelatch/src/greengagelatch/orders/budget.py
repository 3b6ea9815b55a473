"""The share of the weight store's rate that one holder may use."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

__all__ = ("LoadBudget",)

SECONDS_PER_MINUTE = 60.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadBudget:
    """A token bucket of loads that begins empty.

    A new holder does not know what the former one had loaded a moment ago. With a
    full bucket each change of holder would let one burst more through, just when
    holders change often.
    """

    #: monotonic seconds of ``level``
    at: float
    #: loads that may be ordered; below 0 after an order of several
    level: float = 0.0

    def refill(self, now: float, per_minute: float) -> LoadBudget:
        """Add what has come in since; at most one load is saved up."""
        earned = max(0.0, now - self.at) * per_minute / SECONDS_PER_MINUTE
        return LoadBudget(at=now, level=min(1.0, self.level + earned))

    def allows(self, loads: int) -> bool:
        """Whether an order that causes ``loads`` loads may be given now.

        One of several loads goes ahead as soon as one is allowed, and those after it
        wait for the rest; it could never be given otherwise.
        """
        return loads == 0 or self.level >= 1.0

    def spend(self, loads: int) -> LoadBudget:
        """Take out the loads of an order that is given."""
        return dataclasses.replace(self, level=self.level - loads)
