"""Claims on idempotency keys: a keyed request runs at most once in all instances.

A claim takes effect when a compare-and-swap of its shard's head that contains it
succeeds, and not before. A repeat is a request that is sent again under the same
key. An operation is unsettled while it is unknown whether it took effect.

The modules, from the lowest layer up:

- :mod:`.packing`, :mod:`.head` and :mod:`.encoding`: a shard's data and its format;
- :mod:`.operations`: applies a batch of operations to a head;
- :mod:`.commit`: the state machine that commits a batch to the store;
- :mod:`.attempt`: the state machine that acquires a claim for a request;
- :mod:`.registry`: the attempts of one process and their outcomes;
- :mod:`.outage`: the policies for requests while the store is unreachable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ("Claim", "ClaimState", "Token")


class ClaimState(IntEnum):
    """State of a claim record."""

    CLAIMED = 0
    #: the attempt sent nothing and has released its key; the record is a tombstone
    #: that overrides an older record in a sealed segment
    GIVEN_BACK = 1


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """Identifies one attempt to run a keyed request; never reused.

    ``incarnation`` is a random number drawn when a process starts. It separates the
    attempts of a restarted instance from those of the process before, whose state
    is lost.
    """

    instance: str
    incarnation: int
    serial: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Record that grants one attempt the exclusive right to run a keyed request."""

    #: digest of workspace, pipeline and the caller's key
    key: bytes
    #: digest of the request that the key was first used for
    digest: bytes
    token: Token
    #: wall-clock seconds after which the claim may be dropped
    expires_at: int
    state: ClaimState = ClaimState.CLAIMED
