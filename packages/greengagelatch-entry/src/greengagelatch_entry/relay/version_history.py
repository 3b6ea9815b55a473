"""Record in the store of the software versions that may begin streams."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from mode import Service

from greengagelatch.peers import MemberState
from greengagelatch.relay.record_holders import RecordHolders
from greengagelatch.relay.service_versions import ServiceVersions
from greengagelatch.relay.version_records import (
    VersionRecord,
    decode_record,
    describe_record,
    encode_record,
    update_record,
)
from greengagelatch.store import ABSENT, WriteOutcome
from greengagelatch.targets.subset import compute_weight

from ..controllers import Controller
from .shared_read import SharedRead
from .store_follower import StoreSubscriber

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from greengagelatch.clock import Clock
    from greengagelatch.peers import PeerNetwork
    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget, TargetTable
    from greengagelatch.store import Entry
    from greengagelatch.store.ranges import Changes, RangeStore, Scan

    from ..metrics import Metrics
    from .decisions import DecisionLog

__all__ = ("VersionHistory",)

KEY = "greengagelatch/versions"
#: seconds between two looks at the listed targets
CHECK_SECONDS = 0.25
#: seconds after its start in which an instance may not know the others. Its writes are
#: delayed at random, by no more than this many seconds, as are those for which a
#: request waits
YOUNG_SECONDS, MAX_RANDOM_DELAY = 5.0, 1.0
#: random delay in seconds of a write for which a request waits, for each instance
URGENT_SECONDS = 0.02
#: seconds for which each instance waits for the one that ranks before it to write
RANK_SECONDS = 0.5
MAX_RANK_DELAY = 10.0


class VersionHistory(Controller, StoreSubscriber):
    """Records in the store which versions may begin streams, before they do.

    An instance that has just started has seen one moment only. If all have, nobody
    else remembers a version whose targets have left, and a lone version would be taken
    for the one that began each stream.

    :param list_services: returns the services that answer by streams. Those that may
        not be resumed may be as of the next configuration
    :param list_instances: returns the addresses of the instances that are registered;
        ``None`` if that is not known
    :param find_confirmed_at: returns the monotonic time at which the listing of targets
        was last known to be current
    :param is_first_start: whether no instance has served before, so that a record that
        is missing has held nothing
    """

    name = "version_history"
    prefix = KEY

    def __init__(
        self,
        *,
        store: RangeStore,
        peers: PeerNetwork,
        target_table: TargetTable,
        list_services: Callable[[], Collection[str]],
        list_instances: Callable[[], Collection[str] | None],
        find_confirmed_at: Callable[[], float],
        is_first_start: bool,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        decisions: DecisionLog,
    ) -> None:
        super().__init__()
        self._store = store
        self._peers = peers
        self._target_table = target_table
        self._list_services = list_services
        self._list_instances = list_instances
        self._find_confirmed_at = find_confirmed_at
        self._is_first_start = is_first_start
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._decisions = decisions
        self._seen = ServiceVersions()
        self._holders = RecordHolders()
        #: ``None``: not read yet, or unreadable
        self._record: VersionRecord | None = None
        self._value = b""
        self._revision = ABSENT
        #: store revision up to which the record is known
        self._known_at = ABSENT
        self._started_at = clock.now()
        #: monotonic time from which this instance writes a record that is out of date
        self._due_at: float | None = None
        #: requests that wait for a version to be recorded
        self._waiting = 0
        #: set when one begins to wait
        self._requested = asyncio.Event()
        #: set, and replaced, when the record has changed
        self._changed = asyncio.Event()
        self._read = SharedRead(store=store, key=KEY, apply=self._adopt, clock=clock)

    @property
    def revision(self) -> int:
        """Store revision up to which the record is known."""
        return self._known_at

    @property
    def value(self) -> bytes:
        """The record as it is in the store; empty if there is none."""
        return self._value

    @property
    def written_at(self) -> int:
        """Store revision at which the record was written."""
        return self._revision

    @property
    def confirmed_at(self) -> float:
        """Monotonic time in seconds at which the state was last known to be current."""
        return self._find_confirmed_at()

    def list_unrecorded(self, service: str) -> frozenset[Incarnation]:
        """Return the targets at which no stream may begin yet.

        Nobody would know after a restart of all instances that their versions have
        begun any.
        """
        recorded = self._list_active(service)
        return frozenset(
            target.incarnation
            for target in self._target_table.list_service(service)
            if target.software_version not in recorded
        )

    async def wait_for_any(
        self, list_targets: Callable[[], Collection[ListedTarget]], seconds: float
    ) -> bool:
        """Wait until a stream may begin at one of some targets of a service.

        :return: whether it may
        """
        self._waiting += 1
        try:
            async with asyncio.timeout(seconds):
                while not self.is_any_recorded(list_targets()):
                    self._request_write()
                    await self._changed.wait()
        except TimeoutError:
            return self.is_any_recorded(list_targets())
        finally:
            self._waiting -= 1
        return True

    def is_any_recorded(self, targets: Collection[ListedTarget]) -> bool:
        """Return whether a stream may begin at one of some targets."""
        return any(
            one.software_version in self._list_active(one.service) for one in targets
        )

    def _list_active(self, service: str) -> frozenset[str]:
        if self._record is None:
            return frozenset()
        return self._record.list_active(service)

    def list_possible(self, service: str) -> frozenset[str] | None:
        """Return the versions that may have begun a stream of a service.

        :return: ``None`` if they are not known
        """
        now = self._clock.now()
        record = self._record or VersionRecord(complete=False)
        recorded = record.list_versions(service)
        is_complete = bool(recorded) and record.complete
        if not is_complete and not self._seen.is_certain(service, now):
            return None
        return recorded | self._seen.list_lately(service, now)

    async def confirm(self, seconds: float) -> bool:
        """Read the record again, which may have changed unnoticed.

        :param seconds: time to wait at the most
        :return: whether it is known as it was when this was called, or later
        """
        is_confirmed = await self._read.read(seconds)
        outcome = "confirmed" if is_confirmed else "unconfirmed"
        self._metrics.count(f"version_history.{outcome}")
        return is_confirmed

    def _adopt(self, entry: Entry | None) -> bool:
        """Take over the record as it was read; return whether it is known."""
        if entry is None:
            return not self._value
        if entry.revision > self._revision:
            self._apply(entry.value, entry.revision, "store")
            self._known_at = max(self._known_at, entry.revision)
        return True

    def apply_scan(self, scan: Scan) -> None:
        if scan.revision < self._known_at:
            # sent before this instance wrote
            return
        found = {entry.key: entry for entry in scan.entries}.get(KEY)
        if found is None:
            self._apply(b"", ABSENT, "store")
        else:
            self._apply(found.value, found.revision, "store")
        # of several pages, a later one may be newer than the scan's revision
        self._known_at = max(scan.revision, self._revision)

    def apply_changes(self, changes: Changes) -> None:
        for key, revision in changes.removed:
            if key == KEY and revision > self._revision:
                self._apply(b"", ABSENT, "store")
        for entry in changes.written:
            if entry.key == KEY and entry.revision > self._revision:
                self._apply(entry.value, entry.revision, "store")
        self._known_at = max(self._known_at, changes.revision)

    def apply_peer_record(self, value: bytes, revision: int, known_at: int) -> None:
        """Apply the record that a peer knows, if it is newer.

        :param revision: store revision at which it was written
        :param known_at: store revision up to which the peer knows it
        """
        if known_at <= self._known_at:
            return
        self._apply(value, revision, "peer")
        self._known_at = known_at

    def dump(self) -> dict[str, Any]:
        record = self._record or VersionRecord(complete=False)
        return {
            "known": self._record is not None,
            **describe_record(record),
            "instances": dict(record.instances),
            "unrecorded": {
                name: sorted(map(str, self.list_unrecorded(name)))
                for name in self._list_services()
            },
        }

    @Service.task
    async def _write_forever(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._find_pause()):
                    await self._requested.wait()
            self._requested.clear()
            await self._update()

    def _find_pause(self) -> float:
        """Return the seconds until the listed targets are looked at again."""
        if self._due_at is None:
            return CHECK_SECONDS
        return min(CHECK_SECONDS, max(0.0, self._due_at - self._clock.now()))

    def _request_write(self) -> None:
        """Write the record soon, as a request waits for it."""
        now = self._clock.now()
        due_at = now + self._find_delay(now)
        if self._due_at is None or self._due_at > due_at:
            self._due_at = due_at
            self._requested.set()

    async def _update(self) -> None:
        services, now = self._list_services(), self._clock.now()
        self._observe_all(services, now)
        if not self._known_at:
            # not read yet
            self._due_at = None
            return
        # one that can't be read may have held other versions
        record = self._record or VersionRecord(complete=False)
        wanted = self._create_wanted(record, services, now)
        if wanted == self._record:
            self._due_at = None
            return
        if self._due_at is None:
            self._due_at = now + self._find_delay(now)
        if now >= self._due_at:
            await self._write(wanted)

    def _create_wanted(
        self, record: VersionRecord, services: Collection[str], now: float
    ) -> VersionRecord:
        """Return the record as it should be, by what this instance knows."""
        present, instances, is_held = self._list_instances(), None, True
        if present is not None:
            instances = self._holders.update(record.instances, present, now)
            is_held = self._holders.is_any_missing(now)
        return update_record(record, services, self._seen, now, instances, is_held)

    def _observe_all(self, services: Collection[str], now: float) -> None:
        """Record the versions of all listed targets, also of those that leave."""
        versions: dict[str, set[str]] = {service: set() for service in services}
        for target in self._target_table.list_all():
            if target.service in versions:
                versions[target.service].add(target.software_version)
        confirmed_at = self._find_confirmed_at()
        for service, listed in versions.items():
            self._seen.observe(service, listed, confirmed_at, now)

    async def _write(self, record: VersionRecord) -> None:
        self._due_at = None
        value = encode_record(record)
        written = await self._store.swap(KEY, value, self._revision)
        self._metrics.count(f"version_history.{written.outcome.value}")
        if written.outcome is not WriteOutcome.APPLIED:
            # another instance has written it, or the store is away
            return
        if written.revision < self._known_at:
            # the watch has told of it, and maybe of a newer one
            return
        self._apply(value, written.revision, "own")
        self._known_at = written.revision

    def _find_delay(self, now: float) -> float:
        """Return for how many seconds this instance waits for others to write."""
        if now - self._started_at < YOUNG_SECONDS:
            return self._random.uniform(0.0, MAX_RANDOM_DELAY)
        alive = [
            one.instance_id
            for one in self._peers.members()
            if one.state is MemberState.ALIVE
        ]
        if self._waiting:
            most = min(MAX_RANDOM_DELAY, len(alive) * URGENT_SECONDS)
            return self._random.uniform(0.0, most)
        return min(MAX_RANK_DELAY, self._find_rank(alive) * RANK_SECONDS)

    def _find_rank(self, alive: list[str]) -> int:
        """Return how many instances are to write before this one."""
        own = compute_weight(self._peers.instance_id, KEY)
        return sum(compute_weight(one, KEY) < own for one in alive)

    def _apply(self, value: bytes, revision: int, origin: str) -> None:
        """Take over a record, and tell those that wait for it.

        :param origin: ``store``, ``peer``, or ``own`` if this instance wrote it
        """
        self._revision = revision
        if self._known_at and value == self._value:
            return
        self._value = value
        self._due_at = None
        former, self._record = self._record, self._decode(value, revision, origin)
        self._add_reported(former or VersionRecord(), self._record or VersionRecord())
        self._changed.set()
        self._changed = asyncio.Event()

    def _add_reported(self, former: VersionRecord, record: VersionRecord) -> None:
        """Keep versions that others have added for as long as their streams last."""
        now = self._clock.now()
        for service in {*former.services, *record.services}:
            added = record.list_active(service) - former.list_active(service)
            self._seen.add_reported(service, added, now)
            self._seen.set_retired(service, record.list_retired(service), now)

    def _decode(self, value: bytes, revision: int, origin: str) -> VersionRecord | None:
        if not value:
            # a release that keeps no record may have served until now
            return VersionRecord(complete=self._is_first_start)
        try:
            record = decode_record(value)
        except ValueError as error:
            self._decisions.log_state_change(
                "version-record-unreadable", revision=revision, reason=str(error)
            )
            return None
        self._decisions.log_state_change(
            "version-record",
            revision=revision,
            origin=origin,
            **describe_record(record),
        )
        return record
