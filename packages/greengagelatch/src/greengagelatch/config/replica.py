"""An instance's replica of the configuration, whose generation never decreases."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .head import EMPTY_HEAD, Head, ShardRef, encode_head
from .names import ConfigObject
from .objects import Pipeline, Policy, Service, Workspace
from .records import Record, Shard, compute_digest, decode_shard
from .snapshot import EMPTY_SNAPSHOT, Snapshot

__all__ = ("LoadedShard", "Replica", "load_shard")

#: replaced shards kept for peers that are still fetching an earlier generation
MAX_UNUSED_SHARDS = 64


@dataclass(frozen=True, slots=True)
class LoadedShard:
    """A shard in encoded and in decoded form."""

    data: bytes
    shard: Shard


def load_shard(ref: ShardRef, data: bytes) -> LoadedShard | None:
    """Decode a shard, or return ``None`` if it does not match the reference."""
    if compute_digest(data) != ref.digest:
        return None
    shard = decode_shard(data)
    if shard.is_err():
        return None
    return LoadedShard(data, shard.ok_value)


class Replica:
    """The newest complete generation that this instance has received.

    Heads arrive from the store, from watches and from peers, and any of them may be
    stale. A head is adopted only if its generation is higher than the active one and
    all of its shards are present. So the configuration never reverts, and changes
    become visible atomically.
    """

    def __init__(self) -> None:
        self._head = EMPTY_HEAD
        self._head_data: bytes | None = None
        self._snapshot = EMPTY_SNAPSHOT
        self._shards: OrderedDict[str, LoadedShard] = OrderedDict()

    @property
    def head(self) -> Head:
        """Head of the active generation."""
        return self._head

    @property
    def generation(self) -> int:
        """Active generation; 0 before the first one is adopted."""
        return self._head.generation

    @property
    def snapshot(self) -> Snapshot:
        """Objects of the active generation."""
        return self._snapshot

    @property
    def bytes_held(self) -> int:
        """Total size of all shards in memory, in bytes."""
        return sum(len(loaded.data) for loaded in self._shards.values())

    def encode_head(self) -> bytes:
        """Return the encoded head, as it is sent to peers."""
        if self._head_data is None:
            self._head_data = encode_head(self._head)
        return self._head_data

    def find_missing(self, refs: Iterable[ShardRef]) -> tuple[ShardRef, ...]:
        """Return the references whose shards are not present."""
        return tuple(ref for ref in refs if ref.key not in self._shards)

    def get(self, key: str) -> LoadedShard | None:
        """Return a shard by its key, if present."""
        return self._shards.get(key)

    def adopt(self, head: Head, new_shards: Mapping[ShardRef, LoadedShard]) -> bool:
        """Activate a generation; return ``False`` if it is not newer or incomplete.

        :param new_shards: shards of the generation that are not present yet.
        """
        if head.generation <= self._head.generation:
            return False
        missing = self.find_missing(head.shards.values())
        if any(ref not in new_shards for ref in missing):
            return False
        for ref in missing:
            self._shards[ref.key] = new_shards[ref]
        self._head = head
        self._head_data = None
        self._snapshot = self._build_snapshot(head)
        self._drop_unused()
        return True

    def list_records(self) -> Mapping[str, Record]:
        """Return all active records by ``KIND/NAME``, including tombstones."""
        records: dict[str, Record] = {}
        for ref in self._head.shards.values():
            records.update(self._shards[ref.key].shard.records)
        return records

    def _build_snapshot(self, head: Head) -> Snapshot:
        pipelines: dict[str, Pipeline] = {}
        services: dict[str, Service] = {}
        workspaces: dict[str, Workspace] = {}
        policies: dict[str, Policy] = {}
        objects_by_type: Mapping[type, dict[str, ConfigObject]] = {
            Pipeline: pipelines,
            Service: services,
            Workspace: workspaces,
            Policy: policies,
        }
        for ref in head.shards.values():
            for item in self._shards[ref.key].shard.objects.values():
                objects_by_type[type(item)][item.name] = item
        change_id = head.changes[-1].change_id if head.changes else ""
        return Snapshot(
            generation=head.generation,
            change_id=change_id,
            pipelines=pipelines,
            services=services,
            workspaces=workspaces,
            policies=policies,
        )

    def _drop_unused(self) -> None:
        used = {ref.key for ref in self._head.shards.values()}
        unused = [key for key in self._shards if key not in used]
        for key in unused[: max(0, len(unused) - MAX_UNUSED_SHARDS)]:
            del self._shards[key]
