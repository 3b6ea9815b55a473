"""Declaration of one setting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ("Setting",)


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """One row of the table.

    ``minimum`` and ``maximum`` bound numbers; ``unit`` and ``meaning`` are for
    the page made from the table.
    """

    name: str
    type: type
    default: Any = None
    unit: str = ""
    meaning: str
    affects: str = "restart"
    minimum: float | None = None
    maximum: float | None = None
    required: bool = False
    choices: tuple[str, ...] = ()
    #: the value is ``host:port`` with an IP address as the host
    endpoint: bool = False
    #: the value is any number of these, with commas between them
    endpoints: bool = False
