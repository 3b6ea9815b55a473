"""Messages between entry instances about leaving targets."""

from __future__ import annotations

from dataclasses import dataclass

from ..peers.codec import Message, register

__all__ = ("LeavingQuery", "TargetProbeQuery", "TargetProbeResult", "TargetsLeaving")


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


@register("target-probe-query")
@dataclass(frozen=True, slots=True)
class TargetProbeQuery(Message):
    """Requests a connection to a listed target; answered by ``target-probe-result``.

    An instance to which a target refuses connections can't tell a crash from the loss
    of its own links.
    """

    target_id: str = ""


@register("target-probe-result")
@dataclass(frozen=True, slots=True)
class TargetProbeResult(Message):
    """Result of a connection; neither flag is set if it is not known."""

    reached: bool = False
    #: whether the target's host refused it
    refused: bool = False
