"""Tests of greengagelatch_entry.status."""

from __future__ import annotations

import random
from types import SimpleNamespace

from greengagelatch.clock import SystemClock
from greengagelatch.events import EventBus
from greengagelatch.instances import Instance, InstanceKind, Listing
from greengagelatch.settings import parse
from greengagelatch_entry.controllers.targets import TargetsController
from greengagelatch_entry.metrics import Metrics
from greengagelatch_entry.status import StatusView
from greengagelatch_lab.standins.peers import MemoryNetwork

SETTINGS = """
[instance]
id = e-1
data_centre = kumamoto
[platform]
store = 127.0.0.1:1
instances = 127.0.0.1:1
"""


def test_leaving_target_is_shown_and_may_be_drained_again():
    """Guards against a second ``drain --target`` that reports an unknown target.

    The first command marks the target as leaving, and is repeated as its answer was
    lost. A leaving target must remain in the status.
    """
    settings = parse(SETTINGS).unwrap()
    peers = MemoryNetwork().join("e-1")
    targets = TargetsController(
        peers=peers,
        clock=SystemClock(),
        random_source=random.Random(1),
        events=EventBus(),
        settings=settings,
        metrics=Metrics("127.0.0.1:9"),
    )
    rows = tuple(
        Instance(
            instance_id=name,
            kind=InstanceKind.TARGET,
            data_centre="kumamoto",
            address="127.0.0.1:1",
            service="stockdesk",
        )
        for name in ("t-1", "t-2")
    )
    targets.apply_listing(Listing(1, rows))
    targets.mark_leaving("t-1")
    view = StatusView(
        settings=settings,
        configuration=SimpleNamespace(
            snapshot=SimpleNamespace(generation=1), find_generation=lambda name: 1
        ),
        drain=SimpleNamespace(draining=False),
        peers=peers,
        targets=targets,
        ready=lambda: True,
    )
    status = view.describe()
    assert status.has_target("t-1")
    shown = status.as_dict()["targets"]["stockdesk"]
    assert {name: target["state"] for name, target in shown.items()} == {
        "t-1": "leaving",
        "t-2": "live",
    }
