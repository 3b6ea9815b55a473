"""Local state of a maker: calls in progress, free result memory and speed.

A maker is a target that executes pieces of pipeline stages.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagelatch.relay.batches import MakerView
from greengagelatch.relay.result_memory import ResultMemory
from greengagelatch.relay.send_limits import Obstacle, SendLimits

if TYPE_CHECKING:
    from greengagelatch.relay.deployment import MakerProfile
    from greengagelatch.relay.load_reports import LoadReport
    from greengagelatch.relay.rate_limits import NamedRate
    from greengagelatch.relay.targets import ListedTarget

__all__ = ("Maker",)

#: weight of one call in the moving average of a maker's slowness
EWMA_WEIGHT = 0.5
#: seconds in which the measured slowness decays half-way towards normal
SLOWNESS_HALF_LIFE = 2.0
#: timeout of a call: this multiple of the expected time, plus a margin in seconds
CALL_TIMEOUT_FACTOR = 2.0
CALL_MARGIN = 0.35
#: seconds after a lost answer for which a maker counts as unreliable
RECENT_FAILURE_SECONDS = 5.0
#: upper bound of the measured slowness, as a multiple of the expected time
MAX_SLOWNESS = 10.0
#: seconds for which a call waits for a permit before it is asked for again
PERMIT_PATIENCE = 1.0
#: seconds after which a maker that can't be sent a call now may take one
CHECK_SECONDS = 0.02
#: seconds for which a maker that failed gets no calls: initial and maximum backoff
INITIAL_BACKOFF = 0.25
MAX_BACKOFF = 3.0


@dataclass(slots=True)
class Maker:
    """One maker as seen by this instance; times are monotonic seconds."""

    target: ListedTarget
    profile: MakerProfile
    result_memory: ResultMemory
    calls: int = 0
    #: expected end of the call in progress
    busy_until: float = 0.0
    backoff_until: float = 0.0
    limits: SendLimits = field(default_factory=SendLimits)
    _backoff: float = INITIAL_BACKOFF
    _slowness: float = 1.0
    _measured_at: float = 0.0
    _failed_at: float = float("-inf")

    def is_idle(self, now: float) -> bool:
        """Return whether the maker can start a call at once."""
        if self.calls >= self.profile.slots or self.backoff_until > now:
            return False
        obstacles = self.limits.list_obstacles(self.target, self.calls, now)
        if obstacles == (Obstacle.RATE,):
            incarnation = self.target.incarnation
            self.limits.permits.want((incarnation,), now, patience=PERMIT_PATIENCE)
        return not obstacles

    def is_resting(self, now: float) -> bool:
        """Return whether the maker wants no calls of this instance now."""
        return self.limits.rests.find_seconds(self.target.incarnation, now) > 0

    def view(self, now: float) -> MakerView:
        """Return the snapshot of the maker that the batch policy uses."""
        free_at = max(self.backoff_until, 0.0)
        if self.calls >= self.profile.slots:
            # a call that overruns its expected time may end at any moment
            free_at = max(free_at, self.busy_until, now + CHECK_SECONDS)
        elif wait := self._find_wait(now):
            free_at = max(free_at, now + wait)
        return MakerView(
            incarnation=self.target.incarnation,
            data_centre=self.target.data_centre,
            free_at=free_at,
            free_bytes=self.result_memory.find_free(now),
            slowness=self.find_slowness(now),
        )

    def _find_wait(self, now: float) -> float:
        """Return the seconds until its limits may allow a call, as far as known."""
        incarnation = self.target.incarnation
        rest = self.limits.rests.find_seconds(incarnation, now)
        if rest:
            return rest
        obstacles = self.limits.list_obstacles(self.target, self.calls, now)
        if not obstacles:
            return 0.0
        if obstacles == (Obstacle.RATE,):
            return 1.0 / self.limits.permits.limits.find_rate(incarnation, now)
        return CHECK_SECONDS

    def find_slowness(self, now: float) -> float:
        """Return the ratio of actual to expected call time, decayed with its age."""
        decay = 0.5 ** ((now - self._measured_at) / SLOWNESS_HALF_LIFE)
        return 1.0 + (self._slowness - 1.0) * decay

    def start_call(self, items: int, now: float) -> float:
        """Record a call that starts; return its timeout in seconds."""
        expected = self.profile.estimate_seconds(items) * self.find_slowness(now)
        self.calls += 1
        self.limits.record_send(self.target.incarnation, now)
        self.busy_until = now + expected
        return expected * CALL_TIMEOUT_FACTOR + CALL_MARGIN

    def record_limit(
        self,
        limit: int | None,
        load: LoadReport | None,
        now: float,
        *,
        rejected: bool,
    ) -> None:
        """Record what an answer tells of the limit on the maker's rejections."""
        self.limits.brittle.record_response(
            self.target,
            limit=limit,
            rejected=rejected,
            load=load,
            in_flight=self.calls - 1,
            now=now,
        )

    def record_rate(self, named: NamedRate, now: float) -> None:
        """Record what an answer says of the rate of calls that the maker takes."""
        self.limits.permits.limits.record_answer(self.target.incarnation, named, now)

    def record_completion(
        self, items: int, started: float, now: float, *, made: bool = True
    ) -> None:
        """Record a call that was answered.

        :param made: whether the maker made any of its pieces
        """
        self.calls -= 1
        self._backoff = INITIAL_BACKOFF
        ratio = (now - started) / self.profile.estimate_seconds(items)
        if not made and ratio < self.find_slowness(now):
            # pieces that fail take no time: a maker at which they fail would seem
            # fast and attract more calls
            return
        self._update_slowness(ratio, now)

    def record_timeout(self, items: int, started: float, now: float) -> None:
        """Record a call that timed out, which also raises the slowness."""
        self.calls -= 1
        self._failed_at = now
        self._update_slowness(
            (now - started) / self.profile.estimate_seconds(items), now
        )
        self._measured_at = now
        self._slowness = max(self._slowness, 3.0)
        self.back_off(now)

    def failed_recently(self, now: float) -> bool:
        """Return whether a call failed within :data:`RECENT_FAILURE_SECONDS`."""
        return now - self._failed_at < RECENT_FAILURE_SECONDS

    def record_failure(self, now: float) -> None:
        """Record a call that broke off or did not reach the maker."""
        self.calls -= 1
        self._failed_at = now
        self.back_off(now)

    def record_rejection(self, now: float) -> None:
        """Record a call that the maker rejected, as it is busy with others' calls."""
        self.calls -= 1
        self.result_memory.record_refusal(now)
        self.back_off(now)

    def back_off(self, now: float) -> None:
        """Send the maker no calls for a while, doubled with each failure in a row."""
        self.backoff_until = now + self._backoff
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)

    def _update_slowness(self, ratio: float, now: float) -> None:
        current = self.find_slowness(now)
        ratio = min(MAX_SLOWNESS, max(0.5, ratio))
        self._slowness = current + (ratio - current) * EWMA_WEIGHT
        self._measured_at = now
