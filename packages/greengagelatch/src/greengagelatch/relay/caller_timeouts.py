"""Timeouts of callers: which of them show that a caller has waited already."""

from __future__ import annotations

from collections import deque
from statistics import median

__all__ = ("CallerTimeouts",)

#: requests whose timeouts are remembered
MAX_REQUESTS = 64
#: requests without which callers are taken to wait for the whole timeout of a route
MIN_REQUESTS = 4
#: largest share of a route's timeout by which callers are taken to differ: one that
#: waits for less has most likely waited before, or objectives would not count for it
MAX_SPREAD_SHARE = 0.25


class CallerTimeouts:
    """Learns by how much the timeouts of callers differ without a wait before.

    A caller that returns after a refusal waits only for what is left of its timeout.
    But callers may choose timeouts shorter than that of the route. Taken for a wait,
    such a difference can exceed the latency objective, so that work which is on time
    would yield to work that is less urgent.

    Returning callers are few most of the time, so that the median shortfall is that of
    first attempts. If these are spread evenly up to some share, it is twice the median.
    """

    def __init__(self) -> None:
        #: shortfalls of recent requests as shares of their routes' timeouts
        self._shortfalls: deque[float] = deque(maxlen=MAX_REQUESTS)

    def record(self, timeout: float, route_timeout: float) -> None:
        """Record the timeout of a request.

        :param timeout: seconds for which the caller waits
        :param route_timeout: longest time that callers of its route wait, in seconds
        """
        if route_timeout <= 0:
            return
        self._shortfalls.append(max(0.0, 1.0 - timeout / route_timeout))

    def find_spread(self) -> float:
        """Return the share of a route's timeout by which callers differ."""
        if len(self._shortfalls) < MIN_REQUESTS:
            return 0.0
        return min(MAX_SPREAD_SHARE, 2.0 * median(self._shortfalls))
