"""Tests of explanations where a request would be sent, through a whole instance."""

from __future__ import annotations

import pytest

from greengagelatch_entry.relay.explanations import InvalidQuestionError
from greengagelatch_lab.platform_standins.deployment import API_KEY, HOST
from greengagelatch_lab.platform_standins.store import StoreFault

PATH = "/look/1"


async def ask(world, question) -> tuple[int, dict]:
    """Ask as the command does."""
    readiness = world.find("readiness")
    await readiness._serve("127.0.0.1:0", readiness._handle_operators)
    address = readiness.addresses[-1]
    url = f"http://{address[0]}:{address[1]}/explain"
    async with world.session.post(url, json=question) as response:
        return response.status, await response.json()


def explain(world, **question):
    return world.find("readiness")._explain(question)


async def test_request_is_explained_without_being_sent(world):
    """Guards against explanations that send something or change state."""
    before = world.describe()
    status, answer = await ask(world, {"host": HOST, "path": PATH, "key": API_KEY})
    assert status == 200
    (choice,) = answer["choices"]
    assert choice["service"] == "desk"
    assert choice["outcome"] == "sent"
    assert {one["target"].partition("@")[0] for one in choice["candidates"]} == {
        "desk-1",
        "desk-2",
    }
    after = world.describe()
    parts = ("targets", "cold_targets", "brittle_targets", "slot_loans")
    assert [after[one] for one in parts] == [before[one] for one in parts]
    assert all(not target.runs for target in world.targets.values())


async def test_stream_is_explained_with_its_prompt(pipeline):
    prompt = {"parts": [{"id": "system", "tokens": 900}, {"id": "own", "tokens": 100}]}
    route = next(
        one
        for one in pipeline.find("news")._configuration.table.deployment.routes
        if one.stages
    )
    question = {"host": route.host, "path": route.prefix, "key": API_KEY}
    answer = explain(pipeline, **question, prompt=prompt)
    assert answer["route"]["stages"] == [one.service for one in route.stages]
    (choice,) = answer["choices"]
    assert {one["missing_tokens"] for one in choice["candidates"]} == {1000}
    assert sum(one["has_affinity"] for one in choice["candidates"]) == 1
    assert sum(one["chosen"] for one in choice["candidates"]) == 1


async def test_version_that_is_not_recorded_is_explained(pipeline):
    """Guards against an operator who sees a sound target without streams."""
    await pipeline.wait_for(lambda: pipeline.store.find("greengagelatch/versions"))
    pipeline.store.fault = StoreFault.READ_ONLY
    newer = await pipeline.add("llm-3", "llm", software_version="v2")
    await pipeline.wait_for(lambda: pipeline.accepts(newer.target_id))
    question = {"host": HOST, "path": "/draft/1", "key": API_KEY}
    (choice,) = explain(pipeline, **question)["choices"]
    bars = {
        one["target"].partition("@")[0]: one["barred_by"]
        for one in choice["candidates"]
    }
    assert bars == {"llm-1": (), "llm-2": (), "llm-3": ("version",)}


async def test_request_that_no_target_takes_is_explained(world):
    world.evacuate("north")
    table = world.find("news")._target_table
    await world.wait_for(lambda: not table.list_service("desk"))
    (choice,) = explain(world, host=HOST, path=PATH, key=API_KEY)["choices"]
    assert (choice["outcome"], choice["target"]) == ("refused", None)
    assert {one["barred_by"] for one in choice["candidates"]} == {("evacuated",)}


async def test_unknown_route_is_an_error_with_host_and_path(world):
    status, answer = await ask(world, {"host": "no.example", "path": "/x"})
    assert status == 404
    assert (answer["field"], answer["value"]) == ("host, path", "no.example, /x")


async def test_unknown_key_is_an_error_that_does_not_tell_the_key(world):
    """Guards against keys in what operators copy elsewhere."""
    question = {"host": HOST, "path": PATH, "key": "wrong-secret"}
    status, answer = await ask(world, question)
    assert status == 401
    assert (answer["field"], answer["value"]) == ("key", "wron…")


@pytest.mark.parametrize(
    ("question", "field"),
    [
        ({"path": PATH}, "host"),
        ({"host": HOST, "path": 1}, "path"),
        ({"host": HOST, "path": PATH, "prompt": []}, "prompt"),
        ({"host": HOST, "path": PATH, "prompt": {"parts": [{"id": "a"}]}}, "tokens"),
        ({"host": HOST, "path": PATH, "prompt": {"parts": ["a"]}}, "parts"),
    ],
)
async def test_malformed_question_is_refused(world, question, field):
    with pytest.raises(InvalidQuestionError) as error:
        explain(world, **question)
    assert (error.value.status, error.value.field) == (400, field)
