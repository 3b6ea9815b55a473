"""How long stage work waits for its makers, and takes there."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ("QueueWait",)


@dataclass(frozen=True, slots=True)
class QueueWait:
    """What a piece that came now would have before it; times in seconds."""

    #: behind those whose requests can still be on time
    urgent: float = 0.0
    #: behind all
    total: float = 0.0
    #: that a call takes of late, with the pieces of all requests that share it; 0: not
    #: told
    call: float = 0.0

    def estimate_stage(self, alone: float) -> float:
        """Return the seconds that a stage takes once it is begun.

        :param alone: the same where no other request shares its call
        """
        return max(alone, self.call)
