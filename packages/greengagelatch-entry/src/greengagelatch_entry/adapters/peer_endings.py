"""How a link ends that is not used for anything new."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("end_later",)

#: seconds for which a replaced link is kept at least: as long as the longest questions
#: wait, and longer than the other side may take to learn of the link that replaces it;
#: what it sends until then, also what wants no answer, still arrives
RETIREMENT = 8.0

#: seconds after which it is closed whatever is under way: three times the above, when
#: nobody waits any more for what was asked before the link was replaced
LONGEST_RETIREMENT = 24.0

#: seconds between two looks at whether anything is under way
LOOK_INTERVAL = 0.2


async def end_later(link: Link, code: int, reason: str) -> None:
    """Close a link once nothing is under way on it."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LONGEST_RETIREMENT
    await asyncio.sleep(RETIREMENT)
    while link.under_way and not link.ended:
        if loop.time() > end:
            # without the word that all is answered, so that nothing is asked again
            await link.close(code, reason)
            return
        await asyncio.sleep(LOOK_INTERVAL)
    await link.finish(code)
