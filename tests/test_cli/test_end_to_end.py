"""The command against operators' servers of two instances that share a store."""

from __future__ import annotations

import random

import pytest

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.settings import parse
from greengagelatch_cli.exits import ExitCode
from greengagelatch_entry.adapters.operators import OperatorsServer
from greengagelatch_entry.adapters.operators_configuration import (
    add_configuration_routes,
)
from greengagelatch_entry.adapters.operators_status import InstanceStatus
from greengagelatch_entry.adapters.state_dump import StateDump
from greengagelatch_entry.controllers.configuration import ConfigurationController
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.memory import MemoryStore, StoreFaults
from greengagelatch_lab.standins.peers import MemoryNetwork

SETTINGS = """
[instance]
id = entry
data_centre = kumamoto
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""

OBJECTS = """
[service:notify]
kind = plain
[workspace:broker]
labels = tier=gold
"""


class Fleet:
    """Two instances with their operators' servers."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.parts = []
        store = MemoryStore(clock=SystemClock(), faults=self.faults)
        switchboard = MemoryNetwork()
        self.servers = [
            self._build(name, store, switchboard) for name in ("entry-1", "entry-2")
        ]

    @property
    def addresses(self):
        return [f"127.0.0.1:{server.port}" for server in self.servers]

    def _build(self, name, store, switchboard):
        settings = parse(SETTINGS).unwrap()
        metrics = Metrics("127.0.0.1:8125")
        configuration = ConfigurationController(
            store=store,
            peers=switchboard.join(name),
            clock=SystemClock(),
            random_source=random.Random(name),
            events=EventBus(),
            settings=settings,
            metrics=metrics,
            data_centre="kumamoto",
        )
        server = OperatorsServer(
            listen="127.0.0.1:0",
            state_dump=StateDump(
                settings=settings,
                metrics=metrics,
                controllers=lambda: {"configuration": configuration},
            ),
            status=lambda: InstanceStatus(
                instance_id=name,
                data_centre="kumamoto",
                generation=configuration.snapshot.generation,
                ready=configuration.ready,
                draining=False,
            ),
            ready=lambda: configuration.ready,
            drain=lambda: None,
            mark_leaving=lambda target_id: None,
            metrics=metrics,
            routes=(lambda app: add_configuration_routes(app, configuration),),
        )
        self.parts += [configuration, server]
        return server


@pytest.fixture
async def fleet():
    running = Fleet()
    for part in running.parts:
        await part.start()
    yield running
    for part in reversed(running.parts):
        await part.stop()


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "objects.ini"
    path.write_text(OBJECTS)
    return str(path)


async def test_change_is_accepted_once_and_in_force_everywhere(
    fleet, run_command, file
):
    arguments = ("apply", file, "--change-id", "c-1")
    first = await run_command(*arguments, "--wait", servers=fleet.addresses)
    assert first.code == ExitCode.OK
    assert "in force on all 2 entry instances" in first.out
    again = await run_command(*arguments, servers=fleet.addresses[1:])
    assert again.code == ExitCode.OK
    assert "already accepted as generation 1" in again.out
    status = await run_command("status", "--output", "json", servers=fleet.addresses)
    assert {one["generation"] for one in status.data.values()} == {1}


async def test_second_of_two_edits_of_one_object_is_a_conflict(
    fleet, run_command, file, tmp_path
):
    """Symptom: an accepted change is gone, and nobody has taken it back.

    Two operators fetch the same object; the first one's edit is accepted; the
    second one's replaces it. Cause: the second edit's base was not looked at.
    """
    servers = fleet.addresses
    await run_command("apply", file, "--wait", servers=servers)
    fetched = await run_command("get", "workspace", servers=servers)
    edited = tmp_path / "edited.ini"
    edited.write_text(fetched.out.replace("tier=gold", "tier=silver"))
    labelled = await run_command(
        "label", "workspace", "broker", "site=b", "--wait", servers=servers
    )
    assert labelled.code == ExitCode.OK
    ended = await run_command("apply", str(edited), servers=servers)
    assert ended.code == ExitCode.CONFLICT
    assert "labels = site=b, tier=gold" in ended.err
    assert "labels = tier=silver" in ended.err
    rolled_back = await run_command("rollback", "1", "--wait", servers=servers)
    assert rolled_back.code == ExitCode.OK
    ended = await run_command("get", "workspace", "broker", servers=servers)
    assert "labels = tier=gold" in ended.out


async def test_store_out_of_reach(fleet, run_command, file):
    """Symptom: a change is reported as failed and takes effect later, or the reverse.

    The store goes out of reach before or while the change is written. Cause: the
    command said more than the servers knew.
    """
    fleet.faults.outage = True
    ended = await run_command("apply", file, servers=fleet.addresses)
    assert ended.code == ExitCode.UNREACHABLE
    assert "nothing took effect" in ended.err
    fleet.faults.outage = False
    shown = await run_command(
        "change", "list", "--output", "json", servers=fleet.addresses
    )
    assert shown.data["changes"] == []
    fleet.faults.lose_answers = 1
    ended = await run_command("apply", file, "--wait", servers=fleet.addresses)
    assert ended.code == ExitCode.OK
    shown = await run_command(
        "change", "list", "--output", "json", servers=fleet.addresses
    )
    assert len(shown.data["changes"]) == 1


async def test_whole_file_is_refused_with_all_its_problems(
    fleet, run_command, tmp_path
):
    wrong = tmp_path / "wrong.ini"
    wrong.write_text(f"{OBJECTS}[service:late]\nkind = plane\n[policy:a]\nrank = NaN\n")
    ended = await run_command("apply", str(wrong), servers=fleet.addresses)
    assert ended.code == ExitCode.REFUSED
    assert "[service:late] kind = 'plane'" in ended.err
    assert "[policy:a] rank = 'NaN'" in ended.err
    ended = await run_command("get", "service", "notify", servers=fleet.addresses)
    assert ended.code == ExitCode.REFUSED
    assert "no service 'notify'" in ended.err
