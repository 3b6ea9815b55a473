"""Tests of incarnations in the target table, load balancer and peer messages."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.engine_costs import EngineDemand
from greengagelatch.relay.incarnations import Incarnation, IncarnationOrder
from greengagelatch.relay.load_balancer import LoadBalancer
from greengagelatch.relay.load_reports import LoadReport
from greengagelatch.relay.messages import PeerSyncAnswer
from greengagelatch.relay.requests import Prompt, PromptPart
from greengagelatch.relay.target_ends import EndEvidence
from greengagelatch.relay.target_rows import decode_target, encode_target
from greengagelatch.relay.targets import ListedTarget, TargetTable

PREVIOUS = Incarnation("t-1", 1000)
CURRENT = Incarnation("t-1", 2000)
WITHOUT_START = Incarnation("t-1")
NOW = 50.0
REMOVALS = (EndEvidence.REMOVAL, EndEvidence.INVALID_ENTRY)
NO_TARGETS: frozenset[Incarnation] = frozenset()
PROMPT = Prompt(tokens_in=9000, parts=(PromptPart("a", 8000), PromptPart("own", 1000)))


def create(
    incarnation: Incarnation,
    revision: int,
    *,
    leaving: bool = False,
    address: str = "10.0.0.1:80",
) -> ListedTarget:
    return ListedTarget(
        incarnation=incarnation,
        service="desk",
        address=address,
        data_centre="north",
        leaving=leaving,
        revision=revision,
    )


def create_balancer(*targets: ListedTarget) -> tuple[TargetTable, LoadBalancer]:
    table = TargetTable()
    for target in targets:
        table.put(target)
    source = random.Random(4)
    return table, LoadBalancer(
        target_table=table,
        data_centre="north",
        random_source=source,
    )


def test_incarnation_is_printed_with_its_start():
    assert (str(PREVIOUS), str(WITHOUT_START)) == ("t-1@1000", "t-1")


def test_restarted_target_replaces_its_former_incarnation():
    table = TargetTable()
    table.put(create(PREVIOUS, 5))
    assert table.compare(create(CURRENT, 6)) is IncarnationOrder.NEWER
    assert table.put(create(CURRENT, 6))
    assert table.is_available(CURRENT)
    assert not table.is_available(PREVIOUS)
    assert table.is_superseded(PREVIOUS)
    assert not table.is_superseded(CURRENT)
    assert [one.incarnation for one in table.list_service("desk")] == [CURRENT]


def test_drained_target_may_restart():
    """Guards against a restarted target that gets no requests.

    A target drained and restarted under the same id; the drain was remembered by id
    rather than by incarnation.
    """
    table = TargetTable()
    table.put(create(PREVIOUS, 5, leaving=True))
    table.remove(PREVIOUS, 6)
    assert table.put(create(CURRENT, 7))
    assert table.is_available(CURRENT)


def test_stale_entry_does_not_restore_a_former_incarnation():
    """Guards against requests for lost results, and state that is reset repeatedly.

    After a restart, a stale entry with any revision was read from a lagging peer, even
    after the new incarnation had gone; the entry read last won.
    """
    table = TargetTable()
    table.put(create(CURRENT, 5))
    old = create(PREVIOUS, 9)
    assert table.compare(old) is IncarnationOrder.OUTDATED
    assert not table.put(old)
    assert table.is_available(CURRENT)
    table.remove(CURRENT, 10)
    assert not table.put(old)
    assert not table.is_available(PREVIOUS)


def test_removal_of_another_incarnation_is_ignored():
    table = TargetTable()
    table.put(create(CURRENT, 5))
    assert not table.remove(PREVIOUS, 9)
    assert table.is_available(CURRENT)


def test_entry_without_a_start_matches_the_known_address():
    table = TargetTable()
    table.put(create(CURRENT, 5))
    assert table.put(create(WITHOUT_START, 6, leaving=True))
    assert not table.is_available(CURRENT)
    assert [one.incarnation for one in table.list_all()] == [CURRENT]


def test_entry_without_a_start_at_another_address_is_ignored():
    table = TargetTable()
    table.put(create(CURRENT, 5))
    elsewhere = create(WITHOUT_START, 6, address="10.0.0.2:80")
    assert table.compare(elsewhere) is IncarnationOrder.UNKNOWN
    assert not table.put(elsewhere)
    assert not table.is_available(WITHOUT_START)


def test_known_id_without_a_start_accepts_any_address():
    table = TargetTable()
    table.put(create(WITHOUT_START, 5))
    assert (
        table.compare(create(WITHOUT_START, 6, address="10.0.0.2:80"))
        is IncarnationOrder.SAME
    )
    assert table.compare(create(CURRENT, 6)) is IncarnationOrder.NEWER


_entries = st.tuples(
    st.sampled_from(["put", *REMOVALS]),
    st.sampled_from(["t-1", "t-2"]),
    st.integers(0, 3),
    st.integers(1, 9),
    st.booleans(),
    st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
)


@given(st.lists(_entries, max_size=30))
def test_only_the_newest_incarnation_of_each_id_is_accepted(steps):
    table = TargetTable()
    newest = {"t-1": -1, "t-2": -1}
    for step, target_id, started_ms, revision, leaving, address in steps:
        incarnation = Incarnation(target_id, started_ms)
        if step == "put":
            entry = create(incarnation, revision, leaving=leaving, address=address)
            table.put(entry)
        else:
            table.remove(incarnation, revision, step)
        for known_id, before in newest.items():
            accepted = [
                number
                for number in range(4)
                if table.is_available(Incarnation(known_id, number))
            ]
            assert len(accepted) <= 1
            assert all(number >= before for number in accepted)
            known = table.find_newest(known_id)
            if known is not None:
                assert known.started_ms >= before
                newest[known_id] = known.started_ms


def test_failures_of_a_former_incarnation_do_not_count():
    """Guards against a restarted target that gets no requests for seconds.

    A target failed and was restarted under the same id; its circuit breaker was stored
    by id.
    """
    table, balancer = create_balancer(
        create(PREVIOUS, 1), create(Incarnation("t-2", 5), 2)
    )
    for _ in range(3):
        balancer.record_failure(PREVIOUS, NOW)
    balancer.start(Incarnation("t-2", 5))
    assert balancer.choose_least_loaded("desk", NO_TARGETS, NOW).target_id == "t-2"
    table.put(create(CURRENT, 3))
    assert balancer.choose_least_loaded("desk", NO_TARGETS, NOW).incarnation == CURRENT


def test_cached_parts_and_load_of_a_former_incarnation_do_not_count():
    """Guards against prompts sent to an engine whose prefix cache is empty.

    An engine with many cached parts restarted; its cached parts were recorded by id,
    and engines that did have the parts stayed idle.
    """
    table, balancer = create_balancer(
        create(PREVIOUS, 1), create(Incarnation("t-2", 5), 2)
    )
    balancer.record_cached_parts(PREVIOUS, PROMPT, NOW)
    balancer.record_load_report(PREVIOUS, LoadReport(4, 2, 1), NOW)
    assert balancer.count_tokens(PREVIOUS, PROMPT, NOW) == 1000
    table.put(create(CURRENT, 3))
    balancer.forget(PREVIOUS)
    assert balancer.count_tokens(CURRENT, PROMPT, NOW) == 9000
    assert balancer.choose_least_loaded("desk", NO_TARGETS, NOW) is not None
    assert "t-1@1000" not in balancer.describe(NOW)


def test_late_outcome_of_a_former_incarnation_leaves_no_state():
    """Guards against memory that grows with each restart of a target.

    A request ended after its target had restarted, which recreated the discarded state
    of the former incarnation.
    """
    table, balancer = create_balancer(create(PREVIOUS, 1))
    balancer.start(PREVIOUS, 100.0)
    table.put(create(CURRENT, 2))
    balancer.forget(PREVIOUS)
    balancer.record_failure(PREVIOUS, NOW)
    balancer.finish(PREVIOUS)
    assert balancer.describe(NOW) == {}


def test_affinity_target_depends_on_the_id_only():
    """Guards against a restart that invalidates cached parts of other engines.

    An engine restarted, and parts of other engines were reassigned to it, as the hash
    included the start time.
    """
    others = [create(Incarnation(f"t-{n}", 7), n) for n in range(2, 7)]
    prompts = [
        Prompt(tokens_in=9000, parts=(PromptPart(f"p-{n}", 8000), PromptPart("o", 1)))
        for n in range(40)
    ]
    table, balancer = create_balancer(create(PREVIOUS, 1), *others)
    before = [
        balancer.find_affinity_target("desk", one, NOW).target_id for one in prompts
    ]
    table.put(create(CURRENT, 9))
    after = [
        balancer.find_affinity_target("desk", one, NOW).target_id for one in prompts
    ]
    assert before == after
    need = EngineDemand(prompts[before.index("t-1")])
    assert balancer.choose_engine("desk", need, NO_TARGETS, NOW).incarnation == CURRENT


def test_peer_message_contains_the_start():
    target = create(CURRENT, 9)
    message = decode(
        encode(Envelope(PeerSyncAnswer(listed=True, targets=(encode_target(target),))))
    )
    row = message.unwrap().message.targets[0]
    assert decode_target(row) == target


ROW = ("t-1", 2000, "desk", "10.0.0.1:80", "north", 3, False, 9)


@pytest.mark.parametrize("started_ms", [-1, True, "2000", 2000.0, None])
def test_row_with_an_invalid_start_is_rejected(started_ms):
    assert decode_target(ROW) is not None
    assert decode_target((ROW[0], started_ms, *ROW[2:])) is None


_values = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(), st.binary()
)


@given(st.one_of(_values, st.lists(_values, max_size=9), st.tuples(*[_values] * 8)))
def test_arbitrary_rows_never_raise(row):
    decode_target(row)
