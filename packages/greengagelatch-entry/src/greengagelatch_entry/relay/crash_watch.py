"""Targets that end with requests on them, told from answers that got lost."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from greengagelatch.relay.crash_reports import MAX_DIGESTS
from greengagelatch.relay.quarantine import CrashReport

from ..controllers import Controller

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..metrics import Metrics
    from .crashes import CrashBoard
    from .decisions import DecisionLog
    from .links import TargetLinks

__all__ = ("CrashWatch",)

#: seconds for which requests are gathered that were on the same target: their
#: connections break in the same moment
GATHER_SECONDS = 0.05
#: seconds in which a target that ended has gone from the listing, or is listed with
#: another start: its entry lapses after three of its heartbeats
CONFIRM_SECONDS = 5.0
#: targets that are looked after at the same time
MAX_SUSPICIONS = 256
#: digests and targets that a line of the log or the state shows
MAX_SHOWN = 16


@dataclass(slots=True)
class _Suspicion:
    """A target whose connections broke, and the requests that were on it."""

    digests: dict[str, None] = field(default_factory=dict)
    #: set once the listing tells that it has ended
    gone: asyncio.Event = field(default_factory=asyncio.Event)


class CrashWatch(Controller):
    """Finds targets that ended with requests of this instance on them.

    A connection that breaks does not show a crash: answers get lost, and connections
    are reset, at targets that live. It is one if nobody listens at the address any
    more, or the listing tells soon that the target has ended.
    """

    name = "crash-watch"

    def __init__(
        self,
        *,
        board: CrashBoard,
        quarantine: Quarantine,
        book: TargetTable,
        links: TargetLinks,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._board = board
        self._quarantine = quarantine
        self._book = book
        self._links = links
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._suspicions: dict[Incarnation, _Suspicion] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note_broken(self, target: ListedTarget, digest: str) -> None:
        """Take in that a connection broke before its request was answered."""
        incarnation = target.incarnation
        if self._quarantine.is_cleared(digest, self._clock.now()):
            return
        suspicion = self._suspicions.get(incarnation)
        if suspicion is None:
            # one that leaves ends as planned, with whatever is left on it
            leaving = not self._book.is_available(incarnation)
            if leaving or len(self._suspicions) >= MAX_SUSPICIONS:
                return
            suspicion = self._suspicions[incarnation] = _Suspicion()
            task = asyncio.create_task(self._confirm(target, suspicion))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(suspicion.digests) < MAX_DIGESTS:
            suspicion.digests[digest] = None

    def note_survived(self, target: ListedTarget, digest: str) -> None:
        """Take in that a target has answered a request."""
        self._quarantine.record_survival(digest, self._clock.now())
        suspicion = self._suspicions.get(target.incarnation)
        if suspicion is not None:
            suspicion.digests.pop(digest, None)

    def note_gone(self, incarnation: Incarnation) -> None:
        """Take in that the listing tells of a target's end, or that it leaves."""
        suspicion = self._suspicions.get(incarnation)
        listed = self._book.find_listed(incarnation.target_id)
        leaves = listed is not None and listed.incarnation == incarnation
        if suspicion is not None and not leaves:
            suspicion.gone.set()

    async def _confirm(self, target: ListedTarget, suspicion: _Suspicion) -> None:
        incarnation = target.incarnation
        try:
            origin = "refused"
            if not await self._links.is_closed(target.address):
                origin = "listing"
                async with asyncio.timeout(CONFIRM_SECONDS):
                    await suspicion.gone.wait()
            await asyncio.sleep(GATHER_SECONDS)
        except TimeoutError:
            self._metrics.count("targets.broke_and_live")
            return
        finally:
            del self._suspicions[incarnation]
        report = CrashReport(incarnation, target.service, tuple(suspicion.digests))
        if not report.digests:
            return
        self._metrics.count("targets.ended_under_requests")
        self._decisions.note_belief(
            "target-ended",
            target=str(incarnation),
            service=target.service,
            address=target.address,
            origin=origin,
            digests=report.digests[:MAX_SHOWN],
        )
        self._board.publish(report)

    async def on_stop(self) -> None:
        """Give up what is not confirmed yet."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        return {
            "suspected": [str(one) for one in tuple(self._suspicions)[:MAX_SHOWN]],
        }
