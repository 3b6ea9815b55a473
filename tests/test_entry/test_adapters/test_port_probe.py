"""Tests of greengagelatch_entry.adapters.port_probe."""

from __future__ import annotations

import pytest

from greengagelatch_entry.adapters import port_probe
from greengagelatch_entry.adapters.port_probe import PortProbe
from greengagelatch_entry.relay.target_dialers import DialFailure
from greengagelatch_lab.standins.scripted_server import ScriptedServer


async def hold(connection):
    await connection.hold()


async def test_only_a_refused_connection_shows_that_a_process_has_ended():
    """Guards against blame of requests for targets that are running."""
    async with ScriptedServer(hold) as server:
        assert await PortProbe().probe(server.address) is None
    assert await PortProbe().probe(server.address) is DialFailure.REFUSED


@pytest.mark.parametrize("address", ["127.0.0.1:0x", "127.0.0.1:99999", "::1:"])
async def test_invalid_address_is_no_evidence(address):
    assert await PortProbe().probe(address) is DialFailure.FAILED


async def test_target_that_does_not_answer_is_no_evidence(monkeypatch):
    async def never(host, port):
        raise TimeoutError

    monkeypatch.setattr(port_probe.asyncio, "open_connection", never)
    assert await PortProbe().probe("127.0.0.1:1") is DialFailure.TIMED_OUT
