"""Settings of the daemon, declared in one table and checked at start."""

from __future__ import annotations

import configparser
import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

__all__ = (
    "SETTINGS",
    "Setting",
    "SettingError",
    "Settings",
    "load",
    "parse",
    "split_endpoints",
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Setting:
    """One row of the table.

    ``minimum`` and ``maximum`` bound numbers; ``unit`` and ``meaning`` are for
    the page made from the table.
    """

    name: str
    type: type
    default: Any = None
    unit: str = ""
    meaning: str
    affects: str = "restart"
    minimum: float | None = None
    maximum: float | None = None
    required: bool = False
    choices: tuple[str, ...] = ()
    #: the value is ``host:port`` with an IP address as the host
    endpoint: bool = False
    #: the value is any number of these, with commas between them
    endpoints: bool = False


@dataclass(frozen=True, slots=True)
class SettingError:
    """A setting that stops the start; ``str`` of it is the one line shown."""

    name: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"setting {self.name} = {self.value!r}: {self.reason}"


#: names are ``section.key``
SETTINGS: tuple[Setting, ...] = (
    Setting(
        name="instance.id",
        type=str,
        required=True,
        meaning="Id of this instance; unique, and new after each replacement.",
    ),
    Setting(
        name="instance.data_centre",
        type=str,
        required=True,
        meaning="Data centre of this instance.",
    ),
    Setting(
        name="instance.seed",
        type=int,
        default=0,
        meaning="Seed of the random source; 0 takes one from the system.",
    ),
    Setting(
        name="callers.listen",
        type=str,
        default="127.0.0.1:8080",
        endpoint=True,
        meaning="Address on which callers are served.",
    ),
    Setting(
        name="callers.max_body_bytes",
        type=int,
        default=4_194_304,
        unit="bytes",
        minimum=1024,
        maximum=67108864,
        meaning="Largest body of a request; a larger one is refused.",
    ),
    Setting(
        name="callers.max_header_bytes",
        type=int,
        default=8190,
        unit="bytes",
        minimum=1024,
        maximum=65536,
        meaning="Longest line and longest header of a request.",
    ),
    Setting(
        name="callers.max_connections",
        type=int,
        default=4096,
        minimum=1,
        maximum=100000,
        meaning="Open connections of callers; further ones are answered and closed.",
    ),
    Setting(
        name="callers.idle_timeout",
        type=float,
        default=75.0,
        unit="s",
        minimum=1,
        maximum=3600,
        meaning="Time after which a connection without a whole request is closed; keep"
        " it above the balancer's own.",
    ),
    Setting(
        name="callers.body_timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=600,
        meaning="Time allowed for the body of a request to arrive.",
    ),
    Setting(
        name="callers.write_timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=600,
        meaning="Time in which a caller must take what is written to it; it then counts"
        " as gone.",
    ),
    Setting(
        name="callers.max_unwritten_bytes",
        type=int,
        default=262_144,
        unit="bytes",
        minimum=4096,
        maximum=16777216,
        meaning="Part of a streamed answer that may wait for a slow reader.",
    ),
    Setting(
        name="callers.max_deadline_ms",
        type=int,
        default=600_000,
        unit="ms",
        minimum=1,
        maximum=86400000,
        meaning="Longest deadline that a request may name.",
    ),
    Setting(
        name="operators.listen",
        type=str,
        default="127.0.0.1:8081",
        endpoint=True,
        meaning="Address on which operators are served.",
    ),
    Setting(
        name="peers.listen",
        type=str,
        default="127.0.0.1:8082",
        endpoint=True,
        meaning="Address on which other entry instances connect.",
    ),
    Setting(
        name="peers.advertise",
        type=str,
        default="",
        endpoint=True,
        meaning="Address that other entry instances are told; empty: the one that is"
        " listened on.",
    ),
    Setting(
        name="peers.seeds",
        type=str,
        default="",
        endpoints=True,
        meaning="Peer addresses of some other entry instances, with commas between"
        " them. They are tried while no other instance is known, so that one can"
        " start while the platform's list is down.",
    ),
    Setting(
        name="peers.heartbeat",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Time between two heartbeats that each side of a link sends.",
    ),
    Setting(
        name="peers.silence",
        type=float,
        default=3.5,
        unit="s",
        minimum=0.1,
        maximum=600,
        meaning="Time without a byte after which a link is dropped; several"
        " heartbeats.",
    ),
    Setting(
        name="peers.open_timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Time allowed for opening a link.",
    ),
    Setting(
        name="peers.idle",
        type=float,
        default=15.0,
        unit="s",
        minimum=0.5,
        maximum=3600,
        meaning="Time after which a link opened on demand and not used is closed.",
    ),
    Setting(
        name="peers.links",
        type=int,
        default=8,
        minimum=2,
        maximum=1000,
        meaning="Links that this instance keeps open to other entry instances; up to"
        " twice as many others it keeps one to all.",
    ),
    Setting(
        name="peers.max_links",
        type=int,
        default=128,
        minimum=4,
        maximum=10000,
        meaning="Links that may be open at the same time, whoever opened them.",
    ),
    Setting(
        name="peers.probe_interval",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Time between two probes of other entry instances; failures are"
        " noticed in a few of these.",
    ),
    Setting(
        name="peers.dead_interval",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        meaning="Time between two probes of an entry instance believed dead, by which"
        " network partitions heal.",
    ),
    Setting(
        name="platform.store",
        type=str,
        required=True,
        endpoint=True,
        meaning="Address of the platform's key-value service.",
    ),
    Setting(
        name="platform.instances",
        type=str,
        required=True,
        endpoint=True,
        meaning="Address of the platform's list of instances.",
    ),
    Setting(
        name="platform.timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Time allowed for one call to the platform, watches excepted.",
    ),
    Setting(
        name="platform.instances_interval",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        meaning="Shortest time between two readings of the list of instances.",
    ),
    Setting(
        name="platform.instances_rate",
        type=float,
        default=50.0,
        unit="calls/s",
        minimum=0.1,
        maximum=10000,
        meaning="Readings of the list of instances that all entry instances make"
        " together; in a large fleet each of them reads it less often.",
    ),
    Setting(
        name="targets.subset",
        type=int,
        default=20,
        minimum=1,
        maximum=10000,
        meaning="Targets of one service that this instance uses at least; of a service"
        " with fewer it uses all.",
    ),
    Setting(
        name="targets.spread",
        type=int,
        default=8,
        minimum=1,
        maximum=1000,
        meaning="Entry instances that use each target, on average; where few instances"
        " share a large service, each uses more than `targets.subset` of it.",
    ),
    Setting(
        name="targets.missing_listings",
        type=int,
        default=3,
        minimum=1,
        maximum=1000,
        meaning="Listings in a row without a target until it is given up.",
    ),
    Setting(
        name="targets.failures",
        type=int,
        default=2,
        minimum=1,
        maximum=100,
        meaning="Times in a row that a target can't be reached until it is kept from"
        " new work.",
    ),
    Setting(
        name="targets.minimum",
        type=int,
        default=1,
        minimum=1,
        maximum=10000,
        meaning="Targets of a service that are given work even if none can be reached.",
    ),
    Setting(
        name="targets.probe_longest",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        meaning="Longest time between probes of a target that can't be reached.",
    ),
    Setting(
        name="targets.load_interval",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        meaning="Time between two load reports of a target in use.",
    ),
    Setting(
        name="targets.load_rate",
        type=float,
        default=20.0,
        unit="calls/s",
        minimum=0.1,
        maximum=10000,
        meaning="Load reports asked for by this instance in all; beyond that each"
        " target is asked less often.",
    ),
    Setting(
        name="targets.load_timeout",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Time allowed for one load report.",
    ),
    Setting(
        name="targets.report_life",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        meaning="Age at which a load report is no longer used.",
    ),
    Setting(
        name="targets.connect_timeout",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.01,
        maximum=60,
        meaning="Time allowed for connecting to a target.",
    ),
    Setting(
        name="targets.stall_timeout",
        type=float,
        default=60.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        meaning="Time without a first byte of an answer after which a call is given up;"
        " repeatable calls get a backup far sooner, by measured durations.",
    ),
    Setting(
        name="targets.gap_timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        meaning="Time without a further byte of an answer that has begun.",
    ),
    Setting(
        name="targets.idle_timeout",
        type=float,
        default=15.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        meaning="Time after which an unused connection to a target is closed.",
    ),
    Setting(
        name="targets.max_age",
        type=float,
        default=60.0,
        unit="s",
        minimum=0.1,
        maximum=86400,
        meaning="Age at which connections to a target are replaced, give or take a"
        " third; one that went silent unnoticed is used no longer than that.",
    ),
    Setting(
        name="targets.max_answer_bytes",
        type=int,
        default=16_777_216,
        unit="bytes",
        minimum=1024,
        maximum=268435456,
        meaning="Largest answer of a target; a larger one counts as failed.",
    ),
    Setting(
        name="targets.max_attempts",
        type=int,
        default=3,
        minimum=1,
        maximum=10,
        meaning="Attempts at one stage, the first one included.",
    ),
    Setting(
        name="quotas.hold",
        type=float,
        default=3600.0,
        unit="s",
        minimum=1.0,
        maximum=86400.0,
        meaning="Time for which a data centre out of reach keeps its shares of"
        " quotas; after that, each side of a cut uses whole quotas.",
    ),
    Setting(
        name="claims.shards",
        type=int,
        default=32,
        minimum=1,
        maximum=1024,
        meaning="Shards that keyed requests are spread over; the first instance ever"
        " to start decides, as a later change would let keys run twice.",
    ),
    Setting(
        name="claims.retention",
        type=int,
        default=1200,
        unit="s",
        minimum=2,
        maximum=86400,
        meaning="Time for which a key is remembered; stated to callers. Requests"
        " with a key must end within half of it.",
    ),
    Setting(
        name="claims.clock_margin",
        type=int,
        default=60,
        unit="s",
        minimum=0,
        maximum=3600,
        meaning="Time by which the wall clocks of instances may differ.",
    ),
    Setting(
        name="claims.interval",
        type=float,
        default=0.1,
        unit="s",
        minimum=0,
        maximum=10,
        meaning="Average time between writes to one shard that is not undercut for"
        " long; the store's writes a second are at most the shards divided by it.",
    ),
    Setting(
        name="claims.head_claims",
        type=int,
        default=400,
        minimum=1,
        maximum=8000,
        meaning="Claims that are written with every swap before they are sealed.",
    ),
    Setting(
        name="claims.segment_claims",
        type=int,
        default=8000,
        minimum=1,
        maximum=12000,
        meaning="Claims in one sealed segment.",
    ),
    Setting(
        name="claims.segments",
        type=int,
        default=64,
        minimum=1,
        maximum=256,
        meaning="Sealed segments of one shard; beyond, keyed requests are refused.",
    ),
    Setting(
        name="claims.forward_timeout",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Time allowed to the usual writer of a shard, at most half of what"
        " the request has left; then this instance writes by itself.",
    ),
    Setting(
        name="claims.store_down",
        type=str,
        default="refuse-later",
        choices=("refuse", "refuse-later"),
        meaning="Keyed requests while nobody reaches the store: refuse at once, or"
        " try again for half of the deadline first while the outage is young.",
    ),
    Setting(
        name="claims.finish",
        type=bool,
        default=True,
        meaning="Whether a keyed request whose caller has left is run to its end, so"
        " that a repeat gets its result; else it is cancelled and has none.",
    ),
    Setting(
        name="claims.records",
        type=int,
        default=20000,
        minimum=1,
        maximum=1000000,
        meaning="Ended keyed requests that this instance remembers.",
    ),
    Setting(
        name="claims.memory_bytes",
        type=int,
        default=16777216,
        unit="bytes",
        minimum=0,
        maximum=1073741824,
        meaning="Memory for outcomes that are kept for repeats.",
    ),
    Setting(
        name="claims.outcome_bytes",
        type=int,
        default=262144,
        unit="bytes",
        minimum=0,
        maximum=1000000,
        meaning="Largest outcome that is kept; repeats of others learn only that"
        " the request ran.",
    ),
    Setting(
        name="claims.handover_bytes",
        type=int,
        default=4194304,
        unit="bytes",
        minimum=0,
        maximum=268435456,
        meaning="Outcomes that a planned stop hands to other instances.",
    ),
    Setting(
        name="configuration.watch_wait",
        type=float,
        default=5.0,
        unit="s",
        minimum=0.1,
        maximum=60,
        meaning="Time for which one watch of the configuration waits for a change;"
        " a watch that has gone silent is noticed after it.",
    ),
    Setting(
        name="configuration.gossip_interval",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Mean time between two words to a random peer on the generation in"
        " force here.",
    ),
    Setting(
        name="configuration.stale_after",
        type=float,
        default=15.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        meaning="Time without proof that the generation here is the newest, after"
        " which an instance that does not watch the store looks there itself.",
    ),
    Setting(
        name="configuration.change_timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=300,
        meaning="Time allowed for one change of the configuration.",
    ),
    Setting(
        name="configuration.fetch_timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        meaning="Time allowed to a peer for one answer on the configuration.",
    ),
    Setting(
        name="leases.ttl",
        type=float,
        default=45.0,
        unit="s",
        minimum=0.3,
        maximum=3600,
        meaning="Time after which the store lets a lease lapse that is not renewed; at"
        " least three times orders.timeout and leases.margin together, which is used"
        " where this is shorter.",
    ),
    Setting(
        name="leases.margin",
        type=float,
        default=2.0,
        unit="s",
        minimum=0,
        maximum=600,
        meaning="Time by which a holder gives a lease up before the store does; more"
        " than instances' clocks can differ in speed over leases.ttl.",
    ),
    Setting(
        name="orders.timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        meaning="Time allowed for one call to an engine; an order that takes longer is"
        " settled by reading the engine's state.",
    ),
    Setting(
        name="orders.longest",
        type=float,
        default=120.0,
        unit="s",
        minimum=0,
        maximum=7200,
        meaning="Longest time an engine takes to carry out an order it has received."
        " Orders without an answer are not repeated earlier, and a new holder waits"
        " for it where engines don't check fencing numbers.",
    ),
    Setting(
        name="orders.interval",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.05,
        maximum=3600,
        meaning="Time between two readings of an engine's state by the holder.",
    ),
    Setting(
        name="orders.loads_per_minute",
        type=float,
        default=6.0,
        unit="1/min",
        minimum=0.01,
        maximum=100000,
        meaning="Models and adapters that orders make the weight store give to one data"
        " centre, in the long run.",
    ),
    Setting(
        name="statsd.address",
        type=str,
        default="127.0.0.1:8125",
        endpoint=True,
        meaning="Address of the statsd server; an IP, as names would be resolved"
        " in the event loop.",
    ),
    Setting(
        name="drain.balancer_lag",
        type=float,
        default=3.0,
        unit="s",
        minimum=0,
        maximum=600,
        meaning="Time for which an instance that is to stop serves on as if nothing"
        " had happened; longer than the balancer needs to notice it is not ready.",
    ),
    Setting(
        name="drain.longest",
        type=float,
        default=30.0,
        unit="s",
        minimum=0,
        maximum=3600,
        meaning="Time allowed to requests in flight after that; at least the"
        " longest deadline callers may ask for.",
    ),
    Setting(
        name="log.level",
        type=str,
        default="requests",
        choices=("errors", "requests", "stages"),
        meaning="What is logged: failures only, one action for each request, or"
        " also one for each stage call.",
    ),
    Setting(
        name="log.file",
        type=str,
        default="-",
        meaning="File that log lines are appended to; - is standard output.",
    ),
)

_TRUE = frozenset({"yes", "true", "on", "1"})
_FALSE = frozenset({"no", "false", "off", "0"})


class Settings:
    """Checked settings, looked up by ``section.key``."""

    def __init__(self, values: Mapping[str, Any]) -> None:
        self._values = dict(values)

    def __getitem__(self, name: str) -> Any:
        return self._values[name]

    def as_dict(self) -> dict[str, Any]:
        """Return all values by name, for the state dump."""
        return dict(self._values)


def split_endpoints(text: str) -> tuple[str, ...]:
    """Split addresses that have commas between them."""
    return tuple(part.strip() for part in text.split(",") if part.strip())


def load(path: str) -> Result[Settings, SettingError]:
    """Read and check the INI file at ``path``."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingError("file", path, str(error)))
    return parse(text)


def parse(text: str) -> Result[Settings, SettingError]:
    """Check settings given as INI text; the first error is returned."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        reason = str(error).replace("\n", " ")
        return Err(SettingError("file", "", reason))
    given = {
        f"{section}.{key}": value
        for section in parser.sections()
        for key, value in parser.items(section)
    }
    known = {setting.name: setting for setting in SETTINGS}
    for name in given:
        if name not in known:
            return Err(SettingError(name, given[name], "unknown setting"))
    values = {}
    for setting in SETTINGS:
        match _read(setting, given.get(setting.name)):
            case Ok(value):
                values[setting.name] = value
            case Err(error):
                return Err(error)
    return Ok(Settings(values))


def _read(setting: Setting, text: str | None) -> Result[Any, SettingError]:
    if text is None:
        if setting.required:
            return Err(SettingError(setting.name, "", "is required"))
        return Ok(setting.default)
    reason = ""
    value: Any = text.strip()
    try:
        value = _convert(setting, value)
    except ValueError as error:
        reason = str(error)
    if not reason:
        reason = _find_fault(setting, value)
    if reason:
        return Err(SettingError(setting.name, text, reason))
    return Ok(value)


def _convert(setting: Setting, text: str) -> Any:
    if setting.type is not bool:
        return setting.type(text)
    word = text.lower()
    if word in _TRUE:
        return True
    if word in _FALSE:
        return False
    raise ValueError("must be yes or no")


def _find_fault(setting: Setting, value: Any) -> str:
    if setting.required and value == "":
        return "must not be empty"
    if setting.choices and value not in setting.choices:
        return f"must be one of {', '.join(setting.choices)}"
    if setting.endpoint:
        return _find_endpoint_fault(value)
    if setting.endpoints:
        faults = map(_find_endpoint_fault, split_endpoints(value))
        return next(filter(None, faults), "")
    if setting.type not in (int, float):
        return ""
    # NaN fails both comparisons below, whichever way they are written
    if value != value:
        return "must be a number"
    if setting.minimum is not None and value < setting.minimum:
        return f"must be at least {setting.minimum:g} {setting.unit}".rstrip()
    if setting.maximum is not None and value > setting.maximum:
        return f"must be at most {setting.maximum:g} {setting.unit}".rstrip()
    return ""


def _find_endpoint_fault(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "must be an IP address and a port, as in 127.0.0.1:8080"
    if not port.isdecimal() or int(port) > 65535:
        return "must end in a port between 0 and 65535"
    return ""
