"""Mutation tests: the matrix detects the removal of each safeguard."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from unittest import mock

import pytest

from greengagelatch.config import replica
from greengagelatch.stages import ledger, tokens
from greengagelatch.targets.registry import TargetRegistry, TargetRegistryChange
from greengagelatch.verdict import Verdict
from greengagelatch_entry import stage_caller
from greengagelatch_entry.filters.deduplication import DeduplicationFilter
from greengagelatch_lab.matrix.callers_server import SimulatedCallersServer
from greengagelatch_lab.matrix.cells import Cell
from greengagelatch_lab.matrix.checker import Guarantee
from greengagelatch_lab.matrix.run import run_cell
from greengagelatch_lab.matrix.steps import Step


@dataclass(frozen=True)
class Mutation:
    """A safeguard to disable, and the cell and violation that must detect it."""

    owner: Any
    name: str
    replacement: Any
    fault: str
    step: Step
    guarantee: Guarantee


async def skip_claim(self, exchange, proceed):
    return await proceed(exchange)


async def return_idle(self, timeout):
    return True


MUTATIONS = {
    "retries of what may have run": Mutation(
        stage_caller,
        "decide_retry",
        lambda rules, failure, *, attempts, **_: "attempts" if attempts > 2 else None,
        "failing stage",
        Step.SENT,
        Guarantee.DUPLICATED,
    ),
    "claims": Mutation(
        DeduplicationFilter,
        "apply",
        skip_claim,
        "process killed",
        Step.BETWEEN_STAGES,
        Guarantee.DUPLICATED,
    ),
    "verdicts": Mutation(
        ledger.AttemptLedger,
        "verdict",
        Verdict.NOT_RUN,
        "failing stage",
        Step.RECEIVED,
        Guarantee.FALSE_NOT_RUN,
    ),
    "what was already given": Mutation(
        tokens.StreamedTokens,
        "append",
        lambda self, offset, text: tokens.TokenCheck.NEW,
        "failing stage",
        Step.RECEIVED,
        Guarantee.DUPLICATED,
    ),
    "leaving targets": Mutation(
        TargetRegistry,
        "mark_leaving",
        lambda self, target_ids: TargetRegistryChange(),
        "store slow",
        Step.RECEIVED,
        Guarantee.DRAINING_TARGET_USED,
    ),
    "waiting for requests in flight": Mutation(
        SimulatedCallersServer,
        "wait_idle",
        return_idle,
        "store slow",
        Step.LEAVING,
        Guarantee.DISCONNECTED,
    ),
    "higher generations only": Mutation(
        replica.Replica,
        "adopt",
        lambda self, head, fresh: (
            False if self.generation else ADOPT(self, head, fresh)
        ),
        "operators racing",
        Step.HEAD_SWAPPED,
        Guarantee.NOT_IN_FORCE,
    ),
}

ADOPT = replica.Replica.adopt


@pytest.mark.parametrize("name", MUTATIONS)
def test_disabled_safeguard_is_detected(name):
    mutation = MUTATIONS[name]
    with mock.patch.object(mutation.owner, mutation.name, mutation.replacement):
        result = run_cell(Cell((mutation.fault,), mutation.step), seed=1)
    assert not result.not_injected
    found = {violation.guarantee for violation in result.violations}
    assert mutation.guarantee in found, sorted(str(one) for one in result.violations)
