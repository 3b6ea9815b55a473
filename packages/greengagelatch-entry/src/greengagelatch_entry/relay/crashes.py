"""What instances tell each other of targets that ended under requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from mode import Service
from result import Err

from greengagelatch.relay.crash_reports import (
    MAX_REPORTS,
    decode_reports,
    encode_reports,
)
from greengagelatch.relay.messages import CrashReportsUpdate
from greengagelatch.relay.quarantine import QUARANTINE_SECONDS, CrashReport
from greengagelatch.store import ABSENT, WriteOutcome

from ..controllers import Controller
from .following import StoreSubscriber

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.store.ranges import Changes, RangeStore, Scan

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("CrashBoard",)

#: prefix of the keys of reports in the store
PREFIX = "greengagelatch/crashes/"
#: seconds for which one lease serves for further reports. Entries lapse by themselves
#: this much before they count no more
LEASE_REUSE = 30.0
#: seconds between two tries to write what the store did not take
WRITE_PAUSE = 1.0
#: values that wait to be written, and that are kept for peers
MAX_UNWRITTEN = 64
MAX_KEPT = 2048
#: values of one answer to a peer
MAX_TOLD = 64
#: digests that a line of the log or the state shows
MAX_SHOWN = 16


@dataclass(frozen=True, slots=True)
class _Kept:
    """A value of the store, for peers that ask."""

    revision: int
    value: bytes
    heard: float


class CrashBoard(Controller, StoreSubscriber):
    """Tells all instances of targets that ended, and hears of those of others.

    A request that crashes what runs it comes again at any instance, which then knows
    nothing of it. What each has seen stands in the store, so that it outlasts the
    instance; peers are told directly while the store does not take it.
    """

    name = "crashes"
    prefix = PREFIX

    def __init__(
        self,
        *,
        instance_id: str,
        quarantine: Quarantine,
        store: RangeStore,
        peers: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._quarantine = quarantine
        self._store = store
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._found: list[CrashReport] = []
        self._wake = asyncio.Event()
        #: values to be written, by their keys
        self._unwritten: deque[tuple[str, bytes]] = deque(maxlen=MAX_UNWRITTEN)
        self._written = 0
        #: keys of those that peers have been told
        self._told: set[str] = set()
        self._lease_id = ""
        self._lease_granted = float("-inf")
        self._kept: OrderedDict[str, _Kept] = OrderedDict()
        #: revision up to which all reports in the store are known
        self._revision = 0
        self._held: set[str] = set()
        peers.handle(CrashReportsUpdate, self._take_seen)

    @property
    def revision(self) -> int:
        """Revision of the store up to which all reports are known."""
        return self._revision

    def publish(self, report: CrashReport) -> None:
        """Take in what this instance found, and tell the others."""
        self._note((report,))
        self._found.append(report)
        self._wake.set()

    def _note(self, reports: Iterable[CrashReport]) -> None:
        now = self._clock.now()
        for report in reports:
            self._quarantine.record_crash(report, now)
        # an end may also show that another request was not to blame
        suspected = {digest for report in reports for digest in report.digests}
        for digest in sorted(suspected | self._held):
            self._note_hold(
                digest, self._quarantine.find_quarantine_seconds(digest, now)
            )

    def _note_hold(self, digest: str, seconds: float | None) -> None:
        held = seconds is not None
        if held == (digest in self._held):
            return
        if not held:
            self._held.discard(digest)
            self._decisions.note_belief("request-released", digest=digest)
            return
        self._held.add(digest)
        self._metrics.count("requests.held")
        ended = self._quarantine.list_crashed(digest)
        self._decisions.note_belief(
            "request-held",
            digest=digest,
            seconds=round(seconds),
            targets=[str(one) for one in ended[:MAX_SHOWN]],
        )

    # what is told to other instances

    @Service.task
    async def _write_forever(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            while self._found:
                self._enqueue()
            while self._unwritten:
                if await self._write(*self._unwritten[0]):
                    self._unwritten.popleft()
                    continue
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(WRITE_PAUSE):
                        await self._wake.wait()
                break
            if self._unwritten:
                self._wake.set()

    def _enqueue(self) -> None:
        """Put what was found in line, as one value."""
        found = tuple(self._found[:MAX_REPORTS])
        del self._found[:MAX_REPORTS]
        self._written += 1
        key = f"{PREFIX}{self._instance_id}/{self._written}"
        self._unwritten.append((key, encode_reports(found)))

    async def _write(self, key: str, value: bytes) -> bool:
        lease_id = await self._find_lease()
        if lease_id:
            written = await self._store.swap(key, value, ABSENT, lease_id=lease_id)
            if written.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
                # a conflict is this process's own write, whose answer was lost
                return True
        self._lease_id = ""
        self._metrics.count("crashes.unwritten")
        self._tell_peers()
        return False

    def _tell_peers(self) -> None:
        """Tell the peers beside this instance what the store does not take."""
        untold = [row for row in self._unwritten if row[0] not in self._told]
        if not untold:
            return
        seen = CrashReportsUpdate(tuple(untold))
        for peer in self._peers.neighbours():
            self._peers.send(peer, seen)
        self._told = {key for key, _ in self._unwritten}

    async def _find_lease(self) -> str:
        """Return the lease that reports are kept under; empty if there is none."""
        now = self._clock.now()
        if self._lease_id and now - self._lease_granted < LEASE_REUSE:
            return self._lease_id
        granted = await self._store.grant_lease(QUARANTINE_SECONDS)
        self._lease_id = "" if isinstance(granted, Err) else granted.ok_value.lease_id
        self._lease_granted = now
        return self._lease_id

    # what is heard of other instances

    def take_scan(self, scan: Scan) -> None:
        for entry in scan.entries:
            self._take(entry.key, entry.value, entry.revision)
        self._revision = max(self._revision, scan.revision)

    def take_changes(self, changes: Changes) -> None:
        # what is removed has lapsed, here as well
        for entry in changes.written:
            self._take(entry.key, entry.value, entry.revision)
        self._revision = max(self._revision, changes.revision)

    def list_newer(self, revision: int) -> tuple[tuple[str, int, bytes], ...]:
        """Return the oldest values after a revision: key, revision and value."""
        rows = sorted(
            (kept.revision, key, kept.value)
            for key, kept in self._kept.items()
            if kept.revision > revision
        )
        return tuple((key, found, value) for found, key, value in rows[:MAX_TOLD])

    def take_news(self, rows: Iterable[object]) -> None:
        """Take in what a peer knows of the store beyond :attr:`revision`."""
        for row in rows:
            match row:
                case (str(key), int(revision), bytes(value)):
                    self._take(key, value, revision)
                    self._revision = max(self._revision, revision)

    def _take_seen(self, sender: str, message: CrashReportsUpdate) -> None:
        for row in message.rows:
            match row:
                case (str(key), bytes(value)):
                    self._take(key, value, 0)

    def _take(self, key: str, value: bytes, revision: int) -> None:
        known = self._kept.get(key)
        if known is not None and known.revision >= revision:
            return
        heard = self._clock.now() if known is None else known.heard
        self._kept[key] = _Kept(revision, value, heard)
        self._drop_old()
        if known is not None:
            return
        try:
            reports = decode_reports(value)
        except ValueError as error:
            self._metrics.count("crashes.unreadable")
            self._decisions.note_belief(
                "crash-report-unreadable", key=key, reason=str(error)
            )
            return
        self._note(reports)

    def _drop_old(self) -> None:
        horizon = self._clock.now() - QUARANTINE_SECONDS
        while self._kept:
            key, oldest = next(iter(self._kept.items()))
            if oldest.heard >= horizon and len(self._kept) <= MAX_KEPT:
                return
            del self._kept[key]

    def dump(self) -> dict[str, Any]:
        now = self._clock.now()
        holds = {
            one: self._quarantine.find_quarantine_seconds(one, now)
            for one in self._held
        }
        held = {one: round(left) for one, left in holds.items() if left is not None}
        return {
            "held": dict(sorted(held.items())[:MAX_SHOWN]),
            "held_count": len(held),
            "values_known": len(self._kept),
            "values_unwritten": len(self._unwritten),
        }
