"""Disturbances of a fleet, and schedules of them that are drawn by seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

__all__ = ("Disturbance", "DisturbanceKind", "Schedule", "draw_schedule")

#: seconds before the first disturbance, in which the fleet records its versions
SETTLING_SECONDS = 8.0
#: seconds within which the first disturbance begins after that
FIRST_SECONDS = 5.0
#: most disturbances of a schedule
MAX_DISTURBANCES = 4
#: share of disturbances that begin within some seconds of the one before, and these
#: seconds; the others begin up to ``SPACED_SECONDS`` later
OVERLAP_SHARE = 0.6
OVERLAP_SECONDS = 3.0
SPACED_SECONDS = 12.0
#: share of the cuts of a data centre that last for minutes, and their seconds
LONG_CUT_SHARE = 0.3
LONG_CUT_SECONDS = (85.0, 150.0)


class DisturbanceKind(Enum):
    """What happens to the fleet."""

    #: the store answers nothing for some seconds, and entries lapse meanwhile
    STORE_OUTAGE = "store-outage"
    #: the store rejects all calls for some seconds
    STORE_REJECTIONS = "store-rejections"
    #: an instance is cut off from the store
    STORE_CUT = "store-cut"
    #: the open connections of all instances to the store fall silent
    STORE_SILENCE = "store-silence"
    #: a target is cut off from the store
    TARGET_CUT = "target-cut"
    #: a data centre is cut off from the store and from the others
    DATA_CENTRE_CUT = "data-centre-cut"
    #: an instance is cut off from the others
    LINK_CUT = "link-cut"
    #: an instance is killed, and starts again
    KILL = "kill"
    #: all instances are killed, and start again
    KILL_ALL = "kill-all"
    #: targets of another software version join, and the former ones leave
    RELEASE = "release"
    #: a target crashes
    TARGET_CRASH = "target-crash"
    #: a target leaves as planned
    TARGET_LEAVING = "target-leaving"
    #: a target ends without having said that it leaves
    TARGET_REMOVAL = "target-removal"
    #: a key is added and another one is taken away
    KEY_CHANGE = "key-change"


#: what operators do on purpose, and share of disturbances that are of these kinds
_PLANNED = (
    DisturbanceKind.RELEASE,
    DisturbanceKind.TARGET_LEAVING,
    DisturbanceKind.TARGET_REMOVAL,
    DisturbanceKind.KEY_CHANGE,
)
PLANNED_SHARE = 0.5
_FAULTS = tuple(one for one in DisturbanceKind if one not in _PLANNED)
#: bounds of the seconds for which a disturbance lasts, or the time until an instance
#: starts again, or the former targets of a release leave
_SECONDS = {
    DisturbanceKind.STORE_OUTAGE: (1.0, 5.0),
    DisturbanceKind.STORE_REJECTIONS: (1.0, 5.0),
    DisturbanceKind.STORE_CUT: (1.0, 12.0),
    DisturbanceKind.STORE_SILENCE: (0.0, 0.0),
    DisturbanceKind.TARGET_CUT: (2.0, 8.0),
    DisturbanceKind.DATA_CENTRE_CUT: (2.0, 12.0),
    DisturbanceKind.LINK_CUT: (2.0, 12.0),
    DisturbanceKind.KILL: (0.5, 2.0),
    DisturbanceKind.KILL_ALL: (0.5, 2.0),
    DisturbanceKind.RELEASE: (0.3, 4.0),
    DisturbanceKind.TARGET_CRASH: (0.0, 0.0),
    DisturbanceKind.TARGET_LEAVING: (0.0, 0.0),
    DisturbanceKind.TARGET_REMOVAL: (0.0, 0.0),
    DisturbanceKind.KEY_CHANGE: (0.0, 0.0),
}


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One disturbance of a schedule; times in seconds since the start of a run."""

    at: float
    kind: DisturbanceKind
    seconds: float = 0.0
    #: number that selects the instance, target or data centre
    subject: int = 0

    @property
    def end(self) -> float:
        """Time at which it is over."""
        return self.at + self.seconds

    def __str__(self) -> str:
        text = f"{self.at:7.2f} s  {self.kind.value}"
        if self.seconds:
            text += f" for {self.seconds:.2f} s"
        return f"{text}, subject {self.subject}"


#: disturbances in the order in which they begin
Schedule = tuple[Disturbance, ...]


def draw_schedule(random_source: random.Random) -> Schedule:
    """Draw some disturbances, of which most overlap."""
    drawn = []
    at = SETTLING_SECONDS + random_source.uniform(0.0, FIRST_SECONDS)
    for _ in range(random_source.randint(1, MAX_DISTURBANCES)):
        drawn.append(_draw_disturbance(random_source, at))
        if random_source.random() < OVERLAP_SHARE:
            at += random_source.uniform(0.0, OVERLAP_SECONDS)
        else:
            at += random_source.uniform(OVERLAP_SECONDS, SPACED_SECONDS)
    return tuple(drawn)


def _draw_disturbance(random_source: random.Random, at: float) -> Disturbance:
    is_planned = random_source.random() < PLANNED_SHARE
    kind = random_source.choice(_PLANNED if is_planned else _FAULTS)
    bounds = _SECONDS[kind]
    if (
        kind is DisturbanceKind.DATA_CENTRE_CUT
        and random_source.random() < LONG_CUT_SHARE
    ):
        bounds = LONG_CUT_SECONDS
    seconds = random_source.uniform(*bounds)
    return Disturbance(
        round(at, 2), kind, round(seconds, 2), random_source.randrange(100)
    )
