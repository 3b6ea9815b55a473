"""Commit protocol of a configuration change, as a generator of store operations.

The generator yields the next step and is sent its result. It does no I/O and reads no
clock, so that tests can lose any result at any step.

The protocol:

- the new shards are written under unique keys that no head references yet;
- a single compare-and-swap of the head then commits the change;
- a swap without an answer may still take effect as long as the head is at the
  revision that the swap expects. The change is therefore not reported as "not
  applied" while the head is unchanged. The swap is retried, and at most one of the
  attempts takes effect; once the head has moved on, it either lists the change or
  never will.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Generator, Mapping
from typing import Any

from result import Err, Ok, Result

from ..store import ABSENT, Entry, WriteOutcome, WriteResult
from .head import (
    EMPTY_HEAD,
    Head,
    ShardRef,
    append_change,
    decode_head,
    encode_head,
    find_change,
    find_shards_at,
    get_oldest_generation,
    list_refs,
)
from .names import ConfigObject
from .plan import Plan, build_plan, group_records, list_differences
from .records import (
    MAX_SHARD_BYTES,
    Record,
    Shard,
    compute_digest,
    encode_shard,
)
from .requests import (
    ChangeMode,
    ChangeOutcome,
    ChangeRequest,
    Checked,
    NotApplied,
    Refused,
    RefusedCode,
    Settled,
    Unsettled,
)
from .steps import (
    DeleteShards,
    Pause,
    ReadHead,
    ReadShards,
    Step,
    SwapHead,
    WriteShards,
)

__all__ = (
    "DeleteShards",
    "Pause",
    "ReadHead",
    "ReadShards",
    "Step",
    "SwapHead",
    "WriteShards",
    "run_change",
)

#: attempts at one change; each of them reads the head
MAX_ATTEMPTS = 24

#: attempts to write one shard, the first one included
MAX_WRITE_ATTEMPTS = 3

#: unreferenced shards deleted during one change; bounds the time this adds to it
MAX_DELETES = 8

#: longest back-off in seconds after another writer's swap has won
MAX_BACKOFF_SECONDS = 0.2

SALT_BITS = 64


Process = Generator[Step, Any, ChangeOutcome]


def run_change(
    request: ChangeRequest,
    *,
    wall: Callable[[], float],
    random_source: random.Random,
    min_generation: int = 0,
) -> Process:
    """Commit a change; the generator returns its outcome.

    :param wall: returns seconds since the Unix epoch, for the change's log entry.
    :param min_generation: generation that is active at this instance. No change is
        made on top of a lower one: instances never move to a lower generation, so the
        change would be committed and never become active.
    """
    return _Change(request, wall, random_source, min_generation).run()


class _Change:
    """State of one change in progress."""

    def __init__(
        self,
        request: ChangeRequest,
        wall: Callable[[], float],
        random_source: random.Random,
        min_generation: int,
    ) -> None:
        self._request = request
        self._min_generation = min_generation
        self._wall = wall
        self._random = random_source
        self._base = request.base
        #: highest revision expected by a swap without an answer; ``None``: no such swap
        self._unanswered_revision: int | None = None
        #: objects changed by the latest swap
        self._changed: tuple[str, ...] = ()
        #: shards written for the next swap
        self._new_refs: list[ShardRef] = []
        #: shards written for swaps without an answer
        self._unconfirmed_refs: list[ShardRef] = []

    def run(self) -> Process:
        reason = ""
        for _ in range(MAX_ATTEMPTS):
            reading = yield ReadHead()
            if reading.is_err():
                error = f"store: {reading.err_value.message}"
                return self._fail(f"{reason}; {error}" if reason else error)
            revision, decoded = _decode_entry(reading.ok_value)
            if decoded.is_err():
                return self._fail(decoded.err_value)
            head = decoded.ok_value
            if head.generation < self._min_generation:
                # a stale read, or a store that was restored from an old backup
                reason = (
                    f"the store shows generation {head.generation}, lower than"
                    f" generation {self._min_generation} that is active here"
                )
                yield Pause(self._random.uniform(0, MAX_BACKOFF_SECONDS))
                continue
            if (
                self._unanswered_revision is not None
                and revision > self._unanswered_revision
            ):
                # the head has moved on: a swap without an answer has either taken
                # effect by now or never will
                yield from self._delete_unreferenced(self._unconfirmed_refs, head)
            found = self._find_own_entry(head)
            if found is not None:
                return found
            if (
                self._unanswered_revision is not None
                and revision > self._unanswered_revision
            ):
                self._unanswered_revision = None
            if self._base is None:
                self._base = head.generation
            outcome = yield from self._attempt(head, revision)
            if outcome is not None:
                return outcome
            reason = "too many concurrent changes"
            yield Pause(self._random.uniform(0, MAX_BACKOFF_SECONDS))
        return self._fail(reason)

    def _find_own_entry(self, head: Head) -> ChangeOutcome | None:
        entry = find_change(head, self._request.change_id)
        if entry is None:
            return None
        if entry.digest != self._request.digest:
            return Refused(
                code=RefusedCode.CHANGE_ID_REUSED,
                message=(
                    f"change id {self._request.change_id!r} is already used by"
                    f" generation {entry.generation}"
                ),
            )
        own = self._unanswered_revision is not None
        return Settled(
            generation=entry.generation,
            repeated=not own,
            changed=self._changed if own else (),
            head=head,
        )

    def _fail(self, message: str) -> ChangeOutcome:
        if self._unanswered_revision is not None:
            return Unsettled(message=message, base=self._base)
        return NotApplied(message=message, base=self._base)

    def _attempt(
        self, head: Head, revision: int
    ) -> Generator[Step, Any, ChangeOutcome | None]:
        """Commit the change on top of ``head``; return ``None`` to retry."""
        request = self._request
        rollback_refs: Mapping[int, ShardRef] = {}
        if request.mode is ChangeMode.ROLLBACK:
            found = _find_rollback_refs(head, request.to_generation)
            if isinstance(found, Refused):
                return found
            rollback_refs = found
        refs = tuple({*head.shards.values(), *rollback_refs.values()})
        reading = yield ReadShards(refs)
        if reading.is_err():
            return self._fail(f"store: {reading.err_value.message}")
        shards = reading.ok_value
        if len(shards) < len(refs):
            # another change has replaced the head, and its old shards are deleted
            return None
        records = _merge_records(shards, head.shards)
        planned = build_plan(
            request,
            records,
            _merge_objects(shards, head.shards),
            _merge_records(shards, rollback_refs),
            base=self._base or 0,
            generation=head.generation,
        )
        if planned.is_err():
            # while a swap has no answer, a conflict with the old head is not final:
            # the swap may still take effect
            if self._unanswered_revision is not None:
                return self._fail("a write to the store has not been answered yet")
            return planned.err_value
        plan = planned.ok_value
        if request.dry_run:
            return Checked(
                generation=head.generation, changed=list_differences(plan, records)
            )
        return (yield from self._write(head, revision, plan, records))

    def _write(
        self, head: Head, revision: int, plan: Plan, records: Mapping[str, Record]
    ) -> Generator[Step, Any, ChangeOutcome | None]:
        buckets = group_records(
            plan,
            records,
            change_id=self._request.change_id,
            generation=head.generation + 1,
            oldest=head.changes[0].generation if head.changes else 0,
        )
        new_shards = {}
        for bucket, content in buckets.items():
            data = encode_shard(content)
            if len(data) > MAX_SHARD_BYTES:
                return self._reject_size(len(data))
            salt = self._random.getrandbits(SALT_BITS)
            new_shards[bucket] = (ShardRef(compute_digest(data), salt), data)
        written = yield from self._write_shards(new_shards)
        if written.is_err():
            yield from self._delete_unreferenced(self._new_refs, head)
            return self._fail(written.err_value)
        deleted = yield from self._delete_garbage(head)
        advanced = append_change(
            head,
            change_id=self._request.change_id,
            digest=self._request.digest,
            shards=written.ok_value,
            now=self._wall(),
            deleted=deleted,
        )
        if advanced.is_err():
            yield from self._delete_unreferenced(self._new_refs, head)
            return self._fail(advanced.err_value)
        return (yield from self._swap(advanced.ok_value, revision, plan.changed))

    def _swap(
        self, head: Head, revision: int, changed: tuple[str, ...]
    ) -> Generator[Step, Any, ChangeOutcome | None]:
        self._changed = changed
        result: WriteResult = yield SwapHead(encode_head(head), revision)
        if result.outcome is WriteOutcome.APPLIED:
            return Settled(generation=head.generation, changed=changed, head=head)
        if result.outcome is WriteOutcome.UNKNOWN:
            self._unanswered_revision = revision
            self._unconfirmed_refs.extend(self._new_refs)
            return None
        yield from self._delete_unreferenced(self._new_refs, EMPTY_HEAD)
        if result.outcome is WriteOutcome.CONFLICT:
            return None
        return self._fail(f"store: {result.message}")

    def _write_shards(
        self, new_shards: Mapping[int, tuple[ShardRef, bytes]]
    ) -> Generator[Step, Any, Result[Mapping[int, ShardRef], str]]:
        """Write all shards and return their references with revisions."""
        pending = dict(new_shards)
        self._new_refs = []
        written: dict[int, ShardRef] = {}
        for _ in range(MAX_WRITE_ATTEMPTS):
            if not pending:
                break
            results = yield WriteShards(tuple(pending.values()))
            for bucket, result in zip(tuple(pending), results, strict=True):
                # the keys are unique to this change: a conflict means that an earlier
                # attempt was written and its answer was lost
                if result.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
                    ref, _ = pending.pop(bucket)
                    ref = ShardRef(ref.digest, ref.salt, result.revision)
                    written[bucket] = ref
                    self._new_refs.append(ref)
        if pending:
            return Err(
                f"store: {len(pending)} of {len(new_shards)} shards could not be"
                f" written in {MAX_WRITE_ATTEMPTS} attempts"
            )
        return Ok(written)

    def _delete_garbage(self, head: Head) -> Generator[Step, Any, frozenset[ShardRef]]:
        refs = head.garbage[:MAX_DELETES]
        if not refs:
            return frozenset()
        results = yield DeleteShards(refs)
        absent = (WriteOutcome.APPLIED, WriteOutcome.CONFLICT)
        return frozenset(
            ref
            for ref, result in zip(refs, results, strict=True)
            if result.outcome in absent
        )

    def _delete_unreferenced(
        self, refs: list[ShardRef], head: Head
    ) -> Generator[Step, Any, None]:
        """Delete shards of finished swaps that ``head`` does not reference.

        A shard left by a writer that crashed is never referenced by any head: it
        takes up space and has no other effect.
        """
        named = list_refs(head)
        unused = tuple(ref for ref in refs if ref not in named)
        refs.clear()
        if unused:
            yield DeleteShards(unused)

    def _reject_size(self, size: int) -> ChangeOutcome:
        message = f"a shard would have {size} bytes; the limit is {MAX_SHARD_BYTES}"
        if self._unanswered_revision is not None:
            return self._fail(message)
        return Refused(code=RefusedCode.INVALID, message=message)


def _decode_entry(entry: Entry | None) -> tuple[int, Result[Head, str]]:
    if entry is None:
        return ABSENT, Ok(EMPTY_HEAD)
    return entry.revision, decode_head(entry.value)


def _find_rollback_refs(
    head: Head, generation: int
) -> Mapping[int, ShardRef] | Refused:
    shards = find_shards_at(head, generation) if generation > 0 else None
    if shards is not None:
        return shards
    oldest = max(1, get_oldest_generation(head))
    return Refused(
        code=RefusedCode.UNKNOWN_GENERATION,
        message=(
            f"generation {generation} is no longer stored; the oldest is {oldest}"
        ),
        oldest=oldest,
    )


def _merge_records(
    shards: Mapping[ShardRef, Shard], refs: Mapping[int, ShardRef]
) -> Mapping[str, Record]:
    records: dict[str, Record] = {}
    for ref in refs.values():
        records.update(shards[ref].records)
    return records


def _merge_objects(
    shards: Mapping[ShardRef, Shard], refs: Mapping[int, ShardRef]
) -> Mapping[str, ConfigObject]:
    objects: dict[str, ConfigObject] = {}
    for ref in refs.values():
        objects.update(shards[ref].objects)
    return objects
