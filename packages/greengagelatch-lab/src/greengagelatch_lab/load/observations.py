"""What a caller saw of its request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .arrivals import Arrival

__all__ = ("Ending", "Observation")


class Ending(Enum):
    """How a request ended for its caller."""

    RESULT = "result"
    REFUSAL = "refusal"
    #: the answer began or the request was sent, and the connection ended
    CUT = "cut"
    #: no answer long after the deadline
    SILENT = "silent"
    #: no entry instance was ready, so the balancer had none to send it to
    UNSENT = "unsent"


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """One request and all that its caller got.

    Times are seconds since the request was to be sent, so that a client that falls
    behind does not hide a wait.
    """

    arrival: Arrival
    ending: Ending
    #: id of the entry instance it was sent to
    instance: str = ""
    status: int = 0
    request_id: str = ""
    verdict: str = ""
    #: code of a refusal
    code: str = ""
    message: str = ""
    result: Any = None
    replayed: bool = False
    #: offset and text of each token, in the order of arrival
    tokens: tuple[tuple[int, str], ...] = ()
    #: count and digest stated by the end of a stream
    count: int | None = None
    digest: str = ""
    seconds: float = 0.0
    #: seconds until each token
    token_seconds: tuple[float, ...] = ()

    @property
    def in_time(self) -> bool:
        """Whether a result came within the request's deadline."""
        if self.ending is not Ending.RESULT:
            return False
        return self.seconds * 1000 <= self.arrival.deadline_ms
