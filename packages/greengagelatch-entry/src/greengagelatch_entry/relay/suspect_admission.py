"""Admission of requests that are suspected of crashing targets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from .refusals import create_quarantine_error, create_trial_error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from greengagelatch.clock import Clock
    from greengagelatch.relay.quarantine import Quarantine

    from .crash_detector import CrashDetector
    from .exchange import RelayExchange

__all__ = ("SuspectAdmission",)

#: seconds for which a send waits at most for another one of the same request
MAX_WAIT_SECONDS = 1.5


class SuspectAdmission:
    """Admits the sends of a suspected request one after the other.

    A request is suspected if targets crashed while they ran it. Most suspects are
    harmless, so they are sent again; but only once the outcome of the previous send is
    known, as a request that crashes its targets would crash one per attempt.
    """

    def __init__(
        self, *, quarantine: Quarantine, crash_detector: CrashDetector, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._clock = clock

    def check(self, exchange: RelayExchange) -> None:
        """Check that a request is not in quarantine.

        :raises RefusedError: if it is
        """
        seconds = self._quarantine.find_hold_seconds(exchange.digest, self._clock.now())
        if seconds is not None:
            raise create_quarantine_error(exchange, seconds)

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
            # the report of a crash ends the trial as well
            if not self._crash_detector.is_checking(digest):
                self._quarantine.end_trial(digest)

    async def _wait_for_turn(self, exchange: RelayExchange) -> None:
        digest = exchange.digest
        give_up_at = min(self._clock.now() + MAX_WAIT_SECONDS, exchange.deadline)
        while True:
            await self._crash_detector.wait_checked(digest)
            self.check(exchange)
            now = self._clock.now()
            seconds = self._quarantine.find_quarantine_seconds(digest, now)
            if seconds is None:
                return
            if now + seconds > give_up_at:
                raise create_trial_error(exchange, seconds)
            await asyncio.sleep(seconds)
