"""Digests by which attempts of the same request are recognised."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .requests import OpaqueRequest

__all__ = ("compute_digest",)

#: bytes of a digest: short enough to be sent to all instances, and long enough that no
#: two requests of a year collide
DIGEST_BYTES = 12


def compute_digest(request: OpaqueRequest, workspace: str) -> str:
    """Return a digest that is the same for all attempts of one request.

    Attempts differ in their ids, deadlines and connections; the work of the target is
    the same if method, host, path, workspace and body are.

    :param workspace: workspace of the caller; empty where no API keys are needed
    """
    hashed = blake2b(digest_size=DIGEST_BYTES)
    host = request.host.lower()
    for part in (request.method, host, request.target, workspace):
        encoded = part.encode("utf-8", "surrogatepass")
        hashed.update(len(encoded).to_bytes(4))
        hashed.update(encoded)
    hashed.update(request.body)
    return hashed.hexdigest()
