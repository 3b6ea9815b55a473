"""Times that orders go by, and which engines check fencing numbers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.objects import Service

__all__ = ("FENCING_LABEL", "Fencing", "OrderRules", "read_fencing")

#: label of a service that says whether its engines check fencing numbers
FENCING_LABEL = "fencing"

#: share of the interval after which an unsettled order is looked for again
SETTLE_SHARE = 0.2


class Fencing(Enum):
    """What engines do about an order with an old number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRules:
    """Durations in seconds."""

    #: longest time that one call to an engine takes; an order that did not reach the
    #: engine by then never does
    timeout: float
    #: longest time from an order's arrival until it is carried out, if it ever is
    longest: float
    #: time between two readings of an engine that is as it should be
    interval: float
    #: what this instance's clock may be fast by over the two times above
    margin: float

    @property
    def patience(self) -> float:
        """Time after which an order without an answer is surely over."""
        return self.timeout + self.longest + self.margin

    @property
    def settle_interval(self) -> float:
        """Time between two readings of an engine with an unsettled order."""
        return self.interval * SETTLE_SHARE


def read_fencing(service: Service) -> Fencing:
    """Return what the engines of a service do about old numbers.

    Anything but the word that they check counts as ignoring: waiting in vain costs
    time, and trusting an engine that does not check loses an operator's decision.
    """
    if service.labels.get(FENCING_LABEL) == Fencing.CHECKED.value:
        return Fencing.CHECKED
    return Fencing.IGNORED
