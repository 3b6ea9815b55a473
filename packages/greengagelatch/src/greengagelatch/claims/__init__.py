"""Claims: at most one run of a keyed request, whichever instance it reaches.

A claim counts once a compare-and-swap of its shard's head that contains it has
succeeded, and on nothing else. The modules, from the inside out:

- :mod:`.packing`, :mod:`.head` and :mod:`.encoding`: what a shard holds, as bytes;
- :mod:`.operations`: what a batch of operations changes in a head;
- :mod:`.commit`: the steps that bring a batch into the store;
- :mod:`.attempt`: the steps by which an instance gets a claim for a request;
- :mod:`.registry`: what an instance knows of its own attempts;
- :mod:`.outage`: what to do when no claim can be had.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ("Claim", "ClaimState", "Token")


class ClaimState(IntEnum):
    """Whether a claim still holds its key."""

    CLAIMED = 0
    #: nothing was sent; kept only to override an older record in a sealed segment
    GIVEN_BACK = 1


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """Identifies one attempt to run a keyed request; never used twice.

    ``incarnation`` is drawn at random when a process starts: an instance that was
    restarted under its old id knows nothing of its earlier attempts.
    """

    instance: str
    incarnation: int
    serial: int


@dataclass(frozen=True, slots=True)
class Claim:
    """The right of one attempt to run the request under a key."""

    #: digest of workspace, pipeline and the caller's key
    key: bytes
    #: digest of what was asked for under the key
    digest: bytes
    token: Token
    #: wall-clock seconds after which the claim may be forgotten
    forget_at: int
    state: ClaimState = ClaimState.CLAIMED
