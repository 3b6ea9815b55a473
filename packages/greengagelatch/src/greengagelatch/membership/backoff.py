"""Exponential backoff with jitter."""

from __future__ import annotations

import random

__all__ = ("compute_backoff",)

#: bound of the exponent; with so many doublings every delay has reached its maximum
_MAX_DOUBLINGS = 32


def compute_backoff(
    attempt: int, *, base: float, longest: float, random_source: random.Random
) -> float:
    """Return the seconds to wait after the failed attempt ``attempt``, counted from 1.

    The delay doubles with each attempt, up to ``longest``. Half of it is random, so
    that instances that saw the same failure at the same time do not retry together.
    """
    doublings = min(max(attempt - 1, 0), _MAX_DOUBLINGS)
    delay = min(longest, base * 2**doublings)
    return delay * (0.5 + 0.5 * random_source.random())
