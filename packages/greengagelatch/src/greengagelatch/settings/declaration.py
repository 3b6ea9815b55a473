"""Declaration of one setting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ("Setting",)


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """Declaration of one setting.

    ``minimum`` and ``maximum`` are inclusive bounds of numbers. ``description`` is
    for the documentation page that is generated from the table.
    """

    name: str
    type: type
    default: Any = None
    unit: str = ""
    description: str
    affects: str = "restart"
    minimum: float | None = None
    maximum: float | None = None
    required: bool = False
    choices: tuple[str, ...] = ()
    #: whether the value is ``host:port`` with an IP address as the host
    endpoint: bool = False
    #: whether the value is a comma-separated list of endpoints, possibly empty
    endpoints: bool = False
