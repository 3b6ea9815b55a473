"""Opaque requests as received from callers, and refusals."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import Refusal

__all__ = (
    "HeaderLine",
    "OpaqueRequest",
    "PieceCounts",
    "Prompt",
    "PromptPart",
    "RefusedError",
)

#: name and value of a header as on the wire
HeaderLine = tuple[bytes, bytes]

#: number of results that each stage of a route has to make for a request
PieceCounts = tuple[int, ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """The tokens that an engine processes and generates for a request."""

    model: str = ""
    tokens_in: int = 0
    max_tokens_out: int = 0
    #: in order; the last one is specific to the request or its session
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests share."""
        return self.parts[:-1]


@dataclass(frozen=True, slots=True, kw_only=True)
class OpaqueRequest:
    """One attempt of a caller; times are monotonic seconds."""

    request_id: str
    method: str
    host: str
    #: path and query as sent; never decoded or normalized
    target: str
    #: headers that are passed on unchanged
    headers: tuple[HeaderLine, ...] = field(repr=False)
    body: bytes = field(repr=False)
    received: float
    #: seconds from ``received`` for which the caller waits
    timeout: float
    key: str = field(default="", repr=False)
    #: id of the last event that the caller has received
    resume_after: int | None = None
    #: id of the attempt that brought the first event of the stream; empty: not told
    resumes: str = ""
    prompt: Prompt | None = None
    piece_counts: PieceCounts = ()
    #: identifies the input of the request's first stages
    piece_key: str = ""


class RefusedError(Exception):
    """Raised when a request is refused; the refusal is the final answer."""

    def __init__(self, refusal: Refusal, status: int = 0) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        #: HTTP status, where the refusal's code does not determine it; 0 otherwise
        self.status = status
