"""Tests of the simulation of store outages, and of the cost of claims."""

from __future__ import annotations

import pytest

from greengagelatch_lab.claims_cost import measure
from greengagelatch_lab.claims_outage import POLICIES, OutagePattern, OutageSimulation

PARTIAL = OutagePattern("one data centre", 60.0, partial=True)


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_only_running_without_a_claim_runs_requests_twice(policy):
    """Guards against policies that run a request twice during a partition.

    The first attempt runs without a claim, and its retry runs with one at an instance
    that reaches the store.
    """
    report = OutageSimulation(policy, PARTIAL, 0).run()
    assert (report.run_twice > 0) is policy.run_first


async def test_claims_of_one_shard_share_writes():
    cost = await measure(200, 1.0, instances=3, shards=1)
    assert cost.refused == 0
    assert cost.writes < cost.claims / 3
