"""Message in which entry instances report demand to each other."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message, check_type, register

__all__ = ("DemandReport", "KeyRows", "Row")

#: digest of an instance's id, hundredths of requests per second, and the age of
#: that rate in tenths of a second
Row = tuple[int, int, int]

#: digest of a quota's key, and its rows
KeyRows = tuple[int, tuple[Row, ...]]


@register("quota-demand")
@dataclass(frozen=True, slots=True)
class DemandReport(Message):
    """Demand of the sender, and of other instances as reported to it."""

    rows: tuple[KeyRows, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.rows, tuple)
        for entry in self.rows:
            check_type(entry, tuple)
            digest, rows = entry
            check_type(digest, int)
            check_type(rows, tuple)
            for row in rows:
                _check_row(row)


def _check_row(row: Row) -> None:
    check_type(row, tuple)
    origin, rate, age = row
    for number in (origin, rate, age):
        check_type(number, int)
    if rate < 0 or age < 0:
        raise ValueError(f"rate and age must not be negative, got {rate} and {age}")
