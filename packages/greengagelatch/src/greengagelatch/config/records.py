"""Storage format of objects: records in shards, each shard an immutable value."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import cbor2
import xxhash
from result import Err, Ok, Result

from .names import ConfigObject, ObjectKind, identify
from .objects import (
    Pipeline,
    Policy,
    PolicyEffect,
    Service,
    Stage,
    StageKind,
    Workspace,
)

__all__ = (
    "BUCKET_COUNT",
    "MAX_SHARD_BYTES",
    "Record",
    "Shard",
    "build_object",
    "compute_bucket",
    "compute_digest",
    "decode_shard",
    "encode_shard",
    "encode_body",
)

#: shards that objects are hashed into by name; constant across releases, as instances
#: of adjacent releases must agree on it
BUCKET_COUNT = 256

#: largest shard in bytes, with a margin below the store's limit of 1 MB
MAX_SHARD_BYTES = 900_000

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class Record:
    """One object and its last change; ``body`` is ``None`` for a tombstone.

    Deleted objects leave a tombstone for a while: an edit based on an earlier
    generation would otherwise restore the object without a conflict.
    """

    generation: int
    change_id: str
    body: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class Shard:
    """Records of one bucket by ``KIND/NAME``, with the objects parsed from them.

    A record that this release can't parse, such as one written by a later release,
    is kept unchanged and has no object.
    """

    records: Mapping[str, Record]
    objects: Mapping[str, ConfigObject] = field(default_factory=dict)


def compute_bucket(object_id: str) -> int:
    """Return the bucket of the object ``KIND/NAME``."""
    return xxhash.xxh64_intdigest(object_id.encode()) % BUCKET_COUNT


def compute_digest(data: bytes) -> bytes:
    """Return the digest that identifies a shard's content."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def encode_shard(records: Mapping[str, Record]) -> bytes:
    """Encode a shard; equal records have equal encodings."""
    rows = {
        object_id: [record.generation, record.change_id, record.body]
        for object_id, record in records.items()
    }
    return cbor2.dumps(rows, canonical=True)


def decode_shard(data: bytes) -> Result[Shard, str]:
    """Decode a shard; the error is a readable reason."""
    try:
        rows = cbor2.loads(data)
        records = {
            str(object_id): Record(int(row[0]), str(row[1]), row[2])
            for object_id, row in rows.items()
        }
    except (cbor2.CBORDecodeError, ValueError, TypeError, LookupError) as error:
        return Err(f"not a shard: {error}")
    return Ok(Shard(records, _build_objects(records.items())))


def encode_body(item: ConfigObject) -> Mapping[str, Any]:
    """Return an object's fields for CBOR, without its name."""
    body: dict[str, Any] = {"labels": dict(item.labels)}
    match item:
        case Service():
            body["kind"] = item.kind.value
        case Pipeline():
            body["default_deadline_ms"] = item.default_deadline_ms
            body["stages"] = [_encode_stage_body(stage) for stage in item.stages]
        case Policy():
            body["effect"] = item.effect.value
            body["workspaces"] = item.workspaces
            body["pipelines"] = item.pipelines
            body["services"] = item.services
            body["rank"] = item.rank
            body["values"] = dict(item.values)
    return body


def build_object(object_id: str, body: Mapping[str, Any]) -> ConfigObject | None:
    """Return the object of a record, or ``None`` if this release can't parse it."""
    kind, _, name = object_id.partition("/")
    try:
        return _build(ObjectKind(kind), name, body)
    except (KeyError, TypeError, ValueError):
        return None


def _build_objects(rows: Iterable[tuple[str, Record]]) -> Mapping[str, ConfigObject]:
    objects = {}
    for object_id, record in rows:
        if record.body is None:
            continue
        item = build_object(object_id, record.body)
        if item is not None and str(identify(item)) == object_id:
            objects[object_id] = item
    return objects


def _build(kind: ObjectKind, name: str, body: Mapping[str, Any]) -> ConfigObject:
    labels = dict(body["labels"])
    match kind:
        case ObjectKind.SERVICE:
            return Service(name=name, kind=StageKind(body["kind"]), labels=labels)
        case ObjectKind.WORKSPACE:
            return Workspace(name=name, labels=labels)
        case ObjectKind.PIPELINE:
            return Pipeline(
                name=name,
                stages=tuple(_build_stage(row) for row in body["stages"]),
                default_deadline_ms=int(body["default_deadline_ms"]),
                labels=labels,
            )
        case ObjectKind.POLICY:
            return Policy(
                name=name,
                effect=PolicyEffect(body["effect"]),
                workspaces=str(body["workspaces"]),
                pipelines=str(body["pipelines"]),
                services=str(body["services"]),
                rank=int(body["rank"]),
                values=dict(body["values"]),
                labels=labels,
            )


def _encode_stage_body(stage: Stage) -> dict[str, Any]:
    return {
        "name": stage.name,
        "kind": stage.kind.value,
        "service": stage.service,
        "repeatable": stage.repeatable,
        "share": stage.share,
        "inputs": list(stage.inputs),
        "labels": dict(stage.labels),
    }


def _build_stage(body: Mapping[str, Any]) -> Stage:
    return Stage(
        name=str(body["name"]),
        kind=StageKind(body["kind"]),
        service=str(body["service"]),
        repeatable=bool(body["repeatable"]),
        share=float(body["share"]),
        inputs=tuple(body["inputs"]),
        labels=dict(body["labels"]),
    )
