"""Cost of a request at an engine: prefill, running requests and data transfer."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .requests import Prompt
    from .target_states import TargetState

__all__ = (
    "TOKENS_PER_REMOTE_BYTE",
    "EngineDemand",
    "compute_transfer",
    "count_prompt",
    "count_work",
    "estimate_work",
)

#: cost of a running request, as the tokens whose prefill delays others as much
RUNNING_REQUEST_TOKENS = 60.0
#: tokens whose prefill takes as long as the rest of the way to a first event
FIRST_EVENT_TOKENS = 400.0
#: tokens whose prefill costs as much as the transfer of one byte of results to another
#: data centre, by the price lists of both and a small surcharge for the delay
TOKENS_PER_REMOTE_BYTE = 0.0005


@dataclass(frozen=True, slots=True)
class EngineDemand:
    """What a request asks of its engine."""

    prompt: Prompt
    #: bytes of stage results to read, by the data centre of their makers
    result_bytes: Mapping[str, int] = field(default_factory=dict)
    #: data centres of the engines that it may be sent to; ``None``: all
    data_centres: frozenset[str] | None = None
    #: whether it may run again if its answer is lost
    repeatable: bool = True
    #: whether it could be sent again if it is rejected
    may_retry: bool = True


def count_prompt(
    state: TargetState, prompt: Prompt, now: float, *, is_affinity_target: bool
) -> float:
    """Return the tokens of a prompt that its engine is expected to read."""
    tokens = state.cached_parts.count_missing(prompt, now)
    if not is_affinity_target:
        return tokens
    # other instances send the parts there too, so they are taken to be cached
    shared = sum(part.tokens for part in prompt.shared_parts)
    return min(tokens, prompt.tokens_in - shared)


def count_work(state: TargetState, tokens: float, running: float) -> float:
    """Return the work before the first event of a request, in prompt tokens.

    :param tokens: those of its prompt that the engine has to read
    :param running: requests that the engine has, of all instances
    """
    return tokens + state.pending_tokens + running * RUNNING_REQUEST_TOKENS


def estimate_work(state: TargetState, tokens: float, now: float) -> float:
    """Return the work up to the first event of a request, in prompt tokens.

    Other than :func:`count_work`, it includes what each request takes, and counts the
    requests of other instances on average.
    """
    work = count_work(state, tokens, state.count_expected(now))
    return FIRST_EVENT_TOKENS + work


def compute_transfer(need: EngineDemand, data_centre: str) -> float:
    """Return the cost of reading stage results in a data centre, in prompt tokens."""
    remote = sum(
        size
        for of_makers, size in need.result_bytes.items()
        if of_makers != data_centre
    )
    return remote * TOKENS_PER_REMOTE_BYTE
