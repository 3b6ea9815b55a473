"""Heads and segments as bounded CBOR."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import Any

import cbor2
from result import Err, Ok, Result

from . import Claim, ClaimState, Token
from .head import Head, Segment, SegmentRef
from .scope import DIGEST_BYTES, KEY_BYTES

__all__ = (
    "MAX_VALUE_BYTES",
    "decode_head",
    "decode_segment",
    "encode_head",
    "encode_segment",
)

#: a later release with another format must not be misread by this one
FORMAT_VERSION = 1

#: what the store takes for one value
MAX_VALUE_BYTES = 1_048_576

#: key, digest, index of the incarnation, serial, forget_at, state
_CLAIM = struct.Struct(f">{KEY_BYTES}s{DIGEST_BYTES}sHQIB")


def encode_head(head: Head) -> bytes:
    """Return the bytes of a head."""
    incarnations, claims = _pack_claims(head.claims)
    return cbor2.dumps(
        [
            FORMAT_VERSION,
            head.sequence,
            head.written_at,
            incarnations,
            claims,
            [_list_ref(ref) for ref in head.segments],
            [_list_ref(ref) for ref in head.retired],
            head.next_segment,
            list(head.batches),
        ]
    )


def decode_head(data: bytes) -> Result[Head, str]:
    """Read a head; the error says what is wrong with it."""
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
                claims=_unpack_claims(fields[3], fields[4]),
                segments=tuple(SegmentRef(*map(int, ref)) for ref in fields[5]),
                retired=tuple(SegmentRef(*map(int, ref)) for ref in fields[6]),
                next_segment=int(fields[7]),
                batches=tuple(bytes(batch) for batch in fields[8]),
            )
        )
    except (TypeError, ValueError, IndexError, struct.error) as error:
        return Err(f"not a head of claims: {error}")


def encode_segment(segment: Segment) -> bytes:
    """Return the bytes of a segment."""
    incarnations, claims = _pack_claims(segment.claims)
    return cbor2.dumps([FORMAT_VERSION, segment.base, incarnations, claims])


def decode_segment(data: bytes) -> Result[Segment, str]:
    """Read a segment; the error says what is wrong with it."""
    match _load(data, 4):
        case Err(reason):
            return Err(reason)
        case Ok(fields):
            pass
    try:
        return Ok(Segment(int(fields[1]), _unpack_claims(fields[2], fields[3])))
    except (TypeError, ValueError, IndexError, struct.error) as error:
        return Err(f"not a segment of claims: {error}")


def _load(data: bytes, length: int) -> Result[list[Any], str]:
    if len(data) > MAX_VALUE_BYTES:
        return Err(f"value of {len(data)} bytes is too large")
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return Err(f"not CBOR: {error}")
    if not isinstance(fields, list) or len(fields) != length:
        return Err("value does not have the expected fields")
    if fields[0] != FORMAT_VERSION:
        return Err(f"format version {fields[0]!r} is not known")
    return Ok(fields)


def _pack_claims(claims: Iterable[Claim]) -> tuple[list[list[Any]], bytes]:
    """Return the table of incarnations and the claims, of fixed size each."""
    indexes: dict[tuple[str, int], int] = {}
    packed = bytearray()
    for claim in claims:
        token = claim.token
        incarnation = (token.instance, token.incarnation)
        index = indexes.setdefault(incarnation, len(indexes))
        packed += _CLAIM.pack(
            claim.key,
            claim.digest,
            index,
            token.serial,
            claim.forget_at,
            claim.state,
        )
    return [list(incarnation) for incarnation in indexes], bytes(packed)


def _unpack_claims(incarnations: list[list[Any]], data: bytes) -> tuple[Claim, ...]:
    table = [(str(instance), int(number)) for instance, number in incarnations]
    claims = []
    for key, digest, index, serial, forget_at, state in _CLAIM.iter_unpack(data):
        token = Token(*table[index], serial)
        claims.append(Claim(key, digest, token, forget_at, ClaimState(state)))
    return tuple(claims)


def _list_ref(ref: SegmentRef) -> list[int]:
    return [ref.number, ref.revision, ref.claims, ref.forget_at]
