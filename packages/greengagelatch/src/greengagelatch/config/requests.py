"""Changes that operators ask for, and what becomes of them."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from .head import Head
from .ini_writer import format_objects
from .names import ConfigObject, ObjectId
from .problems import Problem

__all__ = (
    "ChangeMode",
    "ChangeOutcome",
    "ChangeRequest",
    "Checked",
    "Conflict",
    "Conflicted",
    "Difference",
    "NotApplied",
    "Refused",
    "RefusedCode",
    "Settled",
    "Unsettled",
    "is_change_id",
)

_CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

DIGEST_BYTES = 8


def is_change_id(text: str) -> bool:
    """Whether ``text`` can be the id of a change."""
    return _CHANGE_ID.fullmatch(text) is not None


class ChangeMode(Enum):
    """What a change does."""

    APPLY = "apply"
    DELETE = "delete"
    ROLLBACK = "rollback"


@dataclass(frozen=True, kw_only=True)
class ChangeRequest:
    """A change whose own text is sound; it is yet to be checked against the rest."""

    change_id: str
    mode: ChangeMode
    #: objects to create or replace
    objects: tuple[ConfigObject, ...] = ()
    #: objects to delete
    names: tuple[ObjectId, ...] = ()
    #: generation whose content is to be in force again
    to_generation: int = 0
    #: generation that the edit began from; ``None``: the one found first
    base: int | None = None
    #: name of the file that the objects are from, for messages
    file: str = ""
    #: only check it and say what it would change
    dry_run: bool = False

    @cached_property
    def digest(self) -> bytes:
        """Digest of what is asked for; file, base and way of asking left out."""
        parts = (
            self.mode.value,
            format_objects(self.objects),
            ",".join(sorted(str(name) for name in self.names)),
            str(self.to_generation),
        )
        text = "\0".join(parts)
        return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class Difference:
    """One object as INI before and after a change; empty where absent."""

    object_id: str
    before: str
    after: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """An object that was changed since the operator's edit began."""

    object_id: str
    #: generation that the edit began from
    base: int
    #: what the operator sent, as INI; empty for a deletion
    yours: str
    #: generation and change that last changed the object
    generation: int
    change_id: str
    #: what is in force, as INI; empty if it was deleted
    current: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The change is in force from ``generation`` on."""

    generation: int
    #: whether it was in force before it was asked for this time
    repeated: bool = False
    changed: tuple[str, ...] = ()
    #: newest head that was seen
    head: Head


@dataclass(frozen=True, slots=True, kw_only=True)
class Checked:
    """A dry run: the change is sound at ``generation``."""

    generation: int
    changed: tuple[Difference, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflicted:
    """Nothing took effect: others changed the same objects."""

    generation: int
    conflicts: tuple[Conflict, ...]


class RefusedCode(Enum):
    """Why a change can't be made however often it is asked for."""

    INVALID = "invalid"
    CHANGE_ID_REUSED = "change-id-reused"
    UNKNOWN_GENERATION = "unknown-generation"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Nothing took effect: the change is not sound."""

    code: RefusedCode
    message: str
    problems: tuple[Problem, ...] = field(default=())
    #: oldest generation that can be put in force again
    oldest: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class NotApplied:
    """Nothing took effect, and asking again may help."""

    message: str
    #: generation to send as the base when asking again; ``None`` if none was read
    base: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Unsettled:
    """It may have taken effect, or may yet; only reading the store settles it."""

    message: str
    base: int | None = None


ChangeOutcome = Settled | Checked | Conflicted | Refused | NotApplied | Unsettled
