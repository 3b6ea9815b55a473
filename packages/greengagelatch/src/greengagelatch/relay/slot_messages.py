"""Messages between entry instances about slots of brittle targets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..peers.codec import Message, check_rows, check_type, register
from .incarnations import Incarnation

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("BrittleSlotsLoan", "BrittleSlotsRequest", "decode_slots", "encode_slots")


@register("brittle-slots-wanted")
@dataclass(frozen=True, slots=True)
class BrittleSlotsRequest(Message):
    """Asks for the slots of brittle targets that the receiver doesn't need."""

    number: int = 0
    services: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.number, int)
        check_type(self.services, (tuple, list))
        for service in self.services:
            check_type(service, str)


@register("brittle-slots-lent")
@dataclass(frozen=True, slots=True)
class BrittleSlotsLoan(Message):
    """Slots that the sender lends, in place of those that it lent before."""

    #: that of the request
    number: int = 0
    #: address of the sender
    lender: str = ""
    #: id and start of each target, and the slots
    rows: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_type(self.number, int)
        check_type(self.lender, str)
        check_rows(self.rows, (str, int, int))


def encode_slots(lent: Mapping[Incarnation, int]) -> tuple[Any, ...]:
    """Return lent slots as rows of a message."""
    return tuple(
        (incarnation.target_id, incarnation.started_ms, slots)
        for incarnation, slots in lent.items()
    )


def decode_slots(rows: tuple[Any, ...]) -> dict[Incarnation, int]:
    """Return the lent slots in rows of a message."""
    return {
        Incarnation(target_id, started_ms): max(0, slots)
        for target_id, started_ms, slots in rows
    }
