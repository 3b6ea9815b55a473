"""Request arrivals of a trial, generated up front and independent of the policies."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from greengagelatch.relay.requests import Prompt, PromptPart

if TYPE_CHECKING:
    from .shapes import CallerClass, FleetShape, Scenario

__all__ = ("Arrival", "draw_arrivals")

#: requests of one class that arrive at the same moment
CLUMP = 3
#: maximum number of pieces, as a multiple of the mean
MOST_PIECES = 4
#: an integral mean below this is the number of pieces of every request
MOST_FIXED = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request, as its caller sends it."""

    #: seconds since the start of the trial
    at: float
    caller_class: CallerClass
    prompt: Prompt
    piece_counts: tuple[int, ...]
    workspace_priority: int


def draw_arrivals(shape: FleetShape, scenario: Scenario, seed: int) -> list[Arrival]:
    """Generate all arrivals of a trial, ordered by time."""
    arrivals = []
    for caller_class in shape.classes:
        source = random.Random(f"{seed} {caller_class.name}")
        at = 0.0
        while True:
            rate = caller_class.per_second * _find_factor(scenario, caller_class, at)
            at += source.expovariate(rate / CLUMP)
            if at >= scenario.seconds:
                break
            for _ in range(CLUMP):
                workspace = source.choice(shape.workspace_priorities)
                arrivals.append(_draw(caller_class, at, workspace, source))
    return sorted(arrivals, key=lambda one: one.at)


def _find_factor(scenario: Scenario, caller_class: CallerClass, at: float) -> float:
    factor = 1.0
    for burst in scenario.bursts:
        if burst.caller_class not in ("", caller_class.name):
            continue
        if burst.begin <= at < burst.begin + burst.seconds:
            factor *= burst.factor
    return factor


def _draw(
    caller_class: CallerClass,
    at: float,
    workspace_priority: int,
    source: random.Random,
) -> Arrival:
    counts = tuple(
        _draw_pieces(stage.pieces, source) if source.random() < stage.share else 0
        for stage in caller_class.stages
    )
    subject = source.randrange(caller_class.subjects)
    shared = PromptPart(f"{caller_class.name}-{subject}", caller_class.shared_tokens)
    own = round(caller_class.own_tokens * source.uniform(0.3, 1.7))
    return Arrival(
        at=at,
        caller_class=caller_class,
        prompt=Prompt(
            tokens_in=shared.tokens + own, parts=(shared, PromptPart("own", own))
        ),
        piece_counts=counts,
        workspace_priority=workspace_priority,
    )


def _draw_pieces(mean: float, source: random.Random) -> int:
    if mean == int(mean) and mean < MOST_FIXED:
        return int(mean)
    drawn = round(source.lognormvariate(0, 0.5) * mean * 0.88)
    return min(max(1, drawn), int(mean * MOST_PIECES))
