"""Closing of retired links once their pending work is finished."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("close_when_drained",)

#: minimum seconds for which a retired link stays open: as long as the longest calls
#: wait, and longer than the peer may take to learn of the link that replaces it, so
#: that everything it sends until then still arrives
MIN_RETIREMENT = 8.0

#: maximum seconds for which a retired link stays open, even with pending work: three
#: times the minimum, when all calls made before its retirement have timed out
MAX_RETIREMENT = 24.0

#: seconds between two checks for pending work
POLL_INTERVAL = 0.2


async def close_when_drained(link: Link, code: int, reason: str) -> None:
    """Close a retired link once it has no pending work."""
    loop = asyncio.get_running_loop()
    end = loop.time() + MAX_RETIREMENT
    await asyncio.sleep(MIN_RETIREMENT)
    while link.has_pending_work and not link.ended:
        if loop.time() > end:
            # without the reason ALL_ANSWERED, so that the peer retries no pending call
            await link.close(code, reason)
            return
        await asyncio.sleep(POLL_INTERVAL)
    await link.close_drained(code)
