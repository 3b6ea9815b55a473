"""Tests of the operators' HTTP API for the configuration."""

from __future__ import annotations

import random

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from greengagelatch.clock import SystemClock
from greengagelatch.config.head import HEAD_KEY
from greengagelatch.events import EventBus
from greengagelatch.settings import parse
from greengagelatch_entry.adapters.operators_configuration import (
    add_configuration_routes,
)
from greengagelatch_entry.controllers.configuration import ConfigurationController
from greengagelatch_entry.metrics import Metrics
from greengagelatch_lab.standins.fault_injecting_store import FaultInjectingStore
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.standins.peers import MemoryNetwork

SETTINGS = """
[instance]
id = a
data_centre = north
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
[configuration]
watch_wait = 0.2
change_timeout = 1
"""

TEXT = "[service:s]\nkind = plain\nlabels = tier=gold\n\n[workspace:w]\n"


class Harness:
    """Instance with a client of its operators' API."""

    def __init__(self):
        clock = SystemClock()
        self.store = MemoryStore(clock=clock)
        self.view = FaultInjectingStore(self.store)
        self.controller = ConfigurationController(
            store=self.view,
            peers=MemoryNetwork().join("a", "north"),
            clock=clock,
            random_source=random.Random(1),
            events=EventBus(),
            settings=parse(SETTINGS).unwrap(),
            metrics=Metrics("127.0.0.1:9"),
            data_centre="north",
        )
        app = web.Application()
        add_configuration_routes(app, self.controller)
        self.client = TestClient(TestServer(app))

    async def post(self, **body):
        async with self.client.post("/changes", json=body) as response:
            return response.status, await response.json()

    async def get(self, path):
        async with self.client.get(path) as response:
            if response.content_type == "text/plain":
                return response.status, await response.text()
            return response.status, await response.json()

    async def apply(self, change_id, text=TEXT, **fields):
        return await self.post(
            change_id=change_id, mode="apply", text=text, file="site.ini", **fields
        )


@pytest.fixture
async def harness():
    harness = Harness()
    await harness.controller.start()
    await harness.client.start_server()
    yield harness
    await harness.client.close()
    await harness.controller.stop()


async def test_objects_are_shown_as_they_were_applied(harness):
    status, body = await harness.apply("c1")
    assert (status, body["state"], body["generation"]) == (200, "settled", 1)
    assert body["changed"] == ["service/s", "workspace/w"]
    status, text = await harness.get("/objects")
    assert text == f"# generation 1\n\n{TEXT}"
    assert (await harness.apply("c2", text))[1]["changed"] == []
    _, body = await harness.get("/objects?selector=tier,name!=t&format=json")
    [row] = body["objects"]
    assert (row["name"], row["kind"], row["generation"]) == ("s", "service", 1)
    assert (await harness.get("/objects?selector=a+in"))[0] == 400
    _, body = await harness.get("/changes?limit=1")
    assert [change["change_id"] for change in body["changes"]] == ["c2"]
    _, body = await harness.get("/generation?at=3")
    assert (body["generation"], body["instance"]) == (2, "a")
    assert [member["in_force"] for member in body["members"]] == [False]


async def test_a_text_with_one_invalid_object_changes_nothing(harness):
    """Guards against partially applied files.

    A file contains a valid object and one with an invalid value, or a pipeline whose
    service does not exist.
    """
    await harness.apply("c1")
    text = "[workspace:good]\n[service:bad]\nkind = none\n"
    status, body = await harness.apply("c2", text)
    assert (status, body["state"], body["code"]) == (400, "refused", "invalid")
    [problem] = body["problems"]
    assert (problem["file"], problem["section"], problem["key"], problem["value"]) == (
        "site.ini",
        "service:bad",
        "kind",
        "none",
    )
    text = (
        "[workspace:good]\n"
        "[pipeline:p]\nstages = x\n[stage:p/x]\nkind = plain\nservice = nowhere\n"
    )
    status, body = await harness.apply("c3", text)
    assert (status, body["problems"][0]["section"]) == (400, "stage:p/x")
    assert "good" not in (await harness.get("/objects"))[1]
    assert harness.controller.snapshot.generation == 1


async def test_an_object_in_use_is_not_deleted(harness):
    text = "[pipeline:p]\nstages = x\n[stage:p/x]\nkind = plain\nservice = s\n"
    await harness.apply("c1", TEXT + text)
    status, body = await harness.post(
        change_id="c2", mode="delete", names=["service/s"]
    )
    assert (status, body["problems"][0]["section"]) == (400, "stage:p/x")
    names = ["service/s", "pipeline/p"]
    assert (await harness.post(change_id="c3", mode="delete", names=names))[0] == 200


async def test_an_edit_of_an_old_generation_is_a_conflict(harness):
    await harness.apply("c1")
    await harness.apply("c2", "[workspace:w]\nlabels = v=2\n")
    status, body = await harness.apply("c3", "[workspace:w]\nlabels = v=3\n", base=1)
    assert (status, body["state"]) == (409, "conflict")
    [conflict] = body["conflicts"]
    assert (conflict["object"], conflict["base"]) == ("workspace/w", 1)
    assert (conflict["generation"], conflict["change_id"]) == (2, "c2")
    assert "v=3" in conflict["yours"]
    assert "v=2" in conflict["current"]
    assert (await harness.apply("c1", "[workspace:w]\n"))[1][
        "code"
    ] == "change-id-reused"


async def test_a_dry_run_changes_nothing(harness):
    await harness.apply("c1")
    text = "[workspace:w]\nlabels = v=2\n"
    status, body = await harness.apply("c2", text, dry_run=True)
    assert (status, body["state"]) == (200, "checked")
    assert body["changed"] == [
        {"object": "workspace/w", "before": "[workspace:w]\n", "after": text}
    ]
    assert harness.controller.snapshot.generation == 1


async def test_a_rollback_restores_an_earlier_generation(harness):
    await harness.apply("c1")
    await harness.apply("c2", "[workspace:w]\nlabels = v=2\n[workspace:x]\n")
    status, body = await harness.post(change_id="r", mode="rollback", to_generation=1)
    assert (status, body["generation"]) == (200, 3)
    assert body["changed"] == ["workspace/w", "workspace/x"]
    assert (await harness.get("/objects"))[1] == f"# generation 3\n\n{TEXT}"
    status, body = await harness.post(change_id="r2", mode="rollback", to_generation=9)
    assert (status, body["code"], body["oldest"]) == (
        404,
        "unknown-generation",
        1,
    )


async def test_an_unknown_outcome_is_reported_and_resolved_later(harness):
    """Guards against operators who take a lost response for a refusal.

    The swap of the head takes effect, but the store is unreachable before the
    response is received.
    """

    async def cut_off(kind, key):
        if (kind, key) == ("swap", HEAD_KEY):
            harness.view.faults.outage = True

    await harness.apply("c1")
    harness.store.faults.after_call = cut_off
    status, body = await harness.apply("c2", "[workspace:w]\nlabels = v=2\n")
    assert (status, body["state"], body["change_id"]) == (504, "unknown", "c2")
    status, body = await harness.get("/changes/c2")
    assert (status, body["state"]) == (504, "unknown")
    # changes known to this instance are reported without the store
    assert (await harness.get("/changes/c1"))[0] == 200
    harness.store.faults.after_call = None
    harness.view.faults.outage = False
    status, body = await harness.get("/changes/c2")
    assert (status, body["state"], body["generation"]) == (200, "settled", 2)
    assert body["in_force"][0]["in_force"]
    status, body = await harness.apply("c2", "[workspace:w]\nlabels = v=2\n")
    assert (status, body["repeated"], body["generation"]) == (200, True, 2)
    assert (await harness.get("/changes/c9"))[0] == 404


async def test_a_change_that_was_not_sent_is_reported_as_not_applied(harness):
    """Guards against an unknown outcome for a change never sent to the store."""
    harness.view.faults.outage = True
    status, body = await harness.apply("c1")
    assert (status, body["state"]) == (503, "not-applied")
    assert body["retry_after_ms"] > 0


@pytest.mark.parametrize(
    ("fields", "key"),
    [
        ({"mode": "none"}, "mode"),
        ({"mode": "apply", "text": ""}, "text"),
        ({"mode": "delete", "names": ["s"]}, "names"),
        ({"mode": "rollback"}, "to_generation"),
        ({"mode": "apply", "text": TEXT, "base": -1}, "base"),
        ({"mode": "apply", "text": TEXT, "basis": 1}, "basis"),
        ({"mode": "apply", "text": TEXT, "change_id": "a b"}, "change_id"),
    ],
)
async def test_an_invalid_body_is_refused_with_the_field(harness, fields, key):
    status, body = await harness.post(**{"change_id": "c1", **fields})
    assert (status, [row["key"] for row in body["problems"]]) == (400, [key])
