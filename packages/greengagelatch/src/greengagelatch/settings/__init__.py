"""Settings of the daemon, declared in one table and validated at startup."""

from __future__ import annotations

import configparser
import ipaddress
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from ..setting_values import Settings, split_endpoints
from .declaration import Setting
from .table import SETTINGS

__all__ = (
    "SETTINGS",
    "Setting",
    "SettingError",
    "Settings",
    "load",
    "parse",
    "split_endpoints",
)


@dataclass(frozen=True, slots=True)
class SettingError:
    """An invalid setting, which aborts the startup; its ``str`` is the error line."""

    name: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"setting {self.name} = {self.value!r}: {self.reason}"


_TRUE = frozenset({"yes", "true", "on", "1"})
_FALSE = frozenset({"no", "false", "off", "0"})


def load(path: str) -> Result[Settings, SettingError]:
    """Load and validate the INI file at ``path``."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingError("file", path, str(error)))
    return parse(text)


def parse(text: str) -> Result[Settings, SettingError]:
    """Parse and validate settings in INI text; return the first error, if any."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        reason = str(error).replace("\n", " ")
        return Err(SettingError("file", "", reason))
    given = {
        f"{section}.{key}": value
        for section in parser.sections()
        for key, value in parser.items(section)
    }
    known = {setting.name: setting for setting in SETTINGS}
    for name in given:
        if name not in known:
            return Err(SettingError(name, given[name], "unknown setting"))
    values = {}
    for setting in SETTINGS:
        match _parse_value(setting, given.get(setting.name)):
            case Ok(value):
                values[setting.name] = value
            case Err(error):
                return Err(error)
    return Ok(Settings(values))


def _parse_value(setting: Setting, text: str | None) -> Result[Any, SettingError]:
    if text is None:
        if setting.required:
            return Err(SettingError(setting.name, "", "is required"))
        return Ok(setting.default)
    reason = ""
    value: Any = text.strip()
    try:
        value = _convert(setting, value)
    except ValueError as error:
        reason = str(error)
    if not reason:
        reason = _find_error(setting, value)
    if reason:
        return Err(SettingError(setting.name, text, reason))
    return Ok(value)


def _convert(setting: Setting, text: str) -> Any:
    if setting.type is not bool:
        return setting.type(text)
    lowered = text.lower()
    if lowered in _TRUE:
        return True
    if lowered in _FALSE:
        return False
    raise ValueError("must be yes or no")


def _find_error(setting: Setting, value: Any) -> str:
    if setting.required and value == "":
        return "must not be empty"
    if setting.choices and value not in setting.choices:
        return f"must be one of {', '.join(setting.choices)}"
    if setting.endpoint:
        return _find_endpoint_error(value)
    if setting.endpoints:
        errors = map(_find_endpoint_error, split_endpoints(value))
        return next(filter(None, errors), "")
    if setting.type not in (int, float):
        return ""
    # NaN passes both range checks below, as its comparisons are false
    if value != value:
        return "must be a number"
    if setting.minimum is not None and value < setting.minimum:
        return f"must be at least {setting.minimum:g} {setting.unit}".rstrip()
    if setting.maximum is not None and value > setting.maximum:
        return f"must be at most {setting.maximum:g} {setting.unit}".rstrip()
    return ""


def _find_endpoint_error(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return "must be an IP address and a port, as in 127.0.0.1:8080"
    if not port.isdecimal() or int(port) > 65535:
        return "must end in a port between 0 and 65535"
    return ""
