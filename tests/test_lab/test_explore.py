"""Tests of the explicit-state model checker."""

from __future__ import annotations

import sys
from collections.abc import Iterable

import pytest

from greengagelatch_lab.explore import Model, Mutation, explore, explore_mutations


def may_enter(inside: int) -> bool:
    """Allow at most one process inside; this is the guard under test."""
    return inside == 0


class Door(Model[tuple[int, int]]):
    """Two processes that enter and leave; the state counts those inside and done."""

    def start(self) -> Iterable[tuple[int, int]]:
        return [(0, 0)]

    def list_steps(
        self, state: tuple[int, int]
    ) -> Iterable[tuple[str, tuple[int, int]]]:
        inside, done = state
        if inside + done < 2 and may_enter(inside):
            yield "enter", (inside + 1, done)
        if inside:
            yield "leave", (inside - 1, done + 1)

    def find_violation(self, state: tuple[int, int]) -> str:
        return "two inside" if state[0] > 1 else ""

    def find_final_violation(self, state: tuple[int, int]) -> str:
        return "" if state[1] == 2 else "stuck"


def test_all_states_are_visited_once():
    result = explore(Door())
    assert result.violation is None
    assert result.complete
    assert result.states == 5
    assert result.depth == 4


def test_missing_guard_is_found_by_the_shortest_path():
    mutation = Mutation("no guard", sys.modules[__name__], "may_enter", lambda _: True)
    result = explore_mutations(Door, [mutation])["no guard"]
    assert result.violation.trace == ("enter", "enter")
    assert "two inside" in str(result.violation)


def test_state_without_steps_is_checked():
    mutation = Mutation("closed", sys.modules[__name__], "may_enter", lambda _: False)
    result = explore_mutations(Door, [mutation])["closed"]
    assert result.violation.description == "stuck"


@pytest.mark.parametrize("bounds", [{"max_states": 2}, {"max_depth": 1}])
def test_cut_exploration_is_not_called_complete(bounds):
    assert not explore(Door(), **bounds).complete


def test_renamed_guard_is_an_error():
    mutation = Mutation("gone", sys.modules[__name__], "may_leave", lambda _: True)
    with pytest.raises(AttributeError):
        explore_mutations(Door, [mutation])
