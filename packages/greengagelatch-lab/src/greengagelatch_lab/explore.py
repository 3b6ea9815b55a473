"""Explicit-state model checker for small models of concurrent code.

A model wraps production decision code: it defines the initial states and the steps
that are possible in each state. :func:`explore` visits every reachable state in
breadth-first order and returns the shortest path to a violation, if there is one. It
uses no random numbers and no clock, so it is deterministic.

States must be hashable and immutable, such as frozen data classes and tuples. A state
should hold nothing that does not affect later steps, as each needless detail multiplies
the number of states.

:func:`explore_mutations` checks that a model detects a missing guard: it replaces one
function or method of the code under test at a time and explores again.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar
from unittest import mock

__all__ = (
    "Exploration",
    "Model",
    "Mutation",
    "Violation",
    "explore",
    "explore_mutations",
)

S = TypeVar("S", bound=Hashable)

#: larger state spaces take minutes and gigabytes; reduce the model instead
DEFAULT_MAX_STATES = 200_000


class Model(ABC, Generic[S]):
    """A transition system and its invariants."""

    @abstractmethod
    def start(self) -> Iterable[S]:
        """Return the initial states."""

    @abstractmethod
    def list_steps(self, state: S) -> Iterable[tuple[str, S]]:
        """Return each possible step as a label for the trace and the next state."""

    @abstractmethod
    def find_violation(self, state: S) -> str:
        """Return a description of the violated invariant, or an empty text."""

    def find_final_violation(self, state: S) -> str:
        """Return what is wrong with ``state`` as a final state, or an empty text."""
        return ""


@dataclass(frozen=True, slots=True)
class Violation:
    """A reached state that violates an invariant, with the labels of its steps."""

    description: str
    trace: tuple[str, ...]
    state: Any

    def __str__(self) -> str:
        lines = [self.description]
        for number, label in enumerate(self.trace, start=1):
            lines.append(f"  {number}. {label}")
        return "\n".join(lines)


@dataclass(frozen=True, slots=True, kw_only=True)
class Exploration:
    """Result of an exploration."""

    #: number of distinct states reached
    states: int
    #: number of steps followed, including those to states already reached
    transitions: int
    #: number of steps from an initial state to the last state visited
    depth: int
    #: whether every state within the bounds of the model was visited
    complete: bool
    violation: Violation | None = None


@dataclass(frozen=True, slots=True)
class Mutation:
    """A disabled guard: ``owner.attribute`` is replaced by ``replacement``."""

    name: str
    owner: Any
    attribute: str
    replacement: Any


def explore(
    model: Model[S],
    *,
    max_states: int = DEFAULT_MAX_STATES,
    max_depth: int | None = None,
) -> Exploration:
    """Visit all states in breadth-first order, up to the first violation.

    The result is not ``complete`` if ``max_states`` or ``max_depth`` was reached.
    """
    parents: dict[S, tuple[S, str] | None] = {}
    queue: deque[tuple[S, int]] = deque()
    transitions = 0
    depth = 0
    complete = True
    violation = None

    for state in model.start():
        if state in parents:
            continue
        parents[state] = None
        queue.append((state, 0))

    while queue:
        state, depth = queue.popleft()
        description = model.find_violation(state)
        if description:
            violation = Violation(description, _trace(parents, state), state)
            break
        if max_depth is not None and depth >= max_depth:
            complete = False
            continue
        steps = 0
        for label, successor in model.list_steps(state):
            steps += 1
            if successor in parents:
                continue
            if len(parents) >= max_states:
                complete = False
                continue
            parents[successor] = (state, label)
            queue.append((successor, depth + 1))
        transitions += steps
        if steps:
            continue
        description = model.find_final_violation(state)
        if description:
            violation = Violation(description, _trace(parents, state), state)
            break

    return Exploration(
        states=len(parents),
        transitions=transitions,
        depth=depth,
        complete=complete and violation is None,
        violation=violation,
    )


def explore_mutations(
    create_model: Callable[[], Model[S]],
    mutations: Iterable[Mutation],
    *,
    max_states: int = DEFAULT_MAX_STATES,
) -> dict[str, Exploration]:
    """Explore once for each mutation and return the results by its name.

    A mutation without a violation means that the model does not test that guard.
    """
    results = {}
    for mutation in mutations:
        # patch.object raises AttributeError if the guard has been renamed
        with mock.patch.object(
            mutation.owner, mutation.attribute, mutation.replacement
        ):
            results[mutation.name] = explore(create_model(), max_states=max_states)
    return results


def _trace(parents: dict[S, tuple[S, str] | None], state: S) -> tuple[str, ...]:
    labels = []
    parent = parents[state]
    while parent is not None:
        state, label = parent
        labels.append(label)
        parent = parents[state]
    return tuple(reversed(labels))
