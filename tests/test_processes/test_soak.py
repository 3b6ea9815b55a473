"""Short soaks of the platform program with overlapping disturbances."""

from __future__ import annotations

import pytest

from greengagelatch_lab.soak.run import run_soak

pytestmark = [pytest.mark.processes, pytest.mark.timeout(240)]

#: time in seconds in which disturbances begin
SECONDS = 12.0


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_overlapping_disturbances_break_no_request(seed, tmp_path):
    """Guards against failures that need several disturbances at the same time.

    Targets fall silent or are brittle and instances are partitioned from them, while
    instances are stopped, started and reloaded and the configuration changes.
    """
    report = await run_soak(seed, SECONDS, tmp_path)
    assert report.served > 0
    assert not report.violations, str(report)
