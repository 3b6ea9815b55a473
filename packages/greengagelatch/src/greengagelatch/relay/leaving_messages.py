"""Messages between entry instances about targets that leave."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..peers.codec import Message, check_rows, register

__all__ = ("TargetLeavingsUpdate",)


@register("target-leavings")
@dataclass(frozen=True, slots=True)
class TargetLeavingsUpdate(Message):
    """Targets that have said in their answers that they leave."""

    #: pairs of a target's id and its start in Unix milliseconds
    rows: tuple[Any, ...] = ()

    def __post_init__(self) -> None:
        check_rows(self.rows, (str, int))
