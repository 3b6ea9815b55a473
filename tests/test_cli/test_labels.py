"""Labelling an object."""

from __future__ import annotations

import pytest

from greengagelatch_cli.exit_codes import ExitCode

FOUND = {
    "generation": 7,
    "objects": [
        {
            "kind": "service",
            "name": "notify",
            "text": "[service:notify]\nkind = plain\nlabels = tier=gold, bay=x\n",
        }
    ],
}


async def test_label_sends_the_object_with_the_generation_read(server, run_command):
    """Symptom: labelling an object undoes another operator's change of it.

    The command reads the object, the other change is accepted, the command sends
    the whole object back. Cause: the write did not name what it had read.
    """
    server.answer("GET /objects", (200, FOUND))
    server.answer("POST /changes", (200, {"state": "settled", "generation": 8}))
    ended = await run_command(
        "label", "service", "notify", "bay-", "site=b", servers=[server.address]
    )
    assert ended.code == ExitCode.OK
    (change,) = server.bodies("POST /changes")
    assert change["base"] == 7
    assert change["text"] == (
        "[service:notify]\nkind = plain\nlabels = site=b, tier=gold\n"
    )


@pytest.mark.parametrize(
    "word", ["tier", "=gold", "-", "a=b, c=d", "a=b\nkind = plain"]
)
async def test_label_that_is_none(server, run_command, word):
    ended = await run_command(
        "label", "service", "notify", word, servers=[server.address]
    )
    assert ended.code == ExitCode.USAGE
    assert repr(word) in ended.err
    assert server.calls == []


async def test_label_of_an_absent_object(server, run_command):
    server.answer("GET /objects", (200, {"generation": 7, "objects": []}))
    ended = await run_command(
        "label", "service", "notfy", "a=b", servers=[server.address]
    )
    assert ended.code == ExitCode.REFUSED
    assert "'notfy'" in ended.err
