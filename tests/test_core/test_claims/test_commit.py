"""Randomized tests of one shard: writers with different clocks and a lossy store."""

from __future__ import annotations

from unittest import mock

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Ok

from greengagelatch.claims import Token, operations
from greengagelatch.claims.commit import Step, create_commit
from greengagelatch.claims.encoding import decode_head, encode_head, encode_segment
from greengagelatch.claims.head import Head, ShardLimits
from greengagelatch.claims.operations import Acquire, GiveBack, ResultKind
from greengagelatch.store import ABSENT, Entry, WriteOutcome, WriteResult

RETENTION = 100
LIMITS = ShardLimits(
    retention=RETENTION, clock_margin=50, head_claims=3, segment_claims=6, segments=8
)
#: clock offsets of the writers, in seconds; they differ by less than the margin
OFFSETS = (-20, 0, 29)
KEYS = [bytes([number]) * 16 for number in range(8)]
DIGESTS = [bytes([number]) * 8 for number in range(2)]
HEAD = "head"

writers = strategies.integers(0, len(OFFSETS) - 1)
keys = strategies.sampled_from(KEYS)
fates = strategies.lists(
    strategies.sampled_from(["answered", "lost", "late", "dropped", "refused"]),
    max_size=3,
)
numbers = strategies.integers(0, 1000)


class ShardMachine(RuleBasedStateMachine):
    """State machine of a shard, with the results that its writers received."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.late: list[tuple[str, bytes, int]] = []
        self.caches = [(None, ()) for _ in OFFSETS]
        self.batches = 0
        self.serial = 0
        #: operations by the token of their attempt
        self.asked: dict[Token, Acquire] = {}
        #: key and time of the attempts that were granted their key
        self.granted: dict[Token, tuple[bytes, int]] = {}
        #: attempts that have ended without a run and will never run
        self.over: set[Token] = set()

    @rule(writer=writers, key=keys, digest=strategies.sampled_from(DIGESTS), fate=fates)
    def acquire(self, writer, key, digest, fate):
        self.serial += 1
        token = Token("one", 1, self.serial)
        operation = Acquire(key, digest, token)
        self.asked[token] = operation
        self.check_acquired(operation, self.commit(writer, operation, fate))

    @rule(writer=writers, number=numbers, fate=fates)
    def acquire_again(self, writer, number, fate):
        """Send an operation again, as after a lost answer."""
        waiting = [token for token in self.asked if token not in self.over]
        if not waiting:
            return
        token = waiting[number % len(waiting)]
        result = self.commit(writer, self.asked[token], fate)
        since = self.granted.get(token, ("", self.now - 2 * RETENTION))[1]
        if self.now - since <= RETENTION:
            assert result.kind is not ResultKind.HELD, "two attempts hold one key"
            assert result.kind in (
                ResultKind.GRANTED,
                ResultKind.UNREACHABLE,
                ResultKind.UNSETTLED,
            )
        self.check_acquired(self.asked[token], result)

    @rule(writer=writers, number=numbers, fate=fates)
    def give_back(self, writer, number, fate):
        """Give back the claim of an attempt; it may have been given back before."""
        if not self.asked:
            return
        token = list(self.asked)[number % len(self.asked)]
        self.over.add(token)
        self.granted.pop(token, None)
        self.commit(writer, GiveBack(self.asked[token].key, token), fate)

    @rule(seconds=strategies.integers(1, RETENTION))
    def wait(self, seconds):
        self.now += seconds

    @rule(number=numbers)
    def deliver_late(self, number):
        if not self.late:
            return
        self.write(*self.late.pop(number % len(self.late)))

    @rule(writer=writers)
    def restart(self, writer):
        self.caches[writer] = (None, ())

    @rule(writer=writers)
    def delete_retired(self, writer):
        view, _ = self.caches[writer]
        for ref in view.head.retired if view else ():
            found = self.entries.get(str(ref.number))
            if found is not None and found.revision == ref.revision:
                del self.entries[str(ref.number)]

    @invariant()
    def limits_hold(self):
        if HEAD not in self.entries:
            return
        head = decode_head(self.entries[HEAD].value).unwrap()
        assert len(head.claims) <= 2 * LIMITS.head_claims
        assert len(head.segments) <= LIMITS.segments
        for ref in head.segments:
            if ref.expires_at + LIMITS.clock_margin + RETENTION < self.now:
                continue
            assert self.entries[str(ref.number)].revision == ref.revision

    def check_acquired(self, operation, result):
        token = operation.token
        if result.kind is ResultKind.HELD:
            assert self.asked[result.holder].key == operation.key
        if result.kind is not ResultKind.GRANTED or token in self.over:
            return
        for other, (key, since) in self.granted.items():
            if key == operation.key and other != token:
                assert self.now - since > RETENTION, "two attempts hold one key"
        self.granted.setdefault(token, (operation.key, self.now))

    def commit(self, writer, operation, fate):
        """Commit one operation; ``fate`` lists the faults of its writes, in order."""
        view, segments = self.caches[writer]
        self.batches += 1
        commit = create_commit(
            (operation,),
            batch_id=self.batches.to_bytes(4),
            now=self.now + OFFSETS[writer],
            limits=LIMITS,
            view=view,
            segments=segments,
        )
        fate = list(fate)
        while commit.step is not Step.DONE:
            commit = self.advance(commit, fate)
        self.caches[writer] = (commit.view, commit.segments)
        return commit.results[0]

    def advance(self, commit, fate):
        match commit.step:
            case Step.READ_HEAD:
                return commit.handle_head(Ok(self.entries.get(HEAD)))
            case Step.READ_SEGMENT:
                found = self.entries.get(str(commit.missing_segment.number))
                return commit.handle_segment(Ok(found))
            case Step.READ_CONFLICTING_SEGMENT:
                number = commit.plan.head.next_segment - 1
                return commit.handle_conflicting_segment(
                    Ok(self.entries.get(str(number)))
                )
            case Step.WRITE_SEGMENT:
                key = str(commit.plan.head.next_segment - 1)
                value = encode_segment(commit.plan.segment)
                expected = commit.segment_expected
                return commit.handle_segment_write(
                    self.send(key, value, expected, fate)
                )
        value = encode_head(commit.plan.head)
        return commit.handle_head_swap(
            self.send(HEAD, value, commit.view.revision, fate)
        )

    def send(self, key, value, expected, fate):
        match fate.pop(0) if fate else "answered":
            case "answered":
                return self.write(key, value, expected)
            case "lost":
                self.write(key, value, expected)
            case "late":
                self.late.append((key, value, expected))
            case "refused":
                return WriteResult(WriteOutcome.NOT_APPLIED)
        return WriteResult(WriteOutcome.UNKNOWN)

    def write(self, key, value, expected):
        found = self.entries.get(key)
        revision = found.revision if found else ABSENT
        if revision != expected:
            return WriteResult(WriteOutcome.CONFLICT, revision)
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        return WriteResult(WriteOutcome.APPLIED, self.revision)


TestShard = ShardMachine.TestCase
TestShard.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


def forget_by_own_clock(claim, now, limits) -> bool:
    return now > claim.expires_at


def free_any(operation, current) -> bool:
    return current is not None and not current.state


@pytest.mark.parametrize(
    ("guard", "replacement"),
    [("is_expired", forget_by_own_clock), ("may_give_back", free_any)],
)
def test_random_histories_detect_a_missing_guard(guard, replacement):
    """The exhaustive exploration does not cover clocks that differ."""
    with (
        mock.patch.object(operations, guard, replacement),
        pytest.raises(AssertionError, match="two attempts hold one key"),
    ):
        run_state_machine_as_test(
            ShardMachine,
            settings=settings(
                max_examples=300,
                stateful_step_count=60,
                deadline=None,
                derandomize=True,
                database=None,
                phases=[Phase.generate],
                print_blob=False,
            ),
        )


def test_batch_on_a_cached_head_takes_one_write():
    """The preferred writer must not read the head for every batch."""
    steps = []
    commit = create_commit(
        (Acquire(KEYS[0], DIGESTS[0], Token("one", 1, 1)),),
        batch_id=b"1",
        now=1000,
        limits=LIMITS,
    )
    entries = {}
    for _ in range(2):
        while commit.step is not Step.DONE:
            steps.append(commit.step)
            if commit.step is Step.READ_HEAD:
                commit = commit.handle_head(Ok(entries.get(HEAD)))
                continue
            applied = WriteResult(WriteOutcome.APPLIED, len(steps))
            commit = commit.handle_head_swap(applied)
        commit = create_commit(
            (Acquire(KEYS[1], DIGESTS[0], Token("one", 1, 2)),),
            batch_id=b"2",
            now=1000,
            limits=LIMITS,
            view=commit.view,
            segments=commit.segments,
        )
    assert steps == [Step.READ_HEAD, Step.SWAP_HEAD, Step.SWAP_HEAD]


def test_head_of_another_format_is_never_overwritten():
    """A later release has written the head in a newer format.

    Guards against losing all claims of a shard during a rollout, so that requests run
    twice: an older instance that treats an unreadable head as an empty shard would
    overwrite what the newer one has written.
    """
    commit = create_commit(
        (Acquire(KEYS[0], DIGESTS[0], Token("one", 1, 1)),),
        batch_id=b"1",
        now=1000,
        limits=LIMITS,
    )
    newer = encode_head(Head()).replace(b"\x01", b"\x02", 1)
    commit = commit.handle_head(Ok(Entry(HEAD, newer, 5)))
    assert commit.step is Step.DONE
    assert commit.results[0].kind is ResultKind.UNREACHABLE
