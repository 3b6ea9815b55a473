"""Simulated entry instance, wired by the daemon's composition root."""

from __future__ import annotations

import asyncio
import random
from contextlib import ExitStack
from functools import partial
from typing import TYPE_CHECKING, Any
from unittest import mock

import aiohttp

from greengagelatch.clock import Clock
from greengagelatch.settings import parse
from greengagelatch_entry import composition
from greengagelatch_entry.adapters import targets as target_adapter
from greengagelatch_entry.adapters.orders import HttpOrderClient
from greengagelatch_entry.adapters.port_probe import CONNECT_TIMEOUT
from greengagelatch_entry.application import Application
from greengagelatch_entry.controllers import Controller
from greengagelatch_entry.controllers import claims as claims_controller
from greengagelatch_entry.controllers.scheduling import SchedulingController
from greengagelatch_entry.controllers.targets import TargetsController
from greengagelatch_entry.metrics import Metrics
from greengagelatch_entry.relay.target_dialers import DialFailure

from .callers_server import SimulatedCallersServer
from .peers import SimulatedPeers
from .platform import RemoteInstanceList, RemoteStore
from .serving import ServingInstance
from .sessions import SimulatedPool, SimulatedSession
from .steps import Step

if TYPE_CHECKING:
    from result import Result

    from greengagelatch.config.requests import ChangeOutcome, ChangeRequest
    from greengagelatch.errors import Refusal
    from greengagelatch.load import Grant, Ticket
    from greengagelatch.targets import Target

    from .bench import Bench
    from .connections import Dialer

__all__ = ("EntryInstance", "LoopClock")

#: seconds since the Unix epoch at which every run begins
EPOCH = 1_700_000_000.0

SETTINGS = """
[instance]
id = {name}
data_centre = {data_centre}
seed = {seed}
[peers]
listen = {address}
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:2
[claims]
shards = 4
[leases]
ttl = 5
margin = 0.3
[orders]
timeout = 1
longest = 1.5
interval = 1
loads_per_minute = 600
[drain]
longest = 20
[log]
level = errors
"""


class LoopClock(Clock):
    """The time of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return EPOCH + asyncio.get_running_loop().time()


class CountingMetrics(Metrics):
    """Metrics that are counted in memory and never sent."""

    def __init__(self, _address: str) -> None:
        super().__init__("127.0.0.1:9")
        self._client.close()

    def count(self, name: str, amount: int = 1) -> None:
        self._counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        self._gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Discard the duration."""


class PolledTargets(TargetsController):
    """The real target controller, polling load reports without sockets."""

    def __init__(self, *, dialer: Dialer, **parts: Any) -> None:
        super().__init__(**parts)
        self._dialer = dialer

    async def on_start(self) -> None:
        """Do nothing, as no HTTP session is needed."""

    async def _fetch_report(self, target: Target) -> bytes:
        polled = self._dialer.targets[target.address]
        if not polled.alive or not self._dialer.reaches(polled):
            await asyncio.sleep(self._timeout.total)
            raise TimeoutError
        return polled.describe_load()


class ObservedScheduling(SchedulingController):
    """The real scheduling controller; announces requests that enter its queue."""

    def __init__(self, *, dialer: Dialer, **parts: Any) -> None:
        super().__init__(**parts)
        self._dialer = dialer

    async def acquire(self, ticket: Ticket) -> Result[Grant, Refusal]:
        step = {"check": Step.QUEUED, "reply": Step.BETWEEN_STAGES}.get(ticket.stage)
        if step is not None:
            dialer = self._dialer
            marker = dialer.markers.get(ticket.request_id, "")
            await dialer.announcer.announce_and_yield(step, marker, dialer.process)
        return await super().acquire(ticket)


class SimulatedOrderClient(HttpOrderClient):
    """The real order client, with a simulated session in place of sockets."""

    def __init__(self, *, dialer: Dialer, **parts: Any) -> None:
        super().__init__(**parts)
        self._dialer = dialer

    def _open_session(self) -> Any:
        return SimulatedSession(self._dialer, keep=False, timeout=self._timeout)


class SimulatedPortProbe:
    """Replaces ``PortProbe``, with simulated connections in place of sockets."""

    def __init__(self, *, dialer: Dialer) -> None:
        self._dialer = dialer

    async def probe(self, address: str) -> DialFailure | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                connection = await self._dialer.open(address)
        except aiohttp.ClientConnectionError:
            return DialFailure.REFUSED
        except TimeoutError:
            return DialFailure.TIMED_OUT
        connection.close()
        return None


class NoOperators(Controller):
    """Replaces ``OperatorsServer``; the bench calls controllers directly."""

    name = "operators"
    port = 0

    def __init__(self, **_parts: Any) -> None:
        super().__init__()

    def dump(self) -> dict[str, Any]:
        return {}


class BenchApplication(Application):
    """The real application, without signal handlers and start-up message."""

    def _install_signal_handlers(self) -> None:
        return

    def _print_addresses(self) -> None:
        return


class EntryInstance(ServingInstance):
    """One simulated process with all components of the daemon."""

    def __init__(self, bench: Bench, **place: Any) -> None:
        super().__init__(bench, **place)
        self.parts = self.process.run(self._compose)
        self.callers_server = self.parts.callers
        self.controllers = {part.name: part for part in self.parts.controllers}
        self._configuration = self.controllers["configuration"]
        self._task: asyncio.Task[None] | None = None

    @property
    def generation(self) -> int:
        return self._configuration.snapshot.generation

    @property
    def change_id(self) -> str:
        return self._configuration.snapshot.change_id

    def list_changes(self) -> frozenset[str]:
        changes = self._configuration.head.changes
        return frozenset(entry.change_id for entry in changes)

    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        return await self._configuration.change(request)

    def start(self) -> None:
        self._task = self.process.spawn(self._run())

    def stop(self) -> None:
        self.stopping = True
        self.process.deliver(self.parts.drain.request_stop)

    async def _run(self) -> None:
        self.exit_code = await BenchApplication(self.parts).run()

    def _compose(self) -> composition.Parts:
        text = SETTINGS.format(
            name=self.name,
            data_centre=self.data_centre,
            address=self.address,
            seed=self.seed,
        )
        settings = parse(text).unwrap()
        draws = random.Random(self.seed)
        with ExitStack() as stack:
            patch = partial(_patch, stack)
            for name, substitute in self._list_substitutes().items():
                patch(composition, name, substitute)
            patch(
                target_adapter, "TargetPool", partial(SimulatedPool, dialer=self.dialer)
            )
            # it draws from the system's entropy, which no seed reproduces
            patch(claims_controller, "secrets", mock.Mock(randbits=draws.getrandbits))
            return composition.compose(settings)

    def _list_substitutes(self) -> dict[str, Any]:
        bench = self.bench
        common = {"process": self.process, "place": self.data_centre}
        return {
            "SystemClock": LoopClock,
            "Metrics": CountingMetrics,
            "HttpStore": partial(RemoteStore, store=bench.store, link=self.link),
            "HttpInstanceList": partial(
                RemoteInstanceList, instance_list=bench.instance_list, link=self.link
            ),
            "PeerHub": partial(SimulatedPeers, links=bench.links, **common),
            "TargetsController": partial(PolledTargets, dialer=self.dialer),
            "SchedulingController": partial(ObservedScheduling, dialer=self.dialer),
            "PortProbe": partial(SimulatedPortProbe, dialer=self.dialer),
            "HttpOrderClient": partial(SimulatedOrderClient, dialer=self.dialer),
            "OperatorsServer": NoOperators,
            "CallersServer": partial(
                SimulatedCallersServer,
                network=bench.network,
                announcer=bench.announcer,
                markers=bench.markers,
                **common,
            ),
        }


def _patch(stack: ExitStack, owner: Any, name: str, substitute: Any) -> None:
    # raises if the name does not exist, so that a renamed component is noticed
    stack.enter_context(mock.patch.object(owner, name, substitute))
