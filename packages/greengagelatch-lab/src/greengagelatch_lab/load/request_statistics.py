"""Outcome counts and latency histograms of a set of requests."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from .observations import RequestOutcome

if TYPE_CHECKING:
    from .observations import Observation

__all__ = ("RequestStatistics", "summarize")

#: range of the histograms in microseconds, and their significant digits
MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000

PERCENTILES = (50, 95, 99)


class RequestStatistics:
    """Outcome and latency statistics of a set of requests.

    Attainment is the share of requests that got a result within their deadline, out
    of all requests due, including those that could not be sent.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.in_time = 0
        self.outcomes: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.replayed = 0
        self._latency = _create_histogram()
        self._first_token = _create_histogram()
        self._token_gap = _create_histogram()

    def add(self, observation: Observation) -> None:
        """Add one request to the statistics."""
        self.requests += 1
        self.in_time += observation.in_time
        self.outcomes[observation.outcome.value] += 1
        self.replayed += observation.replayed
        if observation.outcome is RequestOutcome.REFUSAL:
            self.refusals[f"{observation.code} ({observation.verdict})"] += 1
        if observation.outcome is not RequestOutcome.RESULT:
            return
        _record(self._latency, observation.latency_seconds)
        times = observation.token_latencies
        if not times:
            return
        _record(self._first_token, times[0])
        for earlier, later in pairwise(times):
            _record(self._token_gap, later - earlier)

    @property
    def attainment(self) -> float:
        """Share of requests with a result in time; 1 if there were no requests."""
        return self.in_time / self.requests if self.requests else 1.0

    def encode(self) -> dict[str, Any]:
        """Return the counts, and the latency percentiles in milliseconds."""
        return {
            "made": self.requests,
            "in_time": self.in_time,
            "attainment": round(self.attainment, 4),
            "endings": dict(self.outcomes),
            "refusals": dict(self.refusals),
            "replayed": self.replayed,
            "latency_ms": summarize(self._latency),
            "first_token_ms": summarize(self._first_token),
            "token_gap_ms": summarize(self._token_gap),
        }


def summarize(histogram: HdrHistogram) -> dict[str, float]:
    """Return the percentiles and the maximum in milliseconds; empty if no value."""
    count = histogram.get_total_count()
    if not count:
        return {}
    values = {
        f"p{percentile}": round(histogram.get_value_at_percentile(percentile) / 1000, 1)
        for percentile in PERCENTILES
    }
    values["max"] = round(histogram.get_max_value() / 1000, 1)
    return values


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    value = round(seconds * MICROSECONDS_PER_SECOND)
    histogram.record_value(min(max(value, MIN_MICROSECONDS), MAX_MICROSECONDS))
