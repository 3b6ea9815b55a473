"""Mutation tests: each removes one safeguard, and the fault it prevents must appear.

They guard against tests that would still pass if a change removed the safeguard.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from greengagelatch.relay.incarnations import Incarnation
from greengagelatch.relay.outcomes import NextStep
from greengagelatch.relay.target_ends import TargetEnds
from greengagelatch.relay.targets import ListedTarget, TargetTable
from greengagelatch_entry.adapters.caller_connections import _Connection
from greengagelatch_entry.relay import runners
from greengagelatch_entry.relay.crash_evidence import RefusalEvidence
from greengagelatch_entry.relay.event_splitter import EventSplitter
from greengagelatch_entry.relay.front import RelayFront
from greengagelatch_entry.relay.target_responses import TargetConnection
from greengagelatch_lab.platform_standins.targets import TargetFault
from greengagelatch_platform import headers
from greengagelatch_platform.listing import PlatformListingCodec
from greengagelatch_platform.targets import PlatformTargetCodec

from . import conftest, test_crash_report_replicator, test_restarts, test_stop


def set_fault(world, fault: TargetFault) -> None:
    for target in world.targets.values():
        target.fault = fault


async def test_request_kind_decides_on_retries(world, monkeypatch):
    steps = iter([NextStep.RETRY, NextStep.GIVE_UP])
    monkeypatch.setattr(runners, "decide_next", lambda facts: next(steps))
    set_fault(world, TargetFault.LOSE_ANSWER)
    await world.ask("/book/1", method="POST", request_id="b-1")
    runs = sum(target.runs["b-1"] for target in world.targets.values())
    assert runs == 2


async def test_echoed_request_id_distinguishes_responses(world, monkeypatch):
    read_head = PlatformTargetCodec.read_head

    def read_without_id(self, reply):
        return replace(read_head(self, reply), request_id="b-1")

    monkeypatch.setattr(PlatformTargetCodec, "read_head", read_without_id)
    set_fault(world, TargetFault.FOREIGN)
    reply = await world.ask("/book/1", method="POST", request_id="b-1")
    assert reply.status == 200


async def test_reset_is_distinguished_from_an_orderly_close(world, monkeypatch):
    connection_lost = TargetConnection.connection_lost

    def close_in_order(self, exc):
        connection_lost(self, None)

    monkeypatch.setattr(TargetConnection, "connection_lost", close_in_order)
    set_fault(world, TargetFault.UNFRAMED_RESET)
    reply = await world.ask("/book/1", method="POST", request_id="b-1")
    assert reply.status == 200


async def test_expected_incarnation_detects_a_reused_address(world, monkeypatch):
    encode = PlatformTargetCodec.encode_request

    def encode_without_life(self, request, call):
        outbound = encode(self, request, call)
        lines = tuple(
            line for line in outbound.headers if line[0] != b"X-Expected-Replica"
        )
        return replace(outbound, headers=lines)

    monkeypatch.setattr(PlatformTargetCodec, "encode_request", encode_without_life)
    other = await world.add("other-1", "other")
    for name in ("desk-1", "desk-2"):
        world.store.remove(f"servers/{name}")
    world.store.put("servers/desk-3", {**other.describe(), "service": "desk"})
    book = world.find("news")._target_table
    await world.wait_for(
        lambda: book.find_listed("desk-3") and not book.find_listed("desk-1")
    )
    await world.ask("/look/1", request_id="s-1")
    assert other.runs["s-1"] == 1


async def test_only_complete_events_are_forwarded(pipeline, monkeypatch):
    breaks = pipeline.targets["llm-1"].breaks = pipeline.targets["llm-2"].breaks
    complete = (await pipeline.stream()).body
    breaks.append(2)
    assert (await pipeline.stream()).body == complete
    monkeypatch.setattr(EventSplitter, "feed", lambda self, data: [data])
    monkeypatch.setattr(EventSplitter, "pending", False)
    breaks.append(2)
    assert (await pipeline.stream()).body != complete


def test_targets_that_left_are_remembered(monkeypatch):
    monkeypatch.setattr(TargetEnds, "record", lambda self, incarnation, end: False)
    book = TargetTable()
    target = ListedTarget(
        incarnation=Incarnation("t-1"),
        service="desk",
        address="10.0.0.1:80",
        data_centre="north",
        revision=1,
    )
    book.put(replace(target, leaving=True, revision=2))
    book.put(replace(target, revision=3))
    assert book.is_available(Incarnation("t-1"))


async def test_revision_prevents_a_configuration_rollback(world, monkeypatch):
    configuration = world.find("news")._configuration
    old = configuration.value
    fields = old.replace(b'"version": 3', b'"version": 9')
    assert configuration.apply(fields, configuration.revision + 10, "peer")
    assert not configuration.apply(old, configuration.revision - 5, "peer")
    monkeypatch.setattr(configuration, "_revision", 0)
    # the version number is the second safeguard
    configuration.apply(old, 1, "peer")
    assert configuration.deployment.version == 9


@pytest.mark.parametrize("name", ["x-tenant", "x-hold", "authorization"])
async def test_system_headers_are_removed(world, monkeypatch, name):
    left = headers.SYSTEM_HEADERS - {name.encode()}
    monkeypatch.setattr(headers, "SYSTEM_HEADERS", left)
    await world.ask("/look/1", X_Tenant="south", X_Hold="h-1")
    seen = next(one for target in world.targets.values() for one in target.received)
    assert name in seen.headers


async def test_connections_are_closed_once_their_request_is_answered(
    world, monkeypatch
):
    def end_as_idle(connection):
        connection.busy = False

    def begin_in_time(connection):
        connection.busy = True

    # disables two further safeguards: responses that begin during a stop announce the
    # close of the connection, and late requests are refused
    monkeypatch.setattr(RelayFront, "_keeps_connections", lambda self: True)
    monkeypatch.setattr(_Connection, "end_request", end_as_idle)
    monkeypatch.setattr(_Connection, "_begin", begin_in_time)
    with pytest.raises(AssertionError):
        await test_stop.test_connection_busy_at_the_stop_accepts_no_further_request(
            world
        )


async def test_connections_are_busy_from_the_first_byte(world, monkeypatch):
    monkeypatch.setattr(_Connection, "_begin", lambda self: None)
    with pytest.raises(AssertionError):
        await test_stop.test_request_read_while_idle_connections_close_is_answered(
            world
        )


async def test_end_of_a_stop_cancels_requests(pipeline, monkeypatch):
    monkeypatch.setattr(pipeline.parts.drain, "_abort_requests", lambda: None)
    monkeypatch.setattr(test_stop, "WAIT_SECONDS", 2)
    with pytest.raises(TimeoutError):
        await test_stop.test_requests_in_flight_at_the_end_of_a_stop_are_answered(
            pipeline
        )


def has_received_all(world, target) -> bool:
    return (world.find("store").dump()["revision"] or 0) >= world.store.revision


def ignore_incarnations(monkeypatch) -> None:
    """Treat all incarnations of a target id as the same target."""
    decode = PlatformListingCodec.decode

    def decode_without_start(self, key, value, revision):
        return decode(self, key, value, revision).map(
            lambda target: replace(target, incarnation=Incarnation(target.target_id))
        )

    monkeypatch.setattr(PlatformListingCodec, "decode", decode_without_start)


@pytest.mark.parametrize(
    "name",
    [
        "test_restart_is_logged_once_and_discards_former_state",
        "test_target_that_left_and_restarts_is_used",
        "test_entry_of_a_former_incarnation_is_ignored",
        "test_connections_of_a_former_incarnation_are_not_reused",
        "test_idempotent_request_is_retried_at_the_new_incarnation",
    ],
)
async def test_target_incarnations_are_distinguished(world, monkeypatch, name):
    ignore_incarnations(monkeypatch)
    monkeypatch.setattr(test_restarts, "is_known", has_received_all)
    monkeypatch.setattr(conftest, "WAIT_SECONDS", 3)
    with pytest.raises((AssertionError, TimeoutError)):
        await getattr(test_restarts, name)(world)


@pytest.mark.parametrize(
    "name",
    [
        "test_results_lost_before_the_next_stage_are_recomputed",
        "test_results_lost_before_failover_to_another_engine_are_recomputed",
        "test_response_of_a_former_maker_incarnation_is_discarded",
    ],
)
async def test_maker_incarnations_are_distinguished(pipeline, monkeypatch, name):
    ignore_incarnations(monkeypatch)
    monkeypatch.setattr(conftest, "WAIT_SECONDS", 3)
    with pytest.raises((AssertionError, TimeoutError)):
        await getattr(test_restarts, name)(pipeline)


async def test_request_kind_decides_on_retries_to_a_new_incarnation(world, monkeypatch):
    steps = iter([NextStep.RETRY, NextStep.GIVE_UP])
    monkeypatch.setattr(runners, "decide_next", lambda facts: next(steps))
    with pytest.raises(AssertionError):
        await test_restarts.test_non_idempotent_request_is_not_resent_after_a_restart(
            world
        )
    assert world.targets["desk-1"].runs["b-1"] == 2


async def test_dial_distinguishes_lost_responses_from_crashes(world, monkeypatch):
    async def believe(self, target):
        return True

    monkeypatch.setattr(RefusalEvidence, "has_ended", believe)
    await test_crash_report_replicator.lose_answers(world)
    await world.wait_for(lambda: world.describe()["crashes"]["held_count"] == 1)
    assert (await world.ask(test_crash_report_replicator.LOST)).status == 503
