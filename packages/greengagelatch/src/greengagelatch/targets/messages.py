"""Messages between entry instances about leaving targets."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message, register

__all__ = ("LeavingQuery", "TargetsLeaving")


@register("targets-leaving")
@dataclass(frozen=True, slots=True)
class TargetsLeaving(Message):
    """Targets that have begun to leave, as reported by any source."""

    target_ids: tuple[str, ...] = ()


@register("leaving-query")
@dataclass(frozen=True, slots=True)
class LeavingQuery(Message):
    """Requests all targets known to be leaving; answered by ``targets-leaving``.

    A new instance sends it, as its first listing may show targets as live that its
    peers already know to be leaving.
    """
