"""Which of two links to the same peer is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .peer_link import Link

__all__ = ("replaces",)


def replaces(new: Link, held: Link, own_id: str, crossing: float) -> bool:
    """Whether a new link is kept in place of the one that is held.

    Both sides must keep the same one, or each closes the link that the other uses.
    So it is decided by what both know: the numbers of the hellos, which each side
    draws in order, and who dialled. A side dials, and answers a dial, only where it
    knows of no better link; so a link whose hellos are both later follows the other,
    as after a cut that only one side has noticed. If the hellos crossed, each side
    having sent one before it read the other's, the link that the lower id has dialled
    is kept; of two by the same dialler, the one that was answered last.

    :param crossing: seconds within which links are taken for crossed if the peer does
        not number its hellos.
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
    """Decide as releases do that do not number their hellos."""
    if held.initiated == new.initiated:
        return True
    if new.peer.incarnation != held.peer.incarnation:
        return new.peer.incarnation > held.peer.incarnation
    if new.opened - held.opened > crossing:
        return True
    return new.initiated == (own_id < new.instance_id)
