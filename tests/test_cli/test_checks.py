"""Checking files without a server."""

from __future__ import annotations

import pytest

from greengagelatch_cli.exit_codes import ExitCode

SETTINGS = """
[instance]
id = entry-1
data_centre = kumamoto
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""

OBJECTS = """
[pipeline:quote]
stages = draft
[stage:quote/draft]
kind = generate
service = greengage-llm
"""


@pytest.fixture
def check(run_command, tmp_path):
    """Return a function that checks a text."""
    path = tmp_path / "file.ini"

    async def run(text, *options):
        path.write_text(text)
        return await run_command("check", str(path), *options)

    return run


async def test_settings(check):
    assert (await check(SETTINGS)).code == ExitCode.OK
    ended = await check(SETTINGS.replace("127.0.0.1:1", "store:1", 1))
    assert ended.code == ExitCode.REFUSED
    assert "setting platform.store = 'store:1': must be an IP address" in ended.err
    assert ended.err.count("\n") == 1


async def test_objects_with_all_their_problems(check):
    assert (await check(OBJECTS)).code == ExitCode.OK
    ended = await check(f"{OBJECTS}share = nan\nrepeatable = maybe\n")
    assert ended.code == ExitCode.REFUSED
    assert "share = 'nan'" in ended.err
    assert "repeatable = 'maybe'" in ended.err


async def test_references_are_checked_in_a_complete_file_only(check):
    ended = await check(OBJECTS, "--complete", "--output", "json")
    assert ended.code == ExitCode.REFUSED
    (problem,) = ended.data["problems"]
    assert (problem["key"], problem["value"]) == ("service", "greengage-llm")


async def test_text_that_is_no_ini(check):
    ended = await check("nothing of the kind")
    assert ended.code == ExitCode.REFUSED
