"""Links between one instance and its targets, which can be partitioned."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from ..standins.tcp_proxy import HOST, TcpProxy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from greengagelatch.relay.targets import ListedTarget, TargetTable

    from .targets import SimulatedTarget

__all__ = ("PartitionForm", "TargetLinks")


class PartitionForm(Enum):
    """What happens to the connections between an instance and its targets."""

    #: open ones lose all data, and attempts to connect are not answered
    HANG = "hang"
    #: open ones are reset and new ones are refused
    RESET = "reset"
    #: open ones live on and new ones are refused
    REFUSE_NEW = "refuse-new"


class TargetLinks:
    """One proxy per target, seen by one instance only.

    :param source: host from which the targets see it connect
    """

    def __init__(self, source: str = HOST) -> None:
        self._source = source
        #: by target id
        self._proxies: dict[str, TcpProxy] = {}
        self._services: dict[str, str] = {}

    async def add(self, targets: Iterable[SimulatedTarget]) -> None:
        """Start the links to targets."""
        for target in targets:
            proxy = self._proxies[target.target_id] = TcpProxy(
                target.address, source=self._source
            )
            self._services[target.target_id] = target.service
            await proxy.start()

    def find_address(self, target_id: str) -> str:
        """Return the address at which the instance reaches a target."""
        return self._proxies[target_id].address

    def pause(self, target_id: str) -> None:
        """Let a target fall silent until :meth:`resume`; no data is lost."""
        self._proxies[target_id].pause()

    def resume(self, target_id: str) -> None:
        """End the silence of a target; the data held back goes on."""
        self._proxies[target_id].resume()

    def attach(self, table: TargetTable) -> None:
        """Make an instance use these links.

        The table is where all listings meet: peers pass on the addresses of their own
        links.
        """
        put = table.put

        def put_linked(target: ListedTarget, read_revision: int = 0) -> bool:
            proxy = self._proxies.get(target.target_id)
            if proxy is None:
                return put(target, read_revision)
            return put(replace(target, address=proxy.address), read_revision)

        table.put = put_linked

    async def cut(self, form: PartitionForm, service: str = "") -> None:
        """Partition the instance from the targets of a service; empty: from all."""
        for proxy in self._list_proxies(service):
            match form:
                case PartitionForm.HANG:
                    proxy.hang_new()
                    proxy.blackhole()
                case PartitionForm.RESET:
                    await proxy.disconnect()
                case PartitionForm.REFUSE_NEW:
                    proxy.refuse_new()

    async def heal(self) -> None:
        """End all partitions."""
        for proxy in self._list_proxies(""):
            await proxy.heal()

    def count_accepted(self, target_id: str = "") -> int:
        """Return how many connections the instance has opened to a target.

        :param target_id: empty: to all targets
        """
        if target_id:
            return self._proxies[target_id].accepted
        return sum(proxy.accepted for proxy in self._proxies.values())

    async def stop(self) -> None:
        """Close all links."""
        await asyncio.gather(*(proxy.stop() for proxy in self._proxies.values()))

    def _list_proxies(self, service: str) -> list[TcpProxy]:
        """Return the links to the targets of a service; empty: to all."""
        return [
            proxy
            for target_id, proxy in self._proxies.items()
            if not service or self._services[target_id] == service
        ]
