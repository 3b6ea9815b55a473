"""State machine of one lease at one instance: acquire, renew and release."""

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
    """The call to the store that is due or in flight."""

    #: no call
    IDLE = "rest"
    #: read the key to check whether it is free
    CHECK = "look"
    #: request a lease from the store
    GRANT = "grant"
    #: write the key, bound to the store's lease, if it is absent
    ACQUIRE = "acquire"
    #: read the key, as the outcome of the write is unknown
    VERIFY = "settle"
    #: renew the store's lease
    RENEW = "keep"
    #: revoke the store's lease, which deletes the key
    REVOKE = "revoke"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseState:
    """State of the lease of one group at one instance; immutable.

    A group's lease is a key in the store that is bound to a lease of the store and is
    deleted with it. The instance that writes the key while it is absent is the holder,
    and the revision of that write is its fencing token. Revisions rise with every
    write to the store, so each later holder has a higher token. The number of the
    store's lease cannot serve as the token: a lease granted early may acquire the key
    late, after a lease with a higher number has held it.

    The caller invokes :meth:`plan`. While :attr:`step` is not ``IDLE``, it invokes
    :meth:`begin`, makes the call of that step to the store and passes the answer to the
    ``handle_`` method of the step. Only one call is in flight at a time.
    """

    instance_id: str
    rules: LeaseRules
    step: LeaseStep = LeaseStep.IDLE
    #: id of the store's lease; empty if there is none
    lease_id: str = ""
    #: seconds that the store's lease lasts, as returned by the store
    ttl: float = 0.0
    #: when the latest successful grant or renewal was requested
    requested: Instant | None = None
    #: fencing token; ``ABSENT`` while the lease is not held
    fence: int = ABSENT
    #: monotonic seconds at which this instance learned that it holds the lease
    acquired: float = 0.0
    #: when the call in flight was started
    sent: Instant | None = None
    #: monotonic seconds of the next call
    due: float = 0.0

    @property
    def value(self) -> bytes:
        """Value of the key; unique to this lease, as lease ids are never reused."""
        fields = {"instance": self.instance_id, "lease": self.lease_id}
        return json.dumps(fields).encode()

    @property
    def held(self) -> bool:
        """Whether the lease was acquired and is not known to be lost."""
        return self.fence != ABSENT and self.step is not LeaseStep.REVOKE

    def compute_remaining(self, now: Instant) -> float:
        """Return the seconds for which the lease is guaranteed to be held."""
        if not self.held or self.requested is None:
            return 0.0
        remaining = self.ttl - self.rules.margin - now.longest_since(self.requested)
        return max(0.0, remaining)

    def covers(self, now: Instant, seconds: float) -> bool:
        """Whether an action of up to ``seconds`` ends before the lease expires.

        Check this immediately before the action. An earlier result may be out of date,
        as the process can be paused between any two steps.
        """
        remaining = self.compute_remaining(now)
        return remaining > 0 and remaining >= seconds

    def has_outlasted_predecessor(self, now: Instant, longest: float) -> bool:
        """Whether all actions of the previous holder have ended.

        :param longest: seconds for which an action may continue after its holder's
            lease has expired.
        """
        # counted from when this instance knew that it held the lease: the previous
        # lease had certainly expired by then, but not necessarily any earlier
        return now.monotonic - self.acquired >= longest + self.rules.margin

    def plan(self, now: Instant, intent: LeaseIntent) -> LeaseState:
        """Return the state with the next call to the store selected, if one is due."""
        if self.step is not LeaseStep.IDLE:
            return self
        if intent is LeaseIntent.RELEASE:
            return self.leave()
        if now.monotonic < self.due:
            return self
        if self.lease_id:
            return dataclasses.replace(self, step=LeaseStep.RENEW)
        return dataclasses.replace(self, step=LeaseStep.CHECK)

    def leave(self) -> LeaseState:
        """Begin to release the lease, which is no longer held from now on."""
        if not self.lease_id:
            return self
        return dataclasses.replace(self, step=LeaseStep.REVOKE)

    def begin(self, now: Instant) -> LeaseState:
        """Record that the call of this step is about to be sent."""
        return dataclasses.replace(self, sent=now)

    def handle_check(
        self,
        answer: Result[Entry | None, StoreError],
        now: Instant,
        intent: LeaseIntent,
    ) -> LeaseState:
        """Request a grant if the key is free, else check again later."""
        if isinstance(answer, Ok) and answer.ok_value is None:
            return self._end_call(LeaseStep.GRANT)
        delay = (
            self.rules.interval
            if intent is LeaseIntent.HOLD
            else self.rules.standby_interval
        )
        return self._schedule(now, delay)

    def handle_grant(
        self, answer: Result[Lease, StoreError], now: Instant
    ) -> LeaseState:
        """Go on to write the key if the store granted a lease.

        A lease whose grant was not received is left to expire.
        """
        if isinstance(answer, Err):
            return self._schedule(now, self.rules.retry_delay)
        return dataclasses.replace(
            self._end_call(LeaseStep.ACQUIRE),
            lease_id=answer.ok_value.lease_id,
            ttl=min(answer.ok_value.ttl, self.rules.ttl),
            # not the time of the answer, which may have been delayed: the store counts
            # from when it granted the lease
            requested=self.sent,
        )

    def handle_acquire(self, answer: WriteResult, now: Instant) -> LeaseState:
        """Process the outcome of the write of the key."""
        if answer.outcome is WriteOutcome.APPLIED:
            return self._hold(answer.revision, now)
        if answer.outcome is WriteOutcome.UNKNOWN:
            return self._end_call(LeaseStep.VERIFY)
        return self._end_call(LeaseStep.REVOKE)

    def handle_verify(
        self, answer: Result[Entry | None, StoreError], now: Instant
    ) -> LeaseState:
        """Process the read that verifies a write of unknown outcome.

        The lease is held only if the key contains the id of this lease. Otherwise the
        write may still arrive, but the store's lease is revoked next, and the store
        refuses a write bound to a revoked lease. If the revocation is lost too, the key
        is deleted when the lease expires.
        """
        match answer:
            case Ok(entry) if entry is not None and entry.value == self.value:
                return self._hold(entry.revision, now)
        return self._end_call(LeaseStep.REVOKE)

    def handle_renew(
        self, answer: Result[Lease, StoreError], now: Instant
    ) -> LeaseState:
        """Process a renewal; one without an answer does not extend the lease."""
        match answer:
            case Ok(lease):
                renewed = dataclasses.replace(
                    self, requested=self.sent, ttl=min(lease.ttl, self.rules.ttl)
                )
                return renewed._schedule(now, self.rules.interval)
            case Err(error) if error.kind is StoreErrorKind.LEASE_GONE:
                return self._reset(now, self.rules.retry_delay)
        return self._schedule(now, self.rules.retry_delay)

    def handle_revoke(self, now: Instant) -> LeaseState:
        """Reset the state; if the revocation was lost, the lease expires by itself."""
        return self._reset(now, self.rules.interval)

    def _hold(self, revision: int, now: Instant) -> LeaseState:
        held = dataclasses.replace(self, fence=revision, acquired=now.monotonic)
        return held._schedule(now, self.rules.interval)

    def _reset(self, now: Instant, delay: float) -> LeaseState:
        empty = LeaseState(instance_id=self.instance_id, rules=self.rules)
        return empty._schedule(now, delay)

    def _schedule(self, now: Instant, delay: float) -> LeaseState:
        idle = self._end_call(LeaseStep.IDLE)
        return dataclasses.replace(idle, due=now.monotonic + delay)

    def _end_call(self, step: LeaseStep) -> LeaseState:
        return dataclasses.replace(self, step=step, sent=None)
