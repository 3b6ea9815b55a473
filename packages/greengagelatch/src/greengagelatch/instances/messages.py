"""Messages by which entry instances share the platform's list with each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..peers.codec import Message, check_type, register

__all__ = ("ListingPage", "ListingQuery")


@register("listing-query")
@dataclass(frozen=True, slots=True)
class ListingQuery(Message):
    """Requests rows from ``offset`` on of a listing newer than ``as_of``."""

    as_of: int = -1
    offset: int = 0

    def __post_init__(self) -> None:
        check_type(self.as_of, int)
        check_type(self.offset, int)


@register("listing-page")
@dataclass(frozen=True, slots=True)
class ListingPage(Message):
    """Rows of the sender's newest listing; empty if it has no newer one."""

    as_of: int = -1
    #: number of rows in the whole listing
    total: int = 0
    offset: int = 0
    #: see :func:`~greengagelatch.instances.rows.encode_row`
    rows: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        for number in (self.as_of, self.total, self.offset):
            check_type(number, int)
        check_type(self.rows, tuple)
