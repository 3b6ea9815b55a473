"""Moments read from two clocks at once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..clock import Clock

__all__ = ("Instant", "read_instant")


@dataclass(frozen=True, slots=True)
class Instant:
    """A moment by the monotonic clock and by the wall clock, both in seconds.

    An instance that is halted as a whole, as when the platform moves it, may find
    that its monotonic clock stood still meanwhile. Its leases would then seem to
    have time left that is long over. The wall clock is set right afterwards, so the
    longer of both durations is the safe one wherever time runs out.
    """

    monotonic: float
    wall: float

    def longest_since(self, earlier: Instant) -> float:
        """Return the longer of both durations since ``earlier``."""
        return max(self.monotonic - earlier.monotonic, self.wall - earlier.wall)


def read_instant(clock: Clock) -> Instant:
    """Return the present moment."""
    return Instant(clock.now(), clock.wall())
