"""Serves the configuration to peers that fetch it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagelatch.config.head import encode_delta
from greengagelatch.config.messages import CHUNK_BYTES, ConfigChunk, ConfigFetch

if TYPE_CHECKING:
    from greengagelatch.config.replica import Replica
    from greengagelatch.peers import PeerNetwork

    from ..metrics import Metrics

__all__ = ("ConfigServer",)


class ConfigServer:
    """Sends heads, deltas and shards in bounded chunks."""

    def __init__(
        self, *, replica: Replica, peers: PeerNetwork, metrics: Metrics
    ) -> None:
        self._replica = replica
        self._metrics = metrics
        peers.handle(ConfigFetch, self._answer)

    def _answer(self, sender: str, fetch: ConfigFetch) -> ConfigChunk:
        generation = self._replica.generation
        data, delta = self._find(fetch)
        if not 0 <= fetch.offset < len(data):
            return ConfigChunk(key=fetch.key, generation=generation)
        self._metrics.count("configuration.chunks_sent")
        return ConfigChunk(
            key=fetch.key,
            generation=generation,
            offset=fetch.offset,
            total=len(data),
            data=data[fetch.offset : fetch.offset + CHUNK_BYTES],
            delta=delta,
        )

    def _find(self, fetch: ConfigFetch) -> tuple[bytes, bool]:
        if fetch.key:
            loaded = self._replica.get(fetch.key)
            return (b"" if loaded is None else loaded.data), False
        if self._replica.generation == 0:
            return b"", False
        if fetch.generation:
            delta = encode_delta(self._replica.head, fetch.generation)
            if delta is not None:
                return delta, True
        return self._replica.encode_head(), False
