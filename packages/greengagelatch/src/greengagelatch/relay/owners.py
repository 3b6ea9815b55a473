"""Which instance gathers the stage work of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..targets.subset import compute_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ("rank_owners",)


def rank_owners(service: str, instances: Iterable[str]) -> tuple[str, ...]:
    """Return instances in the order in which they should own ``service``.

    All instances that know the same others agree without a word, and one that
    comes or goes moves only the services that it owns.
    """
    return tuple(sorted(instances, key=lambda one: (compute_weight(one, service), one)))
