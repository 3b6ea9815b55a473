"""The faults of the matrix: how each is injected and removed."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .clients import ClientRequest
from .network import PLATFORM

if TYPE_CHECKING:
    from .bench import Bench
    from .serving import ServingInstance

__all__ = ("BURST_MARKER", "FAULTS", "Fault")

#: factor by which a slow stage takes longer
SLOWDOWN_FACTOR = 25.0
#: fraction of a failing stage's calls that fail
FAILURE_RATE = 0.7
#: number of requests in one burst
BURST_SIZE = 60
BURST_MARKER = "burst-"
#: bounds of the delay that a slow store adds to each call, in seconds
STORE_DELAY_BOUNDS = (0.4, 2.5)
#: maximum number of consecutive writes whose responses are lost
MAX_LOST_RESPONSES = 3
#: replication lag added to the instance list, in seconds
LAG = 30.0


class Fault(ABC):
    """One kind of fault, which affects one instance or shared infrastructure."""

    #: name in tables and feature files
    name: str = ""
    #: whether instances have to detect lost members and their return
    affects_membership: bool = False

    @abstractmethod
    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        """Inject the fault."""

    def remove(self, bench: Bench, subject: ServingInstance) -> None:  # noqa: B027
        """Remove the fault; permanent damage, such as a killed process, remains."""


class SlowStage(Fault):
    """Every replica of one service becomes slow."""

    name = "slow stage"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        service = bench.random.choice(("profiles", "desk", "llm"))
        for target in bench.targets.values():
            if target.service == service:
                target.slowness = SLOWDOWN_FACTOR

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        for target in bench.targets.values():
            target.slowness = 1.0


class FailingStage(Fault):
    """Most calls of all stages fail, before or after their side effect."""

    name = "failing stage"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        for target in bench.targets.values():
            target.failure_rate = FAILURE_RATE

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        for target in bench.targets.values():
            target.failure_rate = 0.0


class BurstingStage(Fault):
    """Many requests arrive at once."""

    name = "bursting stage"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        for number in range(BURST_SIZE):
            request = ClientRequest(
                marker=f"{BURST_MARKER}{len(bench.clients)}", stream=number % 2 == 0
            )
            bench.call(request, bench.instances[number % len(bench.instances)])


class ProcessKilled(Fault):
    """The process is killed, alone or together with its operating system."""

    name = "process killed"
    affects_membership = True

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        subject.kill(silently=bench.random.random() < 0.5)


class ProcessPaused(Fault):
    """The process is suspended and resumed."""

    name = "process paused"
    affects_membership = True

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        subject.process.pause()

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        subject.process.resume()


class StoreDown(Fault):
    """The store is down: it returns errors, or drops what is sent to it."""

    name = "store down"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        if bench.random.random() < 0.5:
            bench.faults.outage = True
            bench.store.interrupt_watches()
            return
        for instance in bench.instances:
            bench.network.partition(instance.data_centre, PLATFORM)

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        bench.faults.outage = False
        bench.network.heal()


class StoreSlow(Fault):
    """Every call to the store is delayed."""

    name = "store slow"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        seconds = bench.random.uniform(*STORE_DELAY_BOUNDS)

        async def wait(_kind: str, _key: str) -> None:
            await asyncio.sleep(seconds)

        bench.faults.before_call = wait

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        bench.faults.before_call = None


class ResponseLost(Fault):
    """Writes are applied, but their responses are lost."""

    name = "write applied but answer lost"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        bench.lost_responses = bench.random.randint(1, MAX_LOST_RESPONSES)

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        bench.lost_responses = 0


class LeaseExpired(ProcessPaused):
    """The holder of a lease is suspended for longer than the lease's TTL."""

    name = "lease lapsed during a pause"


class OperatorsRacing(Fault):
    """Operators change the same object through all instances concurrently."""

    name = "operators racing"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        for instance in bench.instances:
            if not instance.process.running:
                continue
            change_id = f"race-{len(bench.changes)}"
            bench.submit(instance, change_id, {"by": change_id})


class ConnectionSilent(Fault):
    """All open connections of an instance drop their traffic; new ones work."""

    name = "connection gone silent"
    affects_membership = True

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        subject.silence()


class ListLagging(Fault):
    """The instance list lags far behind while a target is replaced by another one."""

    name = "list lagging"

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        bench.instance_list.lag += LAG
        replicas = [one for one in bench.targets.values() if one.service == "desk"]
        replaced = bench.random.choice(replicas)
        replaced.kill()
        bench.instance_list.remove(replaced.target_id)
        bench.add_target("desk", f"desk-{len(bench.targets)}", replaced.data_centre)

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        bench.instance_list.lag -= LAG


class DataCentresPartitioned(Fault):
    """A network partition between the data centres."""

    name = "data centres cut from each other"
    affects_membership = True

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        centres = sorted({one.data_centre for one in bench.instances})
        bench.network.partition_randomly(*centres)

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        bench.network.heal()


class PlatformPartitioned(Fault):
    """A network partition between one data centre and the platform."""

    name = "cut from the platform"
    affects_membership = True

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        bench.network.partition_randomly(subject.data_centre, PLATFORM)

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        bench.network.heal()


class FullyPartitioned(Fault):
    """One data centre is partitioned from the other and from the platform."""

    name = "cut from both"
    affects_membership = True

    def inject(self, bench: Bench, subject: ServingInstance) -> None:
        PlatformPartitioned().inject(bench, subject)
        DataCentresPartitioned().inject(bench, subject)

    def remove(self, bench: Bench, subject: ServingInstance) -> None:
        bench.network.heal()


FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (
        SlowStage(),
        FailingStage(),
        BurstingStage(),
        ProcessKilled(),
        ProcessPaused(),
        StoreDown(),
        StoreSlow(),
        ResponseLost(),
        LeaseExpired(),
        OperatorsRacing(),
        ConnectionSilent(),
        ListLagging(),
        DataCentresPartitioned(),
        PlatformPartitioned(),
        FullyPartitioned(),
    )
}
