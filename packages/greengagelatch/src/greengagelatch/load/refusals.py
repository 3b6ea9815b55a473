"""Refusals with a retry-after time."""

from __future__ import annotations

from ..errors import Refusal, RefusalCode

__all__ = ("create_refusal",)

#: bounds of the retry-after time in seconds
MIN_RETRY_AFTER = 0.05
MAX_RETRY_AFTER = 30.0


def create_refusal(code: RefusalCode, message: str, wait: float) -> Refusal:
    """Return a refusal with a retry-after time of ``wait`` seconds, within bounds."""
    wait = min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return Refusal(code=code, message=message, retry_after_ms=int(wait * 1000))
