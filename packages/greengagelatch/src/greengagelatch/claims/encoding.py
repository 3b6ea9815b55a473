"""Encodes and decodes heads and segments as size-limited CBOR."""

from __future__ import annotations

from typing import Any

import cbor2
from result import Err, Ok, Result

from .head import Head, Segment, SegmentRef
from .packing import RECORD_BYTES, Incarnations, pack_claims, unpack_claims

__all__ = (
    "MAX_VALUE_BYTES",
    "decode_head",
    "decode_segment",
    "encode_head",
    "encode_segment",
)

#: lets a release reject values that a later one wrote in another format
FORMAT_VERSION = 1

#: largest value that the store accepts, in bytes
MAX_VALUE_BYTES = 1_048_576


def encode_head(head: Head) -> bytes:
    """Encode a head."""
    incarnations, packed = pack_claims(head.claims)
    return cbor2.dumps(
        [
            FORMAT_VERSION,
            head.sequence,
            head.written_at,
            incarnations,
            packed,
            [_list_ref(ref) for ref in head.segments],
            [_list_ref(ref) for ref in head.retired],
            head.next_segment,
            list(head.batches),
        ]
    )


def decode_head(data: bytes) -> Result[Head, str]:
    """Decode a head; the error is the reason why it is invalid."""
    match _load(data, 9):
        case Err(reason):
            return Err(reason)
        case Ok(fields):
            pass
    try:
        return Ok(
            Head(
                sequence=int(fields[1]),
                written_at=int(fields[2]),
                claims=unpack_claims(_read_incarnations(fields[3]), fields[4]),
                segments=tuple(SegmentRef(*map(int, ref)) for ref in fields[5]),
                retired=tuple(SegmentRef(*map(int, ref)) for ref in fields[6]),
                next_segment=int(fields[7]),
                batches=tuple(bytes(batch) for batch in fields[8]),
            )
        )
    except (TypeError, ValueError) as error:
        return Err(f"malformed head of a claims shard: {error}")


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment."""
    return cbor2.dumps(
        [FORMAT_VERSION, segment.base, segment.incarnations, segment.packed]
    )


def decode_segment(data: bytes) -> Result[Segment, str]:
    """Decode a segment; the error is the reason why it is invalid."""
    match _load(data, 4):
        case Err(reason):
            return Err(reason)
        case Ok(fields):
            pass
    try:
        packed = bytes(fields[3])
        if len(packed) % RECORD_BYTES:
            return Err(
                f"segment of claims truncated: {len(packed)} bytes"
                f" are no multiple of the record size, {RECORD_BYTES}"
            )
        return Ok(Segment(int(fields[1]), _read_incarnations(fields[2]), packed))
    except (TypeError, ValueError) as error:
        return Err(f"malformed segment of claims: {error}")


def _load(data: bytes, length: int) -> Result[list[Any], str]:
    if len(data) > MAX_VALUE_BYTES:
        return Err(
            f"value of {len(data)} bytes exceeds the limit of {MAX_VALUE_BYTES} bytes"
        )
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Err(f"invalid CBOR: {error}")
    if not isinstance(fields, list) or len(fields) != length:
        return Err(f"value is not a list of {length} fields")
    if fields[0] != FORMAT_VERSION:
        return Err(f"unsupported format version {fields[0]!r}")
    return Ok(fields)


def _read_incarnations(rows: list[list[Any]]) -> Incarnations:
    return tuple((str(instance), int(number)) for instance, number in rows)


def _list_ref(ref: SegmentRef) -> list[int]:
    return [ref.number, ref.revision, ref.claims, ref.expires_at]
