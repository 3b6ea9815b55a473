"""Detection of targets that crash while they process requests."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from greengagelatch.relay.crash_reports import MAX_DIGESTS
from greengagelatch.relay.quarantine import SUSPECT_CRASHES, CrashReport

from ..controllers import Controller

if TYPE_CHECKING:
    from greengagelatch.clock import Clock
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from ..metrics import Metrics
    from .crash_evidence import CrashEvidence
    from .crash_report_replicator import CrashReportReplicator
    from .decisions import DecisionLog

__all__ = ("SETTLE_SECONDS", "CrashDetector")

#: seconds for which the requests of one crash are collected: all connections of a
#: target that crashes break at nearly the same time
COLLECT_SECONDS = 0.05
#: seconds within which a target that ended is removed from the listing, or listed with
#: a new start time: its entry expires after three missed heartbeats
CONFIRM_SECONDS = 5.0
#: seconds within which most crashes are confirmed, as the target's port is closed
CHECK_SECONDS = 0.3
#: seconds from the first report on a crash until those of all instances have arrived
SETTLE_SECONDS = 0.5
#: maximum number of targets checked at the same time
MAX_SUSPICIONS = 256
#: maximum number of digests or targets in one log entry or in the state dump
MAX_LOGGED_ITEMS = 16


@dataclass(slots=True)
class _Suspicion:
    """The requests whose connections to one target broke."""

    #: monotonic time in seconds at which the first connection broke
    began_at: float
    #: ids of the shared prompt parts by digest
    digests: dict[str, tuple[str, ...]] = field(default_factory=dict)
    #: set once the listing shows that the target has ended
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    #: set once the target has been checked and a crash has been reported
    done: asyncio.Event = field(default_factory=asyncio.Event)


class CrashDetector(Controller):
    """Detects targets that crashed with requests of this instance in progress.

    A broken connection alone does not prove a crash: answers get lost and connections
    are reset by targets that are still running. It counts as a crash if the evidence
    shows that the process has ended, or if the listing shows it within
    :data:`CONFIRM_SECONDS`.
    """

    name = "crash-watch"

    def __init__(
        self,
        *,
        replicator: CrashReportReplicator,
        quarantine: Quarantine,
        target_table: TargetTable,
        evidence: CrashEvidence,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._replicator = replicator
        self._quarantine = quarantine
        self._target_table = target_table
        self._evidence = evidence
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._suspicions: dict[Incarnation, _Suspicion] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_disconnect(
        self, target: ListedTarget, digest: str, part_ids: tuple[str, ...] = ()
    ) -> None:
        """Record a connection that broke before its request was answered.

        :param part_ids: prompt parts that the request shares with others
        """
        incarnation = target.incarnation
        if self._quarantine.is_cleared(digest, self._clock.now()):
            return
        suspicion = self._suspicions.get(incarnation)
        if suspicion is None:
            # a draining target stops as planned, with any requests still on it
            draining = not self._target_table.is_available(incarnation)
            if draining or len(self._suspicions) >= MAX_SUSPICIONS:
                return
            suspicion = self._suspicions[incarnation] = _Suspicion(self._clock.now())
            task = asyncio.create_task(self._check(target, suspicion))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(suspicion.digests) < MAX_DIGESTS:
            suspicion.digests[digest] = part_ids

    def record_answer(self, target: ListedTarget, digest: str) -> None:
        """Record that a target has answered a request."""
        if self._quarantine.count_crashed(digest) >= SUSPECT_CRASHES:
            self._replicator.publish_survival(digest)
        else:
            self._quarantine.record_survival(digest, self._clock.now())
        suspicion = self._suspicions.get(target.incarnation)
        if suspicion is not None:
            suspicion.digests.pop(digest, None)

    def is_settled(self, digest: str) -> bool:
        """Return whether no further report on crashes of a request is expected.

        The report of one instance names only its own requests, so that a harmless one
        may seem to be the only request on the target until the others have reported.
        """
        return not self._list_checks(digest) and self._find_report_seconds(digest) <= 0

    async def wait_settled(self, digest: str) -> None:
        """Wait until all reports on crashes of a request have arrived.

        A request that has not crashed a target before does not wait for the check of
        one, which is mostly harmless.
        """
        if not self._quarantine.count_crashed(digest):
            return
        checks = [one.done.wait() for one in self._list_checks(digest)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_SECONDS):
                await asyncio.gather(*checks)
        await asyncio.sleep(max(0.0, self._find_report_seconds(digest)))

    def _list_checks(self, digest: str) -> list[_Suspicion]:
        """Return the targets that broke off just now while they ran a request."""
        since = self._clock.now() - CHECK_SECONDS
        return [
            one
            for one in self._suspicions.values()
            if digest in one.digests and one.began_at > since
        ]

    def _find_report_seconds(self, digest: str) -> float:
        """Return the seconds until other instances have reported the latest crash."""
        if self._quarantine.count_crashed(digest) < SUSPECT_CRASHES:
            return 0.0
        reported_at = self._quarantine.find_last_crash(digest)
        return reported_at + SETTLE_SECONDS - self._clock.now()

    def record_removal(self, incarnation: Incarnation) -> None:
        """Record that a target was removed from the listing, or started to drain."""
        suspicion = self._suspicions.get(incarnation)
        listed = self._target_table.find_listed(incarnation.target_id)
        is_draining = listed is not None and listed.incarnation == incarnation
        if suspicion is not None and not is_draining:
            suspicion.ended.set()

    async def _check(self, target: ListedTarget, suspicion: _Suspicion) -> None:
        try:
            origin = await self._find_evidence(target, suspicion)
            if not origin:
                self._metrics.count("targets.broke_and_live")
            elif suspicion.digests:
                self._report(target, suspicion, origin)
        finally:
            del self._suspicions[target.incarnation]
            suspicion.done.set()

    async def _find_evidence(
        self, target: ListedTarget, suspicion: _Suspicion
    ) -> str | None:
        """Return what shows that a target has crashed; ``None`` if nothing does."""
        origin = "refused"
        if not await self._evidence.has_ended(target):
            origin = "listing"
            try:
                async with asyncio.timeout(CONFIRM_SECONDS):
                    await suspicion.ended.wait()
            except TimeoutError:
                return None
        await asyncio.sleep(COLLECT_SECONDS)
        return origin

    def _report(self, target: ListedTarget, suspicion: _Suspicion, origin: str) -> None:
        report = CrashReport(
            target.incarnation,
            target.service,
            tuple(suspicion.digests),
            tuple(suspicion.digests.values()),
        )
        self._metrics.count("targets.ended_under_requests")
        self._decisions.log_state_change(
            "target-ended",
            target=str(target.incarnation),
            service=target.service,
            address=target.address,
            origin=origin,
            digests=report.digests[:MAX_LOGGED_ITEMS],
        )
        self._replicator.publish(report)

    async def on_stop(self) -> None:
        """Cancel the checks that are not finished yet."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def dump(self) -> dict[str, Any]:
        return {
            "suspected": [
                str(one) for one in tuple(self._suspicions)[:MAX_LOGGED_ITEMS]
            ]
        }
