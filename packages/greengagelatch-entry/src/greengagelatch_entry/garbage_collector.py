"""Settings of the garbage collector."""

from __future__ import annotations

import gc

__all__ = ("configure_garbage_collector",)

#: allocations between two collections of the youngest generation; with the default
#: of 700 the collector runs several times in each request
GC_THRESHOLD = 50_000


def configure_garbage_collector() -> None:
    """Exclude imported objects, which live as long as the process, from collections.

    Also enables the collector, in case it was disabled during the imports.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
