"""Fleets and load scenarios of the trials."""

from __future__ import annotations

from dataclasses import dataclass, replace

from greengagelatch.relay.deployment import MakerProfile

__all__ = (
    "SCENARIOS",
    "MEGABIT",
    "SHAPES",
    "Burst",
    "CallerClass",
    "FleetShape",
    "InstanceShape",
    "Outage",
    "MakerShape",
    "Scenario",
    "StageShape",
    "create_chain",
    "create_makers",
)

#: bytes per megabyte
MEGABYTE = 1_000_000
#: bytes per second of a 1 Mbit/s link
MEGABIT = 125_000


@dataclass(frozen=True, slots=True, kw_only=True)
class MakerShape:
    """The makers (targets that batch pieces) of one service; times in seconds."""

    name: str
    count: int
    batch: int
    item_seconds: float
    result_memory_bytes: float
    call_seconds: float = 0.2
    retention_seconds: float = 4.0

    def create_profile(self) -> MakerProfile:
        """Return the profile that a deployment declares for these makers."""
        return MakerProfile(
            slots=1,
            queue=2,
            batch=self.batch,
            call_seconds=self.call_seconds,
            item_seconds=self.item_seconds,
            result_memory_bytes=round(self.result_memory_bytes),
            retention_seconds=self.retention_seconds,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class StageShape:
    """One stage of a class of requests."""

    service: str
    result_bytes: int
    #: share of the requests that run this stage
    share: float = 1.0
    #: mean number of pieces; drawn numbers go up to four times the mean
    pieces: float = 1.0
    #: duration of a piece, as a multiple of its service's item time
    duration_factor: float = 1.0
    after: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerClass:
    """One class of requests; times in seconds."""

    name: str
    per_second: float
    objective: float
    deadline: float
    utility: float
    late_utility: float
    priority: int
    #: prompt tokens shared with other requests, and those of the request alone
    shared_tokens: int
    own_tokens: int
    #: number of distinct shared prompt parts
    shared_part_count: int
    #: seconds of generation after the first event
    generation_seconds: float
    stages: tuple[StageShape, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceShape:
    """Entry instances of one size."""

    #: instances in each data centre
    count: int
    cores: float
    #: bandwidth of the link, in bytes per second
    link_bytes: float


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetShape:
    """Makers, engines, entry instances and baseline load of one fleet."""

    name: str
    data_centres: int
    engines: int
    #: if empty, a single instance executes all stages locally
    instances: tuple[InstanceShape, ...] = ()
    makers: tuple[MakerShape, ...]
    classes: tuple[CallerClass, ...]
    #: priorities of the callers' workspaces
    workspace_priorities: tuple[int, ...] = (1,)


@dataclass(frozen=True, slots=True)
class Burst:
    """A temporary traffic increase of one class; an empty name stands for all."""

    caller_class: str
    begin: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Outage:
    """A temporary outage of one maker of a service."""

    service: str
    begin: float
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Duration, bursts and outages of one trial."""

    name: str
    seconds: float = 34.0
    bursts: tuple[Burst, ...] = ()
    outages: tuple[Outage, ...] = ()


def create_chain(
    services: tuple[str, str, str],
    middle_pieces: int,
    first: int = 0,
    last_pieces: int = 10,
) -> tuple[StageShape, ...]:
    """Return three stages in a chain; ``first`` is the index of the first of them."""
    return (
        StageShape(service=services[0], result_bytes=8_000, duration_factor=0.3),
        StageShape(
            service=services[1],
            result_bytes=60_000,
            pieces=middle_pieces,
            after=(first,),
        ),
        StageShape(
            service=services[2],
            result_bytes=6_000,
            pieces=last_pieces,
            after=(first + 1,),
        ),
    )


def _create_classes(
    *,
    rates: tuple[float, float, float],
    objectives: tuple[float, float, float],
    deadlines: tuple[float, float, float],
    services: tuple[str, str, str],
    middle_pieces: int,
    chained_drafts: bool,
) -> tuple[CallerClass, ...]:
    """Return the classes of drafts, summaries and short talks.

    Summaries have a chain of stages. Either drafts or talks have it too, besides a
    stage with large results; the other class has only the latter.
    """
    large = StageShape(
        service=services[0], result_bytes=1_500_000, pieces=2.5, share=0.7
    )
    small = StageShape(
        service=services[0], result_bytes=1_500_000, pieces=1.5, share=0.4
    )
    chained = (small, *create_chain(services, middle_pieces, first=1))
    return (
        CallerClass(
            name="draft",
            per_second=rates[0],
            objective=objectives[0],
            deadline=deadlines[0],
            utility=3.8,
            late_utility=0.57,
            priority=1,
            shared_tokens=6300,
            own_tokens=2890,
            shared_part_count=163,
            generation_seconds=0.3,
            stages=chained if chained_drafts else (large,),
        ),
        CallerClass(
            name="summary",
            per_second=rates[1],
            objective=objectives[1],
            deadline=deadlines[1],
            utility=2.1,
            late_utility=0.32,
            priority=0,
            shared_tokens=568,
            own_tokens=1800,
            shared_part_count=90,
            generation_seconds=0.15,
            stages=create_chain(services, middle_pieces),
        ),
        CallerClass(
            name="talk",
            per_second=rates[2],
            objective=objectives[2],
            deadline=deadlines[2],
            utility=0.47,
            late_utility=0.07,
            priority=2,
            shared_tokens=172,
            own_tokens=543,
            shared_part_count=136,
            generation_seconds=1.5,
            stages=(large,) if chained_drafts else chained,
        ),
    )


def _create_research_classes(
    *,
    rates: tuple[float, float, float],
    objectives: tuple[float, float, float],
    deadlines: tuple[float, float, float],
    utilities: tuple[float, float, float],
) -> tuple[CallerClass, ...]:
    """Return the classes of drafts, summaries and checks.

    Drafts have a stage with large results, summaries a chain of stages, checks both.
    """
    services = ("registry", "finance", "portal")
    chain = {"middle_pieces": 4, "last_pieces": 6}
    large = StageShape(service=services[0], result_bytes=800_000, pieces=2.5, share=0.7)
    small = StageShape(service=services[0], result_bytes=800_000, pieces=1.5, share=0.4)
    return (
        CallerClass(
            name="draft",
            per_second=rates[0],
            objective=objectives[0],
            deadline=deadlines[0],
            utility=utilities[0],
            late_utility=utilities[0] * 0.15,
            priority=1,
            shared_tokens=5382,
            own_tokens=6610,
            shared_part_count=300,
            generation_seconds=1.5,
            stages=(large,),
        ),
        CallerClass(
            name="summary",
            per_second=rates[1],
            objective=objectives[1],
            deadline=deadlines[1],
            utility=utilities[1],
            late_utility=utilities[1] * 0.15,
            priority=0,
            shared_tokens=198,
            own_tokens=628,
            shared_part_count=130,
            generation_seconds=1.2,
            stages=create_chain(services, **chain),
        ),
        CallerClass(
            name="check",
            per_second=rates[2],
            objective=objectives[2],
            deadline=deadlines[2],
            utility=utilities[2],
            late_utility=utilities[2] * 0.15,
            priority=2,
            shared_tokens=568,
            own_tokens=1800,
            shared_part_count=200,
            generation_seconds=0.15,
            stages=(small, *create_chain(services, first=1, **chain)),
        ),
    )


def create_makers(
    *rows: tuple[str, int, int, float, float], call_seconds: float = 0.2
) -> tuple[MakerShape, ...]:
    return tuple(
        MakerShape(
            name=name,
            count=count,
            batch=batch,
            item_seconds=item,
            result_memory_bytes=room * MEGABYTE,
            call_seconds=call_seconds,
        )
        for name, count, batch, item, room in rows
    )


#: the users' fleets, at their present and their projected size
SHAPES = {
    "luzon": FleetShape(
        name="luzon",
        data_centres=3,
        engines=5,
        workspace_priorities=(1, 0, 1, 0, 1),
        makers=create_makers(
            ("portal", 3, 5, 0.0336, 11.25),
            ("ledger", 3, 17, 0.0101, 2.295),
            ("audit", 3, 28, 0.00607, 0.3624),
        ),
        classes=_create_classes(
            rates=(4.65, 5.73, 5.8),
            objectives=(1.1, 1.9, 1.7),
            deadlines=(6.0, 6.0, 20.0),
            services=("portal", "ledger", "audit"),
            middle_pieces=6,
            chained_drafts=False,
        ),
    ),
    "kyushu": FleetShape(
        name="kyushu",
        data_centres=3,
        engines=5,
        makers=create_makers(
            ("price", 3, 4, 0.042, 9.5),
            ("ledger", 3, 8, 0.02125, 1.12),
            ("alert", 3, 23, 0.00743, 0.2957),
        ),
        classes=_create_classes(
            rates=(4.2, 5.21, 5.25),
            objectives=(2.0, 1.9, 0.79),
            deadlines=(8.0, 6.0, 15.0),
            services=("price", "ledger", "alert"),
            middle_pieces=4,
            chained_drafts=True,
        ),
    ),
    "luzon-grown": FleetShape(
        name="luzon-grown",
        data_centres=3,
        engines=70,
        workspace_priorities=(1, 0, 1, 0, 1),
        makers=create_makers(
            ("portal", 9, 18, 0.0095, 40.0),
            ("ledger", 8, 62, 0.00277, 8.079),
            ("audit", 8, 84, 0.00204, 1.12),
        ),
        classes=_create_classes(
            rates=(77.7, 93.4, 35.9),
            objectives=(1.135, 1.819, 1.715),
            deadlines=(6.2, 6.06, 20.2),
            services=("portal", "ledger", "audit"),
            middle_pieces=6,
            chained_drafts=False,
        ),
    ),
    "kyushu-grown": FleetShape(
        name="kyushu-grown",
        data_centres=4,
        engines=45,
        makers=create_makers(
            ("price", 9, 14, 0.012, 32.0),
            ("ledger", 8, 34, 0.00508, 4.533),
            ("alert", 8, 76, 0.0023, 0.99),
        ),
        classes=_create_classes(
            rates=(48.0, 59.3, 50.7),
            objectives=(2.035, 1.819, 0.805),
            deadlines=(8.1, 6.06, 15.3),
            services=("price", "ledger", "alert"),
            middle_pieces=4,
            chained_drafts=True,
        ),
    ),
    "mwangaza": FleetShape(
        name="mwangaza",
        data_centres=4,
        engines=9,
        workspace_priorities=(1, 0, 1, 0, 1),
        makers=create_makers(
            ("registry", 4, 9, 0.02333, 10.93),
            ("finance", 4, 19, 0.01089, 2.153),
            ("portal", 4, 29, 0.00714, 0.3152),
            call_seconds=0.24,
        ),
        classes=_create_research_classes(
            rates=(8.28, 10.6, 11.2),
            objectives=(1.4, 1.9, 2.0),
            deadlines=(15.0, 15.0, 6.0),
            utilities=(4.6, 1.5, 0.48),
        ),
    ),
    "mwangaza-grown": FleetShape(
        name="mwangaza-grown",
        data_centres=4,
        engines=70,
        workspace_priorities=(1, 0, 1, 0, 1),
        makers=create_makers(
            ("registry", 9, 19, 0.01053, 22.8),
            ("finance", 8, 43, 0.00481, 4.861),
            ("portal", 8, 58, 0.0035, 0.65),
            call_seconds=0.24,
        ),
        classes=_create_research_classes(
            rates=(50.5, 30.4, 85.6),
            objectives=(1.445, 1.919, 2.022),
            deadlines=(12.4, 12.1, 6.07),
            utilities=(3.6, 2.3, 0.31),
        ),
    ),
}


def _create_instance_shapes(strong: int, small: int) -> tuple[InstanceShape, ...]:
    """Return the sizes of instances, from their numbers in each data centre."""
    return (
        InstanceShape(count=strong, cores=2.15, link_bytes=100 * MEGABIT),
        InstanceShape(count=small, cores=0.516, link_bytes=5 * MEGABIT),
    )


#: the grown fleets with all entry instances and the links between these
SHAPES |= {
    f"{name}-linked": replace(
        SHAPES[name], name=f"{name}-linked", instances=_create_instance_shapes(*counts)
    )
    for name, counts in {
        "luzon-grown": (2, 24),
        "kyushu-grown": (2, 13),
        "mwangaza-grown": (2, 19),
    }.items()
}

#: the grown fleets with small entry instances only
SHAPES |= {
    f"{name}-small": replace(
        SHAPES[name], name=f"{name}-small", instances=_create_instance_shapes(0, count)
    )
    for name, count in {
        "luzon-grown": 26,
        "kyushu-grown": 15,
        "mwangaza-grown": 21,
    }.items()
}

_BURSTS = (
    Burst("draft", 5.0, 6.0, 3.2),
    Burst("summary", 14.0, 5.0, 3.2),
    Burst("", 25.0, 4.0, 1.8),
)

#: load scenarios by the name given on the command line
SCENARIOS = {
    "calm": Scenario(name="calm"),
    "bursts": Scenario(name="bursts", bursts=_BURSTS),
    "heavy": Scenario(
        name="heavy",
        bursts=(
            Burst("draft", 5.0, 6.0, 4.0),
            Burst("summary", 14.0, 6.0, 4.0),
            Burst("", 25.0, 4.0, 2.5),
        ),
    ),
    "lost-first": Scenario(
        name="lost-first", bursts=_BURSTS, outages=(Outage(":0", 12.0, 5.0),)
    ),
    "lost-second": Scenario(
        name="lost-second", bursts=_BURSTS, outages=(Outage(":1", 13.0, 5.0),)
    ),
    "lost-third": Scenario(
        name="lost-third", bursts=_BURSTS, outages=(Outage(":2", 13.0, 5.0),)
    ),
}
