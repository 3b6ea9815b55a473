"""Counters, gauges and timers, sent to statsd and kept for the state dump."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import statsd

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("MetricTotals", "Metrics")

#: prefix of every metric's name
PREFIX = "greengagelatch"
#: seconds for which metrics are gathered before they are sent
INTERVAL = 0.2
#: durations that are gathered at most
MAX_TIMINGS = 500
#: bytes of one datagram, which an Ethernet frame carries whole
MAX_DATAGRAM = 1432
#: what separates the parts of a metric, and what can't be sent, in a name
_FORBIDDEN = str.maketrans(dict.fromkeys(":|@# \n", "_"))


class MetricTotals:
    """Running totals, however they are shown."""

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


class Metrics(MetricTotals):
    """Gathers metrics, sends them by UDP and keeps the running totals.

    statsd's client is synchronous, but a datagram to an IP address never waits
    for anything; a host name would be resolved in the event loop, so settings
    accept addresses only. A datagram for each metric took a twentieth of a
    request's processor time, so those of a short while share datagrams, and counts
    of one name are added up. What is gathered is sent by the first call after
    :data:`INTERVAL`; controllers report gauges regularly, so there is always one.

    :param now: returns monotonic seconds
    """

    def __init__(self, address: str, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        self._client = statsd.StatsClient(
            host, int(port), PREFIX, maxudpsize=MAX_DATAGRAM, ipv6=":" in host
        )
        self._now = now
        self._new_counts: Counter[str] = Counter()
        self._new_gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []
        self._sent = now()

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        super().count(name, amount)
        self._new_counts[name] += amount
        self._send_if_due()

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        super().gauge(name, value)
        self._new_gauges[name] = value
        self._send_if_due()

    def timing(self, name: str, seconds: float) -> None:
        """Report a duration."""
        self._timings.append((name, seconds))
        self._send_if_due()

    def flush(self) -> None:
        """Send what was gathered."""
        self._sent = self._now()
        with self._client.pipeline() as pipeline:
            for name, amount in self._new_counts.items():
                pipeline.incr(_clean(name), amount)
            for name, value in self._new_gauges.items():
                pipeline.gauge(_clean(name), value)
            for name, seconds in self._timings:
                pipeline.timing(_clean(name), seconds * 1000)
        self._new_counts.clear()
        self._new_gauges.clear()
        self._timings.clear()

    def _send_if_due(self) -> None:
        due = self._now() - self._sent >= INTERVAL
        if due or len(self._timings) >= MAX_TIMINGS:
            self.flush()


def _clean(name: str) -> str:
    """Return a name that can be sent: names hold those of operators' objects.

    statsd's client raises on what is not ASCII, in the middle of a request.
    """
    text = name.translate(_FORBIDDEN)
    return text if text.isascii() else text.encode("ascii", "replace").decode()
