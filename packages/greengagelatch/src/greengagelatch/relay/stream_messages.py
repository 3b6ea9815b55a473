"""Messages between entry instances about the software versions of streams."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import zip_longest
from typing import TYPE_CHECKING, Any, Self

from ..peers.codec import Message, check_rows, check_type, register
from .stream_versions import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("StreamVersionAnswer", "StreamVersionQuery", "StreamVersionsUpdate")


@register("stream-versions")
@dataclass(frozen=True, slots=True)
class StreamVersionsUpdate(Message):
    """Streams that the receiver is to remember."""

    #: pairs of a request's id and the version of the target that it is sent to
    rows: tuple[Any, ...] = ()
    #: whether the sender was told them, and stops: the receiver may know them better
    handed_over: bool = False
    #: service of each row; an earlier release tells none
    services: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.handed_over, bool)
        check_rows(self.rows, (str, str))
        for service in self.services:
            check_type(service, str)

    @classmethod
    def create(
        cls, rows: Iterable[tuple[str, StreamOrigin]], handed_over: bool = False
    ) -> Self:
        """Create an update of streams and their origins."""
        rows = tuple(rows)
        return cls(
            tuple((one, origin.software_version) for one, origin in rows),
            handed_over,
            tuple(origin.service for _, origin in rows),
        )

    def list_origins(self) -> list[tuple[str, StreamOrigin]]:
        """Return the streams and their origins."""
        pairs = zip_longest(self.rows, self.services[: len(self.rows)], fillvalue="")
        return [
            (request_id, StreamOrigin(service, version))
            for (request_id, version), service in pairs
        ]


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
    #: an earlier release tells none
    service: str = ""

    def __post_init__(self) -> None:
        check_type(self.software_version, (str, type(None)))
        check_type(self.service, str)
