"""Closing of retired links once their pending work is finished."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("end_later",)

#: minimum seconds for which a retired link stays open: as long as the longest calls
#: wait, and longer than the peer may take to learn of the link that replaces it, so
#: that everything it sends until then still arrives
RETIREMENT = 8.0

#: maximum seconds for which a retired link stays open, even with pending work: three
#: times the minimum, when all calls made before its retirement have timed out
LONGEST_RETIREMENT = 24.0

#: seconds between two checks for pending work
LOOK_INTERVAL = 0.2


async def end_later(link: Link, code: int, reason: str) -> None:
    """Close a retired link once it has no pending work."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LONGEST_RETIREMENT
    await asyncio.sleep(RETIREMENT)
    while link.under_way and not link.ended:
        if loop.time() > end:
            # without the reason ALL_ANSWERED, so that the peer retries no pending call
            await link.close(code, reason)
            return
        await asyncio.sleep(LOOK_INTERVAL)
    await link.finish(code)
