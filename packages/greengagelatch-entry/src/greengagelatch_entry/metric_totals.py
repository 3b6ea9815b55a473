"""Totals of counters and the last values of gauges."""

from __future__ import annotations

from collections import Counter
from typing import Any

__all__ = ("MetricTotals",)


class MetricTotals:
    """Totals of counters and the last values of gauges."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self._counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def value(self, name: str) -> int:
        """Return the total of a counter."""
        return self._counts[name]

    def dump(self) -> dict[str, Any]:
        """Return all totals and gauges."""
        return {"counters": dict(self._counts), "gauges": dict(self._gauges)}
