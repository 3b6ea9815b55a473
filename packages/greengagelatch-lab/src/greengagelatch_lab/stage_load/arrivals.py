"""Request arrivals of a trial, generated up front and independent of the policies."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.requests import Prompt, PromptPart

if TYPE_CHECKING:
    from .shapes import CallerClass, FleetShape, Scenario

__all__ = ("Arrival", "generate_arrivals")

#: requests of one class that arrive at the same moment
REQUESTS_PER_ARRIVAL = 3
#: maximum number of pieces, as a multiple of the mean
MAX_PIECES_FACTOR = 4
#: an integral mean below this is the number of pieces of every request
MAX_CONSTANT_PIECES = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request, as its caller sends it."""

    #: seconds since the start of the trial
    at: float
    caller_class: CallerClass
    prompt: Prompt
    piece_counts: tuple[int, ...]
    workspace_priority: int


def generate_arrivals(
    shape: FleetShape, scenario: Scenario, seed: int
) -> list[Arrival]:
    """Generate all arrivals of a trial, ordered by time."""
    arrivals = []
    for caller_class in shape.classes:
        random_source = random.Random(f"{seed} {caller_class.name}")
        at = 0.0
        while True:
            rate = caller_class.per_second * _compute_rate_factor(
                scenario, caller_class, at
            )
            at += random_source.expovariate(rate / REQUESTS_PER_ARRIVAL)
            if at >= scenario.seconds:
                break
            for _ in range(REQUESTS_PER_ARRIVAL):
                workspace = random_source.choice(shape.workspace_priorities)
                arrivals.append(
                    _create_arrival(caller_class, at, workspace, random_source)
                )
    return sorted(arrivals, key=lambda one: one.at)


def _compute_rate_factor(
    scenario: Scenario, caller_class: CallerClass, at: float
) -> float:
    factor = 1.0
    for burst in scenario.bursts:
        if burst.caller_class not in ("", caller_class.name):
            continue
        if burst.begin <= at < burst.begin + burst.seconds:
            factor *= burst.factor
    return factor


def _create_arrival(
    caller_class: CallerClass,
    at: float,
    workspace_priority: int,
    random_source: random.Random,
) -> Arrival:
    counts = tuple(
        _draw_pieces(stage.pieces, random_source)
        if random_source.random() < stage.share
        else 0
        for stage in caller_class.stages
    )
    shared_part_index = random_source.randrange(caller_class.shared_part_count)
    shared = PromptPart(
        f"{caller_class.name}-{shared_part_index}", caller_class.shared_tokens
    )
    own = round(caller_class.own_tokens * random_source.uniform(0.3, 1.7))
    return Arrival(
        at=at,
        caller_class=caller_class,
        prompt=Prompt(
            tokens_in=shared.tokens + own, parts=(shared, PromptPart("own", own))
        ),
        piece_counts=counts,
        workspace_priority=workspace_priority,
    )


def _draw_pieces(mean: float, random_source: random.Random) -> int:
    if mean == int(mean) and mean < MAX_CONSTANT_PIECES:
        return int(mean)
    drawn = round(random_source.lognormvariate(0, 0.5) * mean * 0.88)
    return min(max(1, drawn), int(mean * MAX_PIECES_FACTOR))
