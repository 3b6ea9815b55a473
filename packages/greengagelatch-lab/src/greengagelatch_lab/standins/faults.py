"""Faults that a simulated target injects into calls."""

from __future__ import annotations

import random
from dataclasses import dataclass, fields
from enum import Enum

__all__ = ("FAULT_NAMES", "Fault", "TargetFaults", "draw_fault")


class Fault(Enum):
    """Fault injected into one call."""

    NONE = "none"
    #: rejected as not run, and indeed not run
    REFUSE = "refuse"
    #: runs, then returns an error
    FAIL = "fail"
    #: accepted, but never runs and is never answered
    STALL = "stall"
    #: runs, but is never answered; a stream stalls after ``cut_after`` tokens
    MUTE = "mute"
    #: answered with the ids and the output of a different attempt
    CROSS = "cross"
    #: the connection is aborted: after ``cut_after`` tokens of a stream, or instead
    #: of a unary response
    CUT = "cut"


@dataclass(slots=True, kw_only=True)
class TargetFaults:
    """Fault settings of ``POST /control/faults``; rates are between 0 and 1."""

    #: ``live`` or ``leaving``
    state: str = "live"
    #: factor on every service time
    slow: float = 1.0
    refuse_rate: float = 0.0
    fail_rate: float = 0.0
    stall_rate: float = 0.0
    mute_rate: float = 0.0
    cross_rate: float = 0.0
    cut_rate: float = 0.0
    cut_after: int = 0
    #: remaining calls that the rates may hit; negative: no limit
    calls: int = -1
    #: the engine rejects streams that resume at an offset
    no_resume: bool = False
    #: requests for load reports are never answered
    load_outage: bool = False


FAULT_NAMES = frozenset(item.name for item in fields(TargetFaults))


def draw_fault(faults: TargetFaults, random_source: random.Random) -> Fault:
    """Draw the fault of the next call; a call has at most one."""
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
