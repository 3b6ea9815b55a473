"""Quotas of workspaces over all entry instances and data centres."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

__all__ = ("Admission", "QuotaKey", "digest_text")


@dataclass(frozen=True, slots=True)
class QuotaKey:
    """Key of a quota's usage: one policy and one workspace."""

    policy: str
    workspace: str

    def digest(self) -> int:
        """Return the digest that identifies the key in messages."""
        return digest_text(f"{self.policy}\n{self.workspace}")


@dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """Decision of the quota on a request."""

    admitted: bool
    #: seconds after which a retry may succeed; 0 if admitted
    retry_after: float = 0.0


def digest_text(text: str) -> int:
    """Return a 32-bit digest of a text, to keep messages small."""
    return xxhash.xxh32_intdigest(text.encode())
