"""When a peer that could not be reached may be dialled again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.membership.backoff import compute_backoff

if TYPE_CHECKING:
    import random

__all__ = ("DialPauses",)

#: seconds before a failed dial is tried again: first, and at most
DIAL_BASE = 0.2
DIAL_LONGEST = 10.0

#: peers whose failures are remembered; beyond that all are forgotten
MAX_FAILED = 4096


class DialPauses:
    """Failed dials by peer, and how long each of these is left alone."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        #: failed attempts and the loop time before which there is no next one
        self._failed: dict[str, tuple[int, float]] = {}

    def lasts(self, instance_id: str) -> bool:
        """Whether a peer is not to be dialled yet."""
        _, not_before = self._failed.get(instance_id, (0, 0.0))
        return asyncio.get_running_loop().time() < not_before

    def extend(self, instance_id: str) -> None:
        """Take note that a dial failed."""
        attempts = self._failed.get(instance_id, (0, 0.0))[0] + 1
        delay = compute_backoff(
            attempts,
            base=DIAL_BASE,
            longest=DIAL_LONGEST,
            random_source=self._random,
        )
        if len(self._failed) > MAX_FAILED:
            self._failed.clear()
        now = asyncio.get_running_loop().time()
        self._failed[instance_id] = (attempts, now + delay)

    def end(self, instance_id: str) -> None:
        """Take note that a peer was reached."""
        self._failed.pop(instance_id, None)
