"""HTTP client of the platform's instance list."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING, Any

import aiohttp
import xxhash
from result import Err, Ok, Result

from greengagelatch.instances import Instance, InstanceList, Listing
from greengagelatch.instances.rows import parse_row
from greengagelatch.store import StoreError, StoreErrorKind

if TYPE_CHECKING:
    from ..metrics import Metrics

__all__ = ("HttpInstanceList",)

logger = logging.getLogger(__name__)

#: maximum size of a listing, enough for about 100,000 instances
MAX_LISTING_BYTES = 16 * 1024 * 1024

#: rows parsed before other tasks run, so that a long list does not block the loop
ROWS_PER_TURN = 500


class HttpInstanceList(InstanceList):
    """Fetches the instance list by ``GET /instances``.

    :param address: ``host:port`` of the platform.
    :param timeout: seconds allowed for a call.
    """

    def __init__(
        self,
        *,
        address: str,
        timeout: float,
        metrics: Metrics,
        max_bytes: int = MAX_LISTING_BYTES,
    ) -> None:
        self._url = f"http://{address}/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._metrics = metrics
        self._max_bytes = max_bytes
        self._session: aiohttp.ClientSession | None = None
        self._digest = b""
        self._listing: Listing | None = None
        #: rows of the last listing by instance id, raw and parsed
        self._parsed_rows: dict[str, tuple[dict[str, Any], Instance]] = {}

    async def fetch(self) -> Result[Listing, StoreError]:
        self._metrics.count("instances.calls")
        try:
            async with self._open_session().get(self._url) as response:
                if response.status != 200:
                    return Err(_create_status_error(response.status))
                body = await self._read_body(response)
        except TimeoutError:
            return Err(
                StoreError(StoreErrorKind.TIMEOUT, "no response within the timeout")
            )
        except (aiohttp.ClientError, OSError) as error:
            return Err(StoreError(StoreErrorKind.UNREACHABLE, str(error)))
        if body is None:
            return Err(
                StoreError(
                    StoreErrorKind.BAD_ANSWER,
                    f"listing exceeds the limit of {self._max_bytes} bytes",
                )
            )
        return await self._parse(body)

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Each call uses a new connection: every other call on a kept-alive
            # connection that became unresponsive would time out, and aiohttp resends
            # a GET by itself when a kept-alive connection drops.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True, limit=2),
                timeout=self._timeout,
                trust_env=False,
            )
        return self._session

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes | None:
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._max_bytes:
                return None
        return bytes(body)

    async def _parse(self, body: bytes) -> Result[Listing, StoreError]:
        digest = xxhash.xxh3_128_digest(body)
        if self._listing is not None and digest == self._digest:
            return Ok(self._listing)
        try:
            data = json.loads(body)
        except (ValueError, RecursionError) as error:
            return Err(StoreError(StoreErrorKind.BAD_ANSWER, str(error)))
        rows = data.get("instances") if isinstance(data, dict) else None
        as_of = data.get("as_of") if isinstance(data, dict) else None
        if not isinstance(rows, list) or not isinstance(as_of, int):
            return Err(
                StoreError(
                    StoreErrorKind.BAD_ANSWER, "response is not an instance listing"
                )
            )
        instances = await self._read_rows(rows)
        self._digest = digest
        self._listing = Listing(as_of, instances)
        return Ok(self._listing)

    async def _read_rows(self, rows: list[Any]) -> tuple[Instance, ...]:
        instances = []
        parsed_rows: dict[str, tuple[dict[str, Any], Instance]] = {}
        invalid = 0
        for number, row in enumerate(rows, start=1):
            if number % ROWS_PER_TURN == 0:
                await asyncio.sleep(0)
            instance = self._find_parsed(row) or parse_row(row)
            if instance is None:
                invalid += 1
                continue
            parsed_rows[instance.instance_id] = (row, instance)
            instances.append(instance)
        self._parsed_rows = parsed_rows
        if invalid:
            # one invalid row must not hide all other instances
            self._metrics.count("instances.bad_rows", invalid)
            logger.warning("skipped %s invalid rows of the instance list", invalid)
        return tuple(instances)

    def _find_parsed(self, row: Any) -> Instance | None:
        # few rows change between two listings, and comparing a row is far cheaper
        # than parsing it
        instance_id = row.get("id") if isinstance(row, dict) else None
        if not isinstance(instance_id, str):
            return None
        previous = self._parsed_rows.get(instance_id)
        return previous[1] if previous is not None and previous[0] == row else None


def _create_status_error(status: int) -> StoreError:
    kind = StoreErrorKind.BAD_ANSWER
    if status == 429:
        kind = StoreErrorKind.RATE_LIMITED
    elif status >= 500:
        kind = StoreErrorKind.UNREACHABLE
    return StoreError(kind, f"status {status}")
