"""Messages between entry instances about the software versions of streams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..peers.codec import Message, check_rows, check_type, register

__all__ = ("StreamVersionAnswer", "StreamVersionQuery", "StreamVersionsUpdate")


@register("stream-versions")
@dataclass(frozen=True, slots=True)
class StreamVersionsUpdate(Message):
    """Streams that the receiver is to remember."""

    #: pairs of a request's id and the version of the target that it is sent to
    rows: tuple[Any, ...] = ()
    #: whether the sender was told them, and stops: the receiver may know them better
    handed_over: bool = False

    def __post_init__(self) -> None:
        check_type(self.handed_over, bool)
        check_rows(self.rows, (str, str))


@register("stream-version-query")
@dataclass(frozen=True, slots=True)
class StreamVersionQuery(Message):
    """Asks for the version of the target that a request was last sent to."""

    request_id: str = ""

    def __post_init__(self) -> None:
        check_type(self.request_id, str)


@register("stream-version")
@dataclass(frozen=True, slots=True)
class StreamVersionAnswer(Message):
    """Answers with a version."""

    #: ``None``: the sender doesn't remember the request
    software_version: str | None = None

    def __post_init__(self) -> None:
        check_type(self.software_version, (str, type(None)))
