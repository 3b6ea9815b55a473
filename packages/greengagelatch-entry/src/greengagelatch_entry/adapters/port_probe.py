"""Checks whether a process still listens at an address."""

from __future__ import annotations

import asyncio

from ..relay.target_dialers import DialFailure

__all__ = ("PortProbe",)

#: seconds after which a target that does not answer is taken to be unreachable
CONNECT_TIMEOUT = 1.0


class PortProbe:
    """Opens connections to see whether they are refused."""

    async def probe(self, address: str) -> DialFailure | None:
        """Connect to an address; return why that failed."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except ConnectionRefusedError:
            return DialFailure.REFUSED
        except TimeoutError:
            return DialFailure.TIMED_OUT
        except (OSError, OverflowError, ValueError):
            return DialFailure.FAILED
        writer.close()
        return None
