"""Entries of another writer name addresses of live replicas, around a final fault."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from standins import (  # noqa: E402
    Instance,
    Record,
    Store,
    describe_target,
    read_head,
    read_request,
    respond,
    run_case,
)

INSTANCES, REPLICAS = 3, 3
#: requests a second, and the seconds for which they are sent before the final fault
RATE, BEFORE_SECONDS = 20, 6.0
#: seconds from the kill of all processes to their start, as on a day of the site file
DOWN_SECONDS = 0.81
#: ``recovery-s``, and the seconds after it in which requests count
RECOVERY_SECONDS, JUDGED_SECONDS = 12.0, 10.0
DEADLINE_MS = 3000
#: a service that no page and no configuration names
FOREIGN_SERVICE = "inventory-probe"


async def main() -> int:
    """Play the case; return the exit status."""
    record = Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE") != "0"
    with tempfile.TemporaryDirectory() as name:
        store, servers, instances, addresses = Store(), [], [], []
        try:
            await store.start()
            for number in range(REPLICAS):
                server, address = await start_replica(store, f"i-{number}")
                servers.append(server)
                addresses.append(address)
            store.put("op/config", create_configuration())
            for number in range(INSTANCES):
                seeds = [one.control for one in instances]
                one = Instance(
                    f"edge-{number}", "abc"[number], store.address, Path(name), seeds
                )
                instances.append(one)
                await one.start()
            for one in instances:
                await one.wait_ready()
            await asyncio.sleep(4.0)
            record.write("the instances are ready and have been calm for 4 s")
            before = await ask_for(BEFORE_SECONDS, instances, 1, record)
            if trouble:
                for number, address in enumerate(addresses):
                    entry = describe_target(FOREIGN_SERVICE, address)
                    store.put(f"servers/probe-{number}", entry)
                    record.write(f"another writer: servers/probe-{number} {entry}")
            for one in instances:
                await one.kill()
            record.write("all processes are killed")
            await asyncio.sleep(DOWN_SECONDS)
            for one in instances:
                one.settings["bootstrap"] = False
                await one.start()
            back = time.monotonic()
            record.write("all processes are started again")
            for one in instances:
                await one.wait_ready()
            record.write("all say that they are ready")
            left = back + RECOVERY_SECONDS - time.monotonic()
            await asyncio.sleep(max(0.0, left))
            after = await ask_for(JUDGED_SECONDS, instances, 2, record)
        except (OSError, RuntimeError) as error:
            record.write(f"the case couldn't run: {error}")
            return 2
        finally:
            for one in instances:
                await one.kill()
            for one in servers:
                one.close()
            await store.stop()
    record.write(
        f"before the final fault {before.count('200')} of {len(before)} requests were"
        f" served, later than {RECOVERY_SECONDS:g} s after the machines were back"
        f" {after.count('200')} of {len(after)}"
    )
    record.close()
    if before.count("200") * 4 < len(before):
        return 2
    return int(after.count("200") * 4 < len(after))


async def ask_for(
    seconds: float, instances: list[Instance], phase: int, record: Record
) -> list[str]:
    """Send requests at a steady rate; return their statuses."""
    tasks = []
    for number in range(int(seconds * RATE)):
        instance = instances[number % len(instances)]
        attempt = f"{phase:08x}{number:08x}"
        tasks.append(asyncio.create_task(ask(instance, attempt)))
        await asyncio.sleep(1.0 / RATE)
    answers = await asyncio.gather(*tasks)
    for number, (status, text) in enumerate(answers):
        if number < 6 or (status != "200" and number % RATE == 0):
            record.write(f"{phase:08x}{number:08x}: {status} {text[:120]}")
    return [status for status, _ in answers]


async def ask(instance: Instance, attempt: str) -> tuple[str, str]:
    """Send one request on a new channel; return its status and its body."""
    host, _, port = instance.front.rpartition(":")
    lines = [
        "GET /stock/one HTTP/1.1",
        "Host: stock.example",
        f"X-Attempt-Id: {attempt}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
    ]
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                found = await read_head(reader)
                if found is None:
                    return "closed", ""
                length = int(found[1].get("content-length", "0"))
                body = await reader.readexactly(length)
            finally:
                writer.close()
    except TimeoutError:
        return "none", ""
    except OSError as error:
        return type(error).__name__, ""
    return found[0].split()[1], body.decode("utf-8", "replace")


def create_configuration() -> dict:
    """Return the configuration: one route to one service."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-stock",
                "hostname": "stock.example",
                "prefix": "/stock/",
                "route-kind": "safe",
                "timeout-ms": DEADLINE_MS,
                "slo-ms": 300,
                "priority": 2,
                "service": "desk",
                "max-attempts": 2,
                "public": False,
            }
        ],
        "services": [{"name": "desk", "health-path": "/healthz", "max-conns": 52}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


async def start_replica(store: Store, name: str) -> tuple[asyncio.Server, str]:
    """Start a sound replica and register it; return its server and address."""

    async def serve(reader, writer) -> None:
        try:
            while (found := await read_request(reader)) is not None:
                if found.headers.get("x-expected-replica", name) != name:
                    respond(writer, 421, {"X-Replica-Id": name})
                    continue
                headers = {
                    "X-Attempt-Id": found.headers.get("x-attempt-id", ""),
                    "X-Replica-Signature": f"signed.{name}",
                }
                respond(writer, 200, headers, b"in stock")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    store.put(f"servers/{name}", describe_target("desk", address))
    return server, address


if __name__ == "__main__":
    sys.exit(run_case(main))
