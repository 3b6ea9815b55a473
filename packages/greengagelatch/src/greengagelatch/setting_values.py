"""Values of validated settings, apart from their declaration and file format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("Settings", "split_endpoints")


class Settings:
    """Validated settings by ``section.key``."""

    def __init__(self, values: Mapping[str, Any]) -> None:
        self._values = dict(values)

    def __getitem__(self, name: str) -> Any:
        return self._values[name]

    def as_dict(self) -> dict[str, Any]:
        """Return all values by name, for the state dump."""
        return dict(self._values)


def split_endpoints(text: str) -> tuple[str, ...]:
    """Split comma-separated addresses."""
    return tuple(part.strip() for part in text.split(",") if part.strip())
