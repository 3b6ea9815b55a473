"""What targets say of themselves in any answer, whatever it answers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("NO_NOTICE", "TargetNotice")


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetNotice:
    """What one answer says of the requests that its target wants from now on."""

    #: whether the target is leaving
    is_leaving: bool = False
    #: seconds for which it wants no requests of this instance; 0: it takes them
    rest_seconds: float = 0.0


#: an answer that says nothing of the kind
NO_NOTICE = TargetNotice()
