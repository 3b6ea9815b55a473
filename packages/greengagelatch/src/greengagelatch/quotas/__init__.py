"""Quotas of workspaces over all entry instances and data centres."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

__all__ = ("Admission", "QuotaKey", "digest_text")


@dataclass(frozen=True, slots=True)
class QuotaKey:
    """What use is counted for: one policy and one workspace."""

    policy: str
    workspace: str

    def digest(self) -> int:
        """Return the number that stands for it in messages."""
        return digest_text(f"{self.policy}\n{self.workspace}")


@dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """Whether a request may go on, as far as its quota is concerned."""

    admitted: bool
    #: seconds after which asking again may help; 0 if admitted
    retry_after: float = 0.0


def digest_text(text: str) -> int:
    """Return 32 bits that stand for a text in messages, where bytes count."""
    return xxhash.xxh32_intdigest(text.encode())
