"""What the command does with a change: sent once, settled, explained."""

from __future__ import annotations

import asyncio
import signal
import sys

import pytest

from greengagelatch_cli.commands import submit_command
from greengagelatch_cli.exit_codes import ExitCode

CLOSED = "127.0.0.1:1"

TEXT = "[workspace:broker]\n"

SETTLED = {"state": "settled", "generation": 8, "changed": ["workspace/broker"]}
NOT_FOUND = (404, {"state": "not-found", "generation": 7, "oldest_time": 0})


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "objects.ini"
    path.write_text(TEXT)
    return str(path)


async def test_apply_sends_one_change_with_its_id(server, run_command, file):
    server.answer("POST /changes", (200, {**SETTLED, "change_id": "c-1"}))
    ended = await run_command(
        "apply", file, "--change-id", "c-1", servers=[server.address]
    )
    assert ended.code == ExitCode.OK
    assert "c-1 accepted as generation 8" in ended.out
    (change,) = server.bodies("POST /changes")
    assert change == {
        "mode": "apply",
        "text": TEXT,
        "file": file,
        "change_id": "c-1",
    }


async def test_edit_of_fetched_objects_names_its_generation(
    server, run_command, file, tmp_path
):
    """Symptom: an operator's change undoes that of another one, made meanwhile.

    Both fetch generation 5 and edit it; the second file is applied as if it had
    been written from scratch. Cause: the edit's base was not sent.
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
    server.answer("POST /changes", (409, body))
    ended = await run_command("apply", str(edited), servers=[server.address])
    assert ended.code == ExitCode.CONFLICT
    assert server.bodies("POST /changes")[0]["base"] == 5
    assert "c-other" in ended.err
    assert "generation 5" in ended.err
    assert "generation 6" in ended.err
    assert "tier=gold" in ended.err


async def test_next_server_gets_what_the_first_certainly_did_not(
    start_server, run_command, file
):
    server, spare = await start_server(), await start_server()
    server.answer("POST /changes", (503, {"state": "not-applied", "message": "cut"}))
    spare.answer("POST /changes", (200, SETTLED))
    ended = await run_command(
        "apply", file, servers=[CLOSED, server.address, spare.address]
    )
    assert ended.code == ExitCode.OK
    (first,) = server.bodies("POST /changes")
    (second,) = spare.bodies("POST /changes")
    assert first["change_id"] == second["change_id"]


async def test_lost_reply_is_settled_by_id_and_not_sent_again(
    start_server, run_command, file, monkeypatch
):
    """Symptom: one command is accepted as two generations.

    The first server takes the change and its reply is lost; the command sends the
    change to the next server. Cause: a call without a reply was taken for one that
    was not sent.
    """
    monkeypatch.setattr(submit_command, "_create_change_id", lambda: "c-1")
    server, spare = await start_server(), await start_server()
    server.answer("POST /changes", None)
    server.answer("GET /changes/c-1", NOT_FOUND)
    spare.answer("GET /changes/c-1", NOT_FOUND, (200, SETTLED))
    ended = await run_command("apply", file, servers=[server.address, spare.address])
    assert ended.code == ExitCode.OK
    assert "generation 8" in ended.out
    assert len(server.bodies("POST /changes")) == 1
    assert spare.bodies("POST /changes") == []


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        ((200, {**SETTLED, "repeated": True}), ExitCode.OK),
        (
            (409, {"state": "refused", "code": "change-id-reused"}),
            ExitCode.REFUSED,
        ),
        (None, ExitCode.UNKNOWN),
    ],
)
async def test_settled_id_of_another_change_is_not_taken_for_this_one(
    server, run_command, file, answer, code
):
    """Symptom: a change is reported as accepted and is in force nowhere.

    An operator gives an id that was used before; the refusal is lost; looking for
    the id finds the earlier change. Cause: the id alone was taken as proof.
    """
    server.answer("POST /changes", None, answer)
    server.answer("GET /changes/c-1", (200, SETTLED))
    ended = await run_command(
        "apply", file, "--change-id", "c-1", servers=[server.address]
    )
    assert ended.code == code


@pytest.mark.parametrize(
    "answer", [None, (504, {"state": "unknown"}), (500, {}), (200, {})]
)
async def test_unsettled_change_is_reported_as_unknown(
    server, run_command, file, answer
):
    """Symptom: an operator repeats a change that has taken effect, or drops one.

    The reply is lost and the store can't be read either; the command reports a
    failure. Cause: an unknown outcome was shown as "nothing took effect".
    """
    server.answer("POST /changes", answer)
    server.answer("GET /changes/c-1", NOT_FOUND)
    ended = await run_command(
        "apply",
        file,
        "--change-id",
        "c-1",
        "--output",
        "json",
        servers=[server.address],
    )
    assert ended.code == ExitCode.UNKNOWN
    assert ended.data["state"] == "unknown"
    assert ended.data["change_id"] == "c-1"
    assert "change show c-1" in ended.err
    assert len(server.bodies("POST /changes")) == 1


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
    server.answer("POST /changes", (400, body))
    ended = await run_command("apply", file, servers=[server.address])
    assert ended.code == ExitCode.REFUSED
    assert (
        "objects.ini: [pipeline quote] stages = 'draft, drafft':"
        " no such stage: drafft" in ended.err
    )
    assert "[policy <b>fair</b>] rank = 'NaN'" in ended.err


async def test_nothing_took_effect_where_no_server_got_it(server, run_command, file):
    ended = await run_command("apply", file, servers=[CLOSED])
    assert ended.code == ExitCode.UNREACHABLE
    assert "nothing took effect" in ended.err
    body = {"state": "not-applied", "message": "store out of reach"}
    server.answer("POST /changes", (503, body))
    ended = await run_command("apply", file, servers=[CLOSED, server.address])
    assert ended.code == ExitCode.UNREACHABLE
    assert "store out of reach" in ended.err


async def test_files_are_applied_in_order_until_one_fails(
    server, run_command, file, tmp_path
):
    ended = await run_command(
        "apply", file, str(tmp_path / "absent.ini"), servers=[server.address]
    )
    assert ended.code == ExitCode.USAGE
    assert server.calls == []
    server.answer("POST /changes", (200, SETTLED), (400, {"code": "invalid"}))
    ended = await run_command("apply", file, file, file, servers=[server.address])
    assert ended.code == ExitCode.REFUSED
    first, second = server.bodies("POST /changes")
    assert first["change_id"] != second["change_id"]


async def test_delete_and_rollback(server, run_command):
    server.answer("POST /changes", (200, {**SETTLED, "changed": []}))
    await run_command("delete", "policy", "fair", servers=[server.address])
    await run_command("rollback", "3", servers=[server.address])
    deleted, rolled_back = server.bodies("POST /changes")
    assert deleted["names"] == ["policy/fair"]
    assert (rolled_back["mode"], rolled_back["to_generation"]) == ("rollback", 3)


async def test_wait_lists_who_has_not_confirmed(server, run_command, file):
    """Symptom: a change is reported as in force, and one data centre works without it.

    That data centre is cut off; its instances look dead and are left out of the
    count. Cause: an instance out of reach was taken for one that is gone.
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
    server.answer("POST /changes", (200, cut))
    server.answer("GET /changes/c-1", (200, cut))
    arguments = ("apply", file, "--change-id", "c-1", "--wait", "--timeout", "0.1")
    ended = await run_command(*arguments, servers=[server.address])
    assert ended.code == ExitCode.TIMED_OUT
    assert "in force on 1 of 2" in ended.err
    assert "entry-1 (kumamoto): dead, unreachable, generation ?" in ended.err
    server.answer("GET /changes/c-1", (200, cut), (200, healed))
    arguments = ("change", "wait", "c-1", "--output", "json")
    ended = await run_command(*arguments, servers=[server.address])
    assert ended.code == ExitCode.OK
    assert ended.data == healed


async def test_fault_after_sending_is_no_refusal(server, run_command, file):
    """Symptom: an exit code that means "nothing took effect" of an accepted change.

    A reply has a form that the command doesn't understand, and it ends with a
    traceback. Cause: the code of an uncaught error is that of a refusal.
    """
    server.answer("POST /changes", (409, {"state": "conflict", "conflicts": [1]}))
    ended = await run_command(
        "apply", file, "--change-id", "c-1", servers=[server.address]
    )
    assert ended.code == ExitCode.UNKNOWN
    assert "change show c-1" in ended.err


@pytest.mark.processes
async def test_interrupt_after_sending_names_the_change(start_server, file):
    """Symptom: an operator stops a slow command and drops a change that is accepted.

    The change is sent and its reply is late; the command is stopped from the
    keyboard and ends with the code of a refusal. Cause: whether anything had been
    sent was not asked at that point.
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
