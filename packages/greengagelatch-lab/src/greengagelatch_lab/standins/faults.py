"""Faults of a target, and which of them strikes a call."""

from __future__ import annotations

import random
from dataclasses import dataclass, fields
from enum import Enum

__all__ = ("FAULT_NAMES", "Fault", "TargetFaults", "draw_fault")


class Fault(Enum):
    """What goes wrong with one call."""

    NONE = "none"
    #: answered as not run, which is true
    REFUSE = "refuse"
    #: runs, then answers with an error
    FAIL = "fail"
    #: accepted; never runs and is never answered
    STALL = "stall"
    #: runs and is never answered; a stream goes silent after ``cut_after`` tokens
    MUTE = "mute"
    #: answered with the ids and the output of another attempt
    CROSS = "cross"
    #: the connection closes: after ``cut_after`` tokens of a stream, or in place
    #: of a whole answer
    CUT = "cut"


@dataclass(slots=True, kw_only=True)
class TargetFaults:
    """Faults as ``POST /control/faults`` names them; rates lie between 0 and 1."""

    #: ``live`` or ``leaving``
    state: str = "live"
    #: multiple of every service time
    slow: float = 1.0
    refuse_rate: float = 0.0
    fail_rate: float = 0.0
    stall_rate: float = 0.0
    mute_rate: float = 0.0
    cross_rate: float = 0.0
    cut_rate: float = 0.0
    cut_after: int = 0
    #: calls still to be struck by the rates; negative: no limit
    calls: int = -1
    #: an engine can't begin a stream at an offset
    no_resume: bool = False
    #: load reports are not answered
    load_outage: bool = False


FAULT_NAMES = frozenset(item.name for item in fields(TargetFaults))


def draw_fault(faults: TargetFaults, random_source: random.Random) -> Fault:
    """Return the fault of the next call; at most one strikes it."""
    draw = random_source.random()
    if faults.calls == 0:
        return Fault.NONE
    rates = (
        (Fault.REFUSE, faults.refuse_rate),
        (Fault.FAIL, faults.fail_rate),
        (Fault.STALL, faults.stall_rate),
        (Fault.MUTE, faults.mute_rate),
        (Fault.CROSS, faults.cross_rate),
        (Fault.CUT, faults.cut_rate),
    )
    for fault, rate in rates:
        if draw < rate:
            faults.calls = max(faults.calls - 1, -1)
            return fault
        draw -= rate
    return Fault.NONE
