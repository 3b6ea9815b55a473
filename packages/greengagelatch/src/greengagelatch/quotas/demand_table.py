"""Demand of all instances, as measured here or reported by peers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

from .messages import DemandReport, KeyRows, Row

__all__ = ("ROWS_PER_ROUND", "DemandSample", "DemandTable")

#: estimated bytes of a report without rows, of a key and of a row in it
FRAME_BYTES = 40
KEY_BYTES = 7
ROW_BYTES = 12
#: maximum bytes of a report
REPORT_BYTES = 700
#: minimum rows that one instance sends in a round
ROWS_PER_ROUND = 2 * (REPORT_BYTES - FRAME_BYTES) // (KEY_BYTES + ROW_BYTES)
#: maximum number of rows; further ones are dropped
MAX_ROWS = 65_536
#: units in a row: hundredths of requests per second, and tenths of seconds
RATE_SCALE = 100
AGE_SCALE = 10
#: largest number in a row
MAX_NUMBER = 2**32 - 1


@dataclass(frozen=True, slots=True)
class DemandSample:
    """Requests per second at an instance, and the monotonic second of measurement."""

    rate: float
    measured_at: float


class DemandTable:
    """Demand by key and instance, both as digests, in the order of reporting."""

    def __init__(self, own: int) -> None:
        self._own = own
        #: keys, least recently reported first
        self._keys: OrderedDict[int, dict[int, DemandSample]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def count_keys(self) -> int:
        """Return the number of keys."""
        return len(self._keys)

    def list_keys(self) -> list[int]:
        """Return the digests of all keys."""
        return list(self._keys)

    def find(self, key: int) -> dict[int, DemandSample]:
        """Return the samples of a key by instance."""
        return self._keys.get(key, {})

    def record(self, key: int, origin: int, sample: DemandSample) -> None:
        """Record a sample, unless a later one is known."""
        rows = self._keys.get(key)
        known = rows.get(origin) if rows is not None else None
        if known is not None:
            if known.measured_at < sample.measured_at:
                rows[origin] = sample
            return
        if self._count >= MAX_ROWS:
            return
        if rows is None:
            rows = self._keys[key] = {}
        rows[origin] = sample
        self._count += 1

    def remove(self, key: int, origin: int) -> None:
        """Remove a sample."""
        rows = self._keys.get(key)
        if rows is None or rows.pop(origin, None) is None:
            return
        self._count -= 1
        if not rows:
            del self._keys[key]

    def apply_report(self, report: DemandReport, now: float) -> None:
        """Apply a peer's report, except for this instance's own demand."""
        for key, rows in report.rows:
            for origin, rate, age in rows:
                if origin == self._own:
                    continue
                sample = DemandSample(rate / RATE_SCALE, now - age / AGE_SCALE)
                self.record(key, origin, sample)

    def create_report(self, now: float, random_source: Random) -> DemandReport:
        """Return a report of the least recently reported keys that fit into it.

        If a key has more rows than fit, a random sample of them is sent, which
        always includes this instance's own row.
        """
        remaining_bytes = REPORT_BYTES - FRAME_BYTES
        reported: list[KeyRows] = []
        for key in self.list_keys():
            remaining_bytes -= KEY_BYTES
            if remaining_bytes < ROW_BYTES:
                break
            rows = self._pick_rows(
                key, remaining_bytes // ROW_BYTES, now, random_source
            )
            remaining_bytes -= len(rows) * ROW_BYTES
            reported.append((key, rows))
            self._keys.move_to_end(key)
        return DemandReport(tuple(reported))

    def _pick_rows(
        self, key: int, limit: int, now: float, random_source: Random
    ) -> tuple[Row, ...]:
        rows = self._keys[key]
        others = [origin for origin in rows if origin != self._own]
        own = [self._own] if self._own in rows else []
        spare = limit - len(own)
        if len(others) > spare:
            others = random_source.sample(others, spare)
        return tuple(_encode(origin, rows[origin], now) for origin in own + others)


def _encode(origin: int, sample: DemandSample, now: float) -> Row:
    rate = min(MAX_NUMBER, round(sample.rate * RATE_SCALE))
    age = min(MAX_NUMBER, max(0, round((now - sample.measured_at) * AGE_SCALE)))
    return origin, rate, age
