"""One lease as one instance knows it: how to get, keep and leave it."""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ..store import ABSENT, StoreErrorKind, WriteOutcome
from .contention import LeaseIntent

if TYPE_CHECKING:
    from ..store import Entry, Lease, StoreError, WriteResult
    from .instants import Instant
    from .rules import LeaseRules

__all__ = ("LeaseState", "LeaseStep")


class LeaseStep(Enum):
    """The call to the store that is due or under way."""

    #: none
    IDLE = "rest"
    #: read the key: is it free?
    CHECK = "look"
    #: ask for a lease of the store
    GRANT = "grant"
    #: write the key, bound to that lease, if it is absent
    ACQUIRE = "acquire"
    #: read the key, as the answer to the write is lost
    VERIFY = "settle"
    #: renew the store's lease
    RENEW = "keep"
    #: end the store's lease, by which the key vanishes
    REVOKE = "revoke"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseState:
    """What an instance knows of the lease of one group, and what it does next.

    The lease is a key of the store that vanishes with a lease of the store. Whoever
    wrote it while it was absent is the holder; the revision of that write is the
    fencing number. It rises with every write to the store, so it is higher for each
    later holder. The number of the store's lease would not do: a lease granted early
    may win the key late, after a lease with a higher number had it.

    Whoever drives it calls :meth:`plan`; while :attr:`step` is not ``REST``, it calls
    :meth:`begin`, makes that call to the store and hands the answer to the method
    named after it. There is one call at a time.
    """

    instance_id: str
    rules: LeaseRules
    step: LeaseStep = LeaseStep.IDLE
    #: the store's lease; empty: none
    lease_id: str = ""
    #: seconds that lease lasts, by the store's word
    ttl: float = 0.0
    #: when the newest grant or renewal that was answered had been asked for
    asked: Instant | None = None
    #: fencing number; ``ABSENT`` while the lease is not held
    fence: int = ABSENT
    #: monotonic seconds at which the lease was known to be held
    acquired: float = 0.0
    #: when the call under way was begun
    sent: Instant | None = None
    #: monotonic seconds of the next call
    due: float = 0.0

    @property
    def value(self) -> bytes:
        """What the holder writes under the key; lease ids are never used twice."""
        fields = {"instance": self.instance_id, "lease": self.lease_id}
        return json.dumps(fields).encode()

    @property
    def held(self) -> bool:
        """Whether the lease was got and not lost since, as far as is known."""
        return self.fence != ABSENT and self.step is not LeaseStep.REVOKE

    def compute_remaining(self, now: Instant) -> float:
        """Return the seconds for which the lease is surely still held."""
        if not self.held or self.asked is None:
            return 0.0
        left = self.ttl - self.rules.margin - now.longest_since(self.asked)
        return max(0.0, left)

    def covers(self, now: Instant, seconds: float) -> bool:
        """Whether an action that takes up to ``seconds`` ends while this is held.

        It must be asked at the moment of acting: whatever was answered before may be
        long out of date, as a process can be paused between any two steps.
        """
        left = self.compute_remaining(now)
        return left > 0 and left >= seconds

    def has_outlasted_predecessor(self, now: Instant, longest: float) -> bool:
        """Whether what the former holder began is over.

        :param longest: seconds that an action may go on for after its holder's lease
            has lapsed
        """
        # counted from when the lease was known to be held: the former one had lapsed
        # by then, and not necessarily at any earlier moment
        return now.monotonic - self.acquired >= longest + self.rules.margin

    def plan(self, now: Instant, wish: LeaseIntent) -> LeaseState:
        """Choose the next call to the store."""
        if self.step is not LeaseStep.IDLE:
            return self
        if wish is LeaseIntent.RELEASE:
            return self.leave()
        if now.monotonic < self.due:
            return self
        if self.lease_id:
            return dataclasses.replace(self, step=LeaseStep.RENEW)
        return dataclasses.replace(self, step=LeaseStep.CHECK)

    def leave(self) -> LeaseState:
        """Give the lease up; from now on nothing is covered."""
        if not self.lease_id:
            return self
        return dataclasses.replace(self, step=LeaseStep.REVOKE)

    def begin(self, now: Instant) -> LeaseState:
        """Note that the call of this step is about to be made."""
        return dataclasses.replace(self, sent=now)

    def handle_check(
        self, answer: Result[Entry | None, StoreError], now: Instant, wish: LeaseIntent
    ) -> LeaseState:
        """Go on after the key was read."""
        if isinstance(answer, Ok) and answer.ok_value is None:
            return self._end_call(LeaseStep.GRANT)
        delay = (
            self.rules.interval
            if wish is LeaseIntent.HOLD
            else self.rules.standby_interval
        )
        return self._schedule(now, delay)

    def handle_grant(
        self, answer: Result[Lease, StoreError], now: Instant
    ) -> LeaseState:
        """Go on after a lease was asked for; one whose answer is lost lapses."""
        if isinstance(answer, Err):
            return self._schedule(now, self.rules.retry_delay)
        return dataclasses.replace(
            self._end_call(LeaseStep.ACQUIRE),
            lease_id=answer.ok_value.lease_id,
            ttl=min(answer.ok_value.ttl, self.rules.ttl),
            # not the time of the answer: it may have been on its way for long, and
            # the store counts from when it gave the lease
            asked=self.sent,
        )

    def handle_acquire(self, answer: WriteResult, now: Instant) -> LeaseState:
        """Go on after the key was written, or not."""
        if answer.outcome is WriteOutcome.APPLIED:
            return self._hold(answer.revision, now)
        if answer.outcome is WriteOutcome.UNKNOWN:
            return self._end_call(LeaseStep.VERIFY)
        return self._end_call(LeaseStep.REVOKE)

    def handle_verify(
        self, answer: Result[Entry | None, StoreError], now: Instant
    ) -> LeaseState:
        """Go on after the key was read to settle a lost answer.

        Unless the key shows this very lease it is not held. The write may still
        arrive, but the store's lease is revoked next, and a write bound to a lease
        that is gone is refused; should that call be lost as well, the key is free
        again once the lease lapses.
        """
        match answer:
            case Ok(entry) if entry is not None and entry.value == self.value:
                return self._hold(entry.revision, now)
        return self._end_call(LeaseStep.REVOKE)

    def handle_renew(
        self, answer: Result[Lease, StoreError], now: Instant
    ) -> LeaseState:
        """Go on after a renewal; one whose answer is lost counts as not made."""
        match answer:
            case Ok(lease):
                kept = dataclasses.replace(
                    self, asked=self.sent, ttl=min(lease.ttl, self.rules.ttl)
                )
                return kept._schedule(now, self.rules.interval)
            case Err(error) if error.kind is StoreErrorKind.LEASE_GONE:
                return self._reset(now, self.rules.retry_delay)
        return self._schedule(now, self.rules.retry_delay)

    def handle_revoke(self, now: Instant) -> LeaseState:
        """Go on after the lease was given up; without an answer it lapses."""
        return self._reset(now, self.rules.interval)

    def _hold(self, revision: int, now: Instant) -> LeaseState:
        held = dataclasses.replace(self, fence=revision, acquired=now.monotonic)
        return held._schedule(now, self.rules.interval)

    def _reset(self, now: Instant, delay: float) -> LeaseState:
        empty = LeaseState(instance_id=self.instance_id, rules=self.rules)
        return empty._schedule(now, delay)

    def _schedule(self, now: Instant, delay: float) -> LeaseState:
        rested = self._end_call(LeaseStep.IDLE)
        return dataclasses.replace(rested, due=now.monotonic + delay)

    def _end_call(self, step: LeaseStep) -> LeaseState:
        return dataclasses.replace(self, step=step, sent=None)
