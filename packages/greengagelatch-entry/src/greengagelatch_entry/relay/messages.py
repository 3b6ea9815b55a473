"""What goes to targets and comes back, apart from any names on the wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.load_balancer import LoadReport
    from greengagelatch.relay.requests import HeaderLine

__all__ = ("AnswerHead", "Outbound", "RelayCall")


@dataclass(frozen=True, slots=True, kw_only=True)
class Outbound:
    """One HTTP request, ready to be written."""

    method: str
    #: path and query
    target: str
    headers: tuple[HeaderLine, ...] = field(repr=False, default=())
    body: bytes = field(repr=False, default=b"")


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """What a request is sent to a target with, beside the request itself."""

    #: the target that is meant; one of another id must not run it
    incarnation: Incarnation
    #: seconds that are left
    remaining: float
    workspace: str = ""
    #: id of the last event that the caller has; ``None``: from the beginning
    resume_after: int | None = None
    #: handles of the stage results that the target reads; ``None``: no stages
    inputs: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """The head of a target's answer, decoded."""

    status: int
    reason: str
    #: headers for the caller; those of the connection are left out
    headers: tuple[tuple[str, str], ...] = field(repr=False, default=())
    #: id of the request that the answer says it belongs to
    request_id: str = ""
    #: whether it bears the target's signature
    signed: bool = False
    #: whether the target says that it did not run the request
    not_run: bool = False
    #: whether a target of another id answered than the one that was meant
    misdirected: bool = False
    #: whether the body is encoded in a way that nobody asked for
    encoded: bool = False
    load: LoadReport | None = None

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300
