"""Admission of requests that are suspected of crashing targets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from hashlib import blake2b
from typing import TYPE_CHECKING

from greengagelatch.relay.quarantine import SUSPECT_CRASHES

from .crash_detector import SETTLE_SECONDS
from .refusals import (
    create_part_error,
    create_quarantine_error,
    create_trial_error,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from greengagelatch.clock import Clock
    from greengagelatch.relay.part_quarantine import PartHold, PartQuarantine
    from greengagelatch.relay.quarantine import Quarantine

    from .crash_detector import CrashDetector
    from .decisions import DecisionLog
    from .exchange import RelayExchange
    from .suspect_locks import SuspectLocks

__all__ = ("SuspectAdmission",)

#: seconds for which a send waits at most for another one of the same request
MAX_WAIT_SECONDS = 1.5
#: seconds between two attempts to acquire a lock
LOCK_RETRY_SECONDS = 0.25
#: seconds after which callers may retry a request whose other send was awaited in vain
AWAITED_RETRY_AFTER = 1.0


class SuspectAdmission:
    """Admits the sends of a suspected request one after the other.

    A request is suspected if targets crashed while they ran it. Most suspects are
    harmless, so they are sent again; but only once the outcome of the previous send is
    known, as a request that crashes its targets would crash one per attempt.

    Requests with a prompt part in quarantine are refused, but for one at a time over
    all instances that shows now and then whether the part still crashes its target.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        part_quarantine: PartQuarantine,
        locks: SuspectLocks,
        crash_detector: CrashDetector,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine
        self._locks = locks
        self._crash_detector = crash_detector
        self._clock = clock
        self._decisions = decisions

    async def check(self, exchange: RelayExchange) -> None:
        """Check that a request is not in quarantine.

        :raises RefusedError: if it is
        """
        await self._check_parts(exchange)
        if self._find_hold_seconds(exchange) is not None:
            await self._crash_detector.wait_settled(exchange.digest)
            self._check_hold(exchange)

    @asynccontextmanager
    async def admit(self, exchange: RelayExchange) -> AsyncIterator[None]:
        """Wait until a request may be sent, and track that send.

        :raises RefusedError: if the request is in quarantine, or if the outcome of
            another send is not known in time
        """
        digest = exchange.digest
        await self._check_parts(exchange)
        if not self._quarantine.count_crashed(digest):
            yield
            return
        await self._wait_for_turn(exchange)
        try:
            yield
        finally:
            # otherwise the report of a crash ends the trial
            if self._crash_detector.is_settled(digest):
                self._quarantine.end_trial(digest)

    def is_undecided(self, exchange: RelayExchange) -> bool:
        """Return whether a request must not be sent before its last send has ended."""
        return self._quarantine.count_crashed(exchange.digest) >= SUSPECT_CRASHES

    def release(self, exchange: RelayExchange) -> None:
        """Let other instances send the request once this one does not send it again."""
        lock, exchange.suspect_lock = exchange.suspect_lock, None
        if lock is not None:
            # the next instance must have the report of a crash
            settled = self._crash_detector.is_settled(exchange.digest)
            self._locks.release(lock, 0.0 if settled else SETTLE_SECONDS)
        lock, exchange.part_lock = exchange.part_lock, None
        if lock is not None:
            self._locks.release(lock, SETTLE_SECONDS)

    async def _check_parts(self, exchange: RelayExchange) -> None:
        """Check that no prompt part of a request is in quarantine.

        :raises RefusedError: if one is, and the request is not sent on trial
        """
        while True:
            now = self._clock.now()
            hold = self._part_quarantine.find_hold(exchange.shared_parts, now)
            if hold is None:
                return
            if not hold.settle_seconds:
                break
            await asyncio.sleep(hold.settle_seconds)
        is_on_trial = exchange.part_lock is not None and not exchange.targets
        if is_on_trial or await self._begin_trial(exchange, hold):
            return
        raise create_part_error(exchange, hold)

    async def _begin_trial(self, exchange: RelayExchange, hold: PartHold) -> bool:
        """Return whether a request is to show if a part still crashes its target."""
        if hold.trial_seconds or exchange.targets:
            return False
        name = f"parts/{hold.part.service}"
        lock = await self._locks.acquire(blake2b(name.encode()).hexdigest()[:24])
        if lock is None or not lock.lease_id:
            return False
        exchange.part_lock = lock
        return True

    async def _wait_for_turn(self, exchange: RelayExchange) -> None:
        digest, began_at = exchange.digest, self._clock.now()
        give_up_at = min(began_at + MAX_WAIT_SECONDS, exchange.deadline)
        while True:
            await self._crash_detector.wait_settled(digest)
            self._check_hold(exchange)
            now = self._clock.now()
            wait = self._quarantine.find_quarantine_seconds(digest, now)
            if wait is None:
                if await self._ensure_lock(exchange):
                    self._log(exchange, now - began_at)
                    return
                self._quarantine.end_trial(digest)
                wait = LOCK_RETRY_SECONDS
            if self._clock.now() + wait > give_up_at:
                raise create_trial_error(exchange, AWAITED_RETRY_AFTER)
            await asyncio.sleep(wait)

    async def _ensure_lock(self, exchange: RelayExchange) -> bool:
        """Return whether no other instance sends the request as far as is known."""
        if self._quarantine.count_crashed(exchange.digest) < SUSPECT_CRASHES:
            return True
        if exchange.suspect_lock is None:
            exchange.suspect_lock = await self._locks.acquire(exchange.digest)
        return exchange.suspect_lock is not None

    def _check_hold(self, exchange: RelayExchange) -> None:
        seconds = self._find_hold_seconds(exchange)
        if seconds is not None:
            raise create_quarantine_error(exchange, seconds)

    def _find_hold_seconds(self, exchange: RelayExchange) -> float | None:
        return self._quarantine.find_hold_seconds(exchange.digest, self._clock.now())

    def _log(self, exchange: RelayExchange, waited: float) -> None:
        lock = exchange.suspect_lock
        if lock is None:
            return
        self._decisions.log_decision(
            "suspect",
            request=exchange.request.request_id,
            digest=exchange.digest,
            crashes=self._quarantine.count_crashed(exchange.digest),
            locked=bool(lock.lease_id),
            waited_ms=round(waited * 1000),
        )
