"""Counters, gauges and timers, sent to statsd and shown in the state dump."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

import statsd

from .metric_totals import MetricTotals

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("Metrics",)

#: prefix of all metric names
PREFIX = "greengagelatch"
#: seconds between two flushes of the collected metrics
FLUSH_SECONDS = 0.2
#: maximum number of collected durations; reaching it triggers a flush
MAX_TIMINGS = 500
#: maximum bytes of one datagram, so that it fits into one Ethernet frame
MAX_DATAGRAM_BYTES = 1432
#: characters in names that are statsd's separators or can't be sent
_UNSAFE_CHARS = str.maketrans(dict.fromkeys(":|@# \n", "_"))


class Metrics(MetricTotals):
    """Collects metrics, sends them to statsd by UDP and keeps the totals.

    statsd's client is synchronous, but sending a datagram to an IP address does not
    block. A host name would be resolved in the event loop, so the settings accept
    addresses only. One datagram per metric takes a twentieth of a request's
    processor time, so metrics are batched in datagrams, and counts of the same name
    are summed. The first call after :data:`FLUSH_SECONDS` flushes the batch;
    controllers report gauges regularly, so such a call always comes.

    :param now: returns monotonic seconds
    """

    def __init__(self, address: str, now: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        self._client = statsd.StatsClient(
            host, int(port), PREFIX, maxudpsize=MAX_DATAGRAM_BYTES, ipv6=":" in host
        )
        self._now = now
        self._new_counts: Counter[str] = Counter()
        self._new_gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []
        self._flushed_at = now()

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        super().count(name, amount)
        self._new_counts[name] += amount
        self._flush_if_due()

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        super().gauge(name, value)
        self._new_gauges[name] = value
        self._flush_if_due()

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._timings.append((name, seconds))
        self._flush_if_due()

    def flush(self) -> None:
        """Send the collected metrics."""
        self._flushed_at = self._now()
        with self._client.pipeline() as pipeline:
            for name, amount in self._new_counts.items():
                pipeline.incr(_sanitize(name), amount)
            for name, value in self._new_gauges.items():
                pipeline.gauge(_sanitize(name), value)
            for name, seconds in self._timings:
                pipeline.timing(_sanitize(name), seconds * 1000)
        self._new_counts.clear()
        self._new_gauges.clear()
        self._timings.clear()

    def _flush_if_due(self) -> None:
        due = self._now() - self._flushed_at >= FLUSH_SECONDS
        if due or len(self._timings) >= MAX_TIMINGS:
            self.flush()


def _sanitize(name: str) -> str:
    """Return ``name`` without characters that can't be sent.

    Metric names contain the names of operators' objects, and statsd's client raises
    on characters that are not ASCII, which would fail the request.
    """
    text = name.translate(_UNSAFE_CHARS)
    return text if text.isascii() else text.encode("ascii", "replace").decode()
