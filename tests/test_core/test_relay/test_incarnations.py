"""Tests of greengagelatch.relay.incarnations through the book, fleet and news."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagelatch.peers.codec import Envelope, decode, encode
from greengagelatch.relay.incarnations import Incarnation, IncarnationOrder
from greengagelatch.relay.load_balancer import EngineDemand, LoadBalancer, LoadReport
from greengagelatch.relay.messages import PeerSyncAnswer
from greengagelatch.relay.requests import Prompt, PromptPart
from greengagelatch.relay.target_rows import decode_target, encode_target
from greengagelatch.relay.targets import ListedTarget, TargetTable

PREVIOUS = Incarnation("t-1", 1000)
CURRENT = Incarnation("t-1", 2000)
WITHOUT_START = Incarnation("t-1")
NOW = 50.0
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
    return table, LoadBalancer(table=table, data_centre="north", random_source=source)


def test_incarnation_is_shown_with_its_start():
    assert (str(PREVIOUS), str(WITHOUT_START)) == ("t-1@1000", "t-1")


def test_target_that_starts_again_replaces_the_former_one():
    table = TargetTable()
    table.put(create(PREVIOUS, 5))
    assert table.compare(create(CURRENT, 6)) is IncarnationOrder.NEWER
    assert table.put(create(CURRENT, 6))
    assert table.is_available(CURRENT)
    assert not table.is_available(PREVIOUS)
    assert table.is_superseded(PREVIOUS)
    assert not table.is_superseded(CURRENT)
    assert [one.incarnation for one in table.list_service("desk")] == [CURRENT]


def test_target_that_left_may_start_again():
    """Symptom: a service is short of a target until the instance is restarted.

    Sequence: a target leaves as planned and starts again under the id that it had.
    Cause: that it had left was remembered under its id.
    """
    table = TargetTable()
    table.put(create(PREVIOUS, 5, leaving=True))
    table.remove(PREVIOUS, 6)
    assert table.put(create(CURRENT, 7))
    assert table.is_available(CURRENT)


def test_old_answer_does_not_bring_the_former_one_back():
    """Symptom: beliefs about a target begin anew again and again, and requests for
    results that it lost fail.

    Sequence: a target has started again; an entry of before is read from a peer that
    is behind, with whatever revision it may claim, also once the new one has gone.
    Cause: the entry read last was believed.
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


def test_removal_concerns_the_incarnation_that_was_listed():
    table = TargetTable()
    table.put(create(CURRENT, 5))
    assert not table.remove(PREVIOUS, 9)
    assert table.is_available(CURRENT)


def test_entry_without_a_start_is_of_the_one_known_at_its_address():
    table = TargetTable()
    table.put(create(CURRENT, 5))
    assert table.put(create(WITHOUT_START, 6, leaving=True))
    assert not table.is_available(CURRENT)
    assert [one.incarnation for one in table.list_all()] == [CURRENT]


def test_entry_without_a_start_elsewhere_is_nobodys():
    table = TargetTable()
    table.put(create(CURRENT, 5))
    elsewhere = create(WITHOUT_START, 6, address="10.0.0.2:80")
    assert table.compare(elsewhere) is IncarnationOrder.UNKNOWN
    assert not table.put(elsewhere)
    assert not table.is_available(WITHOUT_START)


def test_ids_without_a_start_are_as_before():
    table = TargetTable()
    table.put(create(WITHOUT_START, 5))
    assert (
        table.compare(create(WITHOUT_START, 6, address="10.0.0.2:80"))
        is IncarnationOrder.SAME
    )
    assert table.compare(create(CURRENT, 6)) is IncarnationOrder.NEWER


_entries = st.tuples(
    st.sampled_from(["put", "remove", "lapse"]),
    st.sampled_from(["t-1", "t-2"]),
    st.integers(0, 3),
    st.integers(1, 9),
    st.booleans(),
    st.sampled_from(["10.0.0.1:80", "10.0.0.2:80"]),
)


@given(st.lists(_entries, max_size=30))
def test_of_each_id_one_incarnation_gets_work_and_never_an_older_one(steps):
    table = TargetTable()
    newest = {"t-1": -1, "t-2": -1}
    for step, target_id, started_ms, revision, leaving, address in steps:
        incarnation = Incarnation(target_id, started_ms)
        if step == "put":
            entry = create(incarnation, revision, leaving=leaving, address=address)
            table.put(entry)
        else:
            table.remove(incarnation, revision, lapsed=step == "lapse")
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


def test_failures_of_the_former_one_do_not_count():
    """Symptom: a target that is back gets no work for seconds.

    Sequence: a target fails, is ended and starts again under its id.
    Cause: its breaker was kept under the id.
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


def test_prompt_parts_and_load_of_the_former_one_do_not_count():
    """Symptom: an engine that has just started reads whole prompts, late, while those
    that keep their parts idle.

    Sequence: an engine that kept the parts of many prompts starts again.
    Cause: its memory was remembered under the id.
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


def test_last_word_of_a_former_one_leaves_nothing_behind():
    """Symptom: memory grows with each restart of a target.

    Sequence: a request is at a target that starts again; it ends afterwards.
    Cause: the state of what had been forgotten was made anew for it.
    """
    table, balancer = create_balancer(create(PREVIOUS, 1))
    balancer.start(PREVIOUS, 100.0)
    table.put(create(CURRENT, 2))
    balancer.forget(PREVIOUS)
    balancer.record_failure(PREVIOUS, NOW)
    balancer.finish(PREVIOUS)
    assert balancer.describe(NOW) == {}


def test_home_of_prompt_parts_stays_with_the_id():
    """Symptom: a restart of one engine costs the parts of two.

    Sequence: an engine starts again; the parts that others were to keep move to it.
    Cause: homes were drawn anew for the new start.
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


def test_news_tell_the_start():
    target = create(CURRENT, 9)
    message = decode(
        encode(Envelope(PeerSyncAnswer(listed=True, targets=(encode_target(target),))))
    )
    row = message.unwrap().message.targets[0]
    assert decode_target(row) == target


ROW = ("t-1", 2000, "desk", "10.0.0.1:80", "north", 3, False, 9)


@pytest.mark.parametrize("started_ms", [-1, True, "2000", 2000.0, None])
def test_wrong_start_in_news_is_not_used(started_ms):
    assert decode_target(ROW) is not None
    assert decode_target((ROW[0], started_ms, *ROW[2:])) is None


_values = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(), st.binary()
)


@given(st.one_of(_values, st.lists(_values, max_size=9), st.tuples(*[_values] * 8)))
def test_rows_of_news_never_raise(row):
    decode_target(row)
