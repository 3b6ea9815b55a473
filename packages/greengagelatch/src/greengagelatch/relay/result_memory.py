"""Room for results at one maker, as far as this instance fills it."""

from __future__ import annotations

__all__ = ("ResultMemory",)

#: share of the room that is used: sizes of results are approximate
USED_SHARE = 0.97
#: seconds for which a maker's room is taken to be filled by others
REFUSAL_SECONDS = 0.5


class ResultMemory:
    """Counts the bytes of results that a maker keeps for this instance.

    A result takes up room from the start of its call until it is freed, or until
    its maker drops it. A call beyond the room is refused piece by piece, and its
    fixed cost is lost.
    """

    def __init__(self, size: int, retention_seconds: float) -> None:
        self._size = size * USED_SHARE
        self._retention_seconds = retention_seconds
        self._reserved = 0.0
        #: bytes that others must hold, and until when that is believed
        self._occupied_by_others = 0.0
        self._occupied_until = 0.0
        #: bytes of each result and when it lapses, those that lapse first in front
        self._results: dict[str, tuple[int, float]] = {}
        self._result_bytes = 0

    def find_free(self, now: float) -> float:
        """Return the bytes that are free."""
        self._expire(now)
        occupied = self._occupied_by_others if now < self._occupied_until else 0.0
        return self._size - self._reserved - self._result_bytes - occupied

    def reserve(self, size: int) -> None:
        """Take room for a call that begins."""
        self._reserved += size

    def commit(self, size: int, results: dict[str, int], now: float) -> None:
        """Turn a call's reservation into the results that it made."""
        self._reserved = max(0.0, self._reserved - size)
        for handle, result_size in results.items():
            self._hold(handle, result_size, now + self._retention_seconds)

    def record_refusal(self, now: float) -> None:
        """Take in that there was no room: results of others fill it.

        They are those of an owner that is gone, or of one that does not know of this
        one. Going on with calls that are refused would cost more than waiting until
        some of these have lapsed.
        """
        self._occupied_by_others += max(0.0, self.find_free(now))
        self._occupied_until = now + REFUSAL_SECONDS

    def hold_unidentified(self, name: str, size: int, until: float) -> None:
        """Count results whose handles were lost on the way, until they lapse."""
        self._hold(name, size, until + self._retention_seconds)

    def release(self, handle: str) -> None:
        """Give back a result's room."""
        size, _ = self._results.pop(handle, (0, 0.0))
        self._result_bytes -= size

    def _hold(self, name: str, size: int, until: float) -> None:
        self.release(name)
        self._results[name] = (size, until)
        self._result_bytes += size

    def _expire(self, now: float) -> None:
        while self._results:
            handle, (_, until) = next(iter(self._results.items()))
            if until > now:
                return
            self.release(handle)
