"""Tests of greengagelatch_entry.adapters.port_probe."""

from __future__ import annotations

import pytest

from greengagelatch_entry.adapters import port_probe
from greengagelatch_entry.adapters.port_probe import PortProbe
from greengagelatch_lab.standins.scripted_server import ScriptedServer


async def hold(connection):
    await connection.hold()


async def test_only_a_refused_connection_shows_that_a_process_has_ended():
    """Guards against blame of requests for targets that are running."""
    async with ScriptedServer(hold) as server:
        assert not await PortProbe().is_port_closed(server.address)
    assert await PortProbe().is_port_closed(server.address)


@pytest.mark.parametrize("address", ["127.0.0.1:0x", "127.0.0.1:99999", "::1:"])
async def test_invalid_address_is_no_evidence(address):
    assert not await PortProbe().is_port_closed(address)


async def test_target_that_does_not_answer_is_no_evidence(monkeypatch):
    async def never(host, port):
        raise TimeoutError

    monkeypatch.setattr(port_probe.asyncio, "open_connection", never)
    assert not await PortProbe().is_port_closed("127.0.0.1:1")
