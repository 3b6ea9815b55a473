"""Exit codes of the command."""

from __future__ import annotations

from enum import IntEnum

__all__ = ("ExitCode",)


class ExitCode(IntEnum):
    """Exit codes; scripts may rely on the numbers."""

    #: succeeded
    OK = 0
    #: refused, invalid or not found; nothing took effect
    REFUSED = 1
    #: invalid command line, file name or server address
    USAGE = 2
    #: another change modified the same objects; nothing took effect
    CONFLICT = 3
    #: a change may or may not have taken effect; its id tells which
    UNKNOWN = 4
    #: no server, or none with access to the store, was reachable; nothing took effect
    UNREACHABLE = 5
    #: the change was accepted, but is not in force everywhere within the time-out
    TIMED_OUT = 6
    #: internal error of the command, which tells nothing about any change; it has its
    #: own code because Python exits with 1, "nothing took effect", on uncaught errors
    INTERNAL = 70
    #: interrupted from the keyboard while no change was being submitted
    INTERRUPTED = 130
