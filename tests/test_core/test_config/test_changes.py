"""Commit protocol of changes on a store that loses, delays and reorders operations."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Ok

from greengagelatch.clock import ManualClock
from greengagelatch.config import head as head_module
from greengagelatch.config import records as records_module
from greengagelatch.config.changes import (
    DeleteShards,
    Pause,
    ReadHead,
    ReadShards,
    SwapHead,
    WriteShards,
    run_change,
)
from greengagelatch.config.head import (
    HEAD_KEY,
    apply_delta,
    decode_head,
    encode_delta,
    encode_head,
    find_change,
)
from greengagelatch.config.ini import parse_objects
from greengagelatch.config.names import ObjectId, ObjectKind
from greengagelatch.config.replica import Replica, load_shard
from greengagelatch.config.requests import (
    ChangeMode,
    ChangeRequest,
    Conflicted,
    NotApplied,
    Refused,
    RefusedCode,
    Settled,
    Unsettled,
)
from greengagelatch.store import ABSENT, WriteOutcome, WriteResult
from greengagelatch_lab.standins.memory import MemoryStore

LOST_ANSWER = WriteResult(WriteOutcome.UNKNOWN, message="no answer")


class World:
    """A store that executes steps one by one; tests may lose, delay or drop any."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = MemoryStore(clock=self.clock)

    def close(self):
        self.loop.close()

    def wait(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def read_head(self):
        entry = self.wait(self.store.get(HEAD_KEY)).unwrap()
        return None if entry is None else decode_head(entry.value).unwrap()

    def read_shard(self, ref):
        entry = self.wait(self.store.get(ref.key)).unwrap()
        return None if entry is None else load_shard(ref, entry.value)

    def perform(self, step):
        match step:
            case ReadHead():
                return self.wait(self.store.get(HEAD_KEY))
            case ReadShards(refs=refs):
                found = {ref: self.read_shard(ref) for ref in refs}
                return Ok(
                    {ref: loaded.shard for ref, loaded in found.items() if loaded}
                )
            case WriteShards(shards=shards):
                return [
                    self.wait(self.store.swap(ref.key, data, ABSENT))
                    for ref, data in shards
                ]
            case DeleteShards(refs=refs):
                return [
                    self.wait(self.store.delete(ref.key, ref.revision)) for ref in refs
                ]
            case SwapHead(value=value, expected=expected):
                return self.wait(self.store.swap(HEAD_KEY, value, expected))
            case Pause():
                return None


class Writer:
    """One change in progress, advanced step by step."""

    def __init__(self, world, request, seed=0, min_generation=0):
        self.world = world
        self.request = request
        self.outcome = None
        self.late = []
        source = random.Random(seed)
        self._process = run_change(
            request,
            wall=world.clock.wall,
            random_source=source,
            min_generation=min_generation,
        )
        self.step = next(self._process)

    def advance(self, perform=None):
        """Execute the next step, or have ``perform`` answer it."""
        reply = (perform or self.world.perform)(self.step)
        self.send(reply)

    def send(self, reply):
        try:
            self.step = self._process.send(reply)
        except StopIteration as stop:
            self.outcome = stop.value
            self.step = None

    def advance_to(self, kind):
        while not isinstance(self.step, kind):
            self.advance()

    def finish(self):
        while self.step is not None:
            self.advance()
        return self.outcome

    def execute_and_lose_answer(self):
        """Execute the swap and lose its answer."""
        self.world.perform(self.step)
        self.send(LOST_ANSWER)

    def leave_in_flight(self):
        """Leave the swap in flight; the returned function executes it."""
        step = self.step
        self.send(LOST_ANSWER)
        return lambda: self.world.perform(step)


@pytest.fixture
def world():
    world = World()
    yield world
    world.close()


def apply(change_id, text, **fields):
    objects = parse_objects(text).unwrap()
    return ChangeRequest(
        change_id=change_id, mode=ChangeMode.APPLY, objects=objects, **fields
    )


def label(change_id, name, value, **fields):
    text = f"[workspace:{name}]\nlabels = v={value}\n"
    return apply(change_id, text, **fields)


def read_values(world):
    """Return the label of each workspace in the current generation."""
    head = world.read_head()
    values = {}
    for ref in head.shards.values():
        for item in world.read_shard(ref).shard.objects.values():
            values[item.name] = item.labels["v"]
    return values


def test_a_lost_answer_is_resolved_by_reading_the_head(world):
    """Guards against reporting a committed change as failed.

    The swap of the head takes effect, but its answer is lost.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    writer.execute_and_lose_answer()
    outcome = writer.finish()
    assert (outcome.generation, outcome.repeated) == (1, False)
    assert outcome.changed == ("workspace/a",)
    again = Writer(world, label("c1", "a", 1)).finish()
    assert (again.generation, again.repeated) == (1, True)
    assert world.read_head().generation == 1


def test_a_lost_answer_is_found_under_a_later_generation(world):
    """Guards against committing a change twice, the second time over a later one.

    The swap takes effect, its answer is lost, and another operator's change is
    committed before the head is read back, so that the newest log entry is not the
    change in question. Shards are deleted only for failed swaps, which this is not.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    writer.execute_and_lose_answer()
    Writer(world, label("c2", "b", 2), seed=1).finish()
    assert writer.finish().generation == 1
    assert read_values(world) == {"a": "1", "b": "2"}


def test_a_delayed_swap_takes_effect_once(world):
    """Guards against reporting a change as not applied that is committed later.

    The swap is still in flight when the head is read back unchanged. Another read
    would prove nothing either, so the swap is retried; the first one then arrives
    and must have no effect.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    deliver = writer.leave_in_flight()
    outcome = writer.finish()
    assert isinstance(outcome, Settled)
    assert deliver().outcome is WriteOutcome.CONFLICT
    assert [entry.change_id for entry in world.read_head().changes] == ["c1"]


def test_a_change_without_any_answer_is_unsettled(world):
    """Guards against reporting a change as not applied that may still commit.

    The swap has no answer, and the store can't be read after it.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    deliver = writer.leave_in_flight()
    world.store.faults.outage = True
    assert isinstance(writer.finish(), Unsettled)
    world.store.faults.outage = False
    assert deliver().outcome is WriteOutcome.APPLIED
    assert Writer(world, label("c1", "a", 1)).finish().repeated


def test_a_swap_in_flight_outweighs_a_later_refusal(world):
    """Guards against reporting a change as not applied that is committed later.

    The swap is in flight, the head is read back unchanged, and the store then refuses
    the second swap: the second had no effect, but the first one still may.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    deliver = writer.leave_in_flight()
    writer.advance_to(SwapHead)
    world.store.faults.refuse_calls = 1
    assert isinstance(writer.finish(), Unsettled)
    assert deliver().outcome is WriteOutcome.APPLIED


def test_one_change_sent_through_two_instances(world):
    """Guards against a head that references a deleted shard and can't be loaded.

    An operator retries a change through another instance while the first one is in
    progress. Both write the same content; the one whose swap fails deletes its shards.
    """
    first = Writer(world, label("c1", "a", 1), seed=1)
    second = Writer(world, label("c1", "a", 1), seed=2)
    second.advance_to(SwapHead)
    first.finish()
    assert second.finish().repeated
    assert read_values(world) == {"a": "1"}


def test_a_change_without_any_swap_is_not_applied(world):
    """Guards against an unknown outcome of a change that was never sent.

    The store is unavailable from the start, so no swap was sent.
    """
    world.store.faults.outage = True
    assert isinstance(Writer(world, label("c1", "a", 1)).finish(), NotApplied)


def test_two_operators_on_the_same_object(world):
    """Guards against a lost update.

    Two operators edit the same generation. The second one's swap fails, and its retry
    on the new head would overwrite the first one's object.
    """
    first = Writer(world, label("c1", "a", 1))
    second = Writer(world, label("c2", "a", 2), seed=1)
    second.advance_to(SwapHead)
    first.finish()
    outcome = second.finish()
    assert isinstance(outcome, Conflicted)
    [conflict] = outcome.conflicts
    assert (conflict.object_id, conflict.base, conflict.generation) == (
        "workspace/a",
        0,
        1,
    )
    assert "v=2" in conflict.yours
    assert "v=1" in conflict.current
    assert read_values(world) == {"a": "1"}


def test_a_deletion_conflicts_with_an_earlier_edit(world, monkeypatch):
    """Guards against an edit that restores a deleted object.

    The edit is based on a generation before the deletion and is applied after it, and
    after a change of another object in the same shard.
    """
    monkeypatch.setattr(records_module, "BUCKET_COUNT", 1)
    Writer(world, label("c1", "a", 1)).finish()
    names = (ObjectId(ObjectKind.WORKSPACE, "a"),)
    delete = ChangeRequest(change_id="c2", mode=ChangeMode.DELETE, names=names)
    Writer(world, delete).finish()
    Writer(world, label("c3", "b", 3)).finish()
    outcome = Writer(world, label("c4", "a", 4, base=1)).finish()
    assert isinstance(outcome, Conflicted)
    assert outcome.conflicts[0].current == ""


def test_two_operators_on_different_objects(world):
    """Guards against refusing or losing one of two unrelated changes.

    Both edit the same generation; the second one's swap fails and must be retried on
    top of the first one.
    """
    first = Writer(world, label("c1", "a", 1))
    second = Writer(world, label("c2", "b", 2), seed=1)
    second.advance_to(SwapHead)
    first.finish()
    assert second.finish().generation == 2
    assert read_values(world) == {"a": "1", "b": "2"}


def test_references_are_validated_again_after_a_failed_swap(world):
    """Guards against a pipeline that references a deleted service.

    One operator deletes a service while another adds a pipeline that uses it: each
    change is valid on top of the generation that it has read.
    """
    Writer(world, apply("c1", "[service:s]\nkind = plain\n")).finish()
    text = "[pipeline:p]\nstages = x\n[stage:p/x]\nkind = plain\nservice = s\n"
    second = Writer(world, apply("c2", text), seed=1)
    second.advance_to(SwapHead)
    names = (ObjectId(ObjectKind.SERVICE, "s"),)
    delete = ChangeRequest(change_id="c3", mode=ChangeMode.DELETE, names=names)
    assert isinstance(Writer(world, delete).finish(), Settled)
    outcome = second.finish()
    assert isinstance(outcome, Refused)
    assert outcome.problems[0].section == "stage:p/x"
    assert world.read_head().generation == 2


def test_an_id_is_used_for_one_change_only(world):
    """Guards against reporting a change as settled that was never committed.

    Its id was used before, for a change with other content.
    """
    Writer(world, label("c1", "a", 1)).finish()
    outcome = Writer(world, label("c1", "a", 2)).finish()
    assert outcome.code is RefusedCode.CHANGE_ID_REUSED


def test_a_rollback_conflicts_with_an_earlier_edit(world):
    """Guards against an edit that undoes part of a rollback.

    The edit is based on a generation before the rollback, which restores an old
    object. If the restored record kept its old generation, there would be no conflict.
    """
    for number in (1, 2, 3):
        Writer(world, label(f"c{number}", "a", number)).finish()
    back = ChangeRequest(change_id="r", mode=ChangeMode.ROLLBACK, to_generation=1)
    assert Writer(world, back).finish().generation == 4
    assert read_values(world) == {"a": "1"}
    delayed = Writer(world, label("c4", "a", 4, base=3)).finish()
    assert isinstance(delayed, Conflicted)


def test_a_full_change_log_refuses_changes(world, monkeypatch):
    """Guards against dropping recent log entries, which lost answers depend on.

    More changes than the head can hold are committed within the retention period.
    Entries older than that may be dropped, younger ones may not.
    """
    monkeypatch.setattr(head_module, "MIN_CHANGES", 2)
    monkeypatch.setattr(head_module, "MAX_CHANGES", 4)
    for number in range(4):
        Writer(world, label(f"c{number}", "a", number)).finish()
    assert isinstance(Writer(world, label("c4", "a", 4)).finish(), NotApplied)
    world.clock.advance(head_module.RETENTION_SECONDS + 1)
    assert Writer(world, label("c4", "a", 4)).finish().generation == 5
    assert find_change(world.read_head(), "c3") is not None


def test_no_change_is_made_on_top_of_a_lower_generation(world):
    """Guards against accepting a change that never becomes active.

    The store was restored from an old backup: instances keep their higher generation,
    and the change would get a lower one.
    """
    Writer(world, label("c1", "a", 1)).finish()
    outcome = Writer(world, label("c2", "a", 2), min_generation=7).finish()
    assert isinstance(outcome, NotApplied)
    assert world.read_head().generation == 1


def test_old_shards_are_deleted(world, monkeypatch):
    """Guards against a store that fills up with unreferenced shards.

    Every change replaces a shard. Shards of generations beyond the rollback limit are
    garbage, and so are those of failed swaps.
    """
    monkeypatch.setattr(head_module, "ROLLBACK_GENERATIONS", 3)
    for number in range(20):
        loser = Writer(world, label(f"l{number}", "a", 99), seed=100 + number)
        loser.advance_to(SwapHead)
        Writer(world, label(f"c{number}", "a", number), seed=number).finish()
        assert isinstance(loser.finish(), Conflicted)
    kept = world.wait(world.store.list("config/shards/")).unwrap()
    # the newest one, those of three earlier generations, and one to be deleted next
    assert len(kept) == 5


class ChangesMachine(RuleBasedStateMachine):
    """Interleaves the steps of writers and readers and compares with a simple model.

    The model is the list of all configurations that the store's head has referenced.
    """

    writers = Bundle("writers")

    def __init__(self):
        super().__init__()
        self.patches = pytest.MonkeyPatch()
        # few buckets and generations, so that objects share shards and old shards
        # are deleted while readers still use them
        self.patches.setattr(records_module, "BUCKET_COUNT", 2)
        self.patches.setattr(head_module, "ROLLBACK_GENERATIONS", 3)
        self.world = World()
        self.started = []
        self.in_flight = []
        self.history = {}
        self.seen_heads = []
        self.replicas = [Replica() for _ in range(3)]

    @initialize()
    def begin(self):
        Writer(self.world, label("c0", "a", 0)).finish()

    def teardown(self):
        try:
            self.finish_all()
        finally:
            self.world.close()
            self.patches.undo()

    def finish_all(self):
        for deliver in self.in_flight:
            deliver()
        self.check_all()
        for writer in self.started:
            if not writer.crashed:
                writer.finish()
                self.check_all()
        self.check_outcomes()

    @rule(
        target=writers,
        name=st.sampled_from("abc"),
        value=st.integers(0, 9),
        based=st.booleans(),
    )
    def start_edit(self, name, value, based):
        base = self.world.read_head().generation if based else None
        return self.start(label(self.next_id(), name, value, base=base))

    @rule(target=writers, name=st.sampled_from("abc"))
    def start_delete(self, name):
        names = (ObjectId(ObjectKind.WORKSPACE, name),)
        return self.start(
            ChangeRequest(change_id=self.next_id(), mode=ChangeMode.DELETE, names=names)
        )

    @rule(target=writers, back=st.integers(1, 4))
    def start_rollback(self, back):
        generation = max(1, self.world.read_head().generation - back)
        return self.start(
            ChangeRequest(
                change_id=self.next_id(),
                mode=ChangeMode.ROLLBACK,
                to_generation=generation,
            )
        )

    @rule(names=st.lists(st.sampled_from("abc"), min_size=1, max_size=4))
    def edit_at_once(self, names):
        for name in names:
            number = len(self.started)
            self.start(label(self.next_id(), name, number)).finish()
            self.check_all()

    @rule(target=writers, writer=writers)
    def repeat(self, writer):
        return self.start(writer.request)

    def next_id(self):
        return f"c{len(self.started) + 1}"

    def start(self, request):
        writer = Writer(self.world, request, seed=len(self.started) + 1)
        writer.crashed = False
        self.started.append(writer)
        return writer

    @rule(writer=writers, steps=st.integers(1, 5))
    def advance(self, writer, steps):
        for _ in range(steps):
            if writer.crashed or writer.step is None:
                return
            writer.advance()
            self.check_all()

    @rule(writer=writers)
    def finish(self, writer):
        while not writer.crashed and writer.step is not None:
            writer.advance()
            self.check_all()

    @rule(writer=writers, late=st.booleans())
    def lose_swap(self, writer, late):
        while not writer.crashed and writer.step is not None:
            if isinstance(writer.step, SwapHead):
                if late:
                    self.in_flight.append(writer.leave_in_flight())
                else:
                    writer.execute_and_lose_answer()
                return
            writer.advance()
            self.check_all()

    @rule()
    def land(self):
        if self.in_flight:
            self.in_flight.pop(0)()

    @rule(writer=writers)
    def crash(self, writer):
        writer.crashed = True

    @rule(number=st.integers(0, 2), ages=st.lists(st.integers(0, 5), min_size=1))
    def learn_from_store(self, number, ages):
        for age in ages:
            head = self.seen_heads[-1 - min(age, len(self.seen_heads) - 1)]
            self.learn(self.replicas[number], head)

    @rule(number=st.integers(0, 2), peer=st.integers(0, 2))
    def learn_from_peer(self, number, peer):
        replica, other = self.replicas[number], self.replicas[peer]
        if other.generation == 0:
            return
        delta = encode_delta(other.head, replica.generation)
        if delta is not None and replica.generation:
            head = apply_delta(replica.head, delta).unwrap()
        else:
            head = decode_head(encode_head(other.head)).unwrap()
        self.learn(replica, head, other)

    def learn(self, replica, head, peer=None):
        before = replica.generation
        new_shards = {}
        for ref in replica.find_missing(head.shards.values()):
            loaded = peer.get(ref.key) if peer else self.world.read_shard(ref)
            if loaded is not None:
                new_shards[ref] = loaded
        replica.adopt(head, new_shards)
        assert replica.generation >= before

    @invariant()
    def check_all(self):
        head = self.world.read_head()
        if head is None or head.generation in self.history:
            return
        self.check_commit(head)
        self.seen_heads.append(head)

    def check_commit(self, head):
        records = {}
        for ref in head.shards.values():
            loaded = self.world.read_shard(ref)
            assert loaded is not None, "the head references a deleted shard"
            records.update(loaded.shard.records)
        live = {name: row for name, row in records.items() if row.body is not None}
        change_id = head.changes[-1].change_id
        ids = [entry.change_id for entry in head.changes]
        assert len(ids) == len(set(ids)), "a change took effect twice"
        before = self.history.get(head.generation - 1, {})
        self.history[head.generation] = {
            name: (row.generation, row.body) for name, row in live.items()
        }
        for writer in self.started:
            if writer.request.change_id == change_id:
                self.check_content(writer.request, before, live)
                return

    def check_content(self, request, before, live):
        for item in request.objects:
            name = f"workspace/{item.name}"
            assert live[name].body["labels"] == dict(item.labels)
            previous = before.get(name)
            if request.base is None or previous is None:
                continue
            unchanged = previous[1]["labels"] == dict(item.labels)
            assert unchanged or previous[0] <= request.base, "an edit was overwritten"
        for name in request.names:
            assert str(name) not in live
        if request.to_generation in self.history:
            expected = self.history[request.to_generation]
            assert {key: row.body for key, row in live.items()} == {
                key: body for key, (_, body) in expected.items()
            }

    @invariant()
    def check_replicas(self):
        for replica in self.replicas:
            if replica.generation == 0:
                continue
            expected = self.history[replica.generation]
            found = {
                f"workspace/{item.name}": dict(item.labels)
                for item in replica.snapshot.workspaces.values()
            }
            assert found == {key: row[1]["labels"] for key, row in expected.items()}

    @invariant()
    def check_outcomes(self):
        head = self.world.read_head()
        for writer in self.started:
            entry = find_change(head, writer.request.change_id)
            match writer.outcome:
                case Settled(generation=generation):
                    assert entry is not None
                    assert entry.generation == generation
                case Refused() | Conflicted() | NotApplied():
                    others = [
                        other
                        for other in self.started
                        if other.request.change_id == writer.request.change_id
                    ]
                    # only another writer with the same change id may have committed it
                    assert entry is None or len(others) > 1


def test_no_interleaving_reverts_doubles_or_splits_a_change():
    """Guards against outcomes that depend on timing or lost answers.

    Several writers are paused, crash or lose an answer at any step, while readers
    learn from old heads and from each other.
    """
    run_state_machine_as_test(
        ChangesMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            # without shrinking, a failure is reported within seconds
            phases=(Phase.explicit, Phase.generate),
            suppress_health_check=list(HealthCheck),
        ),
    )
