"""Tests of the label command."""

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


async def test_label_sends_the_base_generation(server, run_command):
    """Guards against overwriting a concurrent change of the labelled object.

    The command writes back the whole object, so that without the base generation a
    change accepted between its read and its write would be lost.
    """
    server.set_replies("GET /objects", (200, FOUND))
    server.set_replies("POST /changes", (200, {"state": "settled", "generation": 8}))
    result = await run_command(
        "label", "service", "notify", "bay-", "site=b", servers=[server.address]
    )
    assert result.code == ExitCode.OK
    (change,) = server.list_bodies("POST /changes")
    assert change["base"] == 7
    assert change["text"] == (
        "[service:notify]\nkind = plain\nlabels = site=b, tier=gold\n"
    )


@pytest.mark.parametrize(
    "label", ["tier", "=gold", "-", "a=b, c=d", "a=b\nkind = plain"]
)
async def test_invalid_label_is_a_usage_error(server, run_command, label):
    result = await run_command(
        "label", "service", "notify", label, servers=[server.address]
    )
    assert result.code == ExitCode.USAGE
    assert repr(label) in result.err
    assert server.calls == []


async def test_label_of_a_missing_object_is_refused(server, run_command):
    server.set_replies("GET /objects", (200, {"generation": 7, "objects": []}))
    result = await run_command(
        "label", "service", "notfy", "a=b", servers=[server.address]
    )
    assert result.code == ExitCode.REFUSED
    assert "'notfy'" in result.err
