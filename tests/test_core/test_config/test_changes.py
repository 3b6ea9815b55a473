"""Changes against a store that loses, delays and reorders what it is asked."""

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

LOST = WriteResult(WriteOutcome.UNKNOWN, message="no answer")


class World:
    """A store, reached step by step; a test may lose, delay or drop any step."""

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
    """One change under way, advanced step by step."""

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
        """Carry out the next step, or have ``perform`` answer it."""
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

    def lose_answer(self):
        """Carry out the swap, and lose its answer."""
        self.world.perform(self.step)
        self.send(LOST)

    def delay(self):
        """Leave the swap on its way; the returned call lets it arrive."""
        step = self.step
        self.send(LOST)
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
    """Return the label of each workspace in force."""
    head = world.read_head()
    values = {}
    for ref in head.shards.values():
        for item in world.read_shard(ref).shard.objects.values():
            values[item.name] = item.labels["v"]
    return values


def test_a_lost_answer_is_settled_by_reading_back(world):
    """An operator is told that a change failed, and it is in force.

    The swap of the head takes effect and its answer is lost.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    writer.lose_answer()
    outcome = writer.finish()
    assert (outcome.generation, outcome.repeated) == (1, False)
    assert outcome.changed == ("workspace/a",)
    again = Writer(world, label("c1", "a", 1)).finish()
    assert (again.generation, again.repeated) == (1, True)
    assert world.read_head().generation == 1


def test_a_lost_answer_is_found_under_a_later_generation(world):
    """A change that took effect is made a second time, over a later one.

    The swap takes effect, its answer is lost, and another operator's change comes
    before the head is read back: the newest change is then not the one sought. What
    was written for a swap that failed is deleted, and this one did not fail.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    writer.lose_answer()
    Writer(world, label("c2", "b", 2), seed=1).finish()
    assert writer.finish().generation == 1
    assert read_values(world) == {"a": "1", "b": "2"}


def test_a_swap_that_lands_late_takes_effect_once(world):
    """A change is reported as not applied and is in force a moment later.

    The swap is still on its way when the head is read back, which shows it unmoved.
    Reading once more would prove nothing either, so the swap is made again; the
    first one then arrives and must not count a second time.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    arrive = writer.delay()
    outcome = writer.finish()
    assert isinstance(outcome, Settled)
    assert arrive().outcome is WriteOutcome.CONFLICT
    assert [entry.change_id for entry in world.read_head().changes] == ["c1"]


def test_a_change_without_any_answer_stays_unknown(world):
    """An operator is told "not applied", sends another change and loses it.

    The swap has no answer and the store can't be read after it.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    arrive = writer.delay()
    world.store.faults.outage = True
    assert isinstance(writer.finish(), Unsettled)
    world.store.faults.outage = False
    assert arrive().outcome is WriteOutcome.APPLIED
    assert Writer(world, label("c1", "a", 1)).finish().repeated


def test_a_swap_on_its_way_outweighs_a_later_refusal(world):
    """An operator is told "not applied", and the change is in force a moment later.

    The swap is on its way, the head is read back unmoved, and the store then refuses
    the second swap: that one took no effect, the first one still may.
    """
    writer = Writer(world, label("c1", "a", 1))
    writer.advance_to(SwapHead)
    arrive = writer.delay()
    writer.advance_to(SwapHead)
    world.store.faults.refuse_calls = 1
    assert isinstance(writer.finish(), Unsettled)
    assert arrive().outcome is WriteOutcome.APPLIED


def test_one_change_sent_through_two_instances(world):
    """The head names a shard that is gone, and no instance can read it any more.

    An operator sends a change again through another instance while the first one is
    at work. Both write the same content; the one that loses the swap deletes what it
    has written.
    """
    first = Writer(world, label("c1", "a", 1), seed=1)
    second = Writer(world, label("c1", "a", 1), seed=2)
    second.advance_to(SwapHead)
    first.finish()
    assert second.finish().repeated
    assert read_values(world) == {"a": "1"}


def test_a_store_that_was_never_written_to_leaves_nothing_unknown(world):
    """An operator has to look for a change that was never sent.

    The store is down from the start, so no swap was made.
    """
    world.store.faults.outage = True
    assert isinstance(Writer(world, label("c1", "a", 1)).finish(), NotApplied)


def test_two_operators_on_the_same_object(world):
    """An operator's edit is gone without a word.

    Two read the same generation; the second one's swap fails, reads the head again
    and would put its own object over the first one's.
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


def test_a_deletion_is_a_change_of_the_object(world, monkeypatch):
    """An object that was deleted is back.

    An edit began before the deletion and is applied after it, and after a change of
    another object in the same shard.
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
    """One of two unrelated changes is refused, or is gone.

    Both read the same generation; the second one's swap fails and must be made again
    on top of the first one's.
    """
    first = Writer(world, label("c1", "a", 1))
    second = Writer(world, label("c2", "b", 2), seed=1)
    second.advance_to(SwapHead)
    first.finish()
    assert second.finish().generation == 2
    assert read_values(world) == {"a": "1", "b": "2"}


def test_references_are_checked_again_after_a_lost_swap(world):
    """A pipeline names a service that does not exist.

    One operator deletes a service while another's pipeline that uses it is under
    way: each change is sound on the generation that it has read.
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
    """A change is reported as settled and nothing of it is in force.

    Its id was used before, for a change of something else.
    """
    Writer(world, label("c1", "a", 1)).finish()
    outcome = Writer(world, label("c1", "a", 2)).finish()
    assert outcome.code is RefusedCode.CHANGE_ID_REUSED


def test_a_rollback_is_a_change_that_others_conflict_with(world):
    """An operator's edit undoes part of a rollback.

    The edit began before the rollback, which put an old object in force again: were
    that object's record as old as its content, the edit would seem to be newer.
    """
    for number in (1, 2, 3):
        Writer(world, label(f"c{number}", "a", number)).finish()
    back = ChangeRequest(change_id="r", mode=ChangeMode.ROLLBACK, to_generation=1)
    assert Writer(world, back).finish().generation == 4
    assert read_values(world) == {"a": "1"}
    late = Writer(world, label("c4", "a", 4, base=3)).finish()
    assert isinstance(late, Conflicted)


def test_a_full_ring_refuses_rather_than_forgets(world, monkeypatch):
    """A lost answer can't be settled, as the change is no longer in the head.

    More changes than the head holds were made within the hour. Those of an hour ago
    may go, those of the last may not.
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
    """A change is accepted and is never in force anywhere.

    The store was put back to a time long past: instances keep the generation that
    they have, and the change would get one that is lower.
    """
    Writer(world, label("c1", "a", 1)).finish()
    outcome = Writer(world, label("c2", "a", 2), min_generation=7).finish()
    assert isinstance(outcome, NotApplied)
    assert world.read_head().generation == 1


def test_old_shards_are_deleted(world, monkeypatch):
    """The store fills up with shards that no generation names.

    Every change replaces one; those of generations that can't be put in force again
    are of no use, and neither are those of swaps that failed.
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
    """Writers and readers whose steps interleave, with a naive model beside them.

    The model is the list of all configurations that the store's head ever named.
    """

    writers = Bundle("writers")

    def __init__(self):
        super().__init__()
        self.patches = pytest.MonkeyPatch()
        # few buckets and generations, so that objects share shards and old shards
        # are deleted while others still look at them
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
            self.settle()
        finally:
            self.world.close()
            self.patches.undo()

    def settle(self):
        for arrive in self.in_flight:
            arrive()
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
                    self.in_flight.append(writer.delay())
                else:
                    writer.lose_answer()
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
        self.check_landing(head)
        self.seen_heads.append(head)

    def check_landing(self, head):
        records = {}
        for ref in head.shards.values():
            loaded = self.world.read_shard(ref)
            assert loaded is not None, "the head names a shard that is gone"
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
            wanted = self.history[request.to_generation]
            assert {key: row.body for key, row in live.items()} == {
                key: body for key, (_, body) in wanted.items()
            }

    @invariant()
    def check_replicas(self):
        for replica in self.replicas:
            if replica.generation == 0:
                continue
            wanted = self.history[replica.generation]
            found = {
                f"workspace/{item.name}": dict(item.labels)
                for item in replica.snapshot.workspaces.values()
            }
            assert found == {key: row[1]["labels"] for key, row in wanted.items()}

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
                    # only another writer with the same id may have made it
                    assert entry is None or len(others) > 1


def test_no_interleaving_reverts_doubles_or_splits_a_change():
    """The configuration depends on who asked when and on which answers were lost.

    Several writers, each paused, crashed or left without an answer at any step, and
    readers that learn from old heads and from each other.
    """
    run_state_machine_as_test(
        ChangesMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=30,
            deadline=None,
            derandomize=True,
            # without shrinking a failure is told within seconds
            phases=(Phase.explicit, Phase.generate),
            suppress_health_check=list(HealthCheck),
        ),
    )
