"""Targets as instances tell each other of them."""

from __future__ import annotations

from typing import Any

from .targets import ListedTarget

__all__ = ("decode_target", "encode_target")


def encode_target(target: ListedTarget) -> tuple[Any, ...]:
    """Return a target as a message holds it."""
    return (
        target.target_id,
        target.service,
        target.address,
        target.data_centre,
        target.slots,
        target.leaving,
        target.revision,
    )


def decode_target(row: Any) -> ListedTarget | None:
    """Return the target of a row; ``None`` if it can't be used."""
    kinds = (str, str, str, str, int, bool, int)
    if not isinstance(row, tuple | list) or len(row) != len(kinds):
        return None
    if not all(isinstance(one, kind) for one, kind in zip(row, kinds, strict=True)):
        return None
    return ListedTarget(
        target_id=row[0],
        service=row[1],
        address=row[2],
        data_centre=row[3],
        slots=row[4],
        leaving=row[5],
        revision=row[6],
    )
