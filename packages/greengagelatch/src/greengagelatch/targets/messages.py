"""Messages between entry instances on targets."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message, register

__all__ = ("LeavingQuery", "TargetsLeaving")


@register("targets-leaving")
@dataclass(frozen=True, slots=True)
class TargetsLeaving(Message):
    """Targets that have begun to leave, by whatever source said so first."""

    target_ids: tuple[str, ...] = ()


@register("leaving-query")
@dataclass(frozen=True, slots=True)
class LeavingQuery(Message):
    """Asks for all targets known to be leaving; answered by ``targets-leaving``.

    A new instance asks: the list it starts from may still show as live what its
    peers have long been told is leaving.
    """
