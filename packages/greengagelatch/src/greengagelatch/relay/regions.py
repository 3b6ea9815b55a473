"""Data centres that requests with a restriction to regions may be sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("find_allowed_data_centres", "is_allowed")


def find_allowed_data_centres(
    regions: Mapping[str, str], *restrictions: frozenset[str]
) -> frozenset[str] | None:
    """Return the data centres in regions that every restriction names.

    :param regions: region of each known data centre
    :param restrictions: names of regions; an empty one restricts nothing
    :return: ``None`` if there is no restriction
    """
    binding = [one for one in restrictions if one]
    if not binding:
        return None
    return frozenset(
        data_centre
        for data_centre, region in regions.items()
        if all(region in names for names in binding)
    )


def is_allowed(data_centre: str, allowed: frozenset[str] | None) -> bool:
    """Return whether a data centre is among the allowed ones; ``None``: all are."""
    return allowed is None or data_centre in allowed
