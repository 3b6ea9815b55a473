"""Number of descriptors that this process may have open."""

from __future__ import annotations

import resource

__all__ = ("find_descriptor_limit",)


def find_descriptor_limit(stated: int = 0) -> int:
    """Return how many descriptors this process may have open; 0: not limited.

    Above the kernel's limit, no connection is accepted or opened any more.

    :param stated: limit in the settings; 0: none
    """
    kernel, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [limit for limit in (stated, kernel) if limit > 0]
    return min(limits, default=0)
