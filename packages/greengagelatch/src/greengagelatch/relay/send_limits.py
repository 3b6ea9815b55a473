"""What targets and their state allow this instance to send them."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from .brittle_targets import BrittleTargets
from .cold_targets import ColdTargets
from .permits import Permits
from .target_rests import TargetRests

if TYPE_CHECKING:
    from .incarnations import Incarnation
    from .targets import ListedTarget

__all__ = ("Obstacle", "SendLimits")


class Obstacle(Enum):
    """Why a target may not be sent a request now, as explanations name it."""

    COLD = "cold"
    REST = "rest"
    #: no permit is held for the rate that it names
    RATE = "rate"
    BRITTLE = "brittle"


class SendLimits:
    """All limits on what this instance sends to each target.

    Who sends requests asks here, whatever the limits are.

    :param cold: targets that take few requests as they have just started
    :param brittle: targets that fall over by rejections
    :param permits: for targets that have named a rate
    :param rests: targets that have asked for rest
    """

    def __init__(
        self,
        *,
        cold: ColdTargets | None = None,
        brittle: BrittleTargets | None = None,
        permits: Permits | None = None,
        rests: TargetRests | None = None,
    ) -> None:
        self.cold = cold or ColdTargets()
        self.brittle = brittle or BrittleTargets()
        self.permits = permits or Permits()
        self.rests = rests or TargetRests()

    def has_any(self) -> bool:
        """Return whether any target may be limited."""
        return (
            self.cold.has_any()
            or self.rests.has_any()
            or bool(self.permits.limits)
            or self.brittle.has_any()
        )

    def may_send(self, target: ListedTarget, in_flight: int, now: float) -> bool:
        """Return whether a target may be sent a request now.

        :param in_flight: requests of this instance that it has
        """
        return (
            self.cold.may_send(target, now)
            and self.may_send_warm(target, now)
            and self.brittle.may_send(target, in_flight, now)
        )

    def may_send_warm(self, target: ListedTarget, now: float) -> bool:
        """Return whether neither its rest nor its rate keeps requests from a target."""
        incarnation = target.incarnation
        return self.rests.may_send(incarnation, now) and self.permits.may_send(
            incarnation, now
        )

    def list_obstacles(
        self, target: ListedTarget, in_flight: int, now: float
    ) -> tuple[Obstacle, ...]:
        """Return all that keeps requests from a target now."""
        if not self.has_any():
            return ()
        checks = (
            (Obstacle.COLD, self.cold.may_send(target, now)),
            (Obstacle.REST, self.rests.may_send(target.incarnation, now)),
            (Obstacle.RATE, self.permits.may_send(target.incarnation, now)),
            (Obstacle.BRITTLE, self.brittle.may_send(target, in_flight, now)),
        )
        return tuple(obstacle for obstacle, passed in checks if not passed)

    def record_send(self, incarnation: Incarnation, now: float) -> None:
        """Record a request that is sent to a target."""
        self.cold.record_send(incarnation, now)
        self.permits.record_send(incarnation, now)
        self.rests.record_send(incarnation, now)

    def forget(self, incarnation: Incarnation, *, may_return: bool = False) -> None:
        """Discard the state of a target that is gone.

        :param may_return: whether it may be listed again, and then rests as long as it
            has asked for
        """
        self.permits.forget(incarnation)
        self.brittle.forget(incarnation)
        if not may_return:
            self.rests.forget(incarnation)
