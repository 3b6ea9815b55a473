"""Explores all interleavings of claims, with and without each guard."""

from __future__ import annotations

import os
from unittest import mock

import pytest

from greengagelatch.claims import attempt, commit, operations, registry
from greengagelatch.claims.operations import Acquire, GiveBack
from greengagelatch.claims.registry import AttemptState
from greengagelatch_lab import claims_model
from greengagelatch_lab.claims_model import (
    OTHER_KEY,
    ClaimsModel,
    FaultBudget,
    KeyedRequest,
)
from greengagelatch_lab.explore import Mutation, explore, explore_mutations

#: set to explore with larger fault budgets, which takes minutes
LARGE = "GREENGAGELATCH_EXPLORE_LARGE" in os.environ
MAX_STATES = 2_000_000 if LARGE else 60_000

OTHER = b"e" * 8


def create_forwarded() -> ClaimsModel:
    """Two instances forward to a third one; answers are lost on both hops."""
    lost = 2 if LARGE else 1
    return ClaimsModel(
        (KeyedRequest(0, (2, 0)), KeyedRequest(1, (2, 1))),
        writers=3,
        budget=FaultBudget(lost_swaps=lost, timeouts=2),
    )


def create_given_up() -> ClaimsModel:
    """Requests are abandoned while their claims are being acquired."""
    return ClaimsModel(
        (KeyedRequest(0, (1, 0)), KeyedRequest(1, (1,))),
        writers=2,
        budget=FaultBudget(abandoned=2, lost_swaps=1, timeouts=1 if LARGE else 0),
    )


def create_given_back() -> ClaimsModel:
    """A claim is given back while other attempts acquire the key."""
    return ClaimsModel(
        (KeyedRequest(0, (1, 0)), KeyedRequest(1, (1,))),
        writers=2,
        budget=FaultBudget(not_run=1, lost_swaps=1, timeouts=1, resends=1),
    )


def create_twice_given_back() -> ClaimsModel:
    """Three attempts; a give-back arrives late and is duplicated."""
    return ClaimsModel(
        (KeyedRequest(0, (0,)), KeyedRequest(1, (1,)), KeyedRequest(1, (0, 1))),
        writers=2,
        budget=FaultBudget(
            not_run=2 if LARGE else 1, resends=1, lost_swaps=1 if LARGE else 0
        ),
    )


def create_crashing() -> ClaimsModel:
    """An instance crashes at any moment."""
    return ClaimsModel(
        (KeyedRequest(0, (1, 0)), KeyedRequest(1, (1,))),
        writers=2,
        budget=FaultBudget(not_run=1, lost_swaps=1, timeouts=1, crashes=1),
    )


def create_sealing() -> ClaimsModel:
    """Two writers seal every claim immediately, while answers are lost."""
    return ClaimsModel(
        (KeyedRequest(0, (0,)), KeyedRequest(1, (1,))),
        writers=2,
        budget=FaultBudget(not_run=1, lost_swaps=2 if LARGE else 1, refused_swaps=1),
        filler=True,
        final_give_backs=True,
    )


def create_joining() -> ClaimsModel:
    """Segments are merged and the older ones deleted; two keys are used."""
    return ClaimsModel(
        (
            KeyedRequest(0, (0,)),
            KeyedRequest(1, (1,)),
            KeyedRequest(1, (1,), key=OTHER_KEY),
        ),
        writers=2,
        budget=FaultBudget(not_run=1, lost_swaps=1 if LARGE else 0),
        filler=True,
        final_give_backs=True,
    )


def create_reused() -> ClaimsModel:
    """The same key is used for two different requests."""
    return ClaimsModel(
        (
            KeyedRequest(0, (1, 0)),
            KeyedRequest(0, (0,), OTHER),
            KeyedRequest(1, (1,), OTHER),
        ),
        writers=2,
        budget=FaultBudget(not_run=1, timeouts=1),
    )


MODELS = (
    create_forwarded,
    create_given_up,
    create_given_back,
    create_twice_given_back,
    create_crashing,
    create_sealing,
    create_joining,
    create_reused,
)


@pytest.mark.parametrize("create_model", MODELS)
def test_no_interleaving_runs_a_request_twice(create_model):
    result = explore(create_model(), max_states=MAX_STATES)
    print(f"{create_model.__name__}: {result.states} states, depth {result.depth}")
    assert result.violation is None, str(result.violation)
    assert result.complete


def free_any(operation: GiveBack, current) -> bool:
    return current is not None and not current.state


def take_any(operation: Acquire, current) -> bool:
    return current is None or bool(current.state) or operation.replaces is not None


def describe_pending_as_free(record):
    if record is not None and record.state is AttemptState.PENDING:
        return registry.AttemptRecord(AttemptState.GIVEN_BACK)
    return record


def always(*args) -> bool:
    return True


def never(*args) -> bool:
    return False


MUTATIONS = (
    (create_forwarded, Mutation("no revision", claims_model, "is_expected", always)),
    (create_forwarded, Mutation("lost is applied", commit, "is_applied", always)),
    (create_given_back, Mutation("no batch id", commit, "is_applied", never)),
    (create_given_up, Mutation("late grant runs", registry, "may_run", always)),
    (
        create_twice_given_back,
        Mutation("give-back of any", operations, "may_give_back", free_any),
    ),
    (
        create_twice_given_back,
        Mutation("takes over any", operations, "may_acquire", take_any),
    ),
    (
        create_forwarded,
        Mutation("pending is free", attempt, "mask_pending", describe_pending_as_free),
    ),
    (create_reused, Mutation("no digest", operations, "is_same_request", always)),
    (create_reused, Mutation("outdated head", commit, "must_confirm", never)),
    (create_sealing, Mutation("segment replaced", commit, "may_overwrite", always)),
    (
        create_sealing,
        Mutation("no tombstone", operations, "is_sealed", never),
    ),
)


@pytest.mark.parametrize(
    ("create_model", "mutation"), MUTATIONS, ids=lambda one: getattr(one, "name", "")
)
def test_each_missing_guard_is_detected(create_model, mutation):
    results = explore_mutations(create_model, [mutation], max_states=MAX_STATES)
    result = results[mutation.name]
    print(f"{mutation.name}: {result.states} states, {result.violation}")
    assert result.violation is not None


def test_batch_whose_id_was_evicted_is_not_applied_again():
    """A writer reads the head back so late that the id of its batch is evicted.

    Its claim was given back in between. If it treated the missing id as a failed swap,
    it would claim the key again, for an attempt that has ended.
    """
    mutation = Mutation("no ring check", commit, "is_batch_id_evicted", never)

    def create_model() -> ClaimsModel:
        return ClaimsModel(
            (KeyedRequest(0, (1, 0)), KeyedRequest(1, (1,))),
            writers=2,
            budget=FaultBudget(abandoned=1, lost_swaps=1, resends=1),
        )

    with mock.patch.object(operations, "MAX_BATCH_IDS", 1):
        sound = explore(create_model(), max_states=MAX_STATES)
        results = explore_mutations(create_model, [mutation], max_states=MAX_STATES)
    print(f"ring of one: {sound.states} states, {results[mutation.name].violation}")
    assert sound.violation is None, str(sound.violation)
    assert sound.complete
    assert results[mutation.name].violation is not None
