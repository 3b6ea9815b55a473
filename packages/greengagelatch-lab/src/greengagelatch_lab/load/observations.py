"""Outcomes of requests as observed by their callers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .arrivals import Arrival

__all__ = ("RequestOutcome", "Observation")


class RequestOutcome(Enum):
    """How a request ended from the view of its caller."""

    RESULT = "result"
    REFUSAL = "refusal"
    #: the connection failed or closed before the response was complete
    DISCONNECTED = "cut"
    #: no complete response within the grace period after the deadline
    TIMED_OUT = "silent"
    #: not sent because no entry instance was ready
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """One request and the response that its caller received.

    Times are seconds since the scheduled send time, so that a client that falls
    behind does not hide queueing delay (coordinated omission).
    """

    arrival: Arrival
    outcome: RequestOutcome
    #: id of the entry instance that the request was sent to
    instance: str = ""
    status: int = 0
    request_id: str = ""
    verdict: str = ""
    #: error code of a refusal
    code: str = ""
    message: str = ""
    result: Any = None
    replayed: bool = False
    #: offset and text of each token, in the order received
    tokens: tuple[tuple[int, str], ...] = ()
    #: token count and digest stated in the final event of a stream
    count: int | None = None
    digest: str = ""
    #: total latency
    latency_seconds: float = 0.0
    #: latency of each token in seconds
    token_latencies: tuple[float, ...] = ()

    @property
    def in_time(self) -> bool:
        """Whether a result was received within the request's deadline."""
        if self.outcome is not RequestOutcome.RESULT:
            return False
        return self.latency_seconds * 1000 <= self.arrival.deadline_ms
