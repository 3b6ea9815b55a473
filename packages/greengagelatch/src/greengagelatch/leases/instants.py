"""Points in time read from the monotonic and the wall clock together."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ("Instant", "read_instant")


@dataclass(frozen=True, slots=True)
class Instant:
    """A point in time by the monotonic clock and by the wall clock, both in seconds.

    While the whole machine is suspended, for instance during a migration by the
    platform, the monotonic clock may stop. Leases that have expired meanwhile would
    then seem valid. The wall clock is corrected after the suspension, so the longer of
    the two durations is the safe one for checking an expiry.
    """

    monotonic: float
    wall: float

    def longest_since(self, earlier: Instant) -> float:
        """Return the longer of the two clocks' durations since ``earlier``."""
        return max(self.monotonic - earlier.monotonic, self.wall - earlier.wall)


def read_instant(clock: Clock) -> Instant:
    """Return the current time of both clocks."""
    return Instant(clock.now(), clock.wall())
