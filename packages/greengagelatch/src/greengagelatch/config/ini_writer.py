"""Formatter of objects as canonical INI text, which parses to equal objects."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .names import ConfigObject, ObjectKind, identify
from .objects import Pipeline, Policy, Service, Stage, Workspace

__all__ = ("format_object", "format_objects", "order_objects")

_ORDER = {kind: number for number, kind in enumerate(ObjectKind)}


def order_objects(objects: Iterable[ConfigObject]) -> list[ConfigObject]:
    """Return objects in canonical order: by kind, then by name."""
    return sorted(objects, key=_get_sort_key)


def format_objects(objects: Iterable[ConfigObject]) -> str:
    """Return objects as INI text in canonical order."""
    return "\n".join(format_object(item) for item in order_objects(objects))


def format_object(item: ConfigObject) -> str:
    """Return one object as INI text without default values."""
    match item:
        case Service():
            fields = {"kind": item.kind.value}
            return _format_section(f"service:{item.name}", fields, item.labels)
        case Workspace():
            return _format_section(f"workspace:{item.name}", {}, item.labels)
        case Pipeline():
            return _format_pipeline(item)
        case Policy():
            return _format_policy(item)


def _format_pipeline(item: Pipeline) -> str:
    fields = {"stages": ", ".join(stage.name for stage in item.stages)}
    if item.default_deadline_ms:
        fields["default_deadline_ms"] = str(item.default_deadline_ms)
    parts = [_format_section(f"pipeline:{item.name}", fields, item.labels)]
    for stage in item.stages:
        parts.append(_format_stage(item.name, stage))
    return "\n".join(parts)


def _format_stage(pipeline: str, stage: Stage) -> str:
    fields = {"kind": stage.kind.value, "service": stage.service}
    if not stage.repeatable:
        fields["repeatable"] = "no"
    if stage.share != 1.0:
        # repr is the shortest text that parses to the same number
        fields["share"] = repr(stage.share)
    if stage.inputs:
        fields["inputs"] = ", ".join(stage.inputs)
    return _format_section(f"stage:{pipeline}/{stage.name}", fields, stage.labels)


def _format_policy(item: Policy) -> str:
    fields = {"effect": item.effect.value}
    for key in ("workspaces", "pipelines", "services"):
        selector = getattr(item, key)
        if selector:
            fields[key] = selector
    if item.rank:
        fields["rank"] = str(item.rank)
    for key in sorted(item.values):
        fields[key] = item.values[key]
    return _format_section(f"policy:{item.name}", fields, item.labels)


def _format_section(
    title: str, fields: Mapping[str, str], labels: Mapping[str, str]
) -> str:
    lines = [f"[{title}]"]
    for key, value in fields.items():
        lines.append(f"{key} = {value}")
    if labels:
        pairs = ", ".join(f"{key}={labels[key]}" for key in sorted(labels))
        lines.append(f"labels = {pairs}")
    return "\n".join(lines) + "\n"


def _get_sort_key(item: ConfigObject) -> tuple[int, str]:
    object_id = identify(item)
    return (_ORDER[object_id.kind], object_id.name)
