"""Timing rules of orders, and which engines check fencing tokens."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.objects import Service

__all__ = ("FENCING_LABEL", "Fencing", "OrderRules", "read_fencing")

#: label of a service that says whether its engines check fencing tokens
FENCING_LABEL = "fencing"

#: share of the interval after which an engine with an unsettled order is read again
SETTLE_SHARE = 0.2


class Fencing(Enum):
    """How engines treat an order with an old fencing token."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRules:
    """Durations in seconds."""

    #: timeout of one call to an engine; an order that has not reached the engine by
    #: then never does
    timeout: float
    #: longest time from the arrival of an order at an engine until it is carried out
    max_execution: float
    #: time between two reads of an engine without an unsettled order
    interval: float
    #: clock drift of this instance that is allowed for over the two times above
    margin: float

    @property
    def order_lifetime(self) -> float:
        """Time after which an unanswered order can no longer take effect."""
        return self.timeout + self.max_execution + self.margin

    @property
    def settle_interval(self) -> float:
        """Time between two reads of an engine with an unsettled order."""
        return self.interval * SETTLE_SHARE


def read_fencing(service: Service) -> Fencing:
    """Return how the engines of a service treat old fencing tokens.

    Any label value other than "checked" counts as "ignored". A needless wait only
    costs time, but an order that is sent without the wait to an engine that does not
    check may be overwritten by an older one, which undoes an operator's decision.
    """
    if service.labels.get(FENCING_LABEL) == Fencing.CHECKED.value:
        return Fencing.CHECKED
    return Fencing.IGNORED
