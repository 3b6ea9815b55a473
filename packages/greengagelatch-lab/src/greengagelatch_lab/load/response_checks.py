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

__all__ = ("ExpectedResults", "check_response", "create_violation")

VERDICTS = ("not-run", "may-have-run", "ran")


class ExpectedResults:
    """Expected results, indexed by request marker and by result."""

    def __init__(
        self, observations: Iterable[Observation], expectation: Expectation
    ) -> None:
        self._results: dict[str, Any] = {}
        self._markers: dict[str, str] = {}
        for observation in observations:
            arrival = observation.arrival
            if arrival.marker in self._results:
                continue
            result = expectation.compute_result(arrival.pipeline, arrival.input)
            self._results[arrival.marker] = result
            self._markers[_encode(result)] = arrival.marker

    def get(self, marker: str) -> Any:
        """Return the expected result of the request with ``marker``."""
        return self._results[marker]

    def find_marker(self, result: Any) -> str | None:
        """Return the marker of the request that expects ``result``."""
        return self._markers.get(_encode(result))


def check_response(
    observation: Observation, expected_results: ExpectedResults
) -> Iterator[Violation]:
    """Yield the violations found in one response."""
    outcome = observation.outcome
    if outcome is RequestOutcome.UNSENT:
        return
    if outcome is RequestOutcome.DISCONNECTED:
        yield create_violation(
            observation, ViolationKind.DISCONNECTED, observation.message
        )
        return
    if outcome is RequestOutcome.TIMED_OUT:
        yield create_violation(
            observation, ViolationKind.TIMED_OUT, observation.message
        )
        return
    error = _find_protocol_error(observation)
    if error:
        yield create_violation(observation, ViolationKind.MALFORMED, error)
    if outcome is RequestOutcome.REFUSAL:
        yield from _check_partial_stream(observation, expected_results)
        return
    error = _find_stream_error(observation)
    if error:
        yield create_violation(observation, ViolationKind.INCOMPLETE, error)
    yield from _check_result(observation, expected_results)


def create_violation(
    observation: Observation, kind: ViolationKind, detail: str
) -> Violation:
    """Return a violation for the observation's request."""
    return Violation(
        kind=kind,
        index=observation.arrival.index,
        request_id=observation.request_id,
        pipeline=observation.arrival.pipeline,
        detail=f"{detail} (via instance {observation.instance})",
    )


def _find_protocol_error(observation: Observation) -> str:
    if not observation.request_id:
        return "response without a request id"
    if observation.verdict not in VERDICTS:
        return f"unknown verdict {observation.verdict!r}"
    if observation.outcome is RequestOutcome.RESULT and observation.verdict != "ran":
        return f"result with verdict {observation.verdict!r} instead of 'ran'"
    if observation.outcome is RequestOutcome.REFUSAL and not observation.code:
        return f"refusal without an error code, status {observation.status}"
    return ""


def _find_stream_error(observation: Observation) -> str:
    if not observation.arrival.stream:
        return ""
    offsets = [offset for offset, _ in observation.tokens]
    if offsets != list(range(len(offsets))):
        return f"token offsets not contiguous: {_shorten(offsets)}"
    if observation.count != len(offsets):
        return f"received {len(offsets)} tokens, stated count {observation.count}"
    digest = xxhash.xxh64_hexdigest(_join_tokens(observation).encode())
    if observation.digest != digest:
        return f"stated digest {observation.digest}, digest of the tokens {digest}"
    return ""


def _check_result(
    observation: Observation, expected_results: ExpectedResults
) -> Iterator[Violation]:
    marker = observation.arrival.marker
    expected = expected_results.get(marker)
    received = [observation.result]
    if observation.arrival.stream:
        received.append(_join_tokens(observation))
    for result in received:
        if result == expected:
            continue
        other_marker = expected_results.find_marker(result)
        if other_marker is None:
            detail = f"got {_shorten(result)}, expected {_shorten(expected)}"
            yield create_violation(observation, ViolationKind.WRONG_RESULT, detail)
            return
        detail = f"got the result of the request with marker {other_marker}"
        yield create_violation(observation, ViolationKind.MISROUTED, detail)
        return


def _check_partial_stream(
    observation: Observation, expected_results: ExpectedResults
) -> Iterator[Violation]:
    """Check the tokens sent before a refusal: the caller may have used them."""
    text = _join_tokens(observation)
    expected = expected_results.get(observation.arrival.marker)
    if text and not str(expected).startswith(text):
        detail = f"refused after tokens {_shorten(text)}, expected {_shorten(expected)}"
        yield create_violation(observation, ViolationKind.WRONG_RESULT, detail)


def _join_tokens(observation: Observation) -> str:
    return "".join(text for _, text in observation.tokens)


def _encode(result: Any) -> str:
    return json.dumps(result, sort_keys=True)


#: maximum characters of a value quoted in a violation
MAX_QUOTED_CHARACTERS = 60


def _shorten(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_QUOTED_CHARACTERS:
        return text
    return f"{text[:MAX_QUOTED_CHARACTERS]}…"
