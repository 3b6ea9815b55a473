"""Delays between repeated attempts."""

from __future__ import annotations

import random

__all__ = ("compute_backoff",)

#: beyond this many doublings every delay is at its cap
_MAX_DOUBLINGS = 32


def compute_backoff(
    attempt: int, *, base: float, longest: float, random_source: random.Random
) -> float:
    """Return the seconds to wait after failed attempt number ``attempt`` (from 1).

    The delay doubles up to ``longest``. Half of it is random: instances that saw
    the same failure at the same moment would otherwise come back together.
    """
    doublings = min(max(attempt - 1, 0), _MAX_DOUBLINGS)
    delay = min(longest, base * 2**doublings)
    return delay * (0.5 + 0.5 * random_source.random())
