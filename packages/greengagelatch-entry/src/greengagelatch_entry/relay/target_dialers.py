"""Opening of connections to targets."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from greengagelatch.relay.incarnations import Incarnation
    from greengagelatch.relay.targets import ListedTarget

    from ..metrics import Metrics

__all__ = (
    "Destination",
    "DialError",
    "DialFailure",
    "DirectDialer",
    "TargetDialer",
    "TunnelLostError",
    "create_destination",
)

#: turns of the event loop for a connection that is open when its time is over: a loop
#: that stood still finds the timer due along with the connection
LATE_TURNS = 8


class DialFailure(Enum):
    """Why no connection to a target was opened."""

    #: the target's host refused it
    REFUSED = "refused"
    TIMED_OUT = "timed-out"
    #: any other network error
    FAILED = "failed"


class DialError(Exception):
    """No connection to the target was opened; nothing was sent to it."""

    def __init__(self, message: str, failure: DialFailure) -> None:
        super().__init__(message)
        self.failure = failure


class TunnelLostError(ConnectionError):
    """The peer that carried a connection was lost; the target may be well."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Destination:
    """The target to connect to, and which instances may carry the request."""

    incarnation: Incarnation
    #: ``host:port``
    address: str
    service: str = ""
    data_centre: str = ""
    #: data centres of the instances that the request may pass; ``None``: all
    data_centres: frozenset[str] | None = None


def create_destination(
    target: ListedTarget, data_centres: frozenset[str] | None = None
) -> Destination:
    """Return the destination of a connection to a target.

    :param data_centres: those of the instances that may carry a caller's data;
        ``None``: all, or the connection carries none
    """
    return Destination(
        incarnation=target.incarnation,
        address=target.address,
        service=target.service,
        data_centre=target.data_centre,
        data_centres=data_centres,
    )


class TargetDialer(ABC):
    """Interface for opening connections to targets."""

    @abstractmethod
    async def dial(
        self,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        timeout: float,
    ) -> asyncio.Protocol:
        """Open a connection within ``timeout`` seconds and return its protocol.

        :raises DialError: if it can't be opened
        """


class DirectDialer(TargetDialer):
    """Connects to the address of the target.

    :param metrics: counts the attempts
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    async def dial(
        self,
        destination: Destination,
        create_protocol: Callable[[], asyncio.Protocol],
        timeout: float,
    ) -> asyncio.Protocol:
        host, _, port = destination.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._metrics.count("links.opened")
        try:
            connecting = asyncio.create_task(
                loop.create_connection(create_protocol, host, int(port))
            )
            return await _finish_within(connecting, timeout)
        except TimeoutError as error:
            raise DialError("connect timed out", DialFailure.TIMED_OUT) from error
        except ConnectionRefusedError as error:
            raise DialError("connection refused", DialFailure.REFUSED) from error
        except (OSError, ValueError) as error:
            reason = f"connect failed: {type(error).__name__}"
            raise DialError(reason, DialFailure.FAILED) from error


async def _finish_within(
    connecting: asyncio.Task[tuple[asyncio.Transport, asyncio.Protocol]],
    timeout: float,
) -> asyncio.Protocol:
    """Return the protocol of a connection that is opened within ``timeout`` seconds.

    :raises TimeoutError: if it is not
    """
    try:
        await asyncio.wait({connecting}, timeout=timeout)
        for _ in range(LATE_TURNS):
            if connecting.done():
                break
            await asyncio.sleep(0)
    except asyncio.CancelledError:
        _discard(connecting)
        raise
    if not connecting.done():
        _discard(connecting)
        raise TimeoutError
    _, protocol = connecting.result()
    return protocol


def _discard(
    connecting: asyncio.Task[tuple[asyncio.Transport, asyncio.Protocol]],
) -> None:
    """Give up a connection, also if it is open by now."""
    connecting.cancel()
    connecting.add_done_callback(_close)


def _close(task: asyncio.Task[tuple[asyncio.Transport, asyncio.Protocol]]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    transport, _ = task.result()
    transport.abort()
