"""Round-robin dispatcher without limits, a baseline for comparisons."""

from __future__ import annotations

from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ..errors import Refusal, RefusalCode
from . import Dispatcher, Grant, Outcome, Ticket

if TYPE_CHECKING:
    from ..clock import Clock
    from ..targets import Target
    from ..targets.directory import TargetDirectory

__all__ = ("RoundRobinDispatcher",)

#: milliseconds after which a caller should retry if a service has no target
NO_TARGET_RETRY_MS = 1000
#: retries that are always left, as no budget bounds them
UNLIMITED_RETRIES = 1


class RoundRobinDispatcher(Dispatcher):
    """Assigns the targets of a service round-robin and never queues a call."""

    def __init__(self, *, directory: TargetDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._turns: Counter[str] = Counter()
        self._ids = count(1)

    async def acquire(self, ticket: Ticket) -> Result[Grant, Refusal]:
        candidates = self._list_targets(ticket)
        if not candidates:
            return Err(
                Refusal(
                    code=RefusalCode.NO_TARGET,
                    message="the service has no target that accepts calls",
                    field="service",
                    value=ticket.service,
                    retry_after_ms=NO_TARGET_RETRY_MS,
                )
            )
        turn = self._turns[ticket.service]
        self._turns[ticket.service] = turn + 1
        target = candidates[turn % len(candidates)]
        return Ok(Grant(next(self._ids), ticket, target, self._clock.now()))

    def count_targets(self, ticket: Ticket) -> int:
        return len(self._list_targets(ticket))

    def count_retries(self) -> int:
        return UNLIMITED_RETRIES

    def charge_retry(self) -> bool:
        return True

    def release(self, grant: Grant, outcome: Outcome) -> None:
        """Do nothing: without limits there is nothing to release."""

    def _list_targets(self, ticket: Ticket) -> list[Target]:
        return [
            candidate.target
            for candidate in self._directory.candidates(ticket.service)
            if candidate.target.target_id not in ticket.excluded
        ]
