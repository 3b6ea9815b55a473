"""Table of all other known entry instances."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

from ..instances import Instance, InstanceKind, InstanceState, Listing
from ..peers import MemberState
from .records import MemberRecord, MemberUpdate

__all__ = ("MAX_RECORDS", "MemberTable")

#: maximum number of records; if exceeded, the instance dead or leaving for longest is
#: evicted
MAX_RECORDS = 8192

#: seconds for which a dead instance is kept, so that partitions can heal
DEAD_RETENTION = 24 * 3600.0

#: seconds for which a dead instance is kept that the platform's list does not contain
UNLISTED_RETENTION = 600.0

#: seconds for which a leaving instance is kept, so that outdated updates cannot make
#: it live again
LEFT_RETENTION = 24 * 3600.0


class MemberTable:
    """Records of all other instances, by id."""

    def __init__(self) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._as_of = -1
        self._applied: Listing | None = None

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def find(self, instance_id: str) -> MemberRecord | None:
        """Return the record of an instance, or ``None`` if it is unknown."""
        return self._records.get(instance_id)

    def select(self, *states: MemberState) -> list[MemberRecord]:
        """Return the records in one of ``states``, by id."""
        found = [record for record in self if record.state in states]
        return sorted(found, key=lambda record: record.instance_id)

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Merge an update; return whether it overrode what was known."""
        record = self._records.get(update.instance_id)
        if record is None:
            return self._add(update, now)
        if record.listed_leaving:
            update = dataclasses.replace(update, state=MemberState.LEAVING)
        filled = _fill(record, update)
        if not update.overrides(record.incarnation, record.state):
            self._records[update.instance_id] = filled
            return False
        since = record.since if record.state is update.state else now
        self._records[update.instance_id] = dataclasses.replace(
            filled,
            incarnation=update.incarnation,
            state=update.state,
            since=since,
            # the address may have changed with a new incarnation
            data_centre=update.data_centre or filled.data_centre,
            address=update.address or filled.address,
            capacity=update.capacity or filled.capacity,
        )
        return True

    def apply_listing(
        self, listing: Listing, own_id: str, now: float
    ) -> list[MemberUpdate]:
        """Apply a listing; return the updates to gossip.

        A listing only adds instances to contact and marks those that are leaving. It
        does not prove that an instance is alive, nor that one it lacks is dead.
        """
        if listing.as_of < self._as_of or listing is self._applied:
            return []
        self._as_of = listing.as_of
        self._applied = listing
        updates = []
        shown = set()
        centres = set()
        for row in listing.instances:
            if row.kind is not InstanceKind.ENTRY or row.instance_id == own_id:
                continue
            shown.add(row.instance_id)
            centres.add(row.data_centre)
            update = self._apply_row(row, now)
            if update is not None:
                updates.append(update)
        self._mark_listed(shown, centres)
        return updates

    def shift_times(self, seconds: float) -> None:
        """Shift all times forward by the length of a pause of this process."""
        for record in list(self):
            self._replace(record, since=record.since + seconds)

    def expire(self, now: float) -> None:
        """Drop dead and leaving instances whose retention has ended."""
        for record in list(self):
            if now - record.since < _find_retention(record):
                continue
            del self._records[record.instance_id]

    def _mark_listed(self, shown: set[str], centres: set[str]) -> None:
        for record in list(self):
            listed = record.instance_id in shown
            if listed == record.listed:
                continue
            # if a whole data centre is missing, the platform has lost contact with it:
            # keep its instances as listed until it is back
            if not listed and record.data_centre not in centres:
                continue
            self._replace(record, listed=listed, delisted=not listed)

    def _evict_if_full(self) -> bool:
        if len(self._records) < MAX_RECORDS:
            return True
        gone = self.select(MemberState.DEAD, MemberState.LEAVING)
        if not gone:
            return False
        oldest = min(gone, key=lambda record: record.since)
        del self._records[oldest.instance_id]
        return True

    def _add(self, update: MemberUpdate, now: float) -> bool:
        if not self._evict_if_full():
            return False
        self._records[update.instance_id] = MemberRecord(
            instance_id=update.instance_id,
            data_centre=update.data_centre,
            address=update.address,
            incarnation=update.incarnation,
            state=update.state,
            since=now,
            capacity=update.capacity,
        )
        return True

    def _apply_row(self, row: Instance, now: float) -> MemberUpdate | None:
        record = self._records.get(row.instance_id)
        leaving = row.state is InstanceState.LEAVING
        update = MemberUpdate(
            instance_id=row.instance_id,
            incarnation=0 if record is None else record.incarnation,
            state=MemberState.LEAVING if leaving else MemberState.ALIVE,
            data_centre=row.data_centre,
            address=row.address,
            capacity=row.capacity,
        )
        changed = self.merge(update, now)
        if not leaving or row.instance_id not in self._records:
            return None
        self._replace(self._records[row.instance_id], listed_leaving=True)
        return update if changed and update.incarnation > 0 else None

    def _replace(self, record: MemberRecord, **changes: object) -> None:
        self._records[record.instance_id] = dataclasses.replace(record, **changes)


def _fill(record: MemberRecord, update: MemberUpdate) -> MemberRecord:
    if record.address and record.data_centre and record.capacity:
        return record
    return dataclasses.replace(
        record,
        data_centre=record.data_centre or update.data_centre,
        address=record.address or update.address,
        capacity=record.capacity or update.capacity,
    )


def _find_retention(record: MemberRecord) -> float:
    if record.state is MemberState.LEAVING:
        return LEFT_RETENTION
    if record.state is not MemberState.DEAD:
        return float("inf")
    return DEAD_RETENTION if record.listed else UNLISTED_RETENTION


def list_updates(records: Iterable[MemberRecord]) -> list[MemberUpdate]:
    """Return the updates to gossip: those of confirmed instances."""
    return [record.update for record in records if record.confirmed]
