"""Tests of the submission of changes and of the reported outcome."""

from __future__ import annotations

import asyncio
import signal
import sys

import pytest

from greengagelatch_cli.commands import submit_command
from greengagelatch_cli.exit_codes import ExitCode

UNREACHABLE_SERVER = "127.0.0.1:1"

TEXT = "[workspace:broker]\n"

SETTLED = {"state": "settled", "generation": 8, "changed": ["workspace/broker"]}
NOT_FOUND = (404, {"state": "not-found", "generation": 7, "oldest_time": 0})


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "objects.ini"
    path.write_text(TEXT)
    return str(path)


async def test_apply_sends_one_change_with_its_id(server, run_command, file):
    server.set_replies("POST /changes", (200, {**SETTLED, "change_id": "c-1"}))
    result = await run_command(
        "apply", file, "--change-id", "c-1", servers=[server.address]
    )
    assert result.code == ExitCode.OK
    assert "c-1 accepted as generation 8" in result.out
    (change,) = server.list_bodies("POST /changes")
    assert change == {
        "mode": "apply",
        "text": TEXT,
        "file": file,
        "change_id": "c-1",
    }


async def test_edit_of_fetched_objects_sends_its_base(
    server, run_command, file, tmp_path
):
    """Guards against overwriting another operator's concurrent change.

    Both operators fetch generation 5 and edit it. The second file must be applied
    with its base generation, so that the server can detect the conflict.
    """
    edited = tmp_path / "edited.ini"
    edited.write_text(f"# generation 5\n{TEXT}")
    conflict = {
        "object": "workspace/broker",
        "base": 5,
        "yours": "[workspace:broker]",
        "generation": 6,
        "change_id": "c-other",
        "current": "[workspace:broker]\nlabels = tier=gold",
    }
    body = {"state": "conflict", "generation": 6, "conflicts": [conflict]}
    server.set_replies("POST /changes", (409, body))
    result = await run_command("apply", str(edited), servers=[server.address])
    assert result.code == ExitCode.CONFLICT
    assert server.list_bodies("POST /changes")[0]["base"] == 5
    assert "c-other" in result.err
    assert "generation 5" in result.err
    assert "generation 6" in result.err
    assert "tier=gold" in result.err


async def test_change_not_received_by_a_server_goes_to_the_next(
    start_server, run_command, file
):
    server, spare = await start_server(), await start_server()
    server.set_replies(
        "POST /changes", (503, {"state": "not-applied", "message": "cut"})
    )
    spare.set_replies("POST /changes", (200, SETTLED))
    result = await run_command(
        "apply", file, servers=[UNREACHABLE_SERVER, server.address, spare.address]
    )
    assert result.code == ExitCode.OK
    (first,) = server.list_bodies("POST /changes")
    (second,) = spare.list_bodies("POST /changes")
    assert first["change_id"] == second["change_id"]


async def test_outcome_is_looked_up_after_a_lost_reply(
    start_server, run_command, file, monkeypatch
):
    """Guards against committing one command as two generations.

    The first server accepts the change and its reply is lost. The command must look
    up the change by its id instead of sending it to the next server.
    """
    monkeypatch.setattr(submit_command, "_create_change_id", lambda: "c-1")
    server, spare = await start_server(), await start_server()
    server.set_replies("POST /changes", None)
    server.set_replies("GET /changes/c-1", NOT_FOUND)
    spare.set_replies("GET /changes/c-1", NOT_FOUND, (200, SETTLED))
    result = await run_command("apply", file, servers=[server.address, spare.address])
    assert result.code == ExitCode.OK
    assert "generation 8" in result.out
    assert len(server.list_bodies("POST /changes")) == 1
    assert spare.list_bodies("POST /changes") == []


@pytest.mark.parametrize(
    ("reply", "code"),
    [
        ((200, {**SETTLED, "repeated": True}), ExitCode.OK),
        (
            (409, {"state": "refused", "code": "change-id-reused"}),
            ExitCode.REFUSED,
        ),
        (None, ExitCode.UNKNOWN),
    ],
)
async def test_reused_change_id_is_not_reported_as_accepted(
    server, run_command, file, reply, code
):
    """Guards against reporting a change as accepted that is in force nowhere.

    An operator gives an id that was used before and the refusal is lost; the look-up
    by id then finds the earlier change, so the id alone is no proof.
    """
    server.set_replies("POST /changes", None, reply)
    server.set_replies("GET /changes/c-1", (200, SETTLED))
    result = await run_command(
        "apply", file, "--change-id", "c-1", servers=[server.address]
    )
    assert result.code == code


@pytest.mark.parametrize(
    "reply", [None, (504, {"state": "unknown"}), (500, {}), (200, {})]
)
async def test_change_that_is_not_found_has_an_unknown_outcome(
    server, run_command, file, reply
):
    """Guards against reporting an unknown outcome as "nothing took effect".

    The reply is lost and the look-up is not conclusive. An operator who trusted such
    a report would repeat a change that has taken effect, or lose track of one.
    """
    server.set_replies("POST /changes", reply)
    server.set_replies("GET /changes/c-1", NOT_FOUND)
    result = await run_command(
        "apply",
        file,
        "--change-id",
        "c-1",
        "--output",
        "json",
        servers=[server.address],
    )
    assert result.code == ExitCode.UNKNOWN
    assert result.data["state"] == "unknown"
    assert result.data["change_id"] == "c-1"
    assert "change show c-1" in result.err
    assert len(server.list_bodies("POST /changes")) == 1


async def test_all_problems_of_a_file_are_shown(server, run_command, file):
    problems = [
        {
            "file": "objects.ini",
            "section": "pipeline quote",
            "key": "stages",
            "value": "draft, drafft",
            "reason": "no such stage: drafft",
        },
        {
            "file": "objects.ini",
            "section": "policy <b>fair</b>",
            "key": "rank",
            "value": "NaN",
            "reason": "must be a whole number",
        },
    ]
    body = {"state": "refused", "code": "invalid", "problems": problems}
    server.set_replies("POST /changes", (400, body))
    result = await run_command("apply", file, servers=[server.address])
    assert result.code == ExitCode.REFUSED
    assert (
        "objects.ini: [pipeline quote] stages = 'draft, drafft':"
        " no such stage: drafft" in result.err
    )
    assert "[policy <b>fair</b>] rank = 'NaN'" in result.err


async def test_change_not_received_by_any_server_took_no_effect(
    server, run_command, file
):
    result = await run_command("apply", file, servers=[UNREACHABLE_SERVER])
    assert result.code == ExitCode.UNREACHABLE
    assert "nothing took effect" in result.err
    body = {"state": "not-applied", "message": "store out of reach"}
    server.set_replies("POST /changes", (503, body))
    result = await run_command(
        "apply", file, servers=[UNREACHABLE_SERVER, server.address]
    )
    assert result.code == ExitCode.UNREACHABLE
    assert "store out of reach" in result.err


async def test_files_are_applied_in_order_until_the_first_failure(
    server, run_command, file, tmp_path
):
    result = await run_command(
        "apply", file, str(tmp_path / "absent.ini"), servers=[server.address]
    )
    assert result.code == ExitCode.USAGE
    assert server.calls == []
    server.set_replies("POST /changes", (200, SETTLED), (400, {"code": "invalid"}))
    result = await run_command("apply", file, file, file, servers=[server.address])
    assert result.code == ExitCode.REFUSED
    first, second = server.list_bodies("POST /changes")
    assert first["change_id"] != second["change_id"]


async def test_delete_and_rollback_submit_a_change(server, run_command):
    server.set_replies("POST /changes", (200, {**SETTLED, "changed": []}))
    await run_command("delete", "policy", "fair", servers=[server.address])
    await run_command("rollback", "3", servers=[server.address])
    deleted, rolled_back = server.list_bodies("POST /changes")
    assert deleted["names"] == ["policy/fair"]
    assert (rolled_back["mode"], rolled_back["to_generation"]) == ("rollback", 3)


async def test_wait_lists_unconfirmed_instances(server, run_command, file):
    """Guards against reporting a change as in force that one data centre lacks.

    Instances of a partitioned data centre look dead but may still serve callers, so
    the wait must count them.
    """
    members = [
        {
            "instance": f"entry-{number}",
            "data_centre": "kumamoto",
            "state": state,
            "generation": 8 if state == "alive" else None,
            "in_force": state == "alive",
        }
        for number, state in enumerate(["alive", "dead"])
    ]
    cut = {**SETTLED, "change_id": "c-1", "in_force": members}
    healed = {**cut, "in_force": [{**one, "in_force": True} for one in members]}
    server.set_replies("POST /changes", (200, cut))
    server.set_replies("GET /changes/c-1", (200, cut))
    arguments = ("apply", file, "--change-id", "c-1", "--wait", "--timeout", "0.1")
    result = await run_command(*arguments, servers=[server.address])
    assert result.code == ExitCode.TIMED_OUT
    assert "in force on 1 of 2" in result.err
    assert "entry-1 (kumamoto): dead, unreachable, generation ?" in result.err
    server.set_replies("GET /changes/c-1", (200, cut), (200, healed))
    arguments = ("change", "wait", "c-1", "--output", "json")
    result = await run_command(*arguments, servers=[server.address])
    assert result.code == ExitCode.OK
    assert result.data == healed


async def test_internal_error_after_sending_has_an_unknown_outcome(
    server, run_command, file
):
    """Guards against exit code 1, "nothing took effect", for an accepted change.

    A reply of unexpected form raises an exception; Python exits with 1, the code of
    a refusal, on uncaught ones.
    """
    server.set_replies("POST /changes", (409, {"state": "conflict", "conflicts": [1]}))
    result = await run_command(
        "apply", file, "--change-id", "c-1", servers=[server.address]
    )
    assert result.code == ExitCode.UNKNOWN
    assert "change show c-1" in result.err


@pytest.fixture
def interruptible():
    """Let child processes be interrupted, also if this process ignores it.

    Shells start background commands with the interrupt signal ignored, and children
    inherit that.
    """
    before = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, before)


@pytest.mark.processes
@pytest.mark.usefixtures("interruptible")
async def test_interrupt_after_sending_reports_the_change_id(start_server, file):
    """Guards against reporting a change as refused after a keyboard interrupt.

    The change is sent and its reply is late when the operator interrupts the
    command; it must exit with the code for an unknown outcome and name the change.
    """
    server = await start_server()
    server.hold()
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "greengagelatch_cli"),
        *("apply", file, "--change-id", "c-1", "--server", server.address),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        await asyncio.wait_for(server.called.wait(), 30)
        process.send_signal(signal.SIGINT)
        _, errors = await asyncio.wait_for(process.communicate(), 30)
    finally:
        if process.returncode is None:
            process.kill()
        server.release()
    assert process.returncode == ExitCode.UNKNOWN
    assert b"change show c-1" in errors
