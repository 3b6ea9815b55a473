"""Tie-breaking between two links to the same peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("replaces",)


def replaces(new: Link, held: Link, own_id: str, crossing: float) -> bool:
    """Whether a new link replaces the one in use.

    Both sides must keep the same link, otherwise each closes the one that the other
    uses. The decision therefore depends only on what both know: the sequence numbers
    of the hellos, which increase on each side, and which side dialled. A side dials,
    and answers a dial, only if it knows of no better link. Hence a link whose hellos
    both have higher numbers is the later one, for instance after a disconnect that
    only one side has detected. If the hellos crossed, each sent before the other was
    read, the link dialled by the lower instance id is kept; of two links with the
    same dialler, the one that was answered last.

    :param crossing: seconds within which two links are treated as crossed if the peer
        does not number its hellos.
    """
    if not (new.peer.number and held.peer.number):
        return _replaces_by_time(new, held, own_id, crossing)
    own_later = new.number > held.number
    if own_later == (new.peer.number > held.peer.number):
        return own_later
    if new.initiated != held.initiated:
        return new.initiated == (own_id < new.instance_id)
    return not own_later if new.initiated else own_later


def _replaces_by_time(new: Link, held: Link, own_id: str, crossing: float) -> bool:
    """Apply the rule of earlier releases, which do not number their hellos."""
    if held.initiated == new.initiated:
        return True
    if new.peer.incarnation != held.peer.incarnation:
        return new.peer.incarnation > held.peer.incarnation
    if new.opened - held.opened > crossing:
        return True
    return new.initiated == (own_id < new.instance_id)
