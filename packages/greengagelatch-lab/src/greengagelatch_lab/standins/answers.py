"""Outputs of simulated stages: pure functions, so checkers can recompute them."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import xxhash

from greengagelatch.config.objects import StageKind

__all__ = (
    "HINTS",
    "compute_digest",
    "expected_output",
    "expected_tokens",
    "find_hint",
)

#: input fields that control a simulated target; outputs pass them to later stages:
#: ``prefix`` (string): prompt prefix, the key of the engines' prefix cache;
#: ``tokens`` (number): length of the generated output in tokens;
#: ``size`` (number): factor on the mean service time;
#: ``effect`` (string): name of the side effect, counted by plain services
HINTS = ("prefix", "tokens", "size", "effect")

#: bounds of the generated output's length, in tokens
MIN_TOKENS = 8
TOKEN_SPREAD = 25
MAX_TOKENS = 4096
VECTOR_LENGTH = 4
DOCUMENT_COUNT = 3


def expected_output(
    pipeline: str, stage: str, kind: StageKind | str, input: Any
) -> Any:
    """Compute the output of ``stage`` for ``input``."""
    kind = StageKind(kind)
    if kind is StageKind.GENERATE:
        return "".join(expected_tokens(pipeline, stage, kind, input))
    digest = _digest(pipeline, stage, kind, input)
    output: dict[str, Any] = {"digest": digest}
    if kind is StageKind.ENCODE:
        output["vector"] = [
            xxhash.xxh32_intdigest(digest.encode(), seed) % 1000
            for seed in range(VECTOR_LENGTH)
        ]
    if kind in (StageKind.RETRIEVE, StageKind.RERANK):
        output["documents"] = [
            f"document-{xxhash.xxh32_hexdigest(digest.encode(), seed)}"
            for seed in range(DOCUMENT_COUNT)
        ]
    for name in HINTS:
        value = find_hint(input, name)
        if value is not None:
            output[name] = value
    return output


def expected_tokens(
    pipeline: str, stage: str, kind: StageKind | str, input: Any
) -> tuple[str, ...]:
    """Compute the texts of all tokens that an engine generates for ``input``."""
    digest = _digest(pipeline, stage, StageKind(kind), input)
    wanted = find_hint(input, "tokens")
    count = MIN_TOKENS + xxhash.xxh32_intdigest(digest.encode()) % TOKEN_SPREAD
    if isinstance(wanted, int):
        count = max(1, min(wanted, MAX_TOKENS))
    return tuple(
        f"{xxhash.xxh32_hexdigest(digest.encode(), offset)[:4]} "
        for offset in range(count)
    )


def compute_digest(tokens: tuple[str, ...]) -> str:
    """Compute the digest in the final event of a stream of ``tokens``."""
    return xxhash.xxh64_hexdigest("".join(tokens).encode())


def find_hint(input: Any, name: str) -> Any:
    """Return hint ``name`` from ``input`` or from a previous stage's output in it."""
    if not isinstance(input, Mapping):
        return None
    if name in input:
        return input[name]
    for value in input.values():
        if isinstance(value, Mapping) and name in value:
            return value[name]
    return None


def _digest(pipeline: str, stage: str, kind: StageKind, input: Any) -> str:
    parts = [pipeline, stage, kind.value, input]
    text = json.dumps(parts, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh64_hexdigest(text.encode())
