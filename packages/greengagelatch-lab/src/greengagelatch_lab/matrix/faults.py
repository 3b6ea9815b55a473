"""The faults of the matrix: how each begins and how it ends."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from .callers import Wish
from .network import PLATFORM

if TYPE_CHECKING:
    from .bench import Bench
    from .serving import ServingInstance

__all__ = ("BURST_MARKER", "FAULTS", "Fault")

#: factor by which a slow stage is slower
SLOWNESS = 25.0
#: share of a failing stage's calls that fail
FAILING = 0.7
#: requests of one burst
BURST = 60
BURST_MARKER = "burst-"
#: bounds of the seconds that a slow store takes for each call
SLOW_STORE = (0.4, 2.5)
#: answers to writes that are lost, one after the other
MAX_LOST = 3
#: seconds by which a lagging list lags
LAG = 30.0


class Fault(ABC):
    """One kind of fault; it hits one instance, or all that it goes by."""

    #: what readers of the matrix see
    name: str = ""
    #: whether instances have to find out what is gone and what is back
    parting: bool = False

    @abstractmethod
    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        """Bring the fault about, now."""

    def end(self, bench: Bench, subject: ServingInstance) -> None:  # noqa: B027
        """End the fault; what it broke for good, as most do, stays broken."""


class SlowStage(Fault):
    """Every replica of one service becomes slow."""

    name = "slow stage"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        service = bench.random.choice(("profiles", "desk", "llm"))
        for target in bench.targets.values():
            if target.service == service:
                target.slowness = SLOWNESS

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        for target in bench.targets.values():
            target.slowness = 1.0


class FailingStage(Fault):
    """Most calls of all stages fail, before or after their effect."""

    name = "failing stage"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        for target in bench.targets.values():
            target.failing = FAILING

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        for target in bench.targets.values():
            target.failing = 0.0


class BurstingStage(Fault):
    """Many requests come at once."""

    name = "bursting stage"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        for number in range(BURST):
            wish = Wish(
                marker=f"{BURST_MARKER}{len(bench.callers)}", stream=number % 2 == 0
            )
            bench.call(wish, bench.instances[number % len(bench.instances)])


class ProcessKilled(Fault):
    """The process ends without any further step, alone or with its whole instance."""

    name = "process killed"
    parting = True

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        subject.kill(silently=bench.random.random() < 0.5)


class ProcessPaused(Fault):
    """The process stands still, and goes on as if nothing had been."""

    name = "process paused"
    parting = True

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        subject.process.pause()

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        subject.process.resume()


class StoreDown(Fault):
    """The store is away: it refuses, or swallows what is sent to it."""

    name = "store down"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        if bench.random.random() < 0.5:
            bench.faults.outage = True
            bench.store.interrupt_watches()
            return
        for instance in bench.instances:
            bench.network.cut(instance.data_centre, PLATFORM)

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        bench.faults.outage = False
        bench.network.heal()


class StoreSlow(Fault):
    """Every call to the store takes long."""

    name = "store slow"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        seconds = bench.random.uniform(*SLOW_STORE)

        async def wait(_kind: str, _key: str) -> None:
            await asyncio.sleep(seconds)

        bench.faults.before_call = wait

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        bench.faults.before_call = None


class AnswerLost(Fault):
    """Writes take effect, and their answers are lost."""

    name = "write applied but answer lost"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        bench.lost_answers = bench.random.randint(1, MAX_LOST)

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        bench.lost_answers = 0


class LeaseLapsed(ProcessPaused):
    """The holder of a lease stands still for longer than the lease lasts."""

    name = "lease lapsed during a pause"


class OperatorsRacing(Fault):
    """Operators change the same object through all instances at once."""

    name = "operators racing"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        for instance in bench.instances:
            if not instance.process.running:
                continue
            change_id = f"race-{len(bench.changes)}"
            bench.submit(instance, change_id, {"by": change_id})


class ConnectionSilent(Fault):
    """All open connections of an instance swallow what is sent; new ones work."""

    name = "connection gone silent"
    parting = True

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        subject.silence()


class ListLagging(Fault):
    """The list falls far behind just when a target is replaced by another one."""

    name = "list lagging"

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        bench.instance_list.lag += LAG
        desks = [one for one in bench.targets.values() if one.service == "desk"]
        gone = bench.random.choice(desks)
        gone.die()
        bench.instance_list.remove(gone.target_id)
        bench.add_target("desk", f"desk-{len(bench.targets)}", gone.data_centre)

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        bench.instance_list.lag -= LAG


class DataCentresCut(Fault):
    """The data centres do not reach each other."""

    name = "data centres cut from each other"
    parting = True

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        centres = sorted({one.data_centre for one in bench.instances})
        bench.network.cut_some_way(*centres)

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        bench.network.heal()


class PlatformCut(Fault):
    """One data centre does not reach the platform."""

    name = "cut from the platform"
    parting = True

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        bench.network.cut_some_way(subject.data_centre, PLATFORM)

    def end(self, bench: Bench, subject: ServingInstance) -> None:
        bench.network.heal()


class BothCut(Fault):
    """One data centre reaches neither the others nor the platform."""

    name = "cut from both"
    parting = True

    def begin(self, bench: Bench, subject: ServingInstance) -> None:
        PlatformCut().begin(bench, subject)
        DataCentresCut().begin(bench, subject)

    def end(self, bench: Bench, subject: ServingInstance) -> None:
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
        AnswerLost(),
        LeaseLapsed(),
        OperatorsRacing(),
        ConnectionSilent(),
        ListLagging(),
        DataCentresCut(),
        PlatformCut(),
        BothCut(),
    )
}
