"""Prompt parts in the prefix caches of engines."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .requests import Prompt
    from .targets import ListedTarget

__all__ = ("CachedParts", "find_affinity_target")

#: seconds for which a prompt part is expected to stay in an engine's prefix cache
PART_TTL_SECONDS = 20.0
#: most prompt parts that are tracked for one engine
MAX_PARTS = 2048


class CachedParts:
    """Prompt parts that one engine is expected to have cached."""

    def __init__(self) -> None:
        #: time of the last use by part id; least recently used first
        self._used: OrderedDict[str, float] = OrderedDict()

    def record(self, prompt: Prompt, now: float) -> None:
        """Record the parts that the engine has cached for a request."""
        for part in prompt.shared_parts:
            self._used.pop(part.part_id, None)
            self._used[part.part_id] = now
        while len(self._used) > MAX_PARTS:
            self._used.popitem(last=False)

    def count_missing(self, prompt: Prompt, now: float) -> float:
        """Return the prompt tokens that are not expected in the cache."""
        cached = 0
        for part in prompt.shared_parts:
            used = self._used.get(part.part_id, -PART_TTL_SECONDS)
            if now - used >= PART_TTL_SECONDS:
                break
            cached += part.tokens
        return max(0.0, prompt.tokens_in - cached)


def find_affinity_target(
    prompt: Prompt, candidates: Sequence[ListedTarget]
) -> ListedTarget | None:
    """Return the engine to which consistent hashing assigns a prompt's parts."""
    if not prompt.shared_parts or not candidates:
        return None
    last = prompt.shared_parts[-1].part_id
    # hash the id rather than the incarnation: a restart of one engine must not
    # reassign the parts of other engines
    return min(
        candidates,
        key=lambda one: (
            compute_weight(last, one.incarnation.target_id),
            one.incarnation.target_id,
        ),
    )
