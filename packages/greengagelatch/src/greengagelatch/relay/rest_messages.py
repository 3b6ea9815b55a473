"""Messages between entry instances about targets that rest."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..peers.codec import Message, check_rows, check_type, register

__all__ = ("TargetRestsUpdate",)


@register("target-rests")
@dataclass(frozen=True, slots=True)
class TargetRestsUpdate(Message):
    """Targets that have asked the sender, or another instance, for rest."""

    #: id and start in Unix milliseconds of each, and the seconds that are left
    rows: tuple[Any, ...] = ()
    #: whether they have asked the sender through the receiver, and so the receiver
    carried: bool = False

    def __post_init__(self) -> None:
        check_rows(self.rows, (str, int, (int, float)))
        check_type(self.carried, bool)
