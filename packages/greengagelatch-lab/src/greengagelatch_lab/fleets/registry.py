"""The platform stand-in's list of instances, as its operators change it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import TracebackType

__all__ = ("Registry", "describe_instance")

#: seconds allowed for one call
TIMEOUT = 10.0


class Registry:
    """Enters instances into the platform's list and takes them out."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT)
        )

    async def __aenter__(self) -> Registry:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._session.close()

    async def put(self, instances: Sequence[dict[str, str]]) -> None:
        """Enter instances, or change those already listed."""
        await self._control("instances", {"put": list(instances)})

    async def remove(self, instance_ids: Sequence[str]) -> None:
        """Take instances out of the list."""
        await self._control("instances", {"remove": list(instance_ids)})

    async def set_faults(self, **faults: Any) -> None:
        """Set faults of the platform, such as ``list_lag_s``."""
        await self._control("faults", faults)

    async def _control(self, name: str, body: dict[str, Any]) -> None:
        url = f"http://{self.address}/control/{name}"
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()


def describe_instance(
    instance_id: str,
    kind: str,
    data_centre: str,
    address: str,
    *,
    state: str = "live",
    service: str = "",
) -> dict[str, str]:
    """Return an entry of the list as the platform encodes it."""
    return {
        "id": instance_id,
        "kind": kind,
        "data_centre": data_centre,
        "address": address,
        "state": state,
        "service": service,
    }
