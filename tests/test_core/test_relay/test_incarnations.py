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

FORMER = Incarnation("t-1", 1000)
LATER = Incarnation("t-1", 2000)
UNTOLD = Incarnation("t-1")
NOW = 50.0
NOBODY: frozenset[Incarnation] = frozenset()
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


def create_fleet(*targets: ListedTarget) -> tuple[TargetTable, LoadBalancer]:
    book = TargetTable()
    for target in targets:
        book.put(target)
    source = random.Random(4)
    return book, LoadBalancer(book=book, data_centre="north", random_source=source)


def test_incarnation_is_shown_with_its_start():
    assert (str(FORMER), str(UNTOLD)) == ("t-1@1000", "t-1")


def test_target_that_starts_again_replaces_the_former_one():
    book = TargetTable()
    book.put(create(FORMER, 5))
    assert book.compare(create(LATER, 6)) is IncarnationOrder.NEWER
    assert book.put(create(LATER, 6))
    assert book.is_available(LATER)
    assert not book.is_available(FORMER)
    assert book.is_superseded(FORMER)
    assert not book.is_superseded(LATER)
    assert [one.incarnation for one in book.list_service("desk")] == [LATER]


def test_target_that_left_may_start_again():
    """Symptom: a service is short of a target until the instance is restarted.

    Sequence: a target leaves as planned and starts again under the id that it had.
    Cause: that it had left was remembered under its id.
    """
    book = TargetTable()
    book.put(create(FORMER, 5, leaving=True))
    book.remove(FORMER, 6)
    assert book.put(create(LATER, 7))
    assert book.is_available(LATER)


def test_old_answer_does_not_bring_the_former_one_back():
    """Symptom: beliefs about a target begin anew again and again, and requests for
    results that it lost fail.

    Sequence: a target has started again; an entry of before is read from a peer that
    is behind, with whatever revision it may claim, also once the new one has gone.
    Cause: the entry read last was believed.
    """
    book = TargetTable()
    book.put(create(LATER, 5))
    old = create(FORMER, 9)
    assert book.compare(old) is IncarnationOrder.OUTDATED
    assert not book.put(old)
    assert book.is_available(LATER)
    book.remove(LATER, 10)
    assert not book.put(old)
    assert not book.is_available(FORMER)


def test_removal_concerns_the_incarnation_that_was_listed():
    book = TargetTable()
    book.put(create(LATER, 5))
    assert not book.remove(FORMER, 9)
    assert book.is_available(LATER)


def test_entry_without_a_start_is_of_the_one_known_at_its_address():
    book = TargetTable()
    book.put(create(LATER, 5))
    assert book.put(create(UNTOLD, 6, leaving=True))
    assert not book.is_available(LATER)
    assert [one.incarnation for one in book.list_all()] == [LATER]


def test_entry_without_a_start_elsewhere_is_nobodys():
    book = TargetTable()
    book.put(create(LATER, 5))
    elsewhere = create(UNTOLD, 6, address="10.0.0.2:80")
    assert book.compare(elsewhere) is IncarnationOrder.UNKNOWN
    assert not book.put(elsewhere)
    assert not book.is_available(UNTOLD)


def test_ids_without_a_start_are_as_before():
    book = TargetTable()
    book.put(create(UNTOLD, 5))
    assert (
        book.compare(create(UNTOLD, 6, address="10.0.0.2:80")) is IncarnationOrder.SAME
    )
    assert book.compare(create(LATER, 6)) is IncarnationOrder.NEWER


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
    book = TargetTable()
    newest = {"t-1": -1, "t-2": -1}
    for step, target_id, born, revision, leaving, address in steps:
        incarnation = Incarnation(target_id, born)
        if step == "put":
            entry = create(incarnation, revision, leaving=leaving, address=address)
            book.put(entry)
        else:
            book.remove(incarnation, revision, lapsed=step == "lapse")
        for known_id, before in newest.items():
            accepted = [
                number
                for number in range(4)
                if book.is_available(Incarnation(known_id, number))
            ]
            assert len(accepted) <= 1
            assert all(number >= before for number in accepted)
            known = book.find_newest(known_id)
            if known is not None:
                assert known.started_ms >= before
                newest[known_id] = known.started_ms


def test_failures_of_the_former_one_do_not_count():
    """Symptom: a target that is back gets no work for seconds.

    Sequence: a target fails, is ended and starts again under its id.
    Cause: its breaker was kept under the id.
    """
    book, fleet = create_fleet(create(FORMER, 1), create(Incarnation("t-2", 5), 2))
    for _ in range(3):
        fleet.record_failure(FORMER, NOW)
    fleet.start(Incarnation("t-2", 5))
    assert fleet.choose_least_loaded("desk", NOBODY, NOW).target_id == "t-2"
    book.put(create(LATER, 3))
    assert fleet.choose_least_loaded("desk", NOBODY, NOW).incarnation == LATER


def test_prompt_parts_and_load_of_the_former_one_do_not_count():
    """Symptom: an engine that has just started reads whole prompts, late, while those
    that keep their parts idle.

    Sequence: an engine that kept the parts of many prompts starts again.
    Cause: its memory was remembered under the id.
    """
    book, fleet = create_fleet(create(FORMER, 1), create(Incarnation("t-2", 5), 2))
    fleet.record_cached_parts(FORMER, PROMPT, NOW)
    fleet.record_load_report(FORMER, LoadReport(4, 2, 1), NOW)
    assert fleet.count_tokens(FORMER, PROMPT, NOW) == 1000
    book.put(create(LATER, 3))
    fleet.forget(FORMER)
    assert fleet.count_tokens(LATER, PROMPT, NOW) == 9000
    assert fleet.choose_least_loaded("desk", NOBODY, NOW) is not None
    assert "t-1@1000" not in fleet.describe(NOW)


def test_last_word_of_a_former_one_leaves_nothing_behind():
    """Symptom: memory grows with each restart of a target.

    Sequence: a request is at a target that starts again; it ends afterwards.
    Cause: the state of what had been forgotten was made anew for it.
    """
    book, fleet = create_fleet(create(FORMER, 1))
    fleet.start(FORMER, 100.0)
    book.put(create(LATER, 2))
    fleet.forget(FORMER)
    fleet.record_failure(FORMER, NOW)
    fleet.finish(FORMER)
    assert fleet.describe(NOW) == {}


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
    book, fleet = create_fleet(create(FORMER, 1), *others)
    before = [fleet.find_affinity_target("desk", one, NOW).target_id for one in prompts]
    book.put(create(LATER, 9))
    after = [fleet.find_affinity_target("desk", one, NOW).target_id for one in prompts]
    assert before == after
    need = EngineDemand(prompts[before.index("t-1")])
    assert fleet.choose_engine("desk", need, NOBODY, NOW).incarnation == LATER


def test_news_tell_the_start():
    target = create(LATER, 9)
    message = decode(
        encode(Envelope(PeerSyncAnswer(listed=True, targets=(encode_target(target),))))
    )
    row = message.unwrap().message.targets[0]
    assert decode_target(row) == target


ROW = ("t-1", 2000, "desk", "10.0.0.1:80", "north", 3, False, 9)


@pytest.mark.parametrize("born", [-1, True, "2000", 2000.0, None])
def test_wrong_start_in_news_is_not_used(born):
    assert decode_target(ROW) is not None
    assert decode_target((ROW[0], born, *ROW[2:])) is None


_values = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(), st.binary()
)


@given(st.one_of(_values, st.lists(_values, max_size=9), st.tuples(*[_values] * 8)))
def test_rows_of_news_never_raise(row):
    decode_target(row)
