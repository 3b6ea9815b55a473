"""Tests of commands that read, of status, dump and drain, and of usage errors."""

from __future__ import annotations

import pytest

from greengagelatch_cli.exit_codes import ExitCode

UNREACHABLE_SERVER = "127.0.0.1:1"

STATUS = {
    "instance": "entry-1",
    "data_centre": "fukuoka-a",
    "generation": 7,
    "ready": True,
    "draining": False,
    "members": {
        "entry-2": {"data_centre": "kumamoto", "state": "suspect", "generation": 6}
    },
    "targets": {
        "notify": {
            "n-1": {"data_centre": "kumamoto", "state": "live"},
            "n-2": {"data_centre": "kumamoto", "state": "leaving"},
        }
    },
}

OBJECTS = {
    "generation": 7,
    "objects": [
        {"kind": "workspace", "name": "broker", "text": "[workspace:broker]\n"},
        {"kind": "workspace", "name": "desk", "text": "[workspace:desk]\n"},
    ],
}


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        (("status",), "GREENGAGELATCH_SERVER"),
        (("status", "--server", "entry-1"), "'entry-1'"),
        (("status", "--server", "a:99999"), "'a:99999'"),
        (("status", "--server", UNREACHABLE_SERVER, "--output", "xml"), "'xml'"),
        (("get", "stage", "--server", UNREACHABLE_SERVER), "'stage'"),
        (("rollback", "last", "--server", UNREACHABLE_SERVER), "'last'"),
        (
            ("change", "wait", "c", "--timeout", "nan", "--server", UNREACHABLE_SERVER),
            "'nan'",
        ),
        (
            (
                "delete",
                "policy",
                "a",
                "--change-id",
                "a b",
                "--server",
                UNREACHABLE_SERVER,
            ),
            "'a b'",
        ),
        (
            ("drain", "--server", f"{UNREACHABLE_SERVER},{UNREACHABLE_SERVER}"),
            "exactly one",
        ),
        (("statsu",), "statsu"),
        (("status", "--colour"), "--colour"),
        (("apply",), "file"),
    ],
)
async def test_usage_error_is_one_line_that_names_the_value(
    run_command, arguments, named
):
    result = await run_command(*arguments)
    assert result.code == ExitCode.USAGE
    assert named in result.err
    assert result.err.count("\n") <= 1 or "Did you mean" in result.err
    assert result.out == ""


async def test_servers_are_read_from_the_environment(server, run_command, monkeypatch):
    monkeypatch.setenv(
        "GREENGAGELATCH_SERVER", f"{UNREACHABLE_SERVER}, {server.address}"
    )
    server.set_replies("GET /changes", (200, {"generation": 7, "changes": []}))
    assert (await run_command("change", "list")).code == ExitCode.OK


async def test_status_shows_unreachable_servers(server, run_command):
    server.set_replies("GET /status", (200, STATUS))
    result = await run_command("status", servers=[UNREACHABLE_SERVER, server.address])
    assert result.code == ExitCode.OK
    rows = [line.split() for line in result.out.splitlines()]
    assert [UNREACHABLE_SERVER, "unreachable", "-", "-", "-", "-"] in rows
    assert [server.address, "entry-1", "fukuoka-a", "7", "yes", "no"] in rows
    assert ["entry-2", "kumamoto", "suspect", "6"] in rows
    assert ["notify", "1", "leaving,", "1", "live"] in rows
    result = await run_command(
        "status", "--output", "json", servers=[UNREACHABLE_SERVER, server.address]
    )
    assert result.data[UNREACHABLE_SERVER]["state"] == "unreachable"
    assert result.data[server.address] == STATUS
    result = await run_command("status", servers=[UNREACHABLE_SERVER])
    assert result.code == ExitCode.UNREACHABLE


async def test_get_prints_the_format_that_apply_reads(server, run_command):
    server.set_replies("GET /objects", (200, OBJECTS))
    result = await run_command(
        "get", "workspace", "--selector", "tier=gold", servers=[server.address]
    )
    assert result.out == "# generation 7\n\n[workspace:broker]\n\n[workspace:desk]\n"
    (query,) = server.list_bodies("GET /objects")
    assert query == {
        "kind": "workspace",
        "selector": "tier=gold",
        "format": "json",
    }


async def test_get_of_a_missing_object_is_refused(server, run_command):
    server.set_replies("GET /objects", (200, {"generation": 7, "objects": []}))
    result = await run_command("get", "workspace", "dsek", servers=[server.address])
    assert result.code == ExitCode.REFUSED
    assert "no workspace 'dsek'" in result.err


async def test_diff_changes_nothing(server, run_command, tmp_path):
    path = tmp_path / "objects.ini"
    path.write_text("[workspace:broker]\nlabels = tier=gold\n")
    changed = [
        {
            "object": "workspace/broker",
            "before": "[workspace:broker]\n",
            "after": "[workspace:broker]\nlabels = tier=gold\n",
        }
    ]
    body = {"state": "checked", "generation": 7, "changed": changed}
    server.set_replies("POST /changes", (200, body))
    result = await run_command("diff", str(path), servers=[server.address])
    assert result.code == ExitCode.OK
    assert "+labels = tier=gold" in result.out
    assert server.list_bodies("POST /changes")[0]["dry_run"] is True


async def test_change_show_prefers_the_server_that_has_the_change(
    start_server, run_command
):
    """Guards against reporting an accepted change as not found.

    The first server queried lags behind; its "not found" must not end the search.
    """
    lagging, current = await start_server(), await start_server()
    lagging.set_replies(
        "GET /changes/c-1", (404, {"state": "not-found", "generation": 6})
    )
    settled = {"state": "settled", "change_id": "c-1", "generation": 7}
    current.set_replies("GET /changes/c-1", (200, settled))
    servers = [lagging.address, current.address]
    result = await run_command("change", "show", "c-1", servers=servers)
    assert result.code == ExitCode.OK
    assert "generation 7" in result.out
    current.set_replies("GET /changes/c-1", (504, {"state": "unknown"}))
    result = await run_command("change", "show", "c-1", servers=servers)
    assert result.code == ExitCode.UNKNOWN
    assert "generation 6" in result.err


async def test_dump_shows_all_servers(server, run_command):
    server.set_replies("GET /dump", (200, {"version": "0.1.0"}))
    result = await run_command("dump", servers=[server.address, UNREACHABLE_SERVER])
    assert result.data[server.address] == {"version": "0.1.0"}
    assert result.data[UNREACHABLE_SERVER]["state"] == "unreachable"
    body = {"message": "no such controller", "field": "controller", "value": "x"}
    server.set_replies("GET /dump", (404, body))
    result = await run_command("dump", "--controller", "x", servers=[server.address])
    assert result.code == ExitCode.REFUSED


async def test_drain_of_instances_and_targets(server, run_command):
    server.set_replies("POST /drain", (202, {"state": "leaving"}))
    result = await run_command("drain", servers=[server.address])
    assert result.code == ExitCode.OK
    body = {"message": "no such target", "field": "target", "value": "n-9"}
    server.set_replies("POST /drain", (404, body))
    result = await run_command(
        "drain", "--target", "n-9", servers=[UNREACHABLE_SERVER, server.address]
    )
    assert result.code == ExitCode.REFUSED
    assert "target = 'n-9'" in result.err
    assert server.list_bodies("POST /drain") == [{}, {"target": "n-9"}]
    server.set_replies("POST /drain", None)
    result = await run_command("drain", servers=[server.address])
    assert result.code == ExitCode.UNKNOWN
