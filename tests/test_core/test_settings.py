"""Settings: each invalid one yields a one-line error message."""

from __future__ import annotations

import pytest

from greengagelatch.settings import SETTINGS, load, parse

REQUIRED = {
    "instance.id": "entry-1",
    "instance.data_centre": "tutuban-hall",
    "platform.store": "127.0.0.1:7001",
    "platform.instances": "[::1]:7002",
}


def _write(**changes):
    """Return INI text; ``__`` in names stands for the dot."""
    values = dict(REQUIRED)
    for name, value in changes.items():
        values[name.replace("__", ".")] = value
    sections = {}
    for name, value in values.items():
        section, _, key = name.partition(".")
        if value is not None:
            sections.setdefault(section, []).append(f"{key} = {value}")
    return "\n".join(
        "\n".join([f"[{section}]", *lines]) for section, lines in sections.items()
    )


def test_required_settings_alone_are_enough():
    settings = parse(_write()).unwrap()
    assert settings["instance.data_centre"] == "tutuban-hall"
    assert settings["platform.timeout"] == 2.0
    assert set(settings.as_dict()) == {setting.name for setting in SETTINGS}


@pytest.mark.parametrize(
    ("name", "value", "reason"),
    [
        ("instance.idd", "entry-1", "unknown setting"),
        ("instence.id", "entry-1", "unknown setting"),
        ("platform.timeout", "soon", "could not convert"),
        ("platform.timeout", "nan", "must be a number"),
        ("platform.timeout", "inf", "at most 60"),
        ("platform.timeout", "-1", "at least 0.05"),
        ("instance.seed", "1.5", "invalid literal"),
        ("platform.store", "store.example:7001", "must be an IP address"),
        ("statsd.address", "localhost:8125", "must be an IP address"),
        ("callers.listen", "127.0.0.1", "must be an IP address"),
        ("callers.listen", "127.0.0.1:70000", "port between 0 and 65535"),
        ("callers.listen", "127.0.0.1:http", "port between 0 and 65535"),
        ("peers.seeds", "127.0.0.1:1, entry-2:8082", "must be an IP address"),
        ("log.level", "debug", "must be one of errors, requests, stages"),
        ("instance.id", "", "must not be empty"),
    ],
)
def test_invalid_setting_is_reported_with_its_value(name, value, reason):
    error = parse(_write(**{name: value})).unwrap_err()
    line = str(error)
    assert line.startswith(f"setting {name} = {value!r}: ")
    assert reason in line
    assert "\n" not in line


@pytest.mark.parametrize("name", sorted(REQUIRED))
def test_missing_required_setting_is_reported(name):
    error = parse(_write(**{name: None})).unwrap_err()
    assert str(error) == f"setting {name} = '': is required"


@pytest.mark.parametrize(
    "text",
    ["id = 1", "[instance", "[instance]\nid = 1\nid = 2", "[a]\n[a]", "[instance]\nid"],
)
def test_invalid_ini_syntax_yields_a_one_line_error(text):
    line = str(parse(text).unwrap_err())
    assert "\n" not in line
    assert line.startswith("setting ")


def test_keys_of_the_default_section_are_rejected():
    """Guards against unknown settings that take effect through [DEFAULT].

    The INI parser merges [DEFAULT] into all sections, so that a key from there also
    appears in sections where it is no known setting.
    """
    error = parse(_write() + "\n[DEFAULT]\nseed = 3\n").unwrap_err()
    assert error.value == "3"


def test_unreadable_file_is_reported_with_its_path(tmp_path):
    path = str(tmp_path / "absent.ini")
    line = str(load(path).unwrap_err())
    assert path in line
    assert "No such file" in line
    binary = tmp_path / "binary.ini"
    binary.write_bytes(b"\xff\xfe\x00")
    assert "decode" in str(load(str(binary)).unwrap_err())
