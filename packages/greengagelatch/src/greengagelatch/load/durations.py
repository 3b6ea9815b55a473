"""Measured durations of calls, as percentiles over a sliding window."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable

from hdrh.histogram import HdrHistogram

__all__ = ("DurationTracker", "create_first_token_kind")

#: histogram units in one second: a tenth of a millisecond each
UNITS_PER_SECOND = 10_000
#: longest duration that the histogram distinguishes, in seconds
MAX_SECONDS = 3600
#: significant digits: durations are resolved to about six in a hundred; with two
#: digits, a percentile takes ten times as long, half of the processor time of all
#: decisions
SIGNIFICANT_DIGITS = 1
#: seconds for which a computed percentile is cached
CACHE_TTL = 0.5
#: fewest samples from which a percentile is computed
MIN_SAMPLES = 8
#: windows without any sample after which the last percentiles count as outdated
STALE_WINDOWS = 2
#: windows whose lowest median is taken as the duration without load
BASELINE_WINDOWS = 30


class _Series:
    """Durations of one kind of call: this window's and the one before."""

    __slots__ = ("baseline", "cache", "current", "previous", "recorded", "rotated")

    def __init__(self, now: float) -> None:
        self.current = _create_histogram()
        self.previous = _create_histogram()
        self.rotated = now
        self.recorded = now
        self.cache: dict[float, tuple[float, float]] = {}
        self.baseline: deque[float] = deque(maxlen=BASELINE_WINDOWS)

    def rotate(self, now: float, window: float) -> None:
        if self.current.get_total_count() < MIN_SAMPLES:
            # rare calls keep their history until there are enough new samples
            self.rotated = now
            return
        self.baseline.append(
            self.current.get_value_at_percentile(50) / UNITS_PER_SECOND
        )
        self.previous, self.current = self.current, self.previous
        self.current.reset()
        self.rotated = now if now - self.rotated > 2 * window else self.rotated + window


class DurationTracker:
    """Percentiles of durations by kind of call.

    A percentile covers the present window and the one before it, so it follows a
    change within two windows but never depends on a handful of calls alone.

    :param window: length of a window in seconds.
    """

    def __init__(self, window: float = 10.0) -> None:
        self._window = window
        self._series: dict[Hashable, _Series] = {}

    def record(self, kind: Hashable, seconds: float, now: float) -> None:
        """Add one measured duration."""
        series = self._series.get(kind)
        if series is None:
            series = self._series[kind] = _Series(now)
        if now - series.rotated >= self._window:
            series.rotate(now, self._window)
        series.recorded = now
        series.current.record_value(_to_units(seconds))

    def estimate(
        self, kind: Hashable, percentile: float, now: float, prior: float
    ) -> float:
        """Return the percentile in seconds, ``prior`` if there are too few samples."""
        series = self._series.get(kind)
        if series is None:
            return prior
        cached = series.cache.get(percentile)
        if cached is not None and now - cached[0] < CACHE_TTL:
            return cached[1]
        value = _merge_percentile(series, percentile)
        if value is None:
            return prior
        if now - series.recorded > STALE_WINDOWS * self._window:
            # a service that was slow and gets no calls because of that would
            # otherwise count as slow forever
            value = min([value, *series.baseline])
        series.cache[percentile] = (now, value)
        return value

    def find_baseline(self, kind: Hashable, now: float, prior: float) -> float:
        """Return the median in seconds of the least loaded recent window."""
        series = self._series.get(kind)
        if series is None:
            return prior
        median = self.estimate(kind, 50, now, prior)
        return min(*series.baseline, median) if series.baseline else median

    def kinds(self) -> tuple[Hashable, ...]:
        """Return the kinds of calls of which a duration was ever recorded."""
        return tuple(self._series)


def create_first_token_kind(pipeline: str, stage: str) -> Hashable:
    """Return the kind under which the times to a stage's first token are kept."""
    return (pipeline, stage, "first-token")


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_SECONDS * UNITS_PER_SECOND, SIGNIFICANT_DIGITS)


def _to_units(seconds: float) -> int:
    return max(1, min(int(seconds * UNITS_PER_SECOND), MAX_SECONDS * UNITS_PER_SECOND))


def _merge_percentile(series: _Series, percentile: float) -> float | None:
    """Return the percentile over both windows, weighted by their counts."""
    new, old = series.current.get_total_count(), series.previous.get_total_count()
    if new + old < MIN_SAMPLES:
        return None
    total = 0.0
    for histogram, count in ((series.current, new), (series.previous, old)):
        if count:
            total += histogram.get_value_at_percentile(percentile) * count
    return total / (new + old) / UNITS_PER_SECOND
