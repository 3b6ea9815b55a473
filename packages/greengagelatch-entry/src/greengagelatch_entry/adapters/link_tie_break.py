"""Tie-breaking between two links to the same peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("replaces",)


def replaces(new: Link, current: Link, own_id: str, crossing_seconds: float) -> bool:
    """Whether a new link replaces the one in use.

    Both sides must keep the same link, otherwise each closes the one that the other
    uses. The decision therefore depends only on what both know: the sequence numbers
    of the hellos, which increase on each side, and which side dialled. A side dials,
    and answers a dial, only if it knows of no better link. Hence a link whose hellos
    both have higher numbers is the later one, for instance after a disconnect that
    only one side has detected. If the hellos crossed, each sent before the other was
    read, the link dialled by the lower instance id is kept; of two links with the
    same dialler, the one that was answered last.

    :param crossing_seconds: time within which two links are treated as crossed if the
        peer does not number its hellos.
    """
    if not (new.peer.number and current.peer.number):
        return _replaces_by_time(new, current, own_id, crossing_seconds)
    own_later = new.hello_number > current.hello_number
    if own_later == (new.peer.number > current.peer.number):
        return own_later
    if new.initiated != current.initiated:
        return new.initiated == (own_id < new.instance_id)
    return not own_later if new.initiated else own_later


def _replaces_by_time(
    new: Link, current: Link, own_id: str, crossing_seconds: float
) -> bool:
    """Apply the rule of earlier releases, which do not number their hellos."""
    if current.initiated == new.initiated:
        return True
    if new.peer.incarnation != current.peer.incarnation:
        return new.peer.incarnation > current.peer.incarnation
    if new.opened - current.opened > crossing_seconds:
        return True
    return new.initiated == (own_id < new.instance_id)
