"""Times after which refused callers are told to return."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("RetryWindow", "find_retry_window")

#: shortest time to retry after, in seconds
MIN_RETRY_AFTER = 0.3
#: longest one in seconds
MAX_RETRY_AFTER = 3.0
#: share of the time left for which callers wait as they are told, with a margin: they
#: return earlier if they are told to wait longer
HONOURED_SHARE = 0.3
#: seconds left to a caller, beyond the time of its stages and its target, once it has
#: returned
RETURN_MARGIN_SECONDS = 0.1
#: share of the drain time by which returns are spread
SPREAD_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """Earliest and latest time to retry after, in seconds."""

    earliest: float
    latest: float

    def draw(self, share: float) -> float:
        """Return a time in the window.

        Callers that are refused in the same moment would otherwise meet again.

        :param share: random number from 0 to 1
        """
        return self.earliest + share * (self.latest - self.earliest)


def find_retry_window(
    *, drain_seconds: float, service_time: float, remaining: float
) -> RetryWindow | None:
    """Return when a refused caller may be served; ``None``: not before its deadline.

    :param drain_seconds: until what waits before it has been served
    :param service_time: time of its stages, and of its target until the answer begins
    :param remaining: seconds until its deadline
    """
    needed = service_time + RETURN_MARGIN_SECONDS
    bound = min(MAX_RETRY_AFTER, remaining * HONOURED_SHARE, remaining - needed)
    if bound < MIN_RETRY_AFTER or drain_seconds + needed > remaining:
        return None
    earliest = min(bound, max(MIN_RETRY_AFTER, drain_seconds))
    latest = min(bound, earliest * (1.0 + SPREAD_SHARE))
    return RetryWindow(earliest, latest)
