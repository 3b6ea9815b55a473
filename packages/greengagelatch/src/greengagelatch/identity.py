"""Identifiers of requests, attempts and changes."""

from __future__ import annotations

import random

__all__ = ("create_id",)

#: 96 random bits: a collision within a year at 10,000 ids a second is improbable
ID_BITS = 96


def create_id(prefix: str, random_source: random.Random) -> str:
    """Return ``prefix`` and 24 random hexadecimal digits, joined by a dash."""
    return f"{prefix}-{random_source.getrandbits(ID_BITS):024x}"
