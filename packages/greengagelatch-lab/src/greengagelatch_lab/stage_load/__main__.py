"""Run load trials of stages: ``python -m greengagelatch_lab.stage_load``."""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, median
from typing import TYPE_CHECKING

from greengagelatch.relay.admission import AdmitAll
from greengagelatch.relay.batches import PerRequestBatching
from greengagelatch.relay.bundle_orders import DeadlineOrder
from greengagelatch.relay.groups import PerDataCentreOwnership, SingleOwnership

from .ranked_shapes import RANKED_SCENARIOS, RANKED_SHAPES
from .shapes import SCENARIOS, SHAPES
from .trial import Policies, run_trial

if TYPE_CHECKING:
    from .outcomes import Outcome

__all__ = ("main",)

#: all fleets and load scenarios, by the name given on the command line
ALL_SHAPES = SHAPES | RANKED_SHAPES
ALL_SCENARIOS = SCENARIOS | RANKED_SCENARIOS
#: worker processes that run trials in parallel
WORKERS = 6
#: sets of policies under comparison, by the name given on the command line
VARIANTS = {
    "ours": Policies(),
    "unsettled": Policies(exclusive=False),
    "undivided": Policies(create_ownership_policy=SingleOwnership),
    "divided": Policies(create_ownership_policy=PerDataCentreOwnership),
    "admit-all": Policies(create_admission=AdmitAll),
    "by-deadline": Policies(create_order=lambda *_: DeadlineOrder()),
    "naive": Policies(
        create_batch_policy=lambda _: PerRequestBatching(), create_admission=AdmitAll
    ),
}


def main() -> None:
    """Run the trials and print one line per fleet, scenario and variant."""
    arguments = _parse()
    keys = [
        (fleet, scenario, variant)
        for fleet in arguments.fleet
        for scenario in arguments.scenario
        for variant in arguments.variant
    ]
    with ProcessPoolExecutor(WORKERS) as pool:
        runs = {
            key: [pool.submit(_run, *key, seed) for seed in arguments.seeds]
            for key in keys
        }
        for key, futures in runs.items():
            outcomes = [future.result() for future in futures]
            print(f"{key[0]:23}{key[1]:13}{key[2]:10}{describe(outcomes)}", flush=True)


def describe(outcomes: list[Outcome]) -> str:
    """Format the aggregated outcomes of trials that differ only in their seed."""
    credits = [one.credit for one in outcomes]
    spread = max(credits) - min(credits)
    parts = [
        f"credit {median(credits):.3f} (spread {spread:.3f})",
        f"unserved {mean(one.unserved_share for one in outcomes):.3f}",
        f"unread {mean(one.unread_share for one in outcomes):.3f}",
        f"moved {mean(one.moved_bytes for one in outcomes) / 1e9:.2f} GB",
        f"link {max(one.busiest_link for one in outcomes):.2f}",
    ]
    for name in outcomes[0].classes:
        rows = [one.classes[name] for one in outcomes]
        request_count = sum(row.request_count for row in rows)
        in_time = sum(row.in_time for row in rows) / request_count
        served = in_time + sum(row.late for row in rows) / request_count
        latencies = sorted(time for row in rows for time in row.latencies)
        parts.append(f"{name} {in_time:.2f}/{served:.2f} p50 {median(latencies):.2f}")
    return ", ".join(parts)


def _run(fleet: str, scenario: str, variant: str, seed: int) -> Outcome:
    return run_trial(
        ALL_SHAPES[fleet], ALL_SCENARIOS[scenario], VARIANTS[variant], seed
    )


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--fleet", nargs="+", choices=sorted(ALL_SHAPES), default=["luzon"]
    )
    parser.add_argument(
        "--scenario", nargs="+", choices=sorted(ALL_SCENARIOS), default=list(SCENARIOS)
    )
    parser.add_argument(
        "--variant", nargs="+", choices=sorted(VARIANTS), default=list(VARIANTS)
    )
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    return parser.parse_args()


if __name__ == "__main__":
    main()
