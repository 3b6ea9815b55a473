"""Room for results at one maker, as far as this instance fills it."""

from __future__ import annotations

__all__ = ("ResultMemory",)

#: share of the room that is used: sizes of results are approximate
USED_SHARE = 0.97
#: seconds for which a maker's room is taken to be filled by others
FOREIGN_SECONDS = 0.5


class ResultMemory:
    """Counts the bytes of results that a maker keeps for this instance.

    A result takes up room from the start of its call until it is freed, or until
    its maker drops it. A call beyond the room is refused piece by piece, and its
    fixed cost is lost.
    """

    def __init__(self, size: int, keep_seconds: float) -> None:
        self._size = size * USED_SHARE
        self._keep_seconds = keep_seconds
        self._reserved = 0.0
        #: bytes that others must hold, and until when that is believed
        self._foreign = 0.0
        self._foreign_until = 0.0
        #: bytes of each result and when it lapses, those that lapse first in front
        self._held: dict[str, tuple[int, float]] = {}
        self._held_bytes = 0

    def find_free(self, now: float) -> float:
        """Return the bytes that are free."""
        self._drop_lapsed(now)
        foreign = self._foreign if now < self._foreign_until else 0.0
        return self._size - self._reserved - self._held_bytes - foreign

    def reserve(self, size: int) -> None:
        """Take room for a call that begins."""
        self._reserved += size

    def commit(self, size: int, results: dict[str, int], now: float) -> None:
        """Turn a call's reservation into the results that it made."""
        self._reserved = max(0.0, self._reserved - size)
        for handle, result_size in results.items():
            self._hold(handle, result_size, now + self._keep_seconds)

    def record_refusal(self, now: float) -> None:
        """Take in that there was no room: results of others fill it.

        They are those of an owner that is gone, or of one that does not know of this
        one. Going on with calls that are refused would cost more than waiting until
        some of these have lapsed.
        """
        self._foreign += max(0.0, self.find_free(now))
        self._foreign_until = now + FOREIGN_SECONDS

    def hold_unidentified(self, name: str, size: int, until: float) -> None:
        """Count results whose handles were lost on the way, until they lapse."""
        self._hold(name, size, until + self._keep_seconds)

    def release(self, handle: str) -> None:
        """Give back a result's room."""
        size, _ = self._held.pop(handle, (0, 0.0))
        self._held_bytes -= size

    def _hold(self, name: str, size: int, until: float) -> None:
        self.release(name)
        self._held[name] = (size, until)
        self._held_bytes += size

    def _drop_lapsed(self, now: float) -> None:
        while self._held:
            handle, (_, until) = next(iter(self._held.items()))
            if until > now:
                return
            self.release(handle)
