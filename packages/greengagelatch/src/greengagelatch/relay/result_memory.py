"""Accounting of the memory for results at one maker."""

from __future__ import annotations

__all__ = ("ResultMemory",)

#: share of the memory that is used: sizes of results are approximate
USED_SHARE = 0.97
#: seconds for which memory is taken to be occupied by others after a refusal
REFUSAL_SECONDS = 0.5


class ResultMemory:
    """Counts the bytes of results that a maker stores for this instance.

    A result occupies memory from the start of its call until it is released, or until
    its maker evicts it. The maker refuses the pieces of a call that exceed its memory,
    and the fixed cost of the call is wasted.
    """

    def __init__(self, size: int, retention_seconds: float) -> None:
        self._size = size * USED_SHARE
        self._retention_seconds = retention_seconds
        self._reserved = 0.0
        #: bytes taken to be occupied by others, and until when
        self._occupied_by_others = 0.0
        self._occupied_until = 0.0
        #: size and time of expiry of each result, the earliest expiry first
        self._results: dict[str, tuple[int, float]] = {}
        self._result_bytes = 0
        #: number of calls so far whose results can't be identified
        self._unidentified = 0

    def find_free(self, now: float) -> float:
        """Return the number of free bytes."""
        self._expire(now)
        occupied = self._occupied_by_others if now < self._occupied_until else 0.0
        return self._size - self._reserved - self._result_bytes - occupied

    def reserve(self, size: int) -> None:
        """Reserve memory for a call that starts."""
        self._reserved += size

    def commit(self, size: int, results: dict[str, int], now: float) -> None:
        """Replace the reservation of a call by the results that it made."""
        self._reserved = max(0.0, self._reserved - size)
        for handle, result_size in results.items():
            self._hold(handle, result_size, now + self._retention_seconds)

    def record_refusal(self, now: float) -> None:
        """Record that the maker refused a call for lack of memory.

        Its memory is occupied by results of a former owner, or of a concurrent owner
        that does not know of this one. Further calls that are refused would cost more
        than waiting until some of these results have expired.
        """
        self._occupied_by_others += max(0.0, self.find_free(now))
        self._occupied_until = now + REFUSAL_SECONDS

    def hold_unidentified(self, size: int, now: float) -> None:
        """Count results whose handles were lost in transit until they expire."""
        self._unidentified += 1
        name = f"unidentified {self._unidentified}"
        self._hold(name, size, now + self._retention_seconds)

    def release(self, handle: str) -> None:
        """Release the memory of a result."""
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
