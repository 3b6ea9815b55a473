"""Packs claims into records of fixed size."""

from __future__ import annotations

import struct
from array import array
from bisect import bisect_left
from collections.abc import Iterable

from . import Claim, ClaimState, Token
from .sharding import DIGEST_BYTES, KEY_BYTES

__all__ = (
    "RECORD_BYTES",
    "Incarnations",
    "find_record",
    "list_prefixes",
    "pack_claims",
    "unpack_claims",
)

#: table of instances and incarnations, to which records refer by index
Incarnations = tuple[tuple[str, int], ...]

#: key, digest, index of the incarnation, serial, expires_at, state
_RECORD = struct.Struct(f">{KEY_BYTES}s{DIGEST_BYTES}sHQIB")

RECORD_BYTES = _RECORD.size

#: leading bytes of a key that the binary search compares
PREFIX_BYTES = 8
_PREFIX = struct.Struct(f">Q{RECORD_BYTES - PREFIX_BYTES}x")

_STATES = tuple(ClaimState)


def pack_claims(claims: Iterable[Claim]) -> tuple[Incarnations, bytes]:
    """Return the table of incarnations and the records of ``claims``, in order."""
    indexes: dict[tuple[str, int], int] = {}
    packed = bytearray()
    for claim in claims:
        token = claim.token
        incarnation = (token.instance, token.incarnation)
        index = indexes.setdefault(incarnation, len(indexes))
        packed += _RECORD.pack(
            claim.key,
            claim.digest,
            index,
            token.serial,
            claim.expires_at,
            claim.state,
        )
    return tuple(indexes), bytes(packed)


def unpack_claims(incarnations: Incarnations, packed: bytes) -> tuple[Claim, ...]:
    """Unpack all records; :exc:`ValueError` if they are malformed."""
    try:
        return tuple(
            _build(incarnations, *fields) for fields in _RECORD.iter_unpack(packed)
        )
    except (IndexError, struct.error) as error:
        msg = f"malformed claim records: {error}"
        raise ValueError(msg) from error


def list_prefixes(packed: bytes) -> array[int]:
    """Return the key prefix of each record, as an integer."""
    return array("Q", (prefix for (prefix,) in _PREFIX.iter_unpack(packed)))


def find_record(
    incarnations: Incarnations, packed: bytes, prefixes: array[int], key: bytes
) -> Claim | None:
    """Return the claim on ``key``; the records must be sorted by key."""
    prefix = int.from_bytes(key[:PREFIX_BYTES])
    place = bisect_left(prefixes, prefix)
    while place < len(prefixes) and prefixes[place] == prefix:
        offset = place * RECORD_BYTES
        if packed.startswith(key, offset):
            return _build(incarnations, *_RECORD.unpack_from(packed, offset))
        place += 1
    return None


def _build(
    incarnations: Incarnations,
    key: bytes,
    digest: bytes,
    index: int,
    serial: int,
    expires_at: int,
    state: int,
) -> Claim:
    token = Token(*incarnations[index], serial)
    return Claim(key, digest, token, expires_at, _STATES[state])
