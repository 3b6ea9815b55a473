"""Tests of the check command."""

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
    """Return a function that runs check on a file with the given text."""
    path = tmp_path / "file.ini"

    async def run(text, *options):
        path.write_text(text)
        return await run_command("check", str(path), *options)

    return run


async def test_settings_are_validated(check):
    assert (await check(SETTINGS)).code == ExitCode.OK
    result = await check(SETTINGS.replace("127.0.0.1:1", "store:1", 1))
    assert result.code == ExitCode.REFUSED
    assert "setting platform.store = 'store:1': must be an IP address" in result.err
    assert result.err.count("\n") == 1


async def test_all_problems_of_objects_are_reported(check):
    assert (await check(OBJECTS)).code == ExitCode.OK
    result = await check(f"{OBJECTS}share = nan\nrepeatable = maybe\n")
    assert result.code == ExitCode.REFUSED
    assert "share = 'nan'" in result.err
    assert "repeatable = 'maybe'" in result.err


async def test_references_are_validated_only_with_complete(check):
    result = await check(OBJECTS, "--complete", "--output", "json")
    assert result.code == ExitCode.REFUSED
    (problem,) = result.data["problems"]
    assert (problem["key"], problem["value"]) == ("service", "greengage-llm")


async def test_text_that_is_not_ini_is_refused(check):
    result = await check("nothing of the kind")
    assert result.code == ExitCode.REFUSED
