"""Replication of crash and survival reports between instances."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
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
from greengagelatch.relay.part_crashes import SharedPart
from greengagelatch.relay.part_quarantine import SETTLE_SECONDS
from greengagelatch.relay.quarantine import (
    QUARANTINE_SECONDS,
    CrashReport,
    PartSurvivalReport,
    SurvivalReport,
)
from greengagelatch.store import ABSENT, WriteOutcome

from ..controllers import Controller
from .part_survivals import PartSurvivals
from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.crash_reports import Report
    from greengagelatch.relay.part_quarantine import PartHold, PartQuarantine
    from greengagelatch.relay.quarantine import Quarantine
    from greengagelatch.store.ranges import Changes, RangeStore, Scan

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("CrashReportReplicator",)

#: prefix of the report keys in the store
PREFIX = "greengagelatch/crashes/"
#: seconds for which a lease is reused for further reports. An entry may therefore
#: expire in the store up to this long before its report stops counting
LEASE_REUSE_SECONDS = 30.0
#: seconds between two attempts to write an entry that the store did not accept
WRITE_RETRY_SECONDS = 1.0
#: size in bytes above which reports are written in several entries: the store rejects
#: large values, and an entry that is rejected holds up the next ones
MAX_VALUE_BYTES = 256 * 1024
#: maximum number of entries that wait to be written, and that are kept for peers
MAX_UNWRITTEN = 64
MAX_ENTRIES = 2048
#: maximum number of entries in one answer to a peer
MAX_ANSWER_ENTRIES = 64
#: revision of entries that the store has not accepted yet
UNWRITTEN_REVISION = 0
#: maximum number of digests or targets in one log entry or in the state dump
MAX_LOGGED_ITEMS = 16


@dataclass(frozen=True, slots=True)
class _StoredEntry:
    """An entry of the store, kept for peers that ask for it."""

    revision: int
    value: bytes
    received_at: float


class CrashReportReplicator(Controller, StoreSubscriber):
    """Publishes this instance's reports and applies those of other instances.

    A request that crashes its target may be retried at an instance that has not seen
    the crash. Reports are written to the store, so that they outlive the instance;
    while the store does not accept them, they are sent directly to peers.
    """

    name = "crashes"
    prefix = PREFIX

    def __init__(
        self,
        *,
        instance_id: str,
        quarantine: Quarantine,
        part_quarantine: PartQuarantine,
        random_source: random.Random,
        store: RangeStore,
        peers: PeerNetwork,
        clock: Clock,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._instance_id = instance_id
        self._quarantine = quarantine
        self._part_quarantine = part_quarantine
        #: what this instance knows of harmless prompt parts
        self.part_survivals = PartSurvivals(
            quarantine=part_quarantine,
            publish=self._publish_part_survival,
            clock=clock,
            random_source=random_source,
        )
        self._store = store
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._decisions = decisions
        self._pending: list[Report] = []
        self._pending_survivals: list[Report] = []
        self._wake = asyncio.Event()
        #: keys and values of entries to be written
        self._unwritten: deque[tuple[str, bytes]] = deque(maxlen=MAX_UNWRITTEN)
        self._entry_count = 0
        #: keys of the unwritten entries that have been sent to peers
        self._sent_keys: set[str] = set()
        self._lease_id = ""
        self._lease_granted_at = float("-inf")
        self._entries: OrderedDict[str, _StoredEntry] = OrderedDict()
        #: store revision up to which all reports are known
        self._revision = 0
        self._quarantined_digests: set[str] = set()
        self._quarantined_parts: dict[SharedPart, PartHold] = {}
        #: the next decision on parts, and the time of the last one that is due
        self._part_update: asyncio.TimerHandle | None = None
        self._part_update_at = 0.0
        peers.handle(CrashReportsUpdate, self._receive_reports)

    @property
    def revision(self) -> int:
        """Store revision up to which all reports are known."""
        return self._revision

    def publish(self, report: CrashReport) -> None:
        """Apply a report of this instance and queue it for the other instances."""
        self._record((report,))
        self._pending.append(report)
        self._wake.set()
        self.part_survivals.answer(report, own=True)

    def _publish_part_survival(self, report: PartSurvivalReport) -> None:
        self._metrics.count("parts.cleared")
        self._pending_survivals.append(report)
        self._record((report,))
        self._wake.set()

    def publish_survival(self, digest: str) -> None:
        """Apply the answer to a request of this instance, and queue it for the others.

        An instance that does not send the request would hold it although another one
        has found it harmless.
        """
        self._metrics.count("requests.cleared")
        self._pending_survivals.append(SurvivalReport(digest))
        self._record(self._pending_survivals[-1:])
        self._wake.set()

    def _record(self, reports: Iterable[Report]) -> None:
        now = self._clock.now()
        suspected = set()
        for report in reports:
            if isinstance(report, SurvivalReport):
                self._quarantine.record_survival(report.digest, now)
                continue
            if isinstance(report, PartSurvivalReport):
                self._record_part_survival(report, now)
                continue
            self._quarantine.record_crash(report, now)
            self._part_quarantine.record_crash(report, now)
            suspected.update(report.digests)
            if any(report.parts):
                self._schedule_part_update()
        # a further crash may also clear another request of suspicion
        for digest in sorted(suspected | self._quarantined_digests):
            self._update_quarantined(
                digest, self._quarantine.find_hold_seconds(digest, now)
            )

    def _record_part_survival(self, report: PartSurvivalReport, now: float) -> None:
        for part_id, age in zip(report.part_ids, report.ages, strict=True):
            part = SharedPart(report.service, part_id)
            self._part_quarantine.record_survival((part,), now - age)
        self.part_survivals.record_published(report)
        released = {SharedPart(report.service, one) for one in report.part_ids}
        if not released.isdisjoint(self._quarantined_parts):
            self._update_quarantined_parts()

    def _schedule_part_update(self) -> None:
        """Decide on parts once other instances have told which are harmless."""
        loop = asyncio.get_running_loop()
        self._part_update_at = loop.time() + SETTLE_SECONDS
        if self._part_update is None:
            self._part_update = loop.call_at(self._part_update_at, self._update_parts)

    def _update_parts(self) -> None:
        loop = asyncio.get_running_loop()
        self._part_update = None
        self._update_quarantined_parts()
        if loop.time() < self._part_update_at:
            self._part_update = loop.call_at(self._part_update_at, self._update_parts)

    def _update_quarantined_parts(self) -> None:
        """Log which prompt parts have entered or left quarantine."""
        holds = self._part_quarantine.list_holds(self._clock.now())
        found = {hold.part: hold for hold in holds}
        for part in self._quarantined_parts.keys() - found.keys():
            self._decisions.log_state_change(
                "part-released",
                part=part.part_id,
                service=part.service,
            )
        for part in found.keys() - self._quarantined_parts.keys():
            self._metrics.count("parts.held")
            hold = found[part]
            self._decisions.log_state_change(
                "part-held",
                part=part.part_id,
                service=part.service,
                targets=[str(one) for one in hold.targets[:MAX_LOGGED_ITEMS]],
                trial_seconds=round(hold.trial_seconds),
            )
        self._quarantined_parts = found

    def _update_quarantined(self, digest: str, seconds: float | None) -> None:
        held = seconds is not None
        if held == (digest in self._quarantined_digests):
            return
        if not held:
            self._quarantined_digests.discard(digest)
            self._decisions.log_state_change("request-released", digest=digest)
            return
        self._quarantined_digests.add(digest)
        self._metrics.count("requests.held")
        ended = self._quarantine.list_crashed(digest)
        self._decisions.log_state_change(
            "request-held",
            digest=digest,
            seconds=round(seconds),
            targets=[str(one) for one in ended[:MAX_LOGGED_ITEMS]],
        )

    # publishing to other instances

    @Service.task
    async def _write_forever(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            self._wake.clear()
            # entries of their own: earlier releases reject entries with answers
            self._enqueue(self._pending)
            self._enqueue(self._pending_survivals)
            while self._unwritten:
                if await self._write(*self._unwritten[0]):
                    self._unwritten.popleft()
                    continue
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(WRITE_RETRY_SECONDS):
                        await self._wake.wait()
                break
            if self._unwritten:
                self._wake.set()

    def _enqueue(self, pending: list[Report]) -> None:
        """Encode pending reports as entries and queue them to be written."""
        while pending:
            self._entry_count += 1
            key = f"{PREFIX}{self._instance_id}/{self._entry_count}"
            count = min(MAX_REPORTS, len(pending))
            value = encode_reports(pending[:count])
            while len(value) > MAX_VALUE_BYTES and count > 1:
                count //= 2
                value = encode_reports(pending[:count])
            self._unwritten.append((key, value))
            del pending[:count]

    async def _write(self, key: str, value: bytes) -> bool:
        lease_id = await self._ensure_lease()
        if lease_id:
            written = await self._store.swap(key, value, ABSENT, lease_id=lease_id)
            if written.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
                # keys are unique to this process: a conflict means that an earlier
                # write was applied and its answer was lost
                return True
        self._lease_id = ""
        self._metrics.count("crashes.unwritten")
        self._send_to_peers()
        return False

    def _send_to_peers(self) -> None:
        """Send the entries that the store did not accept to the overlay neighbours."""
        unsent = [row for row in self._unwritten if row[0] not in self._sent_keys]
        if not unsent:
            return
        seen = CrashReportsUpdate(tuple(unsent))
        for peer in self._peers.neighbours():
            self._peers.send(peer, seen)
        self._sent_keys = {key for key, _ in self._unwritten}

    async def _ensure_lease(self) -> str:
        """Return the id of the lease for reports; empty if none could be granted."""
        now = self._clock.now()
        if self._lease_id and now - self._lease_granted_at < LEASE_REUSE_SECONDS:
            return self._lease_id
        granted = await self._store.grant_lease(QUARANTINE_SECONDS)
        self._lease_id = "" if isinstance(granted, Err) else granted.ok_value.lease_id
        self._lease_granted_at = now
        return self._lease_id

    # receiving from other instances

    def apply_scan(self, scan: Scan) -> None:
        # an answer clears a request of the crashes before it
        for entry in sorted(scan.entries, key=lambda one: one.revision):
            self._apply_entry(entry.key, entry.value, entry.revision)
        self._revision = max(self._revision, scan.revision)

    def apply_changes(self, changes: Changes) -> None:
        # removed entries have expired, and their reports expire here by themselves
        for entry in changes.written:
            self._apply_entry(entry.key, entry.value, entry.revision)
        self._revision = max(self._revision, changes.revision)

    def list_newer(self, revision: int) -> tuple[tuple[str, int, bytes], ...]:
        """Return the oldest entries after a revision, as key, revision and value.

        An instance that asks from revision 0 has started during an outage of the store:
        it also gets the entries that the store has not accepted yet.
        """
        rows = sorted(
            (stored.revision, key, stored.value)
            for key, stored in self._entries.items()
            if stored.revision > revision
        )
        newer = ((key, found, value) for found, key, value in rows)
        unwritten = () if revision else self._list_unwritten()
        return tuple(itertools.islice((*unwritten, *newer), MAX_ANSWER_ENTRIES))

    def _list_unwritten(self) -> list[tuple[str, int, bytes]]:
        """Return the entries of this instance and of peers that have no revision."""
        received = (
            (key, UNWRITTEN_REVISION, stored.value)
            for key, stored in self._entries.items()
            if stored.revision == UNWRITTEN_REVISION
        )
        own = ((key, UNWRITTEN_REVISION, value) for key, value in self._unwritten)
        return [*own, *received]

    def apply_updates(self, rows: Iterable[object]) -> None:
        """Apply store entries that a peer knows beyond :attr:`revision`."""
        for row in rows:
            match row:
                case (str(key), int(revision), bytes(value)):
                    self._apply_entry(key, value, revision)
                    self._revision = max(self._revision, revision)

    def _receive_reports(self, sender: str, message: CrashReportsUpdate) -> None:
        for row in message.rows:
            match row:
                case (str(key), bytes(value)):
                    self._apply_entry(key, value, UNWRITTEN_REVISION)

    def _apply_entry(self, key: str, value: bytes, revision: int) -> None:
        known = self._entries.get(key)
        if known is not None and known.revision >= revision:
            return
        received_at = self._clock.now() if known is None else known.received_at
        self._entries[key] = _StoredEntry(revision, value, received_at)
        self._evict_expired()
        if known is not None:
            return
        try:
            reports = decode_reports(value)
        except ValueError as error:
            self._metrics.count("crashes.unreadable")
            self._decisions.log_state_change(
                "crash-report-unreadable", key=key, reason=str(error)
            )
            return
        self._record(reports)
        for report in reports:
            if isinstance(report, CrashReport):
                self.part_survivals.answer(report, own=False)

    def _evict_expired(self) -> None:
        cutoff = self._clock.now() - QUARANTINE_SECONDS
        while self._entries:
            key, oldest = next(iter(self._entries.items()))
            if oldest.received_at >= cutoff and len(self._entries) <= MAX_ENTRIES:
                return
            del self._entries[key]

    def dump(self) -> dict[str, Any]:
        now = self._clock.now()
        holds = {
            one: self._quarantine.find_hold_seconds(one, now)
            for one in self._quarantined_digests
        }
        held = {one: round(left) for one, left in holds.items() if left is not None}
        return {
            "held": dict(sorted(held.items())[:MAX_LOGGED_ITEMS]),
            "held_count": len(held),
            "held_parts": [
                {"service": part.service, "part": part.part_id}
                for part in tuple(self._quarantined_parts)[:MAX_LOGGED_ITEMS]
            ],
            "values_known": len(self._entries),
            "values_unwritten": len(self._unwritten),
        }
