"""Encoding of targets as rows of a message."""

from __future__ import annotations

from typing import Any

from .incarnations import Incarnation
from .targets import ListedTarget

__all__ = ("decode_target", "encode_target")


def encode_target(target: ListedTarget) -> tuple[Any, ...]:
    """Return a target as a row of a message."""
    return (
        target.target_id,
        target.incarnation.started_ms,
        target.service,
        target.address,
        target.data_centre,
        target.slots,
        target.leaving,
        target.revision,
    )


def decode_target(row: Any) -> ListedTarget | None:
    """Return the target of a row; ``None`` if the row is invalid."""
    kinds = (str, int, str, str, str, int, bool, int)
    if not isinstance(row, tuple | list) or len(row) != len(kinds):
        return None
    if not all(isinstance(one, kind) for one, kind in zip(row, kinds, strict=True)):
        return None
    target_id, started_ms, service, address, data_centre, slots, leaving, revision = row
    if isinstance(started_ms, bool) or started_ms < 0:
        return None
    return ListedTarget(
        incarnation=Incarnation(target_id, started_ms),
        service=service,
        address=address,
        data_centre=data_centre,
        slots=slots,
        leaving=leaving,
        revision=revision,
    )
