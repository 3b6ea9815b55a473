"""In-memory test doubles: target directory, dispatcher and target client."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

from result import Ok, Result

from greengagelatch.errors import Refusal
from greengagelatch.load import Dispatcher, Grant, Outcome, Ticket
from greengagelatch.targets import (
    CallFailure,
    SilenceListener,
    StageAnswer,
    StageCall,
    Target,
    TargetClient,
    TokenListener,
)
from greengagelatch.targets.directory import Candidate, TargetDirectory

__all__ = ("CountingDispatcher", "FixedDirectory", "ScriptedClient")

#: produces the result of a call to a target
Script = Callable[
    [Target, StageCall, TokenListener | None],
    Awaitable[Result[StageAnswer, CallFailure]],
]


class FixedDirectory(TargetDirectory):
    """A directory with a fixed set of targets, which may be marked as leaving."""

    def __init__(self, targets: Iterable[Target]) -> None:
        self._targets = tuple(targets)
        self.leaving: set[str] = set()
        #: number of recorded calls by target and by whether it answered
        self.calls: Counter[tuple[str, bool]] = Counter()

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        found: list[Candidate] = []
        for target in self._targets:
            if target.service == service and target.target_id not in self.leaving:
                found.append(Candidate(target))
        return tuple(found)

    def accepts(self, target_id: str) -> bool:
        return target_id not in self.leaving

    def mark_leaving(self, target_id: str) -> None:
        self.leaving.add(target_id)

    def record_call(self, target_id: str, *, answered: bool) -> None:
        self.calls[target_id, answered] += 1


class CountingDispatcher(Dispatcher):
    """Wraps a dispatcher and records tickets and grants, to detect leaked grants.

    :param before_grant: called with the ticket before the result is returned
    """

    def __init__(
        self, inner: Dispatcher, before_grant: Callable[[Ticket], None] | None = None
    ) -> None:
        self._inner = inner
        self._before_grant = before_grant
        self.tickets: list[Ticket] = []
        #: number of releases by grant id
        self.releases: Counter[int] = Counter()
        self.outcomes: list[Outcome] = []
        self.granted: set[int] = set()

    async def acquire(self, ticket: Ticket) -> Result[Grant, Refusal]:
        self.tickets.append(ticket)
        result = await self._inner.acquire(ticket)
        if isinstance(result, Ok):
            self.granted.add(result.ok_value.grant_id)
        if self._before_grant is not None:
            self._before_grant(ticket)
        return result

    def count_targets(self, ticket: Ticket) -> int:
        return self._inner.count_targets(ticket)

    def count_retries(self) -> int:
        return self._inner.count_retries()

    def charge_retry(self) -> bool:
        return self._inner.charge_retry()

    def release(self, grant: Grant, outcome: Outcome) -> None:
        self.releases[grant.grant_id] += 1
        self.outcomes.append(outcome)
        self._inner.release(grant, outcome)

    def find_leaks(self) -> list[int]:
        """Return the ids of the grants that were not released exactly once."""
        return [number for number in self.granted if self.releases[number] != 1]


class ScriptedClient(TargetClient):
    """Records calls and answers them by ``script``."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.calls: list[tuple[Target, StageCall]] = []
        #: ids of the attempts whose cancellation was requested
        self.cancelled: list[str] = []

    async def call(
        self,
        target: Target,
        call: StageCall,
        on_token: TokenListener | None = None,
        may_leave: SilenceListener | None = None,
    ) -> Result[StageAnswer, CallFailure]:
        self.calls.append((target, call))
        return await self._script(target, call, on_token)

    async def cancel(self, target: Target, attempt_id: str) -> bool:
        self.cancelled.append(attempt_id)
        return True
