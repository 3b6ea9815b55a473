"""How a change is made: which store call comes next, given the answers so far.

The process is a generator: it yields the next step and is sent the answer to it. It
has no socket and no clock, so that tests can lose any answer at any step.

What is known of a change at each moment:

- shards are written under keys of their own, which nothing names yet;
- one compare-and-swap of the head then puts the change in force;
- a swap without an answer may take effect at any later moment, as long as the head
  is still at the revision it expects. So the change is not given up as "not applied"
  while the head stands still: the swap is made again, of which at most one takes
  effect, or the head has moved on and then names the change or never will.
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
    advance,
    decode_head,
    encode_head,
    find_change,
    find_shards_at,
    get_oldest_generation,
    list_refs,
)
from .names import ConfigObject
from .plan import Plan, build_plan, describe, group_records
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

#: times that the head is read for one change
MAX_ROUNDS = 24

#: times that one shard is written, the first one included
MAX_SHARD_WRITES = 3

#: shards deleted alongside one change, so that garbage shrinks and a change is quick
MAX_DELETES = 8

#: longest pause in seconds after losing a swap to another writer
MAX_PAUSE = 0.2

SALT_BITS = 64


Process = Generator[Step, Any, ChangeOutcome]


def run_change(
    request: ChangeRequest,
    *,
    wall: Callable[[], float],
    random_source: random.Random,
    known: int = 0,
) -> Process:
    """Make a change; the generator's value is what became of it.

    :param wall: seconds since the Unix epoch, for the record of the change.
    :param known: generation in force at this instance. On top of a lower one no
        change is made: instances don't go back, so it would be accepted and never
        be in force.
    """
    return _Change(request, wall, random_source, known).run()


class _Change:
    """One change under way."""

    def __init__(
        self,
        request: ChangeRequest,
        wall: Callable[[], float],
        random_source: random.Random,
        known: int,
    ) -> None:
        self._request = request
        self._known = known
        self._wall = wall
        self._random = random_source
        self._base = request.base
        #: highest revision expected by a swap without an answer; ``None``: no such
        self._unanswered: int | None = None
        #: objects changed by the swap that was made last
        self._changed: tuple[str, ...] = ()
        #: shards written for the swap that is next
        self._written: list[ShardRef] = []
        #: shards written for swaps that have no answer
        self._in_doubt: list[ShardRef] = []

    def run(self) -> Process:
        reason = ""
        for _ in range(MAX_ROUNDS):
            reading = yield ReadHead()
            if reading.is_err():
                return self._give_up(f"store: {reading.err_value.message}")
            revision, decoded = _open_head(reading.ok_value)
            if decoded.is_err():
                return self._give_up(decoded.err_value)
            head = decoded.ok_value
            if head.generation < self._known:
                # a slow read, or a store that was put back to a time long past
                reason = f"the store shows generation {head.generation}"
                yield Pause(self._random.uniform(0, MAX_PAUSE))
                continue
            if self._unanswered is not None and revision > self._unanswered:
                # whatever has no answer has taken effect by now or never will
                yield from self._withdraw(self._in_doubt, head)
            found = self._find_self(head)
            if found is not None:
                return found
            if self._unanswered is not None and revision > self._unanswered:
                self._unanswered = None
            if self._base is None:
                self._base = head.generation
            outcome = yield from self._try(head, revision)
            if outcome is not None:
                return outcome
            reason = "too many other changes at the same time"
            yield Pause(self._random.uniform(0, MAX_PAUSE))
        return self._give_up(reason)

    def _find_self(self, head: Head) -> ChangeOutcome | None:
        entry = find_change(head, self._request.change_id)
        if entry is None:
            return None
        if entry.digest != self._request.digest:
            return Refused(
                code=RefusedCode.CHANGE_ID_REUSED,
                message=f"generation {entry.generation} has this id",
            )
        mine = self._unanswered is not None
        return Settled(
            generation=entry.generation,
            repeated=not mine,
            changed=self._changed if mine else (),
            head=head,
        )

    def _give_up(self, message: str) -> ChangeOutcome:
        if self._unanswered is not None:
            return Unsettled(message=message, base=self._base)
        return NotApplied(message=message, base=self._base)

    def _try(
        self, head: Head, revision: int
    ) -> Generator[Step, Any, ChangeOutcome | None]:
        """Make the change on top of ``head``; ``None`` to read the head again."""
        request = self._request
        target_refs: Mapping[int, ShardRef] = {}
        if request.mode is ChangeMode.ROLLBACK:
            found = _find_target(head, request.to_generation)
            if isinstance(found, Refused):
                return found
            target_refs = found
        refs = tuple({*head.shards.values(), *target_refs.values()})
        reading = yield ReadShards(refs)
        if reading.is_err():
            return self._give_up(f"store: {reading.err_value.message}")
        shards = reading.ok_value
        if len(shards) < len(refs):
            # the head has moved on and its old shards are being deleted
            return None
        records = _merge(shards, head.shards)
        planned = build_plan(
            request,
            records,
            _merge_objects(shards, head.shards),
            _merge(shards, target_refs),
            base=self._base or 0,
            generation=head.generation,
        )
        if planned.is_err():
            # with a swap unanswered, a check against the old head proves nothing
            if self._unanswered is not None:
                return self._give_up("a write has no answer yet")
            return planned.err_value
        plan = planned.ok_value
        if request.dry_run:
            return Checked(generation=head.generation, changed=describe(plan, records))
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
        fresh = {}
        for bucket, content in buckets.items():
            data = encode_shard(content)
            if len(data) > MAX_SHARD_BYTES:
                return self._refuse_size(len(data))
            salt = self._random.getrandbits(SALT_BITS)
            fresh[bucket] = (ShardRef(compute_digest(data), salt), data)
        written = yield from self._write_shards(fresh)
        if written.is_err():
            yield from self._withdraw(self._written, head)
            return self._give_up(written.err_value)
        deleted = yield from self._delete_garbage(head)
        advanced = advance(
            head,
            change_id=self._request.change_id,
            digest=self._request.digest,
            shards=written.ok_value,
            now=self._wall(),
            deleted=deleted,
        )
        if advanced.is_err():
            yield from self._withdraw(self._written, head)
            return self._give_up(advanced.err_value)
        return (yield from self._swap(advanced.ok_value, revision, plan.changed))

    def _swap(
        self, head: Head, revision: int, changed: tuple[str, ...]
    ) -> Generator[Step, Any, ChangeOutcome | None]:
        self._changed = changed
        result: WriteResult = yield SwapHead(encode_head(head), revision)
        if result.outcome is WriteOutcome.APPLIED:
            return Settled(generation=head.generation, changed=changed, head=head)
        if result.outcome is WriteOutcome.UNKNOWN:
            self._unanswered = revision
            self._in_doubt.extend(self._written)
            return None
        yield from self._withdraw(self._written, EMPTY_HEAD)
        if result.outcome is WriteOutcome.CONFLICT:
            return None
        return self._give_up(f"store: {result.message}")

    def _write_shards(
        self, fresh: Mapping[int, tuple[ShardRef, bytes]]
    ) -> Generator[Step, Any, Result[Mapping[int, ShardRef], str]]:
        """Write all shards; the references then hold their revisions."""
        left = dict(fresh)
        self._written = []
        written: dict[int, ShardRef] = {}
        for _ in range(MAX_SHARD_WRITES):
            if not left:
                break
            results = yield WriteShards(tuple(left.values()))
            for bucket, result in zip(tuple(left), results, strict=True):
                # nobody else writes these keys: a conflict is an earlier write of
                # this one whose answer was lost
                if result.outcome in (WriteOutcome.APPLIED, WriteOutcome.CONFLICT):
                    ref, _ = left.pop(bucket)
                    ref = ShardRef(ref.digest, ref.salt, result.revision)
                    written[bucket] = ref
                    self._written.append(ref)
        if left:
            return Err("store: shards could not be written")
        return Ok(written)

    def _delete_garbage(self, head: Head) -> Generator[Step, Any, frozenset[ShardRef]]:
        refs = head.garbage[:MAX_DELETES]
        if not refs:
            return frozenset()
        results = yield DeleteShards(refs)
        gone = (WriteOutcome.APPLIED, WriteOutcome.CONFLICT)
        return frozenset(
            ref
            for ref, result in zip(refs, results, strict=True)
            if result.outcome in gone
        )

    def _withdraw(self, refs: list[ShardRef], head: Head) -> Generator[Step, Any, None]:
        """Delete shards written for swaps that are over, but for those in ``head``.

        A shard left behind by a writer that died is never named by any head: it
        costs room and nothing else.
        """
        named = list_refs(head)
        unused = tuple(ref for ref in refs if ref not in named)
        refs.clear()
        if unused:
            yield DeleteShards(unused)

    def _refuse_size(self, size: int) -> ChangeOutcome:
        message = f"a shard would be {size} bytes large, allowed: {MAX_SHARD_BYTES}"
        if self._unanswered is not None:
            return self._give_up(message)
        return Refused(code=RefusedCode.INVALID, message=message)


def _open_head(entry: Entry | None) -> tuple[int, Result[Head, str]]:
    if entry is None:
        return ABSENT, Ok(EMPTY_HEAD)
    return entry.revision, decode_head(entry.value)


def _find_target(head: Head, generation: int) -> Mapping[int, ShardRef] | Refused:
    shards = find_shards_at(head, generation) if generation > 0 else None
    if shards is not None:
        return shards
    oldest = max(1, get_oldest_generation(head))
    return Refused(
        code=RefusedCode.UNKNOWN_GENERATION,
        message=f"generation {generation} is not kept",
        oldest=oldest,
    )


def _merge(
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
