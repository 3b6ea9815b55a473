"""The table of all settings of the daemon."""

from __future__ import annotations

from .declaration import Setting

__all__ = ("SETTINGS",)

#: names are ``section.key``
SETTINGS: tuple[Setting, ...] = (
    Setting(
        name="instance.id",
        type=str,
        required=True,
        description="Id of this instance; unique, and new after each replacement.",
    ),
    Setting(
        name="instance.data_centre",
        type=str,
        required=True,
        description="Data centre of this instance.",
    ),
    Setting(
        name="instance.seed",
        type=int,
        default=0,
        description="Seed of the random number generator; 0: the operating system"
        " provides one.",
    ),
    Setting(
        name="callers.listen",
        type=str,
        default="127.0.0.1:8080",
        endpoint=True,
        description="Address on which callers are served.",
    ),
    Setting(
        name="callers.max_body_bytes",
        type=int,
        default=4_194_304,
        unit="bytes",
        minimum=1024,
        maximum=67108864,
        description="Largest request body; larger ones are refused.",
    ),
    Setting(
        name="callers.max_header_bytes",
        type=int,
        default=8190,
        unit="bytes",
        minimum=1024,
        maximum=65536,
        description="Longest line and longest header of a request.",
    ),
    Setting(
        name="callers.max_connections",
        type=int,
        default=4096,
        minimum=1,
        maximum=100000,
        description="Limit of open caller connections; beyond it the longest idle one"
        " is closed, or the new one is answered and closed if none is idle. At most"
        " 0.4 of the descriptors beyond 200 that the kernel allows the process.",
    ),
    Setting(
        name="callers.idle_timeout",
        type=float,
        default=75.0,
        unit="s",
        minimum=1,
        maximum=3600,
        description="Time after which a connection without a complete request is"
        " closed; must exceed the load balancer's own idle timeout.",
    ),
    Setting(
        name="callers.body_timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=600,
        description="Time allowed for receiving the body of a request.",
    ),
    Setting(
        name="callers.write_timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=600,
        description="Time in which a caller must read what is written to it, or else it"
        " counts as disconnected.",
    ),
    Setting(
        name="callers.max_unwritten_bytes",
        type=int,
        default=262_144,
        unit="bytes",
        minimum=4096,
        maximum=16777216,
        description="Bytes of a streamed response that are buffered for a slow reader.",
    ),
    Setting(
        name="callers.max_deadline_ms",
        type=int,
        default=600_000,
        unit="ms",
        minimum=1,
        maximum=86400000,
        description="Longest deadline that a request may ask for.",
    ),
    Setting(
        name="operators.listen",
        type=str,
        default="127.0.0.1:8081",
        endpoint=True,
        description="Address on which operators are served.",
    ),
    Setting(
        name="peers.listen",
        type=str,
        default="127.0.0.1:8082",
        endpoint=True,
        description="Address on which other entry instances connect.",
    ),
    Setting(
        name="peers.advertise",
        type=str,
        default="",
        endpoint=True,
        description="Address that is advertised to other entry instances; empty: the"
        " address listened on.",
    ),
    Setting(
        name="peers.seeds",
        type=str,
        default="",
        endpoints=True,
        description="Comma-separated peer addresses of other entry instances. They are"
        " tried while no other instance is known, so that an instance can start while"
        " the platform's instance list is unavailable.",
    ),
    Setting(
        name="peers.heartbeat",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Time without a message after which each side of a link sends a"
        " heartbeat.",
    ),
    Setting(
        name="peers.silence",
        type=float,
        default=3.5,
        unit="s",
        minimum=0.1,
        maximum=600,
        description="Time without a byte after which a link is dropped; several times"
        " the heartbeat interval.",
    ),
    Setting(
        name="peers.rest_factor",
        type=float,
        default=1.0,
        minimum=1,
        maximum=100,
        description="Factor by which `peers.heartbeat` and `peers.silence` are longer"
        " while nobody waits for an answer of the sender on the link.",
    ),
    Setting(
        name="peers.open_timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Time allowed for opening a link.",
    ),
    Setting(
        name="peers.idle",
        type=float,
        default=15.0,
        unit="s",
        minimum=0.5,
        maximum=3600,
        description="Time after which an unused link that was opened on demand is"
        " closed.",
    ),
    Setting(
        name="peers.links",
        type=int,
        default=8,
        minimum=2,
        maximum=1000,
        description="Number of links that this instance keeps open to other entry"
        " instances; if there are at most twice as many others, it keeps a link to each"
        " of them.",
    ),
    Setting(
        name="peers.max_links",
        type=int,
        default=128,
        minimum=4,
        maximum=10000,
        description="Limit of links that are open at the same time, whichever side"
        " opened them.",
    ),
    Setting(
        name="peers.max_handshakes",
        type=int,
        default=256,
        minimum=16,
        maximum=10000,
        description="Limit of accepted connections of instances that have not finished"
        " their handshake; beyond it the oldest is closed.",
    ),
    Setting(
        name="peers.in_work",
        type=int,
        default=256,
        minimum=16,
        maximum=100000,
        description="Limit of requests from other entry instances that are processed"
        " concurrently; further ones are answered as busy.",
    ),
    Setting(
        name="peers.probe_interval",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Interval between probes of other entry instances; failures are"
        " detected within a few intervals.",
    ),
    Setting(
        name="peers.dead_interval",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        description="Interval between probes of an entry instance believed dead; these"
        " probes let network partitions heal.",
    ),
    Setting(
        name="platform.store",
        type=str,
        required=True,
        endpoint=True,
        description="Address of the platform's key-value service.",
    ),
    Setting(
        name="platform.instances",
        type=str,
        required=True,
        endpoint=True,
        description="Address of the platform's instance list.",
    ),
    Setting(
        name="platform.timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Timeout of one call to the platform, except for watches.",
    ),
    Setting(
        name="platform.instances_interval",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        description="Shortest interval between reads of the instance list.",
    ),
    Setting(
        name="platform.instances_rate",
        type=float,
        default=50.0,
        unit="calls/s",
        minimum=0.1,
        maximum=10000,
        description="Rate at which all entry instances together read the instance list;"
        " in a large fleet each instance reads it less often.",
    ),
    Setting(
        name="targets.subset",
        type=int,
        default=20,
        minimum=1,
        maximum=10000,
        description="Minimum number of targets of one service that this instance uses;"
        " of a smaller service it uses all.",
    ),
    Setting(
        name="targets.spread",
        type=int,
        default=8,
        minimum=1,
        maximum=1000,
        description="Average number of entry instances that use each target; where few"
        " instances share a large service, each uses more than `targets.subset` of its"
        " targets.",
    ),
    Setting(
        name="targets.missing_listings",
        type=int,
        default=3,
        minimum=1,
        maximum=1000,
        description="Number of consecutive listings without a target after which it is"
        " removed.",
    ),
    Setting(
        name="targets.failures",
        type=int,
        default=2,
        minimum=1,
        maximum=100,
        description="Number of consecutive failures to reach a target after which it"
        " gets no new calls.",
    ),
    Setting(
        name="targets.minimum",
        type=int,
        default=1,
        minimum=1,
        maximum=10000,
        description="Number of targets of a service that get calls even if none is"
        " reachable.",
    ),
    Setting(
        name="targets.probe_longest",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        description="Longest interval between probes of an unreachable target.",
    ),
    Setting(
        name="targets.load_interval",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        description="Interval between load reports of a target in use.",
    ),
    Setting(
        name="targets.load_rate",
        type=float,
        default=20.0,
        unit="calls/s",
        minimum=0.1,
        maximum=10000,
        description="Rate of load reports that this instance requests in total; beyond"
        " it, each target is asked less often.",
    ),
    Setting(
        name="targets.load_timeout",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Timeout of one load report.",
    ),
    Setting(
        name="targets.report_life",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        description="Age at which a load report expires.",
    ),
    Setting(
        name="targets.connect_timeout",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.01,
        maximum=60,
        description="Timeout for connecting to a target.",
    ),
    Setting(
        name="targets.stall_timeout",
        type=float,
        default=60.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        description="Time without the first byte of a response after which a call is"
        " abandoned; repeatable calls are hedged far sooner, based on observed"
        " latencies.",
    ),
    Setting(
        name="targets.gap_timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        description="Time between bytes of a response that has begun after which its"
        " call moves to another target, if it may and one would take it at once;"
        " otherwise the call goes on waiting, to its deadline at the most.",
    ),
    Setting(
        name="targets.idle_timeout",
        type=float,
        default=15.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        description="Time after which an unused connection to a target is closed.",
    ),
    Setting(
        name="targets.max_age",
        type=float,
        default=60.0,
        unit="s",
        minimum=0.1,
        maximum=86400,
        description="Age at which connections to a target are replaced, plus or minus a"
        " third; a connection that has failed silently is used no longer than that.",
    ),
    Setting(
        name="targets.max_answer_bytes",
        type=int,
        default=16_777_216,
        unit="bytes",
        minimum=1024,
        maximum=268435456,
        description="Largest response of a target; a larger one counts as a failure.",
    ),
    Setting(
        name="targets.max_attempts",
        type=int,
        default=3,
        minimum=1,
        maximum=10,
        description="Attempts at one stage, including the first one.",
    ),
    Setting(
        name="quotas.hold",
        type=float,
        default=3600.0,
        unit="s",
        minimum=1.0,
        maximum=86400.0,
        description="Time for which an unreachable data centre keeps its quota shares;"
        " after that, each side of a network partition uses the full quotas.",
    ),
    Setting(
        name="claims.shards",
        type=int,
        default=32,
        minimum=1,
        maximum=1024,
        description="Number of shards for keyed requests; fixed by the first instance"
        " that ever starts, as a later change could let a key be executed twice.",
    ),
    Setting(
        name="claims.retention",
        type=int,
        default=1200,
        unit="s",
        minimum=2,
        maximum=86400,
        description="Time for which an idempotency key is stored; reported to callers."
        " Requests with a key must end within half of it.",
    ),
    Setting(
        name="claims.clock_margin",
        type=int,
        default=60,
        unit="s",
        minimum=0,
        maximum=3600,
        description="Largest difference between the wall clocks of instances.",
    ),
    Setting(
        name="claims.interval",
        type=float,
        default=0.1,
        unit="s",
        minimum=0,
        maximum=10,
        description="Minimum average time between writes to one shard, short bursts"
        " excepted; the write rate of the store is at most the number of shards divided"
        " by it.",
    ),
    Setting(
        name="claims.head_claims",
        type=int,
        default=400,
        minimum=1,
        maximum=8000,
        description="Number of claims that are rewritten with every swap before they"
        " are sealed.",
    ),
    Setting(
        name="claims.segment_claims",
        type=int,
        default=8000,
        minimum=1,
        maximum=12000,
        description="Number of claims in one sealed segment.",
    ),
    Setting(
        name="claims.segments",
        type=int,
        default=64,
        minimum=1,
        maximum=256,
        description="Limit of sealed segments of one shard; beyond it, keyed requests"
        " are refused.",
    ),
    Setting(
        name="claims.forward_timeout",
        type=float,
        default=1.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Timeout for the usual writer of a shard, at most half of the"
        " request's remaining time; after it, this instance writes the claim itself.",
    ),
    Setting(
        name="claims.store_down",
        type=str,
        default="refuse-later",
        choices=("refuse", "refuse-later"),
        description="Handling of keyed requests while no instance reaches the store:"
        " refuse immediately, or, early in an outage, retry for half of the deadline"
        " first.",
    ),
    Setting(
        name="claims.finish",
        type=bool,
        default=True,
        description="Whether a keyed request whose caller has disconnected runs to"
        " completion, so that a retry gets its result; otherwise it is cancelled and"
        " has no result.",
    ),
    Setting(
        name="claims.records",
        type=int,
        default=20000,
        minimum=1,
        maximum=1000000,
        description="Limit of completed keyed requests that this instance remembers.",
    ),
    Setting(
        name="claims.memory_bytes",
        type=int,
        default=16777216,
        unit="bytes",
        minimum=0,
        maximum=1073741824,
        description="Memory for outcomes that are kept for retries.",
    ),
    Setting(
        name="claims.outcome_bytes",
        type=int,
        default=262144,
        unit="bytes",
        minimum=0,
        maximum=1000000,
        description="Largest outcome that is kept; for a larger one, a retry learns"
        " only that the request ran.",
    ),
    Setting(
        name="claims.handover_bytes",
        type=int,
        default=4194304,
        unit="bytes",
        minimum=0,
        maximum=268435456,
        description="Limit of outcomes that are handed over to other instances at a"
        " planned stop.",
    ),
    Setting(
        name="configuration.watch_wait",
        type=float,
        default=5.0,
        unit="s",
        minimum=0.1,
        maximum=60,
        description="Time for which one watch of the configuration waits for a change;"
        " a watch that gets no answer is detected after it.",
    ),
    Setting(
        name="configuration.gossip_interval",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Mean interval between adverts of the active generation to a random"
        " peer.",
    ),
    Setting(
        name="configuration.stale_after",
        type=float,
        default=15.0,
        unit="s",
        minimum=0.1,
        maximum=3600,
        description="Time without confirmation that the active generation is the"
        " newest, after which an instance that does not watch the store reads it.",
    ),
    Setting(
        name="configuration.change_timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.1,
        maximum=300,
        description="Timeout of one change of the configuration.",
    ),
    Setting(
        name="configuration.fetch_timeout",
        type=float,
        default=2.0,
        unit="s",
        minimum=0.05,
        maximum=60,
        description="Timeout of one configuration request to a peer.",
    ),
    Setting(
        name="leases.ttl",
        type=float,
        default=45.0,
        unit="s",
        minimum=0.3,
        maximum=3600,
        description="Time after which the store expires a lease that is not renewed; at"
        " least three times the sum of orders.timeout and leases.margin, which is used"
        " where this is shorter.",
    ),
    Setting(
        name="leases.margin",
        type=float,
        default=2.0,
        unit="s",
        minimum=0,
        maximum=600,
        description="Time by which a holder gives up a lease before it expires in the"
        " store; must exceed the drift between instances' clocks over leases.ttl.",
    ),
    Setting(
        name="orders.timeout",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.05,
        maximum=600,
        description="Timeout of one call to an engine; the outcome of an order that"
        " takes longer is determined by reading the engine's state.",
    ),
    Setting(
        name="orders.longest",
        type=float,
        default=120.0,
        unit="s",
        minimum=0,
        maximum=7200,
        description="Longest time in which an engine executes an order that it has"
        " received. Orders without an answer are not retried earlier, and a new holder"
        " waits for this time where engines don't check fencing numbers.",
    ),
    Setting(
        name="orders.interval",
        type=float,
        default=10.0,
        unit="s",
        minimum=0.05,
        maximum=3600,
        description="Interval at which the holder reads an engine's state.",
    ),
    Setting(
        name="orders.loads_per_minute",
        type=float,
        default=6.0,
        unit="1/min",
        minimum=0.01,
        maximum=100000,
        description="Long-term rate of models and adapters that the weight store serves"
        " to one data centre because of orders.",
    ),
    Setting(
        name="statsd.address",
        type=str,
        default="127.0.0.1:8125",
        endpoint=True,
        description="Address of the statsd server; an IP address, as name resolution"
        " would block the event loop.",
    ),
    Setting(
        name="load.queue",
        type=int,
        default=2000,
        minimum=1,
        maximum=100000,
        description="Limit of stage calls that are queued for one service; further ones"
        " are refused.",
    ),
    Setting(
        name="load.short_share",
        type=float,
        default=0.2,
        minimum=0,
        maximum=0.9,
        description="Share of each target's concurrency limit that is reserved for"
        " short calls.",
    ),
    Setting(
        name="load.late_share",
        type=float,
        default=0.03,
        minimum=0.001,
        maximum=0.5,
        description="Accepted share of the calls started on busy targets that end too"
        " late to be of use; a lower value refuses more calls.",
    ),
    Setting(
        name="load.retry_share",
        type=float,
        default=0.1,
        minimum=0,
        maximum=1,
        description="Limit of retries and hedged calls, as a ratio to ordinary calls.",
    ),
    Setting(
        name="load.ejected_share",
        type=float,
        default=0.5,
        minimum=0,
        maximum=0.9,
        description="Share of a service's targets, rounded up, that may be ejected for"
        " failures or slowness; the last target is never ejected.",
    ),
    Setting(
        name="load.slowness",
        type=float,
        default=4.0,
        minimum=1.5,
        maximum=100,
        description="Ratio of a target's latency to that of the service's other targets"
        " at which it counts as slow.",
    ),
    Setting(
        name="load.distance",
        type=float,
        default=0.25,
        minimum=0,
        maximum=100,
        description="Load difference, as a share of a target's limit, at which a less"
        " loaded target in another data centre is preferred.",
    ),
    Setting(
        name="load.affinity",
        type=float,
        default=1.0,
        minimum=0,
        maximum=100,
        description="Load difference, as a share of a target's limit, that a cached"
        " prompt prefix outweighs.",
    ),
    Setting(
        name="drain.balancer_lag",
        type=float,
        default=3.0,
        unit="s",
        minimum=0,
        maximum=600,
        description="Time for which a stopping instance keeps serving normally; must"
        " exceed the time in which the load balancer detects that it is not ready.",
    ),
    Setting(
        name="drain.longest",
        type=float,
        default=30.0,
        unit="s",
        minimum=0,
        maximum=3600,
        description="Time allowed for requests in flight after that; at least the"
        " longest deadline that callers may ask for.",
    ),
    Setting(
        name="log.level",
        type=str,
        default="requests",
        choices=("errors", "requests", "stages"),
        description="Log detail: failures only, one action for each request, or also"
        " one for each stage call.",
    ),
    Setting(
        name="log.file",
        type=str,
        default="-",
        description="File that log lines are appended to; - is standard output.",
    ),
)
