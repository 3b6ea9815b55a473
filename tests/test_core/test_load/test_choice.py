"""Tests of greengagelatch.load.choice."""

from __future__ import annotations

import random
from types import SimpleNamespace

from greengagelatch.load.choice import ChoiceRule, TwoChoices
from greengagelatch.targets import Target


def create_view(target_id, held=0.0):
    return SimpleNamespace(
        target=Target(target_id, "llm", "dc-a", "127.0.0.1:1"),
        held=held,
        limit=8.0,
        slowness=1.0,
        near=True,
        cached_prefixes=frozenset(),
    )


def test_calls_with_one_prefix_are_kept_to_few_targets():
    """Symptom: drafting calls are refused as internal errors, all others work.

    Sequence: a call that names a prompt prefix waits for one of several targets.
    Cause: the prefix was hashed as text, which the hash function does not take.
    """
    choice = TwoChoices(ChoiceRule(affinity_targets=1))
    views = tuple(create_view(f"t{number}") for number in range(6))
    source = random.Random(1)
    chosen = {
        choice.choose(views, "wheel lathes", source).target.target_id for _ in range(50)
    }
    assert len(chosen) == 1


def test_prefix_need_not_be_valid_text():
    """Symptom: one caller's drafting calls are refused as internal errors.

    Sequence: its JSON holds a lone half of a surrogate pair.
    Cause: such text can't be encoded strictly.
    """
    views = (create_view("t1"), create_view("t2"))
    choice = TwoChoices(ChoiceRule())
    assert choice.choose(views, "\ud800", random.Random(1)) in views


def test_calls_without_a_prefix_are_spread():
    choice = TwoChoices(ChoiceRule(affinity_targets=1))
    views = tuple(create_view(f"t{number}") for number in range(6))
    source = random.Random(1)
    chosen = {choice.choose(views, "", source).target.target_id for _ in range(200)}
    assert len(chosen) == 6
