"""What operators are told of generations and changes."""

from __future__ import annotations

from dataclasses import dataclass

from greengagelatch.config.head import ChangeEntry, Head

__all__ = ("MemberGeneration", "Sought")


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberGeneration:
    """What an entry instance is known to have in force."""

    instance_id: str
    data_centre: str
    #: what is believed of the instance itself
    state: str
    #: ``None``: never heard
    generation: int | None
    #: seconds since that was so
    age: float | None


@dataclass(frozen=True, slots=True)
class Sought:
    """A change that was looked for in a head; ``None`` if it is not in it."""

    head: Head
    entry: ChangeEntry | None
