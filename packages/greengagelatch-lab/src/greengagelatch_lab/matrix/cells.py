"""The cells of the fault matrix, and the combinations that cannot occur."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations

from .faults import FAULTS
from .steps import Step

__all__ = (
    "CHANGE_STEPS",
    "COLUMNS",
    "LEASED_STEPS",
    "ORDER_STEPS",
    "REQUEST_STEPS",
    "STOP_STEPS",
    "TAKEOVER_STEPS",
    "Cell",
    "find_exclusion_reason",
    "list_cells",
    "list_pairs",
)

REQUEST_STEPS = (
    Step.RECEIVED,
    Step.CLAIMED,
    Step.QUEUED,
    Step.CONNECTING,
    Step.SENT,
    Step.FIRST_TOKEN,
    Step.BETWEEN_TOKENS,
    Step.BETWEEN_STAGES,
    Step.ANSWERING,
    Step.ANSWERED,
)
CHANGE_STEPS = (
    Step.SUBMITTED,
    Step.SHARDS_WRITTEN,
    Step.HEAD_SWAPPED,
    Step.SPREADING,
    Step.IN_FORCE,
)
ORDER_STEPS = (
    Step.LEASE_HELD,
    Step.ORDER_SENDING,
    Step.ORDER_SENT,
    Step.ORDER_READ_BACK,
)
TAKEOVER_STEPS = (Step.CLAIM_WRITER, Step.CONFIGURATION_WATCHER, Step.ORDER_LEASE)
STOP_STEPS = (Step.LEAVING, Step.FINISHING)

#: steps at which a lease is held
LEASED_STEPS = (*ORDER_STEPS, Step.ORDER_LEASE)

#: steps grouped by the operation they belong to, one table for each
COLUMNS = {
    "request": REQUEST_STEPS,
    "configuration change": CHANGE_STEPS,
    "order to an engine": ORDER_STEPS,
    "takeover": TAKEOVER_STEPS,
    "planned stop": STOP_STEPS,
}

#: steps at which pairs of faults are injected
PAIR_STEPS = (
    Step.CLAIMED,
    Step.SENT,
    Step.BETWEEN_STAGES,
    Step.ANSWERING,
    Step.HEAD_SWAPPED,
)

LEASE_FAULT = "lease lapsed during a pause"
NO_LEASE = (
    "no lease is held at this step: it rests on compare-and-swap alone, and the"
    " pause itself is the row above"
)


@dataclass(frozen=True, slots=True)
class Cell:
    """One or two faults injected at a step."""

    faults: tuple[str, ...]
    step: Step

    def __str__(self) -> str:
        return f"{' + '.join(self.faults)} / {self.step.value}"


def list_cells() -> tuple[Cell, ...]:
    """Return a cell for each single fault at each step."""
    return tuple(Cell((name,), step) for name in FAULTS for step in Step)


def list_pairs() -> tuple[Cell, ...]:
    """Return a cell for each pair of faults at each of ``PAIR_STEPS``."""
    names = [name for name in FAULTS if name != LEASE_FAULT]
    return tuple(
        Cell(pair, step) for step in PAIR_STEPS for pair in combinations(names, 2)
    )


def find_exclusion_reason(cell: Cell) -> str:
    """Return why a cell cannot occur, or an empty string if it can."""
    if LEASE_FAULT in cell.faults and cell.step not in LEASED_STEPS:
        return NO_LEASE
    return ""
