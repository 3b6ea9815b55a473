"""Histories of requests, changes and faults, on which two systems are compared."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import strategies as st

from ..matrix.faults import FAULTS

__all__ = (
    "ChangeEvent",
    "FaultEvent",
    "History",
    "LeaveEvent",
    "RequestEvent",
    "StopEvent",
    "histories",
)

#: seconds from the start within which all events begin
HISTORY_SECONDS = 8.0
#: resolution of event times, in seconds
TIME_STEP = 0.05
#: minimum and maximum duration of a fault, in seconds
FAULT_SECONDS = (0.5, 6.0)
INSTANCES = 3
#: maximum faults in a history; the end of a burst or of a kill undoes nothing, so
#: such faults have to be survived without recovery
MAX_FAULTS = 3
MAX_REQUESTS = 14
MAX_CHANGES = 4


@dataclass(frozen=True, slots=True)
class RequestEvent:
    """A caller sends a request, and retries it if it has an idempotency key."""

    at: float
    instance: int
    booking: bool
    keyed: bool
    stream: bool
    #: seconds until its deadline
    budget: float = 6.0


@dataclass(frozen=True, slots=True)
class ChangeEvent:
    """An operator submits a configuration change."""

    at: float
    instance: int


@dataclass(frozen=True, slots=True)
class FaultEvent:
    """A fault that is injected, and removed some seconds later."""

    at: float
    name: str
    instance: int
    duration: float


@dataclass(frozen=True, slots=True)
class LeaveEvent:
    """A target announces that it is leaving."""

    at: float
    target: int


@dataclass(frozen=True, slots=True)
class StopEvent:
    """An instance is shut down gracefully."""

    at: float
    instance: int


Event = RequestEvent | ChangeEvent | FaultEvent | LeaveEvent | StopEvent


@dataclass(frozen=True, slots=True)
class History:
    """Events in any order; ``seed`` is for latencies and all other random draws."""

    seed: int
    events: tuple[Event, ...]


def _times() -> st.SearchStrategy[float]:
    steps = round(HISTORY_SECONDS / TIME_STEP)
    return st.integers(0, steps).map(lambda step: round(step * TIME_STEP, 2))


def _instances() -> st.SearchStrategy[int]:
    return st.integers(0, INSTANCES - 1)


def histories() -> st.SearchStrategy[History]:
    """Return the Hypothesis strategy that generates histories."""
    requests = st.builds(
        RequestEvent,
        at=_times(),
        instance=_instances(),
        booking=st.booleans(),
        keyed=st.booleans(),
        stream=st.booleans(),
    )
    changes = st.builds(ChangeEvent, at=_times(), instance=_instances())
    faults = st.builds(
        FaultEvent,
        at=_times(),
        name=st.sampled_from(sorted(FAULTS)),
        instance=_instances(),
        duration=st.floats(*FAULT_SECONDS, width=16),
    )
    leaves = st.builds(LeaveEvent, at=_times(), target=st.integers(0, 8))
    stops = st.builds(StopEvent, at=_times(), instance=_instances())
    parts = st.tuples(
        st.lists(requests, min_size=1, max_size=MAX_REQUESTS),
        st.lists(changes, max_size=MAX_CHANGES),
        st.lists(faults, max_size=MAX_FAULTS),
        st.lists(leaves, max_size=1),
        st.lists(stops, max_size=1),
    )
    events = parts.map(lambda found: tuple(one for part in found for one in part))
    return st.builds(History, seed=st.integers(1, 10_000), events=events)
