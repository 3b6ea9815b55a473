"""Admission of requests that are suspected of crashing targets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from greengagelatch.relay.quarantine import SUSPECT_CRASHES

from .crash_detector import SETTLE_SECONDS
from .refusals import create_quarantine_error, create_trial_error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from greengagelatch.clock import Clock
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
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        locks: SuspectLocks,
        crash_detector: CrashDetector,
        clock: Clock,
        decisions: DecisionLog,
    ) -> None:
        self._quarantine = quarantine
        self._locks = locks
        self._crash_detector = crash_detector
        self._clock = clock
        self._decisions = decisions

    async def check(self, exchange: RelayExchange) -> None:
        """Check that a request is not in quarantine.

        :raises RefusedError: if it is
        """
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
