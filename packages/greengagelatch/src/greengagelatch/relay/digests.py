"""Digests by which a request is recognised when it comes again."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .requests import OpaqueRequest

__all__ = ("compute_digest",)

#: bytes of a digest: few enough to be told to all instances, and enough that no two
#: requests of a year share one by chance
DIGEST_BYTES = 12


def compute_digest(request: OpaqueRequest, workspace: str) -> str:
    """Return the same text for each attempt that carries the same request.

    Attempts differ in their ids, deadlines and connections; what a target works on is
    the same if method, host, path, caller and body are.

    :param workspace: whose request it is; empty where no keys are asked for
    """
    hashed = blake2b(digest_size=DIGEST_BYTES)
    host = request.host.lower()
    for part in (request.method, host, request.target, workspace):
        encoded = part.encode("utf-8", "surrogatepass")
        hashed.update(len(encoded).to_bytes(4))
        hashed.update(encoded)
    hashed.update(request.body)
    return hashed.hexdigest()
