"""Tests of streams while targets of several software versions serve side by side."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest
from yarl import URL

from greengagelatch.relay.stream_versions import StreamVersions
from greengagelatch_lab.platform_standins.deployment import (
    API_KEY,
    HOST,
    create_configuration,
)
from greengagelatch_lab.platform_standins.store import StoreFault
from greengagelatch_lab.platform_standins.targets import TargetFault

STREAMS = 30
COMPLETE = 200
LAST_EVENT = b"id: 5\n"
#: key of the record of versions in the store
RECORD = "greengagelatch/versions"


async def add_versions(fleet) -> None:
    """Let two engines of each of two versions serve."""
    for number in (1, 2):
        await fleet.add(f"llm-new-{number}", "llm", software_version="v1.2")
    for instance in fleet.instances:
        await instance.wait_until_synced(len(fleet.targets))


def list_engines(fleet) -> list:
    return [one for one in fleet.targets.values() if one.service == "llm"]


def find_versions(fleet, *attempts: str) -> set[str]:
    """Return the versions of the engines whose events a caller has got."""
    return {
        engine.software_version
        for engine in list_engines(fleet)
        if any(engine.events[attempt] for attempt in attempts)
    }


def name_parts(number: int) -> str:
    """Return the prompt parts of a stream, which no other stream shares."""
    return f"{number:04x}:60,{number + 0x8000:x}:40"


async def read_first_event(instance, attempt: str, parts: str) -> None:
    """Begin a stream, and leave after its first event."""
    url = URL(f"http://127.0.0.1:{instance.parts.front.port}/draft/1", encoded=True)
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "10000",
        "Authorization": f"Bearer {API_KEY}",
        "X-Model": "m",
        "X-Token-Counts": "100,20",
        "X-Prefix-Hash": parts,
        "X-Pieces": "1,1",
        "X-Piece-Key": "piece-key",
    }
    async with aiohttp.ClientSession() as session:
        response = await session.post(url, headers=headers, data=b"prompt")
        with contextlib.suppress(aiohttp.ClientError):
            assert await response.content.readuntil(b"\n\n")
        response.close()


async def test_stream_goes_on_within_an_answer_at_its_version(lavish_fleet):
    """Guards against a break of a stream after which another version goes on."""
    fleet = lavish_fleet
    await add_versions(fleet)
    breaks: list[int] = []
    for engine in list_engines(fleet):
        engine.breaks = breaks
    replies = []
    for number in range(STREAMS):
        instance = fleet.instances[number % len(fleet.instances)]
        # the first engine of each stream breaks it
        breaks.append(1 + number % 3)
        replies.append(
            await instance.stream(
                X_Attempt_Id=f"s-{number}", X_Prefix_Hash=name_parts(number)
            )
        )
    assert not breaks
    mixed = [n for n in range(STREAMS) if len(find_versions(fleet, f"s-{n}")) > 1]
    assert mixed == []
    assert all(LAST_EVENT in one.body for one in replies)


@pytest.mark.parametrize("is_killed", [False, True])
async def test_stream_that_a_caller_takes_up_goes_on_at_its_version(
    lavish_fleet, is_killed
):
    """Guards against an instance that does not know which version began a stream.

    The one that began it may be gone by the time that its caller returns. One engine
    of each version has no room any more.
    """
    fleet = lavish_fleet
    await add_versions(fleet)
    gates = [asyncio.Event() for _ in list_engines(fleet)]
    for engine, gate in zip(list_engines(fleet), gates, strict=True):
        engine.stream_gate = gate
    first, *others = fleet.instances
    for number in range(STREAMS):
        await read_first_event(first, f"a-{number}", name_parts(number))
    for engine in list_engines(fleet):
        if engine.target_id.endswith("1"):
            engine.fault = TargetFault.FULL
    for gate in gates:
        gate.set()
    if is_killed:
        # nothing is handed over
        first.find("stream_versions")._streams = StreamVersions()
        await first.stop()
        fleet.instances.remove(first)
    replies = await take_up_streams(fleet, others)
    assert list_mixed(fleet) == []
    assert [one.status for one in replies] == [COMPLETE] * STREAMS
    assert all(LAST_EVENT in one.body for one in replies)


async def take_up_streams(fleet, instances: list) -> list:
    """Let the callers of all streams return to some instances."""
    replies = []
    for number in range(STREAMS):
        instance = instances[number % len(instances)]
        reply = await instance.stream(
            X_Attempt_Id=f"b-{number}",
            X_Prefix_Hash=name_parts(number),
            Resumes=f"a-{number}",
            Last_Event_Id="1",
        )
        replies.append(reply)
    return replies


def list_mixed(fleet) -> list[int]:
    """Return the streams whose callers have got events of several versions."""
    return [
        number
        for number in range(STREAMS)
        if len(find_versions(fleet, f"a-{number}", f"b-{number}")) > 1
    ]


def end_version(fleet, version: str) -> None:
    """Let all engines of a version leave."""
    for engine in list_engines(fleet):
        if engine.software_version == version:
            fleet.store.remove(f"servers/{engine.target_id}")


async def take_up_after_restart(fleet, leaves: str) -> list:
    """Begin streams, kill all instances, and take the streams up at new ones.

    :param leaves: when the engines of the former version leave: ``before`` or
        ``meanwhile``
    """
    for number in range(STREAMS):
        instance = fleet.instances[number % len(fleet.instances)]
        await read_first_event(instance, f"a-{number}", name_parts(number))
    if leaves == "before":
        end_version(fleet, "v1")
        for instance in fleet.instances:
            await instance.wait_for(lambda one=instance: not one.accepts("llm-north-1"))
    # the platform keeps what all instances forget
    await fleet.wait_for(lambda: fleet.store.find(RECORD))
    await fleet.kill_all()
    if leaves == "meanwhile":
        end_version(fleet, "v1")
    await fleet.restart_all()
    return await take_up_streams(fleet, fleet.instances)


@pytest.mark.parametrize("leaves", ["before", "meanwhile"])
async def test_stream_is_not_joined_after_all_instances_were_killed(
    lavish_fleet, leaves
):
    """Guards against a lone version that is taken for the only one there has been.

    The engines that began the streams leave around the moment at which all instances
    lose what they know.
    """
    fleet = lavish_fleet
    await add_versions(fleet)
    replies = await take_up_after_restart(fleet, leaves)
    assert list_mixed(fleet) == []
    assert {one.status for one in replies} <= {COMPLETE, 503}


async def test_stream_goes_on_after_all_instances_were_killed(lavish_fleet):
    """Guards against refusals where there has never been but one version."""
    replies = await take_up_after_restart(lavish_fleet, "never")
    assert [one.status for one in replies] == [COMPLETE] * STREAMS
    assert all(LAST_EVENT in one.body for one in replies)


async def test_version_that_is_not_recorded_begins_no_streams(lavish_fleet):
    """Guards against streams of a version that no record holds after a restart of all.

    The version is rolled back before the store has taken a write of the record.
    """
    fleet = lavish_fleet
    await fleet.wait_for(lambda: fleet.store.find(RECORD))
    fleet.store.fault = StoreFault.READ_ONLY
    await add_versions(fleet)
    for number in range(STREAMS):
        instance = fleet.instances[number % len(fleet.instances)]
        await read_first_event(instance, f"a-{number}", name_parts(number))
    end_version(fleet, "v1.2")
    await fleet.kill_all()
    fleet.store.fault = StoreFault.NONE
    await fleet.restart_all()
    replies = await take_up_streams(fleet, fleet.instances)
    assert list_mixed(fleet) == []
    assert [one.status for one in replies] == [COMPLETE] * STREAMS


async def ignore_peers() -> None:
    """Stand in for a query to a peer that is not due yet."""


async def test_stream_is_not_joined_by_an_instance_whose_news_are_late(lavish_fleet):
    """Guards against a lone version that is believed before a new one is heard of.

    The watch of the instance has lost its history, and brings no changes for a while.
    """
    fleet = lavish_fleet
    late = await begin_streams_unheard(fleet)
    await take_up_streams(fleet, [late])
    assert list_mixed(fleet) == []


async def test_stream_that_nobody_remembers_is_not_joined_by_an_instance_that_is_late(
    lavish_fleet,
):
    """Guards against a lone version that is believed by an old reading of the record.

    The instances that were told of the streams remember them no more.
    """
    fleet = lavish_fleet
    late = await begin_streams_unheard(fleet)
    for instance in fleet.instances:
        instance.find("stream_versions")._streams = StreamVersions()
    replies = await take_up_streams(fleet, [late])
    assert list_mixed(fleet) == []
    assert {one.status for one in replies} <= {COMPLETE, 503}


async def begin_streams_unheard(fleet):
    """Begin streams of another version, of which one instance hears nothing.

    :return: that instance
    """
    await fleet.wait_for(lambda: fleet.store.find(RECORD))
    first, late, *_ = fleet.instances
    await late.wait_for(lambda: late.find("version_history").list_possible("llm"))
    late.find("store")._subscribers = ()
    late.find("news")._query_peer = ignore_peers
    for number in (1, 2):
        await fleet.add(f"llm-new-{number}", "llm", software_version="v1.2")
    history = first.find("version_history")
    await first.wait_for(
        lambda: (
            first.accepts("llm-new-1")
            and first.accepts("llm-new-2")
            and not history.list_unrecorded("llm")
        )
    )
    for number in range(STREAMS):
        await read_first_event(first, f"a-{number}", name_parts(number))
    begun = [n for n in range(STREAMS) if "v1.2" in find_versions(fleet, f"a-{n}")]
    assert begun
    return late


async def configure_resumable(fleet, version: int, *, resumable: bool) -> None:
    """Configure whether streams may be resumed."""
    fields = create_configuration(version, timeout_ms=10_000)
    for route in fields["routes"]:
        if route["name"] == "draft":
            route["resumable"] = resumable
    fleet.store.put("op/config", fields)
    for instance in fleet.instances:
        configuration = instance.find("news")._configuration
        await instance.wait_for(
            lambda one=configuration: (
                any(route.resumable for route in one.list_routes()) is resumable
            )
        )


async def test_stream_begun_before_its_route_may_be_resumed_is_not_joined(lavish_fleet):
    """Guards against versions that were not recorded as no stream could be resumed.

    A version is rolled back just before a configuration lets callers resume streams.
    """
    fleet = lavish_fleet
    await fleet.wait_for(lambda: fleet.store.find(RECORD))
    await configure_resumable(fleet, 4, resumable=False)
    await add_versions(fleet)
    for number in range(STREAMS):
        instance = fleet.instances[number % len(fleet.instances)]
        await read_first_event(instance, f"a-{number}", name_parts(number))
    end_version(fleet, "v1.2")
    for instance in fleet.instances:
        await instance.wait_for(lambda one=instance: not one.accepts("llm-new-1"))
    await configure_resumable(fleet, 5, resumable=True)
    await take_up_streams(fleet, fleet.instances)
    assert list_mixed(fleet) == []


async def test_stream_goes_on_at_its_first_version_if_an_instance_can_not_be_told(
    lavish_fleet, monkeypatch
):
    """Guards against streams that are known by two versions, or lost for that.

    The first target of each stream breaks before its first event.
    """
    fleet = lavish_fleet
    await add_versions(fleet)
    breaks: list[int] = []
    for engine in list_engines(fleet):
        engine.breaks = breaks
    instance = fleet.instances[0]
    versions = instance.find("stream_versions")
    bound: dict[str, str] = {}

    async def fail_to_tell(request_id, origin) -> bool:
        now = asyncio.get_running_loop().time()
        bound[request_id] = versions._streams.find(request_id, now).software_version
        return False

    monkeypatch.setattr(versions, "_withdraw", fail_to_tell)
    for number in range(STREAMS):
        breaks.append(0)
        reply = await instance.stream(
            X_Attempt_Id=f"s-{number}", X_Prefix_Hash=name_parts(number)
        )
        assert (reply.status, LAST_EVENT in reply.body) == (COMPLETE, True)
    assert bound
    for request_id, version in bound.items():
        assert find_versions(fleet, request_id) == {version}


async def test_stream_with_a_home_is_not_joined_on_an_open_connection(wide_fleet):
    """Guards against a lone version that is believed for a caller on a kept channel.

    The workspace is restricted to the region of the targets of both versions, and the
    instance that is late is in another one.
    """
    fleet = wide_fleet
    fields = create_configuration(version=4, timeout_ms=10_000)
    fields["tenants"][0]["allowed-regions"] = ["red"]
    revision = fleet.store.put("op/config", fields)
    for instance in fleet.instances:
        await instance.wait_for_revision(revision)
    opened = await fleet.instances[1].stream(X_Attempt_Id="opened")
    assert opened.status == COMPLETE
    late = await begin_streams_unheard(fleet)
    for instance in fleet.instances:
        instance.find("stream_versions")._streams = StreamVersions()
    replies = await take_up_streams(fleet, [late])
    assert list_mixed(fleet) == []
    assert {one.status for one in replies} <= {COMPLETE, 503}
