"""Plans a run from a seed and verifies its responses."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from .arrivals import plan_arrivals
from .checker import Checker
from .expectation import Expectation
from .record_client import read_records
from .report import build_report

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..fleets import Fleet
    from .arrivals import Arrival
    from .report import Report
    from .run import LoadRun

__all__ = ("check_run", "plan_run")


def plan_run(
    fleet: Fleet, *, seconds: float, scale: float, seed: int
) -> tuple[Arrival, ...]:
    """Return the arrivals of a run; they are the same for the same seed.

    Idempotency keys and markers are also drawn from the seed, so every run on the
    same targets needs a different one.
    """
    return plan_arrivals(
        fleet, seconds=seconds, scale=scale, random_source=random.Random(seed)
    )


async def check_run(
    fleet: Fleet, run: LoadRun, targets: Sequence[dict[str, Any]]
) -> Report:
    """Check all responses of a completed run and return its report.

    :param targets: the fleet's targets, as the platform lists them
    """
    records = await read_records(targets)
    checker = Checker(
        observations=run.observations,
        records=records,
        expectation=Expectation(fleet.read_pipelines()),
    )
    return build_report(
        fleet=fleet.name,
        observations=run.observations,
        records=records,
        violations=checker.check(),
        client_lag=run.client_lag,
    )
