"""Tests of greengagelatch_entry.relay.target_dialers."""

from __future__ import annotations

import asyncio
import time

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch_entry.relay.prometheus import PrometheusMetrics
from greengagelatch_entry.relay.target_dialers import (
    Destination,
    DialError,
    DialFailure,
    DirectDialer,
)
from greengagelatch_lab.standins.tcp_proxy import TcpProxy

#: seconds for a connection, and for which the event loop stands still meanwhile
TIMEOUT, PAUSE = 0.1, 0.2


@pytest.fixture
async def proxy():
    async with TcpProxy("127.0.0.1:1") as created:
        yield created


async def dial(proxy: TcpProxy) -> asyncio.Protocol:
    destination = Destination(incarnation=Incarnation("a", 1), address=proxy.address)
    dialer = DirectDialer(PrometheusMetrics())
    return await dialer.dial(destination, asyncio.Protocol, TIMEOUT)


async def test_pause_of_the_process_fails_no_connection(proxy):
    """Guards against own pauses that are taken for targets out of reach."""
    dialling = asyncio.create_task(dial(proxy))
    await asyncio.sleep(0)
    time.sleep(PAUSE)  # noqa: ASYNC251 - the loop has to stand still
    await dialling


async def test_connection_that_hangs_times_out(proxy):
    proxy.hang_new()
    with pytest.raises(DialError) as caught:
        await dial(proxy)
    assert caught.value.failure is DialFailure.TIMED_OUT


async def test_refused_connection_is_reported(proxy):
    proxy.refuse_new()
    with pytest.raises(DialError) as caught:
        await dial(proxy)
    assert caught.value.failure is DialFailure.REFUSED


async def test_cancelled_dial_is_cancelled(proxy):
    proxy.hang_new()
    dialling = asyncio.create_task(dial(proxy))
    await asyncio.sleep(0)
    dialling.cancel()
    with pytest.raises(asyncio.CancelledError):
        await dialling
