"""Checks whether a process still listens at an address."""

from __future__ import annotations

import asyncio

__all__ = ("PortProbe",)

#: seconds after which a target that does not answer is taken to be unreachable
CONNECT_TIMEOUT = 1.0


class PortProbe:
    """Opens connections to see whether they are refused."""

    async def is_port_closed(self, address: str) -> bool:
        """Return whether an address refuses connections: its process has ended.

        A connect timeout is no evidence of that: the target may only be unreachable.
        """
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, OverflowError, TimeoutError, ValueError):
            return False
        writer.close()
        return False
