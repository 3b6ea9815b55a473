"""Paths between data centres, each of which can be cut or silenced by itself.

Every process has an IP number of its own, ``127.D.0.N``, with the number of its data
centre as ``D``. Whoever connects to it from another data centre ``S`` is led to
``127.D.S.N``, where a :class:`~greengagelatch_lab.standins.tcp_proxy.TcpProxy` passes
the bytes on. So an address means the same to all instances, wherever they learnt it,
and still each data centre has its own way to it. The daemons' own end of this is
:mod:`.routed`.
"""

from __future__ import annotations

import asyncio
import ipaddress
import itertools
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..standins.tcp_proxy import TcpProxy

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from types import TracebackType

__all__ = ("Network", "Path", "PathKind", "find_way")

#: first octet of all addresses, and third octet of those not led through a link
LOOPBACK = 127
DIRECT = 0
#: first numbers of an instance in its data centre; the last octet has no room for more
FIRST = 1
LAST = 254


class PathKind(Enum):
    """What a path leads to."""

    PLATFORM = "platform"
    PEER = "peer"
    TARGET = "target"


@dataclass(frozen=True, slots=True, kw_only=True)
class Path:
    """The way from one data centre to one process elsewhere."""

    source: str
    #: data centre that it leads to; empty for the platform
    destination: str
    kind: PathKind
    link: TcpProxy

    def joins(self, data_centre: str) -> bool:
        """Whether it leads from or to ``data_centre``, and not to the platform."""
        ends = (self.source, self.destination)
        return self.kind is not PathKind.PLATFORM and data_centre in ends


class Network:
    """The paths between the data centres of a fleet, and from each to the platform."""

    def __init__(self, data_centres: Sequence[str]) -> None:
        self._numbers = {name: number for number, name in enumerate(data_centres, 1)}
        self._hosts = {name: itertools.count(FIRST) for name in data_centres}
        self._platforms: dict[str, str] = {}
        self.paths: list[Path] = []

    def get_number(self, data_centre: str) -> int:
        """Return the number of a data centre."""
        return self._numbers[data_centre]

    def assign_host(self, data_centre: str) -> str:
        """Return an IP number that no other process of the data centre has."""
        number = next(self._hosts[data_centre])
        if number > LAST:
            raise RuntimeError(f"{data_centre} has no room for more processes")
        return f"{LOOPBACK}.{self._numbers[data_centre]}.{DIRECT}.{number}"

    def get_platform(self, data_centre: str) -> str:
        """Return the address at which a data centre reaches the platform."""
        return self._platforms[data_centre]

    async def open_platform(self, address: str) -> None:
        """Open a path to the platform from every data centre."""
        for name in self._numbers:
            link = TcpProxy(address)
            await self._open(name, "", PathKind.PLATFORM, link)
            self._platforms[name] = link.address

    async def open_paths(self, data_centre: str, address: str, kind: PathKind) -> None:
        """Open a path to ``address`` from every data centre but its own."""
        for name, number in self._numbers.items():
            if name == data_centre:
                continue
            host, _, port = address.rpartition(":")
            link = TcpProxy(address, listen=f"{find_way(number, host)}:{port}")
            await self._open(name, data_centre, kind, link)

    def find_platform_paths(self, data_centre: str) -> list[Path]:
        """Return the paths from a data centre to the platform."""
        return [
            path
            for path in self.paths
            if path.kind is PathKind.PLATFORM and path.source == data_centre
        ]

    def find_paths(self, data_centre: str, *kinds: PathKind) -> list[Path]:
        """Return the paths between a data centre and the others."""
        return [
            path
            for path in self.paths
            if path.joins(data_centre) and path.kind in kinds
        ]

    async def __aenter__(self) -> Network:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await _stop(path.link for path in self.paths)

    async def _open(
        self, source: str, destination: str, kind: PathKind, link: TcpProxy
    ) -> None:
        await link.start()
        path = Path(source=source, destination=destination, kind=kind, link=link)
        self.paths.append(path)


def find_way(source: int, host: str) -> str:
    """Return where a connection from data centre ``source`` is led.

    An address that belongs to no data centre, or to the source itself, is left as it
    is.
    """
    try:
        octets = list(ipaddress.IPv4Address(host).packed)
    except ValueError:
        return host
    first, data_centre, passed, _ = octets
    if first != LOOPBACK or passed != DIRECT or data_centre in (DIRECT, source):
        return host
    octets[2] = source
    return ".".join(str(octet) for octet in octets)


async def _stop(links: Iterable[TcpProxy]) -> None:
    await asyncio.gather(*(link.stop() for link in links))
