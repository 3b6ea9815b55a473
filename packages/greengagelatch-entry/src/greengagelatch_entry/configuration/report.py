"""Reports to operators on generations and changes."""

from __future__ import annotations

from dataclasses import dataclass

from greengagelatch.config.head import ChangeEntry, Head

__all__ = ("MemberGeneration", "ChangeLookup")


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberGeneration:
    """Last known active generation of an entry instance."""

    instance_id: str
    data_centre: str
    #: membership state of the instance
    state: str
    #: ``None``: unknown
    generation: int | None
    #: seconds since the generation was observed
    age: float | None


@dataclass(frozen=True, slots=True)
class ChangeLookup:
    """Result of looking up a change; ``entry`` is ``None`` if the head lacks it."""

    head: Head
    entry: ChangeEntry | None
