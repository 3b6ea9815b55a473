"""Client of the platform stand-in's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

__all__ = ("InstanceListClient", "create_list_entry")

#: time-out of a call in seconds
TIMEOUT = 10.0


class InstanceListClient:
    """Registers and deregisters instances with the platform."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT)
        )

    async def __aenter__(self) -> InstanceListClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._session.close()

    async def put(self, instances: Sequence[dict[str, str]]) -> None:
        """Register instances, or update those already registered."""
        await self._control("instances", {"put": list(instances)})

    async def remove(self, instance_ids: Sequence[str]) -> None:
        """Deregister instances."""
        await self._control("instances", {"remove": list(instance_ids)})

    async def set_faults(self, **faults: Any) -> None:
        """Inject faults into the platform, such as ``list_lag_s``."""
        await self._control("faults", faults)

    async def _control(self, name: str, body: dict[str, Any]) -> None:
        url = f"http://{self.address}/control/{name}"
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()


def create_list_entry(
    instance_id: str,
    kind: str,
    data_centre: str,
    address: str,
    *,
    state: str = "live",
    service: str = "",
) -> dict[str, str]:
    """Return the entry of an instance in the encoding of the platform's list."""
    return {
        "id": instance_id,
        "kind": kind,
        "data_centre": data_centre,
        "address": address,
        "state": state,
        "service": service,
    }
