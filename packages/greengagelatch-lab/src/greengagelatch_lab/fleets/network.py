"""Emulated network paths between data centres, for network fault injection.

Each path can be disconnected or blackholed separately. Every process has its own IP
address ``127.D.0.N``, where ``D`` is the number of its data centre. Connections to it
from another data centre ``S`` are redirected to ``127.D.S.N``, where a
:class:`~greengagelatch_lab.standins.tcp_proxy.TcpProxy` forwards the bytes. An
address is thus the same for all instances, whichever source they have it from, while
each data centre has its own path to it. The daemons redirect their connections in
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

__all__ = ("Network", "NetworkPath", "PathKind", "redirect_host")

#: first octet of all addresses, and third octet of those not reached through a proxy
LOOPBACK_OCTET = 127
DIRECT_OCTET = 0
#: range of the last octet, the number of a process in its data centre
MIN_HOST_NUMBER = 1
MAX_HOST_NUMBER = 254


class PathKind(Enum):
    """Kind of process at the end of a path."""

    PLATFORM = "platform"
    PEER = "peer"
    TARGET = "target"


@dataclass(frozen=True, slots=True, kw_only=True)
class NetworkPath:
    """The network path from one data centre to one process outside it."""

    source: str
    #: data centre of the process; empty for the platform
    destination: str
    kind: PathKind
    link: TcpProxy

    def connects(self, data_centre: str) -> bool:
        """Whether the path connects ``data_centre`` to another data centre."""
        ends = (self.source, self.destination)
        return self.kind is not PathKind.PLATFORM and data_centre in ends


class Network:
    """Paths between the data centres of a fleet, and from each to the platform."""

    def __init__(self, data_centres: Sequence[str]) -> None:
        self._numbers = {name: number for number, name in enumerate(data_centres, 1)}
        self._hosts = {name: itertools.count(MIN_HOST_NUMBER) for name in data_centres}
        self._platform_addresses: dict[str, str] = {}
        self.paths: list[NetworkPath] = []

    def get_number(self, data_centre: str) -> int:
        """Return the number of a data centre."""
        return self._numbers[data_centre]

    def assign_host(self, data_centre: str) -> str:
        """Return an IP address unused by other processes of the data centre."""
        number = next(self._hosts[data_centre])
        if number > MAX_HOST_NUMBER:
            raise RuntimeError(
                f"no IP address left in data centre {data_centre}:"
                f" {MAX_HOST_NUMBER} in use"
            )
        return f"{LOOPBACK_OCTET}.{self._numbers[data_centre]}.{DIRECT_OCTET}.{number}"

    def get_platform_address(self, data_centre: str) -> str:
        """Return the address at which a data centre reaches the platform."""
        return self._platform_addresses[data_centre]

    async def open_platform_paths(self, address: str) -> None:
        """Open a path to the platform from every data centre."""
        for name in self._numbers:
            link = TcpProxy(address)
            await self._open_path(name, "", PathKind.PLATFORM, link)
            self._platform_addresses[name] = link.address

    async def open_paths(self, data_centre: str, address: str, kind: PathKind) -> None:
        """Open a path to ``address`` from every data centre except its own."""
        for name, number in self._numbers.items():
            if name == data_centre:
                continue
            host, _, port = address.rpartition(":")
            link = TcpProxy(address, listen=f"{redirect_host(number, host)}:{port}")
            await self._open_path(name, data_centre, kind, link)

    def find_platform_paths(self, data_centre: str) -> list[NetworkPath]:
        """Return the paths from a data centre to the platform."""
        return [
            path
            for path in self.paths
            if path.kind is PathKind.PLATFORM and path.source == data_centre
        ]

    def find_paths(self, data_centre: str, *kinds: PathKind) -> list[NetworkPath]:
        """Return the paths between a data centre and the others."""
        return [
            path
            for path in self.paths
            if path.connects(data_centre) and path.kind in kinds
        ]

    async def __aenter__(self) -> Network:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await _stop_links(path.link for path in self.paths)

    async def _open_path(
        self, source: str, destination: str, kind: PathKind, link: TcpProxy
    ) -> None:
        await link.start()
        path = NetworkPath(source=source, destination=destination, kind=kind, link=link)
        self.paths.append(path)


def redirect_host(source: int, host: str) -> str:
    """Return the host that a connection from data centre ``source`` is redirected to.

    A host in no data centre, or in the source itself, is returned unchanged.
    """
    try:
        octets = list(ipaddress.IPv4Address(host).packed)
    except ValueError:
        return host
    first, data_centre, link_octet, _ = octets
    if (
        first != LOOPBACK_OCTET
        or link_octet != DIRECT_OCTET
        or data_centre in (DIRECT_OCTET, source)
    ):
        return host
    octets[2] = source
    return ".".join(str(octet) for octet in octets)


async def _stop_links(links: Iterable[TcpProxy]) -> None:
    await asyncio.gather(*(link.stop() for link in links))
