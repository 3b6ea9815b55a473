"""Exit codes of the command."""

from __future__ import annotations

from enum import IntEnum

__all__ = ("ExitCode",)


class ExitCode(IntEnum):
    """How a command ended; scripts may rely on the numbers."""

    #: done, or found as asked
    OK = 0
    #: refused or invalid; nothing took effect
    REFUSED = 1
    #: the command line, a file name or a server's address is wrong
    USAGE = 2
    #: another change touched the same objects; nothing took effect
    CONFLICT = 3
    #: a change may or may not have taken effect; settle it by its id
    UNKNOWN = 4
    #: no server, or the store behind it, could be reached; nothing took effect
    UNREACHABLE = 5
    #: what was waited for has not happened in time; the change itself is accepted
    TIMED_OUT = 6
    #: a fault of the command itself, which says nothing about any change;
    #: an error that ended the process by itself would give 1, "nothing took effect"
    INTERNAL = 70
    #: stopped from the keyboard while nothing was being changed
    INTERRUPTED = 130
