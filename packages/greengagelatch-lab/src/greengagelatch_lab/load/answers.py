"""Checks of a single response: complete, well formed and correct."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import xxhash

from .observations import RequestOutcome
from .violations import Violation, ViolationKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .expectation import Expectation
    from .observations import Observation

__all__ = ("AnswerIndex", "check_answer", "describe")

VERDICTS = ("not-run", "may-have-run", "ran")


class AnswerIndex:
    """Expected results, indexed by request marker and by result."""

    def __init__(
        self, observations: Iterable[Observation], expectation: Expectation
    ) -> None:
        self._results: dict[str, Any] = {}
        self._owners: dict[str, str] = {}
        for observation in observations:
            arrival = observation.arrival
            if arrival.marker in self._results:
                continue
            result = expectation.expect_result(arrival.pipeline, arrival.input)
            self._results[arrival.marker] = result
            self._owners[_encode(result)] = arrival.marker

    def get_result(self, marker: str) -> Any:
        """Return the expected result of the request with ``marker``."""
        return self._results[marker]

    def find_owner(self, result: Any) -> str | None:
        """Return the marker of the request that expects ``result``."""
        return self._owners.get(_encode(result))


def check_answer(observation: Observation, index: AnswerIndex) -> Iterator[Violation]:
    """Yield the violations found in one response."""
    outcome = observation.outcome
    if outcome is RequestOutcome.UNSENT:
        return
    if outcome is RequestOutcome.DISCONNECTED:
        yield describe(observation, ViolationKind.DISCONNECTED, observation.message)
        return
    if outcome is RequestOutcome.TIMED_OUT:
        yield describe(observation, ViolationKind.TIMED_OUT, observation.message)
        return
    fault = _find_form_fault(observation)
    if fault:
        yield describe(observation, ViolationKind.MALFORMED, fault)
    if outcome is RequestOutcome.REFUSAL:
        yield from _check_begun_stream(observation, index)
        return
    fault = _find_gap(observation)
    if fault:
        yield describe(observation, ViolationKind.INCOMPLETE, fault)
    yield from _check_result(observation, index)


def describe(observation: Observation, kind: ViolationKind, detail: str) -> Violation:
    """Return a violation for the observation's request."""
    return Violation(
        kind=kind,
        index=observation.arrival.index,
        request_id=observation.request_id,
        pipeline=observation.arrival.pipeline,
        detail=f"{detail} (via instance {observation.instance})",
    )


def _find_form_fault(observation: Observation) -> str:
    if not observation.request_id:
        return "response without a request id"
    if observation.verdict not in VERDICTS:
        return f"unknown verdict {observation.verdict!r}"
    if observation.outcome is RequestOutcome.RESULT and observation.verdict != "ran":
        return f"result with verdict {observation.verdict!r} instead of 'ran'"
    if observation.outcome is RequestOutcome.REFUSAL and not observation.code:
        return f"refusal without an error code, status {observation.status}"
    return ""


def _find_gap(observation: Observation) -> str:
    if not observation.arrival.stream:
        return ""
    offsets = [offset for offset, _ in observation.tokens]
    if offsets != list(range(len(offsets))):
        return f"token offsets not contiguous: {_shorten(offsets)}"
    if observation.count != len(offsets):
        return f"received {len(offsets)} tokens, stated count {observation.count}"
    digest = xxhash.xxh64_hexdigest(_join(observation).encode())
    if observation.digest != digest:
        return f"stated digest {observation.digest}, digest of the tokens {digest}"
    return ""


def _check_result(observation: Observation, index: AnswerIndex) -> Iterator[Violation]:
    marker = observation.arrival.marker
    right = index.get_result(marker)
    given = [observation.result]
    if observation.arrival.stream:
        given.append(_join(observation))
    for result in given:
        if result == right:
            continue
        owner = index.find_owner(result)
        if owner is None:
            detail = f"got {_shorten(result)}, expected {_shorten(right)}"
            yield describe(observation, ViolationKind.WRONG, detail)
            return
        detail = f"got the result of the request with marker {owner}"
        yield describe(observation, ViolationKind.CROSSED, detail)
        return


def _check_begun_stream(
    observation: Observation, index: AnswerIndex
) -> Iterator[Violation]:
    """Check the tokens sent before a refusal: the caller may have used them."""
    text = _join(observation)
    right = index.get_result(observation.arrival.marker)
    if text and not str(right).startswith(text):
        detail = f"refused after tokens {_shorten(text)}, expected {_shorten(right)}"
        yield describe(observation, ViolationKind.WRONG, detail)


def _join(observation: Observation) -> str:
    return "".join(text for _, text in observation.tokens)


def _encode(result: Any) -> str:
    return json.dumps(result, sort_keys=True)


#: maximum characters of a value quoted in a violation
MAX_SHOWN = 60


def _shorten(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN:
        return text
    return f"{text[:MAX_SHOWN]}…"
