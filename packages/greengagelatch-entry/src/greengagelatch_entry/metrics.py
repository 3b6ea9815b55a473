"""Counters, gauges and timers, sent to statsd and kept for the state dump."""

from __future__ import annotations

import logging
from collections import Counter
from typing import Any

import statsd

__all__ = ("Metrics",)

logger = logging.getLogger(__name__)

#: prefix of every metric's name
PREFIX = "greengagelatch"


class Metrics:
    """Sends metrics by UDP and keeps the running totals.

    statsd's client is synchronous, but a datagram to an IP address never waits
    for anything; a host name would be resolved in the event loop, so settings
    accept addresses only.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = statsd.StatsClient(host.strip("[]"), int(port), PREFIX)
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self._counts[name] += amount
        self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Report a duration."""
        self._client.timing(name, seconds * 1000)

    def value(self, name: str) -> int:
        """Return the total of a counter."""
        return self._counts[name]

    def dump(self) -> dict[str, Any]:
        """Return all totals and gauges."""
        return {"counters": dict(self._counts), "gauges": dict(self._gauges)}
