"""Measures the accuracy of distributed quotas and the cost of their gossip."""

from __future__ import annotations

import time

from greengagelatch.config.effects import Quota

from .simulation import QuotaSimulation

#: requests per second of the quota
RATE = 200.0
#: share of the reports that are lost
LOSS = 0.2
#: rounds in each phase, and in each window over which use is averaged
ROUNDS = 60
WINDOW = 5
SIZES = (9, 50)
CENTRES = {9: 3, 50: 5}
KEYS = (1, 100, 1200)


def main() -> None:
    """Print the table of phases and the table of costs."""
    print("instances phase               most  least  last20  (of the quota)")
    for size in SIZES:
        measure_phases(size)
    print("instances keys   bytes/s  rows   settling s  ms/round")
    for size in SIZES:
        for keys in KEYS:
            measure_cost(size, keys)


def measure_phases(size: int) -> None:
    """Print use in each phase; demand is always at least twice the quota."""
    simulation = create_simulation(size)
    even = [2 * RATE / size] * size
    single = [0.1 * RATE / size] * size
    single[0] = 2 * RATE
    outside = [
        rate * (1 if centre == "dc0" else 3)
        for rate, centre in zip(even, simulation.centres, strict=True)
    ]
    simulation.demand = even
    print_phase(simulation, "start (with burst)")
    print_phase(simulation, "steady")
    simulation.demand = single
    print_phase(simulation, "all moves to one")
    simulation.demand = even
    print_phase(simulation, "and back")
    simulation.partitioned = {"dc0"}
    print_phase(simulation, "cut")
    simulation.demand = outside
    print_phase(simulation, "cut, thrice outside")
    simulation.partitioned = set()
    print_phase(simulation, "healed")
    simulation.crashed = {1}
    print_phase(simulation, "one crashed")


def print_phase(simulation: QuotaSimulation, name: str) -> None:
    """Run a phase and print the highest, lowest and last use as shares of the quota."""
    counts = simulation.run(ROUNDS)
    windows = [
        sum(counts[start : start + WINDOW]) / WINDOW / RATE
        for start in range(0, ROUNDS, WINDOW)
    ]
    last = sum(counts[-20:]) / 20 / RATE
    size = len(simulation.centres)
    print(f"{size:9d} {name:19s} {max(windows):5.2f}  {min(windows):5.2f}  {last:6.2f}")


def measure_cost(size: int, keys: int) -> None:
    """Print the cost of gossip with all keys in use at all instances."""
    simulation = create_simulation(size, keys=keys)
    simulation.demand = [0.5] * size
    rounds = 20
    started = time.process_time()
    simulation.run(rounds)
    seconds = (time.process_time() - started) / rounds / size
    ledger = simulation.ledgers[0]
    sent = max(simulation.sent_bytes) / simulation.now
    print(
        f"{size:9d} {keys:4d}  {sent:8.0f}  {ledger.rows:5d}"
        f"  {ledger.propagation_time:9.0f}  {seconds * 1000:8.2f}"
    )


def create_simulation(size: int, keys: int = 1) -> QuotaSimulation:
    """Return a simulation with the instances spread over its data centres."""
    centres = [f"dc{index % CENTRES[size]}" for index in range(size)]
    quota = Quota(policy="measured", requests_per_second=RATE)
    return QuotaSimulation(centres, quota, loss=LOSS, keys=keys)


if __name__ == "__main__":
    main()
