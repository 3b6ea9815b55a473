"""The makers of one service: calls in progress, room, and speed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.batches import MakerView
from greengagelatch.relay.result_memory import ResultMemory

if TYPE_CHECKING:
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.targets import ListedTarget

__all__ = ("Maker",)

#: weight of one call in a maker's slowness
WEIGHT = 0.5
#: seconds in which half of what is known of a maker's slowness is forgotten
HALF_LIFE = 2.0
#: time allowed for a call, as a multiple of the expected one, and in seconds
CALL_FACTOR = 2.0
CALL_EXTRA = 0.35
#: seconds for which a maker whose answer was lost may lose others
LOSS_LIFE = 5.0
#: slowness that is believed at the most
MAX_SLOWNESS = 10.0
#: seconds for which a maker that failed gets no call: first, and at the most
FIRST_PAUSE = 0.25
LONGEST_PAUSE = 3.0


@dataclass(slots=True)
class Maker:
    """One maker as this instance sees it; times are monotonic seconds."""

    target: ListedTarget
    profile: MakerProfile
    room: ResultMemory
    calls: int = 0
    #: expected end of the call in progress
    busy_until: float = 0.0
    paused_until: float = 0.0
    _pause: float = FIRST_PAUSE
    _slowness: float = 1.0
    _measured: float = 0.0
    _lost: float = float("-inf")

    def is_idle(self, now: float) -> bool:
        """Whether it can begin a call at once."""
        return self.calls < self.profile.slots and self.paused_until <= now

    def view(self, now: float) -> MakerView:
        """Return the maker as decisions see it."""
        free_at = max(self.paused_until, 0.0)
        if self.calls >= self.profile.slots:
            # a call that overruns may end at any moment
            free_at = max(free_at, self.busy_until, now + 0.02)
        return MakerView(
            incarnation=self.target.incarnation,
            data_centre=self.target.data_centre,
            free_at=free_at,
            free_bytes=self.room.find_free(now),
            slowness=self.find_slowness(now),
        )

    def find_slowness(self, now: float) -> float:
        """Return how much longer than expected its calls take."""
        faded = 0.5 ** ((now - self._measured) / HALF_LIFE)
        return 1.0 + (self._slowness - 1.0) * faded

    def begin(self, items: int, now: float) -> float:
        """Count a call that begins; return the seconds it is allowed."""
        expected = self.profile.estimate_seconds(items) * self.find_slowness(now)
        self.calls += 1
        self.busy_until = now + expected
        return expected * CALL_FACTOR + CALL_EXTRA

    def note_end(
        self, items: int, started: float, now: float, *, made: bool = True
    ) -> None:
        """Take in a call that was answered.

        :param made: whether the maker made any of its pieces
        """
        self.calls -= 1
        self._pause = FIRST_PAUSE
        ratio = (now - started) / self.profile.estimate_seconds(items)
        if not made and ratio < self.find_slowness(now):
            # nothing was to be made: a maker at which pieces fail would seem fast,
            # and be given more of them
            return
        self._note_ratio(ratio, now)

    def note_timeout(self, items: int, started: float, now: float) -> None:
        """Take in a call that was given up: it is slower than it was allowed."""
        self.calls -= 1
        self._lost = now
        self._note_ratio((now - started) / self.profile.estimate_seconds(items), now)
        self._measured = now
        self._slowness = max(self._slowness, 3.0)
        self.pause(now)

    def lost_lately(self, now: float) -> bool:
        """Whether answers of this maker were lost in the last few seconds."""
        return now - self._lost < LOSS_LIFE

    def note_failure(self, now: float) -> None:
        """Take in a call that broke off or did not reach it."""
        self.calls -= 1
        self._lost = now
        self.pause(now)

    def note_rejection(self, now: float) -> None:
        """Take in that it is busy with the calls of others."""
        self.calls -= 1
        self.room.record_refusal(now)
        self.pause(now)

    def pause(self, now: float) -> None:
        """Give it nothing for a while, longer each time in a row."""
        self.paused_until = now + self._pause
        self._pause = min(LONGEST_PAUSE, self._pause * 2)

    def _note_ratio(self, ratio: float, now: float) -> None:
        current = self.find_slowness(now)
        ratio = min(MAX_SLOWNESS, max(0.5, ratio))
        self._slowness = current + (ratio - current) * WEIGHT
        self._measured = now
