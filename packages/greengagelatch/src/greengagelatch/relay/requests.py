"""Opaque requests as they arrive, and what is said to their callers."""

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

#: a header's name and value as they are on the wire
HeaderLine = tuple[bytes, bytes]

#: results that each stage of a route has to make for a request, by stage number
PieceCounts = tuple[int, ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """What an engine will read and write for a request."""

    model: str = ""
    tokens_in: int = 0
    max_tokens_out: int = 0
    #: in order; the last one belongs to the request or its session alone
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
    #: what is passed on unchanged
    headers: tuple[HeaderLine, ...] = field(repr=False)
    body: bytes = field(repr=False)
    received: float
    #: seconds that the caller waits from ``received``
    timeout: float
    key: str = field(default="", repr=False)
    #: id of the last event that the caller already has
    resume_after: int | None = None
    prompt: Prompt | None = None
    piece_counts: PieceCounts = ()
    #: names the input of a request's first stages
    piece_key: str = ""


class RefusedError(Exception):
    """A request that gets a refusal for its final answer."""

    def __init__(self, refusal: Refusal, status: int = 0) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        #: HTTP status where the refusal's code alone does not say it
        self.status = status
