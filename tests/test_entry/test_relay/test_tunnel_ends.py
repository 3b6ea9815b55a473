"""Tests of how tunnels end when targets, peers and readers end at the same time."""

from __future__ import annotations

import asyncio
import random
from enum import Enum

from .test_tunnels import Recorder, World, reset

#: seeds, and tunnels of each
SEEDS, TUNNELS = range(1, 6), 12
#: most bytes that a target sends; more than sockets and queues hold
MAX_BYTES = 1024 * 1024
#: longest pauses in seconds: of a target between its writes, and of a reader
MAX_WRITE_PAUSE, MAX_READ_PAUSE = 0.01, 0.05


class _Ending(Enum):
    CLOSE = "close"
    RESET = "reset"
    NONE = "none"


async def read_unevenly(protocol: Recorder, source: random.Random) -> None:
    """Pause reading now and then until the connection is lost."""
    while not protocol.lost:
        await asyncio.sleep(source.uniform(0.0, MAX_READ_PAUSE))
        protocol.transport.pause_reading()
        await asyncio.sleep(source.uniform(0.0, MAX_READ_PAUSE))
        protocol.transport.resume_reading()


async def send(
    writer: asyncio.StreamWriter, data: bytes, source: random.Random
) -> None:
    """Write in parts, as far as the connection lasts."""
    while data:
        size = source.randint(1, MAX_BYTES // 4)
        try:
            writer.write(data[:size])
            await writer.drain()
        except ConnectionError:
            return
        data = data[size:]
        await asyncio.sleep(source.uniform(0.0, MAX_WRITE_PAUSE))


async def play_target(
    writer: asyncio.StreamWriter, data: bytes, ending: _Ending, source: random.Random
) -> None:
    await send(writer, data, source)
    if ending is _Ending.CLOSE:
        writer.close()
    if ending is _Ending.RESET:
        reset(writer)


async def play(seed: int) -> list[bool]:
    """Return for each tunnel whether it ended in good order."""
    source = random.Random(seed)
    world = World()
    await world.start()
    tasks, opened = [], []
    try:
        for _ in range(TUNNELS):
            protocol, _, writer = await world.open()
            data = source.randbytes(source.randint(0, MAX_BYTES))
            ending = source.choice(list(_Ending))
            opened.append((protocol, data, ending))
            own = random.Random(source.getrandbits(60))
            tasks.append(asyncio.create_task(read_unevenly(protocol, own)))
            tasks.append(asyncio.create_task(play_target(writer, data, ending, own)))
        await asyncio.sleep(source.uniform(0.0, 0.3))
        if source.random() < 0.5:
            await world.tunnels.stop()
        else:
            world.tunnels.abort_all()
        orderly = []
        for protocol, data, ending in opened:
            is_orderly = await protocol.wait_lost() is None
            assert data.startswith(protocol.received), f"seed {seed}"
            assert is_orderly == protocol.ended
            if is_orderly:
                assert ending is _Ending.CLOSE, f"seed {seed}"
                assert protocol.received == data, f"seed {seed}"
            orderly.append(is_orderly)
        return orderly
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()


async def test_tunnel_that_is_cut_does_not_end_in_good_order():
    """Guards against truncated streams that are taken for whole.

    The peer stops or is killed while targets send, close and reset, and readers are
    slow; what is queued then is lost.
    """
    orderly = [one for seed in SEEDS for one in await play(seed)]
    assert any(orderly)
    assert not all(orderly)
