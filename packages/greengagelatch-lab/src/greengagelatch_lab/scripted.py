"""Targets in memory: a fixed directory, and a client whose answers are scripted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

from result import Ok, Result

from greengagelatch.errors import Refusal
from greengagelatch.load import Dispatcher, Grant, Outcome, Ticket
from greengagelatch.targets import (
    CallFailure,
    StageAnswer,
    StageCall,
    Target,
    TargetClient,
    TokenListener,
)
from greengagelatch.targets.directory import Candidate, TargetDirectory

__all__ = ("CountingDispatcher", "FixedDirectory", "ScriptedClient")

#: what a scripted target does with a call
Script = Callable[
    [Target, StageCall, TokenListener | None],
    Awaitable[Result[StageAnswer, CallFailure]],
]


class FixedDirectory(TargetDirectory):
    """The same targets all the time, except for those that leave."""

    def __init__(self, targets: Iterable[Target]) -> None:
        self._targets = tuple(targets)
        self.leaving: set[str] = set()
        #: answers and failures to connect that were noted
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
    """Passes everything on and keeps grants, so that a leak can be seen.

    :param before_grant: called before each grant is handed over
    """

    def __init__(
        self, inner: Dispatcher, before_grant: Callable[[Ticket], None] | None = None
    ) -> None:
        self._inner = inner
        self._before_grant = before_grant
        self.tickets: list[Ticket] = []
        #: how often each grant was released
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

    def release(self, grant: Grant, outcome: Outcome) -> None:
        self.releases[grant.grant_id] += 1
        self.outcomes.append(outcome)
        self._inner.release(grant, outcome)

    def find_leaks(self) -> list[int]:
        """Return the grants that were not released exactly once."""
        return [number for number in self.granted if self.releases[number] != 1]


class ScriptedClient(TargetClient):
    """Answers calls as ``script`` says and remembers them."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.calls: list[tuple[Target, StageCall]] = []
        #: ids of attempts whose cancellation was asked for
        self.cancelled: list[str] = []

    async def call(
        self, target: Target, call: StageCall, on_token: TokenListener | None = None
    ) -> Result[StageAnswer, CallFailure]:
        self.calls.append((target, call))
        return await self._script(target, call, on_token)

    async def cancel(self, target: Target, attempt_id: str) -> bool:
        self.cancelled.append(attempt_id)
        return True
