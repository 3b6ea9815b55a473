"""Tests of greengagelatch.relay.fleet."""

from __future__ import annotations

import random

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.load_balancer import EngineDemand, LoadBalancer, LoadReport
from greengagelatch.relay.requests import Prompt, PromptPart
from greengagelatch.relay.targets import ListedTarget, TargetTable

NOW = 50.0
NO_TARGETS: frozenset[Incarnation] = frozenset()


def create_balancer(count: int = 5, *, slots: int = 6) -> LoadBalancer:
    table = TargetTable()
    for number in range(count):
        table.put(
            ListedTarget(
                incarnation=Incarnation(f"t-{number}"),
                service="s",
                address=f"10.0.0.{number}:80",
                data_centre=("north", "south", "east")[number % 3],
                slots=slots,
                revision=number + 1,
            )
        )
    return LoadBalancer(
        table=table, data_centre="north", random_source=random.Random(4)
    )


def create_need(
    part: str, tokens: int = 9000, first: str = "", **sizes: int
) -> EngineDemand:
    parts = (PromptPart(part, 2500), PromptPart(f"own-{part}", tokens - 2500))
    if first:
        parts = (PromptPart(first, 2500), *parts)
        tokens += 2500
    return EngineDemand(Prompt(tokens_in=tokens, parts=parts), sizes)


def choose(balancer: LoadBalancer, need: EngineDemand, excluded=NO_TARGETS) -> str:
    return balancer.choose_engine("s", need, excluded, NOW).target_id


def test_near_target_is_preferred():
    balancer = create_balancer()
    chosen = balancer.choose_least_loaded("s", NO_TARGETS, NOW)
    assert chosen.data_centre == "north"


def test_least_loaded_target_is_chosen():
    balancer = create_balancer(3)
    balancer.start(Incarnation("t-0"))
    balancer.start(Incarnation("t-0"))
    assert balancer.choose_least_loaded("s", NO_TARGETS, NOW).target_id != "t-0"


def test_targets_word_on_its_load_counts_for_a_while():
    balancer = create_balancer(1 + 1)
    balancer.record_load_report(Incarnation("t-0"), LoadReport(6, 3, 6), NOW)
    assert balancer.choose_least_loaded("s", NO_TARGETS, NOW).target_id == "t-1"
    assert balancer.choose_least_loaded("s", NO_TARGETS, NOW + 5).target_id == "t-0"


def test_failing_target_is_out_for_a_while():
    """Symptom: every third booking fails for as long as one replica is lost.

    Sequence: a target crashes and stays listed; each request finds out anew.
    Cause: outcomes were not remembered.
    """
    balancer = create_balancer(3)
    balancer.record_failure(Incarnation("t-0"), NOW)
    balancer.record_failure(Incarnation("t-0"), NOW)
    for _ in range(20):
        assert (
            balancer.choose_least_loaded("s", NO_TARGETS, NOW + 0.2).target_id != "t-0"
        )


def test_service_is_never_emptied_by_failures():
    """Symptom: an instance refuses everything, though its targets answer others.

    Sequence: the network of one instance is at fault for a moment, and every target
    seems to fail.
    Cause: all of them were taken out.
    """
    balancer = create_balancer(3)
    for number in range(3):
        for _ in range(3):
            balancer.record_failure(Incarnation(f"t-{number}"), NOW)
    assert balancer.choose_least_loaded("s", NO_TARGETS, NOW + 0.1) is not None


def test_excluded_targets_are_not_chosen():
    balancer = create_balancer(2)
    assert (
        balancer.choose_least_loaded(
            "s", frozenset({Incarnation("t-0"), Incarnation("t-1")}), NOW
        )
        is None
    )


def test_instances_agree_on_the_home_of_a_prompt_part():
    first, second = create_balancer(), create_balancer()
    for number in range(20):
        need = create_need(f"part-{number}")
        assert choose(first, need) == choose(second, need)


def test_common_beginning_does_not_bring_requests_together():
    """Symptom: four engines of 45 are late with everything, most others idle.

    Sequence: many instances send long prompts of which four different beginnings are
    shared; each sends a few, so that none sees what waits at the engines.
    Cause: the first shared part alone named the home of a prompt.
    """
    balancer = create_balancer(45)
    needs = [create_need(f"part-{number}", first="common") for number in range(90)]
    homes = [choose(balancer, need) for need in needs]
    assert len(set(homes)) > 30
    assert max(homes.count(one) for one in homes) <= 8


def test_home_that_has_too_much_to_read_gives_way():
    """Symptom: one engine is late with everything while the others idle.

    Sequence: half of the requests share one prompt part, and its home gets them all.
    Cause: what the home has still to read did not count.
    """
    balancer = create_balancer()
    need = create_need("hot")
    home = choose(balancer, need)
    for _ in range(3):
        balancer.start(Incarnation(home), 9000)
    assert choose(balancer, need) != home


def test_engine_that_has_read_a_part_is_preferred():
    balancer = create_balancer()
    need = create_need("part")
    home = choose(balancer, need)
    other = choose(balancer, need, frozenset({Incarnation(home)}))
    balancer.record_cached_parts(Incarnation(other), need.prompt, NOW)
    assert balancer.count_tokens(Incarnation(other), need.prompt, NOW) == 9000 - 2500
    assert balancer.count_tokens(Incarnation(other), need.prompt, NOW + 60) == 9000


def test_engine_near_large_results_is_preferred():
    balancer = create_balancer()
    need = create_need("part", east=6_000_000)
    assert choose(balancer, need) in ("t-2",)


def test_engine_that_told_of_free_places_takes_requests_in():
    balancer = create_balancer(2)
    first, second = balancer._table.list_service("s")
    balancer.record_load_report(first.incarnation, LoadReport(2, 0, 6), NOW)
    balancer.record_load_report(second.incarnation, LoadReport(6, 3, 6), NOW)
    assert balancer.has_free_slots(first, NOW)
    assert not balancer.has_free_slots(second, NOW)


def test_engine_of_which_nothing_was_heard_is_taken_for_the_others():
    """Symptom: inputs of requests are freed before their engine has fetched them.

    Sequence: an instance sends to an engine that it has not heard of for long.
    Cause: what is not known was taken for free places.
    """
    balancer = create_balancer(3)
    unheard, second, third = balancer._table.list_service("s")
    assert not balancer.has_free_slots(unheard, NOW)
    balancer.record_load_report(second.incarnation, LoadReport(1, 0, 6), NOW)
    assert balancer.has_free_slots(unheard, NOW)
    balancer.record_load_report(third.incarnation, LoadReport(5, 0, 6), NOW)
    assert not balancer.has_free_slots(unheard, NOW)
    assert not balancer.has_free_slots(unheard, NOW + 60.0)
