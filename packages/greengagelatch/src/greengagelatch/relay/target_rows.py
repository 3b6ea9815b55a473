"""Encoding of targets as rows of a message."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from .incarnations import Incarnation
from .targets import ListedTarget

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("decode_target", "decode_targets", "encode_target", "encode_versions")


def encode_target(target: ListedTarget) -> tuple[Any, ...]:
    """Return a target as a row of a message, without the version of its software.

    Earlier releases refuse rows of another length.
    """
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


def encode_versions(targets: Iterable[ListedTarget]) -> tuple[Any, ...]:
    """Return the software versions of targets as rows of a message.

    A row holds the target's id and start, and the version.
    """
    return tuple(
        (one.target_id, one.incarnation.started_ms, one.software_version)
        for one in targets
    )


def decode_targets(rows: Iterable[Any], versions: Iterable[Any]) -> list[ListedTarget]:
    """Return the targets of valid rows, with the versions of their software.

    :param versions: see :func:`encode_versions`; empty: sent by an earlier release
    """
    by_incarnation = {
        Incarnation(target_id, started_ms): version
        for target_id, started_ms, version in versions
    }
    targets = filter(None, map(decode_target, rows))
    return [
        replace(one, software_version=by_incarnation.get(one.incarnation, ""))
        for one in targets
    ]
