"""Tests of greengagelatch_platform.settings and of the option ``--check``."""

from __future__ import annotations

import json

import pytest

from greengagelatch.relay.target_speeds import SpeedMode
from greengagelatch_platform.__main__ import main
from greengagelatch_platform.json_fields import FieldError
from greengagelatch_platform.settings import load_settings, parse_settings

SETTINGS = {
    "node-name": "edge-1",
    "ip": "10.1.0.41",
    "zone": "north",
    "listen": {
        "front": "10.1.0.41:8625",
        "readiness": "10.1.0.41:8621",
        "control": "10.1.0.41:8628",
    },
    "port-range": [7740, 7755],
    "seeds": ["10.2.0.25:8628"],
    "bounds": {"grace-s": 8, "drain-ms": 2000, "retry-ratio": 0.2, "retry-slack": 58},
    "platform": {"address": "10.200.1.7:8624"},
    "limits": {"cpu-share": 0.717, "cores": 3, "link-mbps": 100.0},
    "novelty": {"unknown": True},
}


def read(**changes):
    return parse_settings(json.dumps({**SETTINGS, **changes}))


def test_settings_are_decoded():
    settings = read()
    assert (settings.instance_id, settings.data_centre) == ("edge-1", "north")
    assert settings.store_address == "10.200.1.7:8624"
    assert settings.peers_listen == "10.1.0.41:8628"
    assert settings.grace_period == 8
    assert (settings.retry_budget.ratio, settings.retry_budget.slack) == (0.2, 58)


def test_capacity_is_optional():
    capacity = read().capacity
    assert capacity.cores == pytest.approx(2.151)
    assert capacity.link_bytes == 12_500_000
    assert read(limits=None).capacity.cores == 0


def test_peers_address_defaults_to_the_first_port_of_the_range():
    listen = {name: SETTINGS["listen"][name] for name in ("front", "readiness")}
    assert read(listen=listen).peers_listen == "10.1.0.41:7740"


@pytest.mark.parametrize("mode", SpeedMode)
def test_measured_speeds_are_decoded(mode):
    assert read().measured_speeds is SpeedMode.REPORTED
    settings = read(balancing={"measured-speeds": mode.value})
    assert settings.measured_speeds is mode


@pytest.mark.parametrize("is_first", [True, False])
def test_first_start_is_decoded(is_first):
    assert read().is_first_start is False
    assert read(bootstrap=is_first).is_first_start is is_first


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"zone": 7}, "zone"),
        ({"bootstrap": "yes"}, "bootstrap"),
        ({"balancing": {"measured-speeds": "on"}}, "balancing.measured-speeds"),
        ({"balancing": {"measured-speeds": True}}, "measured-speeds"),
        ({"balancing": "always"}, "balancing"),
        ({"listen": None}, "listen"),
        ({"platform": {}}, "address"),
        ({"bounds": {"grace-s": "eight"}}, "grace-s"),
        ({"seeds": "10.2.0.25:8628"}, "seeds"),
        ({"limits": {"cpu-share": "half"}}, "cpu-share"),
        ({"zones": ["north"]}, "zones"),
        ({"zones": {"north": 3}}, "zones.north"),
        ({"bounds": {"cold-overshoot": "much"}}, "cold-overshoot"),
        ({"bounds": {"cold-slack": -1}}, "cold-slack"),
        ({"listen": {"front": "a:1", "readiness": "a:2"}, "port-range": []}, "port"),
    ],
)
def test_error_names_the_invalid_field(change, name):
    with pytest.raises(FieldError) as caught:
        read(**change)
    assert name in str(caught.value)


def test_check_validates_the_settings(tmp_path, capsys):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    assert main(["--settings", str(path), "--check"]) == 0
    path.write_text("{")
    assert main(["--settings", str(path), "--check"]) == 2
    assert main(["--settings", str(tmp_path / "none.json"), "--check"]) == 2
    assert "settings:" in capsys.readouterr().err


@pytest.mark.parametrize("data", [b"\xff\xfe{}", b"[" * 100_000])
def test_unreadable_settings_file_is_named(tmp_path, capsys, data):
    """Guards against a traceback in place of an error that operators can act on."""
    path = tmp_path / "settings.json"
    path.write_bytes(data)
    assert main(["--check", "--settings", str(path)]) == 2
    assert "settings" in capsys.readouterr().err
    with pytest.raises(FieldError):
        load_settings(str(path))
