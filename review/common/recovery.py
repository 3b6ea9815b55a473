"""Runs in which all processes are killed, and something happens while they are back."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import (
    Instance,
    Record,
    Replica,
    Store,
    create_configuration,
    create_instances,
    create_route,
    encode_request,
    read_message,
    run_script,
)

INSTANCES = 3
SERVICES = {"desk": 3, "prices": 3}
WORK_SECONDS = 0.02
DEADLINE_MS = 1500
#: seconds between two requests
PAUSE = 0.05
#: seconds of traffic before the final fault
BEFORE_SECONDS = 5.0
DOWN_SECONDS = 0.9
#: seconds after the machines are back at which the disruption begins
DISRUPTION_AT = 5.0
RECOVERY_SECONDS = 12.0
#: seconds of traffic that count
AFTER_SECONDS = 8.0


class RecoveryRun:
    """One run: traffic, the final fault, a disruption, and traffic again."""

    def __init__(self, folder: Path, record: Record, is_troubled: bool) -> None:
        self._folder = folder
        self.record = record
        self.is_troubled = is_troubled
        base = f"127.{80 + os.getpid() % 100}.0"
        self.store = Store(f"{base}.1", record)
        self._base = base
        self._instances: list[Instance] = []
        self.replicas: list[Replica] = []
        self._tasks: list[asyncio.Task] = []
        #: times at which requests were sent, and their statuses; 0: no answer
        self._answers: list[tuple[float, int]] = []
        self._sent = 0

    async def execute(self) -> int:
        """Return the exit code."""
        try:
            await self._start()
            began = time.monotonic()
            self._tasks.append(asyncio.create_task(self._send_forever()))
            await asyncio.sleep(BEFORE_SECONDS)
            before = self._count_served(began, time.monotonic())
            self.record.write(f"before the final fault: {before[0]} of {before[1]}")
            back = await self._restart_all()
            await asyncio.sleep(back + DISRUPTION_AT - time.monotonic())
            await self.disturb()
            counted = back + RECOVERY_SECONDS
            await asyncio.sleep(counted + AFTER_SECONDS - time.monotonic())
            after = self._count_served(counted, time.monotonic() - 2.0)
            self.record.write(
                f"sent later than {RECOVERY_SECONDS:.0f} s after the machines were"
                f" back: {after[0]} of {after[1]} served"
            )
            print(f"served: {before[0]} of {before[1]}, then {after[0]} of {after[1]}")
            if not before[1] or before[0] * 4 < before[1] or not after[1]:
                return 2
            return 1 if after[0] * 4 < after[1] else 0
        finally:
            await self._stop()

    async def disturb(self) -> None:
        """Bring about the disruption, unless :attr:`is_troubled` is false."""
        raise NotImplementedError

    async def _start(self) -> None:
        await self.store.start()
        self._tasks.append(asyncio.create_task(self.store.expire_forever()))
        self._put_configuration(1)
        number = 10
        for service, count in SERVICES.items():
            for one in range(count):
                number += 1
                replica = Replica(
                    f"i-{service}-{one}",
                    service,
                    f"{self._base}.{number}",
                    self.store,
                    self.record,
                    zone=f"zone-{'abc'[one % 3]}",
                    work=WORK_SECONDS,
                )
                await replica.start()
                self.replicas.append(replica)
                task = asyncio.create_task(replica.register_forever())
                self._tasks.append(task)
                await asyncio.sleep(0.1)
        self._instances = create_instances(self._folder, INSTANCES, self.store)
        await asyncio.gather(*(one.start() for one in self._instances))
        await asyncio.gather(*(one.wait_ready() for one in self._instances))
        self.record.write("all instances are ready")

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self._instances:
            await instance.end()
        for replica in self.replicas:
            await replica.stop()
        await self.store.stop()

    async def _restart_all(self) -> float:
        """Kill all processes and start them again; return when they were back."""
        self.record.write("all processes are killed")
        for instance in self._instances:
            instance.process.send_signal(signal.SIGKILL)
        for instance in self._instances:
            await instance.end()
            instance.settings["bootstrap"] = False
        await asyncio.sleep(DOWN_SECONDS)
        await asyncio.gather(*(one.start() for one in self._instances))
        back = time.monotonic()
        await asyncio.gather(*(one.wait_ready() for one in self._instances))
        self.record.write("all instances are ready again")
        return back

    def _put_configuration(self, version: int) -> None:
        routes = [create_route(one, one, "safe", DEADLINE_MS) for one in SERVICES]
        fields = create_configuration(routes, list(SERVICES), version)
        self.store.put("op/config", json.dumps(fields).encode())
        self.record.write(f"the operator writes version {version}")

    async def change_configuration(self, version: int) -> None:
        """Change the configuration, which begins all watches anew."""
        self._put_configuration(version)
        async with asyncio.timeout(2.0):
            await asyncio.sleep(0.1)
            while len(self.store.watches) < INSTANCES:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def _send_forever(self) -> None:
        tasks: set[asyncio.Task] = set()
        try:
            while True:
                task = asyncio.create_task(self._send())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(PAUSE)
        finally:
            for task in tuple(tasks):
                task.cancel()

    async def _send(self) -> None:
        self._sent += 1
        number = self._sent
        service = list(SERVICES)[number % len(SERVICES)]
        instance = self._instances[number % INSTANCES]
        request_id = f"{number:016x}"
        sent_at = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(DEADLINE_MS / 1000):
                status = await self._ask(instance, service, request_id)
        self.record.write(f"{instance.name} answers {request_id}: {status}")
        self._answers.append((sent_at, status))

    async def _ask(self, instance: Instance, service: str, request_id: str) -> int:
        reader, writer = await asyncio.open_connection(*instance.front)
        try:
            path = f"/{service}/{request_id}"
            writer.write(encode_request("GET", path, request_id, DEADLINE_MS))
            answer = await read_message(reader)
            if answer is None:
                return 0
            if (
                answer.status == 200
                and answer.body != f"answer to {request_id}".encode()
            ):
                return 0
            return answer.status
        finally:
            writer.close()

    def _count_served(self, begin: float, end: float) -> tuple[int, int]:
        """Return how many requests of a time were served, and how many there were."""
        statuses = [status for sent, status in self._answers if begin <= sent < end]
        return statuses.count(200), len(statuses)


async def run_case(kind: type[RecoveryRun], folder: Path) -> int:
    """Run a case; return the exit code.

    :param folder: where the record is written
    """
    record = Record(folder / "record.txt")
    return await run_script(
        record,
        lambda settings, is_troubled: kind(settings, record, is_troubled).execute(),
    )
