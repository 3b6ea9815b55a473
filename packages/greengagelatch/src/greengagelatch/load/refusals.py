"""Refusals with a retry-after time."""

from __future__ import annotations

from ..errors import Refusal, RefusalCode

__all__ = ("create_refusal",)

#: bounds of the retry-after time in seconds
SHORTEST_RETRY = 0.05
LONGEST_RETRY = 30.0


def create_refusal(code: RefusalCode, message: str, wait: float) -> Refusal:
    """Return a refusal with a retry-after time of ``wait`` seconds, within bounds."""
    wait = min(max(wait, SHORTEST_RETRY), LONGEST_RETRY)
    return Refusal(code=code, message=message, retry_after_ms=int(wait * 1000))
