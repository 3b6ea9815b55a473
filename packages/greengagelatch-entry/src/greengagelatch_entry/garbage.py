"""How often the garbage collector runs."""

from __future__ import annotations

import gc

__all__ = ("freeze_imports",)

#: allocations between two collections of the youngest generation; the default of
#: 700 makes the collector run several times in each request
GC_THRESHOLD = 50_000


def freeze_imports() -> None:
    """Leave what was imported out of collections: it lives as long as the process.

    From then on the collector runs, also if it was off during imports.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
