"""Messages that belong to the links between entry instances themselves."""

from __future__ import annotations

from dataclasses import dataclass

from .codec import PROTOCOL_VERSION, Message, register

__all__ = ("Busy", "Hello", "NotUnderstood", "Unanswered")


@register("hello")
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message of each side of a link."""

    instance_id: str = ""
    data_centre: str = ""
    #: ``host:port`` on which the sender accepts links
    address: str = ""
    incarnation: int = 0
    leaving: bool = False
    protocol: int = PROTOCOL_VERSION
    #: rises with each hello that its sender sends, to whomever, also over restarts;
    #: zero from releases that do not number them
    number: int = 0
    #: stage work that the sender can gather; 0: not told, as by earlier releases
    capacity: int = 0


@register("not-understood")
@dataclass(frozen=True, slots=True)
class NotUnderstood(Message):
    """Answer to a question of a type that the receiver does not handle."""

    reason: str = ""


@register("busy")
@dataclass(frozen=True, slots=True)
class Busy(Message):
    """Answer to a question that the receiver had no room for; it did nothing."""


@register("unanswered")
@dataclass(frozen=True, slots=True)
class Unanswered(Message):
    """Answer to a question whose handler failed; it may have acted before."""
