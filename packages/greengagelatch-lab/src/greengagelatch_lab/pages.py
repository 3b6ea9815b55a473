"""Generates the reference pages of settings and metrics from the code.

Run as ``python -m greengagelatch_lab.pages DIRECTORY``; the pages are committed, and
a test compares them with the output of this module.
"""

from __future__ import annotations

import ast
import sys
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING

import greengagelatch_entry
from greengagelatch.settings import SETTINGS, Setting

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("PAGES", "main", "render_metrics", "render_settings")

NOTICE = "This page is made from the code by `make docs`; change the code instead."

#: methods that report a metric, with the kind of metric
METRIC_METHODS = {"count": "counter", "gauge": "gauge", "timing": "timer, ms"}

#: placeholder for a part of a metric's name that is known only at run time
VARIABLE_PART = "*"


def main() -> None:
    """Write all pages to the directory named on the command line."""
    directory = Path(sys.argv[1])
    for name, render in PAGES.items():
        (directory / name).write_text(render(), encoding="utf-8")


def render_settings() -> str:
    """Return the reference page of settings as Markdown."""
    lines = [
        "# Settings",
        "",
        NOTICE,
        "",
        "Settings are read from an INI file, `greengagelatchd --config FILE`, and",
        "checked before anything is started; `greengagelatch check FILE` checks them",
        "as well. The first wrong one stops the start with one line that names it and",
        "its value. A setting `a.b` is the key `b` of the section `[a]`. Changed",
        "settings take effect with the next start.",
    ]
    sections: dict[str, list[Setting]] = defaultdict(list)
    for setting in SETTINGS:
        sections[setting.name.partition(".")[0]].append(setting)
    for section, settings in sections.items():
        lines += ["", f"## {section}", ""]
        lines += ["| setting | default | allowed | meaning |", "|---|---|---|---|"]
        for setting in settings:
            lines.append(_format_setting(setting))
    return "\n".join(lines) + "\n"


def render_metrics() -> str:
    """Return the reference page of metrics as Markdown."""
    root = Path(greengagelatch_entry.__file__).parent
    found: dict[tuple[str, str], set[str]] = defaultdict(set)
    for path in sorted(root.rglob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        module = ".".join(path.relative_to(root).with_suffix("").parts)
        for metric in _find_metrics(tree):
            found[metric].add(module)
    lines = [
        "# Metrics",
        "",
        NOTICE,
        "",
        "Metrics go to statsd at `statsd.address`, with the prefix `greengagelatch.`;",
        "all counters and gauges are also in the answer to `GET /dump`. A `*` stands",
        "for a part of the name that is known only while running, such as an outcome.",
        "",
        "| name | kind | reported by |",
        "|---|---|---|",
    ]
    for (name, kind), modules in sorted(found.items()):
        places = ", ".join(f"`{module}`" for module in sorted(modules))
        lines.append(f"| `{name}` | {kind} | {places} |")
    return "\n".join(lines) + "\n"


PAGES = {"settings.md": render_settings, "metrics.md": render_metrics}


def _format_setting(setting: Setting) -> str:
    default = _format_default(setting)
    meaning = setting.description.replace("|", "\\|")
    return f"| `{setting.name}` | {default} | {_format_range(setting)} | {meaning} |"


def _format_default(setting: Setting) -> str:
    if setting.required:
        return "required"
    if setting.default == "":
        return "empty"
    return f"`{_format_value(setting.default)}` {setting.unit}".rstrip()


def _format_range(setting: Setting) -> str:
    if setting.choices:
        return ", ".join(f"`{choice}`" for choice in setting.choices)
    if setting.endpoint:
        return "IP address and port"
    if setting.type is bool:
        return "`yes`, `no`"
    if setting.type is str:
        return "text"
    bounds = []
    if setting.minimum is not None:
        bounds.append(f"from {_format_value(setting.minimum)}")
    if setting.maximum is not None:
        bounds.append(f"to {_format_value(setting.maximum)}")
    number = "whole number" if setting.type is int else "number"
    return " ".join([number, *bounds])


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def _find_metrics(tree: ast.Module) -> Iterator[tuple[str, str]]:
    """Yield the name and the kind of each metric that a module reports."""
    constants = _collect_constants(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        function = node.func
        if (
            not isinstance(function, ast.Attribute)
            or function.attr not in METRIC_METHODS
        ):
            continue
        if "metrics" not in ast.unparse(function.value):
            continue
        for name in _resolve_names(node.args[0], constants):
            yield name, METRIC_METHODS[function.attr]


def _collect_constants(tree: ast.Module) -> dict[str, str]:
    constants = {}
    for node in tree.body:
        if not isinstance(node, ast.Assign) or not isinstance(node.value, ast.Constant):
            continue
        for target in node.targets:
            if isinstance(target, ast.Name):
                constants[target.id] = str(node.value.value)
    return constants


def _resolve_names(node: ast.expr, constants: dict[str, str]) -> Iterator[str]:
    match node:
        case ast.Constant(value=str(name)):
            yield name
        case ast.IfExp(body=first, orelse=second):
            yield from _resolve_names(first, constants)
            yield from _resolve_names(second, constants)
        case ast.Name(id=name):
            yield constants.get(name, VARIABLE_PART)
        case ast.JoinedStr(values=parts):
            yield "".join(_resolve_part(part) for part in parts)
        case _:
            yield VARIABLE_PART


def _resolve_part(part: ast.expr) -> str:
    return str(part.value) if isinstance(part, ast.Constant) else VARIABLE_PART


if __name__ == "__main__":
    main()
