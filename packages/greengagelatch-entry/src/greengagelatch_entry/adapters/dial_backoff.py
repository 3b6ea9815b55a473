"""Backoff of failed dials by peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from greengagelatch.membership.backoff import compute_backoff

if TYPE_CHECKING:
    import random

__all__ = ("DialBackoff",)

#: initial and maximum backoff after failed dials, in seconds
INITIAL_BACKOFF = 0.2
MAX_BACKOFF = 10.0

#: maximum number of peers with recorded failures; above it, all are cleared
MAX_PEERS = 4096


class DialBackoff:
    """Failed dials by peer and the backoff of each."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        #: number of failed attempts, and loop time before which no dial is allowed
        self._failed: dict[str, tuple[int, float]] = {}

    def is_active(self, instance_id: str) -> bool:
        """Whether the backoff of a peer has not expired yet."""
        _, not_before = self._failed.get(instance_id, (0, 0.0))
        return asyncio.get_running_loop().time() < not_before

    def record_failure(self, instance_id: str) -> None:
        """Record a failed dial and extend the backoff."""
        attempts = self._failed.get(instance_id, (0, 0.0))[0] + 1
        delay = compute_backoff(
            attempts,
            base=INITIAL_BACKOFF,
            longest=MAX_BACKOFF,
            random_source=self._random,
        )
        if len(self._failed) > MAX_PEERS:
            self._failed.clear()
        now = asyncio.get_running_loop().time()
        self._failed[instance_id] = (attempts, now + delay)

    def record_success(self, instance_id: str) -> None:
        """Clear the backoff of a peer that was reached."""
        self._failed.pop(instance_id, None)
