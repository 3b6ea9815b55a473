"""Random identifiers for requests, attempts and configuration changes."""

from __future__ import annotations

import random

__all__ = ("create_id",)

#: random bits of an id; at 10,000 ids per second, a collision within a year is
#: improbable with 96 bits
ID_BITS = 96


def create_id(prefix: str, random_source: random.Random) -> str:
    """Return ``prefix``, a dash and 24 random hexadecimal digits."""
    return f"{prefix}-{random_source.getrandbits(ID_BITS):024x}"
