"""Several seeds of each scenario under each policy, side by side."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import median

from greengagelatch.config.policy_resolution import Weights

from ..fleets import FLEETS
from .bound import bound_attainment
from .policies import NaiveEntry, SchedulingEntry
from .scenarios import SCENARIOS, Scenario, run_trial
from .summary import Summary, summarise

__all__ = ("COMPARED", "Comparison", "Spread", "Variant", "compare", "spread")

#: trials that run side by side
WORKERS = 2


@dataclass(frozen=True, slots=True)
class Variant:
    """A policy under a name."""

    name: str
    weights: Weights | None = None
    #: one instance that sees the load of all targets takes all requests
    informed: bool = False


#: what is compared in every scenario
OURS = Variant("ours", Weights())
NAIVE = Variant("naive")
INFORMED = Variant("informed", Weights(), informed=True)
COMPARED = (OURS, NAIVE, INFORMED)
#: the two ends of the weighing, compared in some
ENDS = (
    Variant("attainment only", Weights(1.0, 0.0)),
    Variant("cost only", Weights(0.0, 1.0)),
)
#: scenarios in which the ends are compared too
WEIGHED = ("load-1.3", "slow-target")


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
    """Median, least and most over the seeds."""

    middle: float
    least: float
    most: float


def spread(values: Sequence[float]) -> Spread:
    """Return the spread of one figure over the seeds."""
    return Spread(median(values), min(values), max(values))


def compare(
    fleet: str, names: Sequence[str], seeds: Sequence[int], tell: Callable[[str], None]
) -> tuple[Comparison, ...]:
    """Run the named scenarios, by default all, of one fleet."""
    chosen = [each for each in SCENARIOS if not names or each.name in names]
    comparisons = []
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        for scenario in chosen:
            variants = list(COMPARED)
            if scenario.name in WEIGHED:
                variants.extend(ENDS)
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
            tell(f"{fleet}: {scenario.name}")
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
    bound = bound_attainment(trial) if variant == OURS else 0.0
    return bound, summarise(trial)
