"""The operators' calls for the configuration, from request to answer."""

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
from greengagelatch_lab.standins.memory import MemoryStore
from greengagelatch_lab.standins.peers import Switchboard
from greengagelatch_lab.standins.store_view import StoreView

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


class Site:
    """One instance and a client of its operators' address."""

    def __init__(self):
        clock = SystemClock()
        self.store = MemoryStore(clock=clock)
        self.view = StoreView(self.store)
        self.controller = ConfigurationController(
            store=self.view,
            peers=Switchboard().join("a", "north"),
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
async def site():
    site = Site()
    await site.controller.start()
    await site.client.start_server()
    yield site
    await site.client.close()
    await site.controller.stop()


async def test_objects_are_shown_as_they_were_applied(site):
    status, body = await site.apply("c1")
    assert (status, body["state"], body["generation"]) == (200, "settled", 1)
    assert body["changed"] == ["service/s", "workspace/w"]
    status, text = await site.get("/objects")
    assert text == f"# generation 1\n\n{TEXT}"
    assert (await site.apply("c2", text))[1]["changed"] == []
    _, body = await site.get("/objects?selector=tier,name!=t&format=json")
    [row] = body["objects"]
    assert (row["name"], row["kind"], row["generation"]) == ("s", "service", 1)
    assert (await site.get("/objects?selector=a+in"))[0] == 400
    _, body = await site.get("/changes?limit=1")
    assert [change["change_id"] for change in body["changes"]] == ["c2"]
    _, body = await site.get("/generation?at=3")
    assert (body["generation"], body["instance"]) == (2, "a")
    assert [member["in_force"] for member in body["members"]] == [False]


async def test_a_text_with_one_unsound_object_changes_nothing(site):
    """Half of a file is in force after a mistake in the other half.

    The file holds a sound object, one with an unsound value, and a pipeline whose
    service is not there.
    """
    await site.apply("c1")
    text = "[workspace:good]\n[service:bad]\nkind = none\n"
    status, body = await site.apply("c2", text)
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
    status, body = await site.apply("c3", text)
    assert (status, body["problems"][0]["section"]) == (400, "stage:p/x")
    assert "good" not in (await site.get("/objects"))[1]
    assert site.controller.snapshot.generation == 1


async def test_what_is_still_used_is_not_deleted(site):
    text = "[pipeline:p]\nstages = x\n[stage:p/x]\nkind = plain\nservice = s\n"
    await site.apply("c1", TEXT + text)
    status, body = await site.post(change_id="c2", mode="delete", names=["service/s"])
    assert (status, body["problems"][0]["section"]) == (400, "stage:p/x")
    names = ["service/s", "pipeline/p"]
    assert (await site.post(change_id="c3", mode="delete", names=names))[0] == 200


async def test_an_edit_of_an_old_generation_is_a_conflict(site):
    await site.apply("c1")
    await site.apply("c2", "[workspace:w]\nlabels = v=2\n")
    status, body = await site.apply("c3", "[workspace:w]\nlabels = v=3\n", base=1)
    assert (status, body["state"]) == (409, "conflict")
    [conflict] = body["conflicts"]
    assert (conflict["object"], conflict["base"]) == ("workspace/w", 1)
    assert (conflict["generation"], conflict["change_id"]) == (2, "c2")
    assert "v=3" in conflict["yours"]
    assert "v=2" in conflict["current"]
    assert (await site.apply("c1", "[workspace:w]\n"))[1]["code"] == "change-id-reused"


async def test_a_dry_run_changes_nothing(site):
    await site.apply("c1")
    text = "[workspace:w]\nlabels = v=2\n"
    status, body = await site.apply("c2", text, dry_run=True)
    assert (status, body["state"]) == (200, "checked")
    assert body["changed"] == [
        {"object": "workspace/w", "before": "[workspace:w]\n", "after": text}
    ]
    assert site.controller.snapshot.generation == 1


async def test_a_rollback_puts_an_earlier_generation_in_force_again(site):
    await site.apply("c1")
    await site.apply("c2", "[workspace:w]\nlabels = v=2\n[workspace:x]\n")
    status, body = await site.post(change_id="r", mode="rollback", to_generation=1)
    assert (status, body["generation"]) == (200, 3)
    assert body["changed"] == ["workspace/w", "workspace/x"]
    assert (await site.get("/objects"))[1] == f"# generation 3\n\n{TEXT}"
    status, body = await site.post(change_id="r2", mode="rollback", to_generation=9)
    assert (status, body["code"], body["oldest"]) == (
        404,
        "unknown-generation",
        1,
    )


async def test_an_unknown_outcome_is_told_and_settled_later(site):
    """An operator takes a lost answer for a refusal and makes the change again.

    The swap of the head takes effect, and the store is out of reach before the
    answer is.
    """

    async def cut_off(kind, key):
        if (kind, key) == ("swap", HEAD_KEY):
            site.view.faults.outage = True

    await site.apply("c1")
    site.store.faults.after_call = cut_off
    status, body = await site.apply("c2", "[workspace:w]\nlabels = v=2\n")
    assert (status, body["state"], body["change_id"]) == (504, "unknown", "c2")
    status, body = await site.get("/changes/c2")
    assert (status, body["state"]) == (504, "unknown")
    # what this instance knows, it tells without the store
    assert (await site.get("/changes/c1"))[0] == 200
    site.store.faults.after_call = None
    site.view.faults.outage = False
    status, body = await site.get("/changes/c2")
    assert (status, body["state"], body["generation"]) == (200, "settled", 2)
    assert body["in_force"][0]["in_force"]
    status, body = await site.apply("c2", "[workspace:w]\nlabels = v=2\n")
    assert (status, body["repeated"], body["generation"]) == (200, True, 2)
    assert (await site.get("/changes/c9"))[0] == 404


async def test_a_change_that_was_not_made_says_so(site):
    """An operator looks for a change that was never sent to the store."""
    site.view.faults.outage = True
    status, body = await site.apply("c1")
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
async def test_an_unsound_body_is_refused_with_the_field(site, fields, key):
    status, body = await site.post(**{"change_id": "c1", **fields})
    assert (status, [row["key"] for row in body["problems"]]) == (400, [key])
