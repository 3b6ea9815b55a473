"""Messages that manage the links between entry instances."""

from __future__ import annotations

from dataclasses import dataclass

from .codec import PROTOCOL_VERSION, Message, register

__all__ = ("Busy", "Hello", "NotUnderstood", "Unanswered")


@register("hello")
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """Handshake: the first message that each side of a link sends."""

    instance_id: str = ""
    data_centre: str = ""
    #: ``host:port`` on which the sender accepts links
    address: str = ""
    incarnation: int = 0
    leaving: bool = False
    protocol: int = PROTOCOL_VERSION
    #: increases with each hello of the sender, to any peer and across restarts; 0 from
    #: earlier releases, which do not number them
    number: int = 0
    #: bundles of stage calls that the sender can collect per second; 0: unknown, as
    #: from earlier releases
    capacity: int = 0


@register("not-understood")
@dataclass(frozen=True, slots=True)
class NotUnderstood(Message):
    """Answer to a request of a type that the receiver does not handle."""

    reason: str = ""


@register("busy")
@dataclass(frozen=True, slots=True)
class Busy(Message):
    """Answer to a request that an overloaded receiver rejected without processing."""


@register("unanswered")
@dataclass(frozen=True, slots=True)
class Unanswered(Message):
    """Answer to a request whose handler failed, possibly after it had effects."""
