"""Change requests of operators and their outcomes."""

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
    "is_valid_change_id",
)

_CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

DIGEST_BYTES = 8


def is_valid_change_id(text: str) -> bool:
    """Return whether ``text`` is a valid id of a change."""
    return _CHANGE_ID.fullmatch(text) is not None


class ChangeMode(Enum):
    """Type of a change."""

    APPLY = "apply"
    DELETE = "delete"
    ROLLBACK = "rollback"


@dataclass(frozen=True, kw_only=True)
class ChangeRequest:
    """A parsed change; references to other objects are not validated yet."""

    change_id: str
    mode: ChangeMode
    #: objects to create or replace
    objects: tuple[ConfigObject, ...] = ()
    #: objects to delete
    names: tuple[ObjectId, ...] = ()
    #: generation that a rollback restores
    to_generation: int = 0
    #: generation that the edit is based on; ``None``: the first one that is read
    base: int | None = None
    #: name of the source file, for error messages
    file: str = ""
    #: validate the change and return the differences without committing it
    dry_run: bool = False

    @cached_property
    def digest(self) -> bytes:
        """Digest of the requested content, without file, base and dry run."""
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
    """One object as INI text before and after a change; empty where absent."""

    object_id: str
    before: str
    after: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """An object that another change has modified since the operator's base."""

    object_id: str
    #: generation that the edit is based on
    base: int
    #: the operator's version as INI text; empty for a deletion
    yours: str
    #: generation and id of the last change of the object
    generation: int
    change_id: str
    #: the active version as INI text; empty if it was deleted
    current: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Settled:
    """The change is committed as ``generation``."""

    generation: int
    #: whether an earlier request had already committed it
    repeated: bool = False
    changed: tuple[str, ...] = ()
    #: newest head that was read or written
    head: Head


@dataclass(frozen=True, slots=True, kw_only=True)
class Checked:
    """Dry run: the change is valid on top of ``generation``."""

    generation: int
    changed: tuple[Difference, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflicted:
    """Not committed: other changes have modified the same objects."""

    generation: int
    conflicts: tuple[Conflict, ...]


class RefusedCode(Enum):
    """Permanent error of a change, which a retry does not fix."""

    INVALID = "invalid"
    CHANGE_ID_REUSED = "change-id-reused"
    UNKNOWN_GENERATION = "unknown-generation"


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Not committed: the change is invalid."""

    code: RefusedCode
    message: str
    problems: tuple[Problem, ...] = field(default=())
    #: oldest generation that a rollback can restore
    oldest: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class NotApplied:
    """Not committed because of a transient failure; a retry may succeed."""

    message: str
    #: generation to send as the base of a retry; ``None`` if none was read
    base: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Unsettled:
    """Outcome unknown: the change may be or may yet become committed.

    Only a later read of the store can tell.
    """

    message: str
    base: int | None = None


ChangeOutcome = Settled | Checked | Conflicted | Refused | NotApplied | Unsettled
