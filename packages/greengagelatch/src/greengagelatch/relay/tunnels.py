"""Messages that open a tunnel to a target through another instance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..peers.codec import Message, check_type, register

__all__ = ("TunnelOpened", "TunnelRefusal", "TunnelRefused", "TunnelRequest")


class TunnelRefusal(Enum):
    """Why an instance refuses to carry a tunnel; the values are on the wire."""

    STOPPING = "stopping"
    #: it carries as many tunnels as it may
    FULL = "full"
    #: the target is not listed there under this incarnation, or takes no requests
    UNKNOWN_TARGET = "unknown-target"
    #: it can't connect to the target
    UNREACHABLE = "unreachable"
    #: the target has asked it for rest
    RESTING = "resting"


@register("tunnel-request")
@dataclass(frozen=True, slots=True)
class TunnelRequest(Message):
    """Asks for a connection to one incarnation of a target."""

    target_id: str = ""
    #: Unix milliseconds of the start of the target; 0: unknown
    started_ms: int = 0
    #: seconds within which the connection must be open
    timeout: float = 0.0
    #: id of the instance that asks
    instance_id: str = ""

    def __post_init__(self) -> None:
        check_type(self.target_id, str)
        check_type(self.started_ms, int)
        check_type(self.timeout, (int, float))
        check_type(self.instance_id, str)
        # written so that it is false for NaN
        if not self.timeout > 0:
            raise ValueError(f"the timeout must be positive, not {self.timeout}")


@register("tunnel-opened")
@dataclass(frozen=True, slots=True)
class TunnelOpened(Message):
    """The connection to the target is open; raw bytes follow in both directions."""


@register("tunnel-refused")
@dataclass(frozen=True, slots=True)
class TunnelRefused(Message):
    """No connection to the target was opened."""

    #: value of a :class:`TunnelRefusal`
    reason: str = ""
    #: whether the target's host refused the connection
    target_refused: bool = False
    #: seconds for which the target wants no requests of the sender
    rest_seconds: float = 0.0

    def __post_init__(self) -> None:
        check_type(self.reason, str)
        check_type(self.target_refused, bool)
        check_type(self.rest_seconds, (int, float))
