"""Comparison of policies over several seeds of each scenario."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import median

from greengagelatch.config.policy_resolution import Weights

from ..fleets import FLEETS
from .bound import compute_attainment_bound
from .policies import NaiveEntry, SchedulingEntry
from .scenarios import SCENARIOS, Scenario, run_trial
from .summary import Summary, summarise

__all__ = ("COMPARED", "Comparison", "Spread", "Variant", "compare", "spread")

#: trials that run in parallel
WORKERS = 2


@dataclass(frozen=True, slots=True)
class Variant:
    """A named policy."""

    name: str
    weights: Weights | None = None
    #: a single instance with up-to-date load of all targets takes all requests
    informed: bool = False


#: variants compared in every scenario
OURS = Variant("ours", Weights())
NAIVE = Variant("naive")
INFORMED = Variant("informed", Weights(), informed=True)
COMPARED = (OURS, NAIVE, INFORMED)
#: both extremes of the weights, compared in some scenarios only
EXTREMES = (
    Variant("attainment only", Weights(1.0, 0.0)),
    Variant("cost only", Weights(0.0, 1.0)),
)
#: scenarios that also compare the extremes of the weights
EXTREMES_SCENARIOS = ("load-1.3", "slow-target")


@dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """All trials of one scenario of one fleet."""

    fleet: str
    scenario: Scenario
    bounds: tuple[float, ...]
    #: a summary for each seed, by the name of the variant
    summaries: dict[str, tuple[Summary, ...]]


@dataclass(frozen=True, slots=True)
class Spread:
    """Median, minimum and maximum over the seeds."""

    median_value: float
    minimum: float
    maximum: float


def spread(values: Sequence[float]) -> Spread:
    """Compute the spread of one metric over the seeds."""
    return Spread(median(values), min(values), max(values))


def compare(
    fleet: str,
    names: Sequence[str],
    seeds: Sequence[int],
    report_progress: Callable[[str], None],
) -> tuple[Comparison, ...]:
    """Run the named scenarios of one fleet, or all if none is named."""
    chosen = [each for each in SCENARIOS if not names or each.name in names]
    comparisons = []
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        for scenario in chosen:
            variants = list(COMPARED)
            if scenario.name in EXTREMES_SCENARIOS:
                variants.extend(EXTREMES)
            jobs = [
                [pool.submit(_run, fleet, scenario, each, seed) for seed in seeds]
                for each in variants
            ]
            results = [[job.result() for job in row] for row in jobs]
            comparisons.append(
                Comparison(
                    fleet=fleet,
                    scenario=scenario,
                    bounds=tuple(bound for bound, _ in results[0]),
                    summaries={
                        each.name: tuple(summary for _, summary in row)
                        for each, row in zip(variants, results, strict=True)
                    },
                )
            )
            report_progress(f"{fleet}: {scenario.name}")
    return tuple(comparisons)


def _run(
    fleet: str, scenario: Scenario, variant: Variant, seed: int
) -> tuple[float, Summary]:
    if variant.weights is None:
        trial = run_trial(FLEETS[fleet], scenario, NaiveEntry, seed)
        return 0.0, summarise(trial)
    trial = run_trial(
        FLEETS[fleet],
        scenario,
        SchedulingEntry,
        seed,
        informed=variant.informed,
        weights=variant.weights,
    )
    bound = compute_attainment_bound(trial) if variant == OURS else 0.0
    return bound, summarise(trial)
