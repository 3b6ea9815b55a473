"""Command that explains where a request would go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cleo.helpers import argument, option
from result import Err, Ok

from ..exit_codes import ExitCode
from ..output import render_table
from . import ServerCommand, UsageError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..client import CallFailure, Client

__all__ = ("Explain",)

CANDIDATE_HEADERS = (
    "TARGET",
    "DATA CENTRE",
    "CHOSEN",
    "BARRED BY",
    "SCORE",
    "BREAKER",
    "IN FLIGHT",
    "AFFINITY",
    "MISSING TOKENS",
    "BRITTLE LIMIT",
)
#: what becomes of a request, by the outcome of the rehearsed choice
OUTCOMES = {
    "held": "held for a moment, then refused: no target has room within its limits",
    "refused": "refused: no target accepts requests",
}
NO_TARGETS = "  (no targets)"


class Explain(ServerCommand):
    """Explains where a request would be sent now, and why; sends nothing."""

    name = "explain"
    description = "Explain where a request would be sent now, and why."
    arguments = (
        argument("host", "Host of the request."),
        argument("path", "Path of the request."),
    )
    options = (
        option("key", None, "API key of the caller.", flag=False),
        option("model", None, "Model of the prompt.", flag=False),
        option("tokens", None, "Tokens of the prompt.", flag=False),
        option(
            "part",
            None,
            "Part of the prompt, id:tokens, in order; the last one is the request's"
            " own, all others may be shared.",
            flag=False,
            multiple=True,
        ),
    )

    async def run_with_client(self, client: Client) -> ExitCode:
        question = self._create_question()
        failures: list[CallFailure] = []
        # it changes nothing, so that the next server is asked after a lost reply too
        for server in client.servers:
            match await client.call(server, "POST", "/explain", body=question):
                case Ok(reply):
                    if "choices" not in reply.body:
                        return self.show_refusal(reply)
                    self.output.show(_render(reply.body), reply.body)
                    return ExitCode.OK
                case Err(failure):
                    failures.append(failure)
        return self.show_unreachable(failures)

    def _create_question(self) -> dict[str, Any]:
        question: dict[str, Any] = {
            "host": self.argument("host"),
            "path": self.argument("path"),
        }
        if self.option("key"):
            question["key"] = self.option("key")
        prompt: dict[str, Any] = {}
        if self.option("model"):
            prompt["model"] = self.option("model")
        if self.option("tokens"):
            prompt["tokens_in"] = int(self.read_number_option("tokens", 0))
        if self.option("part"):
            prompt["parts"] = [_parse_part(text) for text in self.option("part")]
        if prompt:
            question["prompt"] = prompt
        return question


def _parse_part(text: str) -> dict[str, Any]:
    part_id, _, tokens = text.rpartition(":")
    if not part_id or not tokens.isdecimal():
        msg = f"--part = {text!r}: must be id:tokens"
        raise UsageError(msg)
    return {"id": part_id, "tokens": int(tokens)}


def _render(body: Mapping[str, Any]) -> str:
    route = body["route"]
    allowed = body["data_centres"]
    lines = [
        f"instance {body['instance']}, generation {body['generation']}",
        f"route {route['name']}: {route['host']}{route['prefix']}, {route['kind']}",
        f"workspace {body['workspace'] or '(none)'}, rank {body['rank']:g}",
        "data centres: " + ("all" if allowed is None else ", ".join(allowed) or "none"),
    ]
    if route["stages"]:
        lines.append("after the stages: " + ", ".join(route["stages"]))
    for choice in body["choices"]:
        lines += ["", *_render_choice(choice)]
    return "\n".join(lines)


def _render_choice(choice: Mapping[str, Any]) -> list[str]:
    outcome = OUTCOMES.get(choice["outcome"]) or f"sent to {choice['target']}"
    if _count_equal(choice) > 1:
        outcome += ", or to another one with that score"
    heading = f"service {choice['service']} (share {choice['share']:g}): {outcome}"
    rows = [
        (
            one["target"],
            one["data_centre"],
            one["chosen"],
            ", ".join(one["barred_by"]) or "-",
            f"{one['score']:.6g}",
            one["state"].get("breaker", "-"),
            one["state"].get("in_flight", 0),
            one["has_affinity"],
            _show(one["missing_tokens"]),
            _show(one["brittle_limit"]),
        )
        for one in choice["candidates"]
    ]
    if not rows:
        return [heading, NO_TARGETS]
    return [heading, render_table(CANDIDATE_HEADERS, rows)]


def _count_equal(choice: Mapping[str, Any]) -> int:
    """Return how many targets a draw decides between."""
    scores = [one["score"] for one in choice["candidates"] if one["chosen"]]
    return sum(
        not one["barred_by"] and one["score"] in scores for one in choice["candidates"]
    )


def _show(number: float | None) -> str:
    return "-" if number is None else f"{number:g}"
