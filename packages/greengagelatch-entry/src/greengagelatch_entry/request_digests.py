"""Digests by which requests with the same content are recognised."""

from __future__ import annotations

import hashlib
import json
from typing import Any

__all__ = ("compute_digest",)

#: bytes of a digest
DIGEST_BYTES = 16


def compute_digest(workspace: str, pipeline: str, value: Any) -> str:
    """Return the digest of a request with the input ``value``."""
    text = json.dumps(
        [workspace, pipeline, value], sort_keys=True, separators=(",", ":")
    )
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
