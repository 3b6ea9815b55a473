"""Tests of the command that explains where a request would go."""

from __future__ import annotations

import pytest

from greengagelatch_cli.exit_codes import ExitCode

UNREACHABLE_SERVER = "127.0.0.1:9"
CANDIDATE = {
    "target": "llm-1",
    "address": "10.0.0.1:80",
    "data_centre": "north",
    "chosen": True,
    "barred_by": [],
    "score": 120.0,
    "has_affinity": True,
    "missing_tokens": 60.0,
    "brittle_limit": None,
    "state": {"breaker": "closed", "in_flight": 1},
}
BARRED = {
    **CANDIDATE,
    "target": "llm-2",
    "chosen": False,
    "barred_by": ["region", "cold"],
    "has_affinity": False,
    "state": {},
}
ANSWER = {
    "instance": "entry-1",
    "generation": 7,
    "route": {
        "name": "chat",
        "host": "chat.example",
        "prefix": "/v1/",
        "kind": "streaming",
        "stages": ["portal"],
    },
    "workspace": "gold",
    "rank": 1.5,
    "data_centres": ["north"],
    "choices": [
        {
            "share": 1.0,
            "service": "llm",
            "outcome": "sent",
            "target": "llm-1",
            "candidates": [CANDIDATE, BARRED],
        }
    ],
}
REQUEST = ("chat.example", "/v1/x")


async def test_explanation_is_shown_with_the_reasons_of_each_target(
    server, run_command
):
    server.set_replies("POST /explain", (200, ANSWER))
    result = await run_command("explain", *REQUEST, servers=[server.address])
    assert result.code == ExitCode.OK
    assert "service llm (share 1): sent to llm-1" in result.out
    assert "data centres: north" in result.out
    assert "region, cold" in result.out


async def test_targets_with_the_same_score_are_told(server, run_command):
    """Guards against an answer that takes a draw for a decision."""
    other = {**CANDIDATE, "target": "llm-3", "chosen": False}
    choice = {**ANSWER["choices"][0], "candidates": [CANDIDATE, other, BARRED]}
    answer = {**ANSWER, "choices": [choice]}
    server.set_replies("POST /explain", (200, answer))
    result = await run_command("explain", *REQUEST, servers=[server.address])
    assert "sent to llm-1, or to another one with that score" in result.out


async def test_explanation_is_written_as_json(server, run_command):
    server.set_replies("POST /explain", (200, ANSWER))
    servers = [UNREACHABLE_SERVER, server.address]
    result = await run_command("explain", *REQUEST, "--output", "json", servers=servers)
    assert result.data == ANSWER


async def test_question_holds_key_and_prompt(server, run_command):
    server.set_replies("POST /explain", (200, ANSWER))
    prompt = ("--model", "m", "--tokens", "900", "--part", "s:800", "--part", "o:100")
    arguments = (*REQUEST, "--key", "k-1", *prompt)
    await run_command("explain", *arguments, servers=[server.address])
    parts = [{"id": "s", "tokens": 800}, {"id": "o", "tokens": 100}]
    assert server.list_bodies("POST /explain") == [
        {
            "host": "chat.example",
            "path": "/v1/x",
            "key": "k-1",
            "prompt": {"model": "m", "tokens_in": 900, "parts": parts},
        }
    ]


@pytest.mark.parametrize(
    ("outcome", "text"),
    [
        ("held", "no target has room within its limits"),
        ("refused", "no target accepts requests"),
    ],
)
async def test_request_that_would_not_be_sent_is_shown(
    server, run_command, outcome, text
):
    choice = {"share": 0.5, "service": "llm", "outcome": outcome, "target": None}
    answer = {**ANSWER, "choices": [{**choice, "candidates": []}]}
    server.set_replies("POST /explain", (200, answer))
    result = await run_command("explain", *REQUEST, servers=[server.address])
    assert text in result.out


async def test_unknown_route_is_shown_with_field_and_value(server, run_command):
    body = {"message": "no route", "field": "host, path", "value": "x, /y"}
    server.set_replies("POST /explain", (404, body))
    result = await run_command("explain", "x", "/y", servers=[server.address])
    assert result.code == ExitCode.REFUSED
    assert "host, path = 'x, /y'" in result.err


async def test_malformed_part_is_a_usage_error(server, run_command):
    arguments = (*REQUEST, "--part", "system")
    result = await run_command("explain", *arguments, servers=[server.address])
    assert result.code == ExitCode.USAGE
    assert server.calls == []
