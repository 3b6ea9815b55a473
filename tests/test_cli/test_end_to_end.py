"""End-to-end tests of the command with two instances that share a store."""

from __future__ import annotations

import random

import pytest

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.settings import parse
from greengagelatch_cli.exit_codes import ExitCode
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


async def test_change_is_applied_once_and_in_force_everywhere(fleet, run_command, file):
    arguments = ("apply", file, "--change-id", "c-1")
    first = await run_command(*arguments, "--wait", servers=fleet.addresses)
    assert first.code == ExitCode.OK
    assert "in force on all 2 entry instances" in first.out
    again = await run_command(*arguments, servers=fleet.addresses[1:])
    assert again.code == ExitCode.OK
    assert "already accepted as generation 1" in again.out
    status = await run_command("status", "--output", "json", servers=fleet.addresses)
    assert {body["generation"] for body in status.data.values()} == {1}


async def test_concurrent_edits_of_an_object_conflict(
    fleet, run_command, file, tmp_path
):
    """Guards against silently overwriting an accepted change.

    Two operators fetch the same object and the first one's edit is accepted; the
    second one's must be refused, as its base generation is outdated.
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
    result = await run_command("apply", str(edited), servers=servers)
    assert result.code == ExitCode.CONFLICT
    assert "labels = site=b, tier=gold" in result.err
    assert "labels = tier=silver" in result.err
    rolled_back = await run_command("rollback", "1", "--wait", servers=servers)
    assert rolled_back.code == ExitCode.OK
    result = await run_command("get", "workspace", "broker", servers=servers)
    assert "labels = tier=gold" in result.out


async def test_outcome_is_correct_if_the_store_is_unreachable(fleet, run_command, file):
    """Guards against reporting a change as failed that takes effect, or the reverse.

    The store becomes unreachable before the change is written, or the response to
    the write is lost.
    """
    fleet.faults.outage = True
    result = await run_command("apply", file, servers=fleet.addresses)
    assert result.code == ExitCode.UNREACHABLE
    assert "nothing took effect" in result.err
    fleet.faults.outage = False
    shown = await run_command(
        "change", "list", "--output", "json", servers=fleet.addresses
    )
    assert shown.data["changes"] == []
    fleet.faults.lose_answers = 1
    result = await run_command("apply", file, "--wait", servers=fleet.addresses)
    assert result.code == ExitCode.OK
    shown = await run_command(
        "change", "list", "--output", "json", servers=fleet.addresses
    )
    assert len(shown.data["changes"]) == 1


async def test_invalid_file_is_refused_as_a_whole(fleet, run_command, tmp_path):
    wrong = tmp_path / "wrong.ini"
    wrong.write_text(f"{OBJECTS}[service:late]\nkind = plane\n[policy:a]\nrank = NaN\n")
    result = await run_command("apply", str(wrong), servers=fleet.addresses)
    assert result.code == ExitCode.REFUSED
    assert "[service:late] kind = 'plane'" in result.err
    assert "[policy:a] rank = 'NaN'" in result.err
    result = await run_command("get", "service", "notify", servers=fleet.addresses)
    assert result.code == ExitCode.REFUSED
    assert "no service 'notify'" in result.err
