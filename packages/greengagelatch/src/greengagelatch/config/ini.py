"""Parser of objects in INI text, which accepts a text completely or not at all.

:mod:`configparser` splits the text into sections, and each section is then parsed
into an object of its kind. All errors of both steps are returned together, so that an
operator can fix a file in one pass.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from .effects import parse_effect
from .names import ConfigObject, find_name_error
from .objects import (
    Pipeline,
    Policy,
    PolicyEffect,
    Service,
    Stage,
    StageKind,
    Workspace,
)
from .problems import MAX_SHOWN_VALUE, Problem
from .sections import Section, run_to_end, split_incrementally
from .value_parsers import (
    build_choice_parser,
    build_number_parser,
    parse_bool,
    parse_labels,
    parse_name,
    parse_names,
    parse_positive,
    parse_selector_text,
)

__all__ = ("parse_incrementally", "parse_objects")

#: longest default deadline of a pipeline: one day
MAX_DEADLINE_MS = 86_400_000

#: largest absolute value of a policy's rank
MAX_RANK = 1_000_000


ParseResult = Result[tuple[ConfigObject, ...], tuple[Problem, ...]]


def parse_objects(text: str, file: str = "") -> ParseResult:
    """Parse all objects of an INI text, or return all errors in it.

    References to objects outside the text are not checked here; see
    :mod:`greengagelatch.config.validation`.

    :param file: name of the source file, for error messages.
    """
    return run_to_end(parse_incrementally(text, file))


def parse_incrementally(
    text: str, file: str = ""
) -> Generator[None, None, ParseResult]:
    """Parse like :func:`parse_objects`, and yield after every few sections.

    Parsing 100 kB takes about 0.1 s, for which it would block an event loop.
    """
    sections, problems = yield from split_incrementally(text, file)
    objects = yield from _ObjectParser(file, problems).parse(sections)
    if problems:
        return Err(tuple(problems))
    return Ok(objects)


def _parse_inputs(text: str) -> tuple[str, ...]:
    return parse_names(text) if text else ()


@dataclass(frozen=True, slots=True)
class _KeySpec:
    """Parser and default of one key."""

    parse: Callable[[str], Any]
    required: bool = False
    default: Any = None


_KIND = _KeySpec(build_choice_parser(StageKind), required=True)
_LABELS = _KeySpec(parse_labels, default={})
_SELECTOR = _KeySpec(parse_selector_text, default="")

_KEY_SPECS: Mapping[str, Mapping[str, _KeySpec]] = {
    "service": {
        "kind": _KIND,
        "labels": _LABELS,
    },
    "workspace": {"labels": _LABELS},
    "pipeline": {
        "stages": _KeySpec(parse_names, required=True),
        "default_deadline_ms": _KeySpec(
            build_number_parser(0, MAX_DEADLINE_MS), default=0
        ),
        "labels": _LABELS,
    },
    "stage": {
        "kind": _KIND,
        "service": _KeySpec(parse_name, required=True),
        "repeatable": _KeySpec(parse_bool, default=True),
        "share": _KeySpec(parse_positive, default=1.0),
        "inputs": _KeySpec(_parse_inputs, default=()),
        "labels": _LABELS,
    },
    "policy": {
        "effect": _KeySpec(build_choice_parser(PolicyEffect), required=True),
        "workspaces": _SELECTOR,
        "pipelines": _SELECTOR,
        "services": _SELECTOR,
        "rank": _KeySpec(build_number_parser(-MAX_RANK, MAX_RANK), default=0),
        "labels": _LABELS,
    },
}


_OBJECTS: Mapping[str, type] = {
    "service": Service,
    "workspace": Workspace,
    "pipeline": Pipeline,
    "policy": Policy,
}


@dataclass(frozen=True, slots=True)
class _StageSection:
    """A section of a stage; ``stage`` is ``None`` if the section is invalid."""

    inputs: tuple[str, ...]
    stage: Stage | None


@dataclass(slots=True)
class _ObjectParser:
    """Parses sections into objects and collects errors."""

    file: str
    problems: list[Problem]
    #: all stage sections by ``PIPELINE/NAME``
    stages: dict[str, _StageSection] = field(default_factory=dict)

    def parse(
        self, sections: tuple[Section, ...]
    ) -> Generator[None, None, tuple[ConfigObject, ...]]:
        objects: list[ConfigObject | None] = []
        # stages come first, as a pipeline may stand before its stages
        for section in sections:
            if section.kind == "stage":
                self._parse_stage(section)
                yield
        for section in sections:
            if section.kind == "stage":
                continue
            objects.append(self._parse_object(section))
            yield
        self._check_orphans(sections)
        return tuple(item for item in objects if item is not None)

    def _parse_object(self, section: Section) -> ConfigObject | None:
        if section.kind not in _KEY_SPECS:
            known = ", ".join(f"{kind}:NAME" for kind in _KEY_SPECS)
            self._add(section, reason=f"unknown section; known: {known}")
            return None
        before = len(self.problems)
        error = find_name_error(section.name)
        if error:
            self._add(section, reason=f"name {error}")
        values = self._parse_values(section)
        if section.kind == "pipeline":
            values["stages"] = self._collect_stages(section, values["stages"] or ())
        if section.kind == "policy":
            values["values"] = self._parse_parameters(section, values)
        if len(self.problems) > before:
            return None
        return _OBJECTS[section.kind](name=section.name, **values)

    def _parse_stage(self, section: Section) -> None:
        before = len(self.problems)
        pipeline, slash, name = section.name.partition("/")
        error = find_name_error(pipeline) or find_name_error(name)
        if not slash or error:
            self._add(section, reason=f"must be stage:PIPELINE/NAME; names {error}")
        values = self._parse_values(section)
        valid = len(self.problems) == before
        stage = Stage(name=name, **values) if valid else None
        self.stages[section.name] = _StageSection(values["inputs"], stage)

    def _parse_values(self, section: Section) -> dict[str, Any]:
        """Return the values of the known keys; invalid ones have their default."""
        keys = _KEY_SPECS[section.kind]
        values = {key: item.default for key, item in keys.items()}
        for key, text in section.values.items():
            item = keys.get(key)
            if item is None:
                # other keys of a policy are parameters of its effect
                if section.kind != "policy":
                    self._add(section, key, text, f"unknown key of a {section.kind}")
                continue
            try:
                values[key] = item.parse(text)
            except ValueError as error:
                self._add(section, key, text, str(error))
        for key, item in keys.items():
            if item.required and key not in section.values:
                self._add(section, key, reason="is required")
        return values

    def _parse_parameters(
        self, section: Section, values: dict[str, Any]
    ) -> Mapping[str, str]:
        known = _KEY_SPECS["policy"]
        parameters = {
            key: text for key, text in section.values.items() if key not in known
        }
        effect = values["effect"]
        if effect is None:
            return parameters
        policy = Policy(name=section.name, effect=effect, values=parameters)
        match parse_effect(policy):
            case Err(errors):
                for error in errors:
                    self._add(section, error.key, error.value, error.reason)
        return parameters

    def _collect_stages(
        self, section: Section, names: tuple[str, ...]
    ) -> tuple[Stage, ...]:
        stages = []
        earlier: set[str] = set()
        for name in names:
            title = f"{section.name}/{name}"
            found = self.stages.get(title)
            if found is None:
                reason = f"there is no section [stage:{title}]"
                self._add(section, "stages", name, reason)
                continue
            self._check_inputs(title, found.inputs, earlier)
            earlier.add(name)
            if found.stage is not None:
                stages.append(found.stage)
        return tuple(stages)

    def _check_inputs(
        self, title: str, inputs: tuple[str, ...], earlier: set[str]
    ) -> None:
        section = Section(f"stage:{title}", {})
        for name in inputs:
            if name not in earlier:
                reason = "is not an earlier stage of the pipeline"
                self._add(section, "inputs", name, reason)

    def _check_orphans(self, sections: tuple[Section, ...]) -> None:
        listed = set()
        for section in sections:
            if section.kind != "pipeline":
                continue
            for name in section.values.get("stages", "").split(","):
                listed.add(f"{section.name}/{name.strip()}")
        for section in sections:
            if section.kind != "stage" or section.name in listed:
                continue
            reason = "no [pipeline:NAME] section lists this stage"
            self._add(section, reason=reason)

    def _add(
        self, section: Section, key: str = "", value: str = "", reason: str = ""
    ) -> None:
        self.problems.append(
            Problem(
                file=self.file,
                section=section.title,
                key=key,
                value=value[:MAX_SHOWN_VALUE],
                reason=reason,
            )
        )
