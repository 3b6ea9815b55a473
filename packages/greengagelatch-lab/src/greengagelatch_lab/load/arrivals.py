"""Arrivals: the requests of a run and their send times, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ..fleets import Fleet, Traffic

__all__ = ("Arrival", "plan_arrivals")

#: minimum and maximum seconds before a request is resent with the same key
RETRY_DELAY_SECONDS = (0.02, 1.5)
#: number of prompt prefixes shared by the requests of a workspace and pipeline
PROMPT_PREFIXES = 4
#: random bits of a marker, enough to make collisions within a run improbable
MARKER_BITS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request, scheduled for a fixed time independent of any response."""

    index: int
    #: scheduled time in seconds after the start of the run
    offset: float
    workspace: str
    pipeline: str
    input: Any
    #: unique text in ``input`` that identifies the records of this request
    marker: str
    deadline_ms: int
    stream: bool = False
    repeatable: bool = True
    #: idempotency key; empty if none is sent
    idempotency_key: str = ""
    #: index of the arrival that this one resends with the same key and input
    retry_of: int | None = None


def plan_arrivals(
    fleet: Fleet, *, seconds: float, scale: float, random_source: random.Random
) -> tuple[Arrival, ...]:
    """Draw the arrivals of ``seconds`` of the fleet's traffic, ordered by time.

    Arrivals follow a Poisson process and do not depend on responses (open loop), so
    a slow fleet receives the same load.

    :param scale: factor for the request rate of every pipeline
    """
    drawn: list[Arrival] = []
    for traffic in fleet.traffic:
        offset = random_source.expovariate(traffic.rate * scale)
        while offset < seconds:
            arrival = _draw_arrival(fleet, traffic, offset, len(drawn), random_source)
            drawn.append(arrival)
            if (
                arrival.idempotency_key
                and random_source.random() < traffic.retry_fraction
            ):
                drawn.append(_create_retry(arrival, len(drawn), random_source))
            offset += random_source.expovariate(traffic.rate * scale)
    return tuple(sorted(drawn, key=lambda arrival: arrival.offset))


def _draw_arrival(
    fleet: Fleet,
    traffic: Traffic,
    offset: float,
    index: int,
    random_source: random.Random,
) -> Arrival:
    names = [workspace.name for workspace in fleet.workspaces]
    weights = [workspace.weight for workspace in fleet.workspaces]
    workspace = random_source.choices(names, weights)[0]
    marker = f"{random_source.getrandbits(MARKER_BITS):016x}"
    keyed = random_source.random() < traffic.keyed_fraction
    return Arrival(
        index=index,
        offset=offset,
        workspace=workspace,
        pipeline=traffic.pipeline,
        input=_draw_input(traffic, workspace, marker, random_source),
        marker=marker,
        deadline_ms=traffic.deadline_ms,
        stream=traffic.stream,
        repeatable=traffic.repeatable,
        idempotency_key=f"key-{marker}" if keyed else "",
    )


def _draw_input(
    traffic: Traffic, workspace: str, marker: str, random_source: random.Random
) -> dict[str, Any]:
    number = random_source.randrange(PROMPT_PREFIXES)
    prefix = f"{workspace}/{traffic.pipeline}/{number}"
    fields = {"prompt": f"{prefix}: {marker}", "prefix": prefix, "effect": marker}
    minimum, maximum = traffic.token_range
    if maximum:
        fields["tokens"] = random_source.randint(minimum, maximum)
    return fields


def _create_retry(first: Arrival, index: int, random_source: random.Random) -> Arrival:
    offset = first.offset + random_source.uniform(*RETRY_DELAY_SECONDS)
    return replace(first, index=index, offset=offset, retry_of=first.index)
