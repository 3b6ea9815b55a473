"""Requests to targets and their responses, independent of the wire format."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.relay.rate_limits import NO_RATE, NamedRate

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_reports import LoadReport
    from greengagelatch.relay.requests import HeaderLine

__all__ = ("ResponseHead", "OutboundRequest", "AttemptContext")


@dataclass(frozen=True, slots=True, kw_only=True)
class OutboundRequest:
    """One HTTP request, ready to be serialized."""

    method: str
    #: path and query
    target: str
    headers: tuple[HeaderLine, ...] = field(repr=False, default=())
    body: bytes = field(repr=False, default=b"")


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptContext:
    """Metadata sent to a target along with a request."""

    #: intended target; a target with another id must not run the request
    incarnation: Incarnation
    #: seconds until the deadline
    remaining: float
    workspace: str = ""
    #: id of the last event that the caller has received; ``None``: from the start
    resume_after: int | None = None
    #: handles of the stage results to fetch; ``None``: the request has no stages
    inputs: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Decoded head of a target's response."""

    status: int
    reason: str
    #: end-to-end headers; hop-by-hop headers are removed
    headers: tuple[tuple[str, str], ...] = field(repr=False, default=())
    #: request id echoed by the target
    request_id: str = ""
    #: whether the target's signature header is present
    signed: bool = False
    #: whether the target states that it did not run the request
    not_run: bool = False
    #: whether the responding target has another id than the intended one
    misdirected: bool = False
    #: whether the body has a content encoding that was not requested
    encoded: bool = False
    load: LoadReport | None = None
    #: rejections in a second beyond which the target falls over; ``None``: not brittle
    rejection_limit: int | None = None
    #: what it says of the rate that the target takes from all instances together
    named_rate: NamedRate = NO_RATE

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
