"""Computes the effect of a change on the current records and validates it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from .ini_writer import format_object
from .names import ConfigObject, identify
from .problems import Problem
from .records import Record, build_object, compute_bucket, encode_body
from .requests import (
    ChangeMode,
    ChangeRequest,
    Conflict,
    Conflicted,
    Difference,
    Refused,
    RefusedCode,
)
from .validation import find_new_problems

__all__ = ("Plan", "build_plan", "group_records", "list_differences")

Body = Mapping[str, Any]
Records = Mapping[str, Record]
Objects = Mapping[str, ConfigObject]


@dataclass(frozen=True, slots=True)
class Plan:
    """New bodies by ``KIND/NAME``; ``None`` deletes the object."""

    bodies: Mapping[str, Body | None]

    @property
    def changed(self) -> tuple[str, ...]:
        """Ids of the objects that the change modifies."""
        return tuple(sorted(self.bodies))


def build_plan(
    request: ChangeRequest,
    records: Records,
    objects: Objects,
    rollback_records: Records,
    *,
    base: int,
    generation: int,
) -> Result[Plan, Conflicted | Refused]:
    """Return the modifications to ``records``, or the reason for a rejection.

    Objects that already have the requested content are skipped, so that two
    operators who make the same edit don't conflict.

    :param objects: the objects that ``records`` hold.
    :param rollback_records: records of the generation that a rollback restores.
    :param base: generation that the operator's edit is based on.
    :param generation: generation of ``records``.
    """
    desired = _list_desired(request, records, rollback_records)
    bodies = {
        object_id: body
        for object_id, body in desired.items()
        if _get_body(records, object_id) != body
    }
    conflicts = _find_conflicts(bodies, records, base)
    if conflicts:
        return Err(Conflicted(generation=generation, conflicts=conflicts))
    problems = _find_missing_names(request, records)
    problems.extend(_find_reference_problems(request, bodies, objects))
    if problems:
        return Err(
            Refused(
                code=RefusedCode.INVALID,
                message=f"{len(problems)} problems",
                problems=tuple(problems),
            )
        )
    return Ok(Plan(bodies))


def list_differences(plan: Plan, records: Records) -> tuple[Difference, ...]:
    """Return each modified object as INI text before and after the change."""
    differences = []
    for object_id in plan.changed:
        before = _format(object_id, _get_body(records, object_id))
        after = _format(object_id, plan.bodies[object_id])
        differences.append(Difference(object_id, before, after))
    return tuple(differences)


def group_records(
    plan: Plan, records: Records, *, change_id: str, generation: int, oldest: int
) -> Mapping[int, Records]:
    """Return the new records of each bucket that the plan modifies.

    :param generation: generation that the change creates.
    :param oldest: tombstones of earlier generations are dropped.
    """
    buckets: dict[int, dict[str, Record]] = {}
    for object_id in plan.bodies:
        buckets[compute_bucket(object_id)] = {}
    for object_id, record in records.items():
        bucket = compute_bucket(object_id)
        if bucket not in buckets:
            continue
        if record.body is None and record.generation < oldest:
            continue
        buckets[bucket][object_id] = record
    for object_id, body in plan.bodies.items():
        record = Record(generation, change_id, body)
        buckets[compute_bucket(object_id)][object_id] = record
    return buckets


def _list_desired(
    request: ChangeRequest, records: Records, rollback_records: Records
) -> dict[str, Body | None]:
    match request.mode:
        case ChangeMode.APPLY:
            return {str(identify(item)): encode_body(item) for item in request.objects}
        case ChangeMode.DELETE:
            return {str(name): None for name in request.names}
        case ChangeMode.ROLLBACK:
            desired: dict[str, Body | None] = dict.fromkeys(records)
            desired.update(
                (name, record.body) for name, record in rollback_records.items()
            )
            return desired


def _find_conflicts(
    bodies: Mapping[str, Body | None], records: Records, base: int
) -> tuple[Conflict, ...]:
    conflicts = []
    for object_id in sorted(bodies):
        record = records.get(object_id)
        if record is None or record.generation <= base:
            continue
        conflicts.append(
            Conflict(
                object_id=object_id,
                base=base,
                yours=_format(object_id, bodies[object_id]),
                generation=record.generation,
                change_id=record.change_id,
                current=_format(object_id, record.body),
            )
        )
    return tuple(conflicts)


def _find_missing_names(request: ChangeRequest, records: Records) -> list[Problem]:
    problems = []
    for name in request.names:
        if _get_body(records, str(name)) is not None:
            continue
        problems.append(
            Problem(
                file=request.file,
                key="names",
                value=str(name),
                reason="there is no such object",
            )
        )
    return problems


def _find_reference_problems(
    request: ChangeRequest, bodies: Mapping[str, Body | None], before: Objects
) -> list[Problem]:
    after = dict(before)
    for object_id, body in bodies.items():
        after.pop(object_id, None)
        item = None if body is None else build_object(object_id, body)
        if item is not None:
            after[object_id] = item
    return find_new_problems(before, after, request.file)


def _get_body(records: Records, object_id: str) -> Body | None:
    record = records.get(object_id)
    return None if record is None else record.body


def _format(object_id: str, body: Body | None) -> str:
    item = None if body is None else build_object(object_id, body)
    return "" if item is None else format_object(item)
