"""Round trip of objects through INI text, and the errors in invalid text."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagelatch.config.ini import parse_objects
from greengagelatch.config.ini_writer import format_objects, order_objects
from greengagelatch.config.names import identify
from greengagelatch.config.objects import (
    Pipeline,
    Policy,
    PolicyEffect,
    Service,
    Stage,
    StageKind,
    Workspace,
)
from greengagelatch.config.validation import find_new_problems, find_problems

TEXT = """
# the drafter of quotes
[service:greengage-llm]
kind = generate
labels = tier=gold, region=kyushu

[service:stockdesk]
kind = plain

[pipeline:quote]
stages = draft, hold
default_deadline_ms = 8000
[stage:quote/draft]
kind = generate
service = greengage-llm
share = 2.5
[stage:quote/hold]
kind = plain
service = stockdesk
repeatable = no
inputs = draft

[workspace:hakata]
labels = tier=gold

[policy:gold-first]
effect = priority
workspaces = tier in (gold), !trial
rank = 3
priority = 5
"""

names = st.from_regex(r"[a-z]([a-z0-9-]{0,6}[a-z0-9])?", fullmatch=True)
labels = st.dictionaries(
    names.filter(lambda key: key not in ("in", "notin", "name")), names, max_size=3
)
services = st.builds(
    Service, name=names, kind=st.sampled_from(StageKind), labels=labels
)
workspaces = st.builds(Workspace, name=names, labels=labels)
policies = st.builds(
    Policy,
    name=names,
    effect=st.just(PolicyEffect.PRIORITY),
    workspaces=st.sampled_from(["", "tier = gold", "a in (b, c), !d"]),
    rank=st.integers(-9, 9),
    values=st.builds(lambda number: {"priority": str(number)}, st.integers(-100, 100)),
    labels=labels,
)


@st.composite
def pipelines(draw):
    stages = []
    for name in draw(st.lists(names, min_size=1, max_size=4, unique=True)):
        earlier = [stage.name for stage in stages]
        inputs = (
            draw(st.lists(st.sampled_from(earlier), unique=True)) if earlier else []
        )
        stages.append(
            Stage(
                name=name,
                kind=draw(st.sampled_from(StageKind)),
                service=draw(names),
                repeatable=draw(st.booleans()),
                share=draw(st.floats(1e-6, 1e6)),
                inputs=tuple(sorted(inputs)),
                labels=draw(labels),
            )
        )
    return Pipeline(
        name=draw(names),
        stages=tuple(stages),
        default_deadline_ms=draw(st.integers(0, 86_400_000)),
        labels=draw(labels),
    )


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.one_of(services, workspaces, policies, pipelines()), unique_by=identify)
)
def test_canonical_text_parses_to_equal_objects(objects):
    read = parse_objects(format_objects(objects)).unwrap()
    assert order_objects(read) == order_objects(objects)
    assert format_objects(read) == format_objects(objects)


def test_all_problems_are_reported_with_section_and_key():
    """Guards against reporting one error per attempt.

    The text has several errors each of syntax, names, values and references between
    sections.
    """
    text = """stray = 1
[service:a]
kind = baker
colour = red
[service:a]
kind = plain
[service:-b]
kind = plain
nonsense
[pipeline:p]
stages = one, two
labels = tier
[stage:p/one]
kind = plain
kind = plain
service = a
share = 0
inputs = two
[stage:p/three]
kind = plain
[policy:q]
effect = quota
workspaces = tier in gold
requests_per_second = many
[policy:r]
effect = quota
speed = 1
[DEFAULT]
kind = plain
"""
    problems = parse_objects(text, "site.ini").unwrap_err()
    places = {(problem.section, problem.key) for problem in problems}
    assert places == {
        ("", ""),
        ("service:a", ""),
        ("service:a", "kind"),
        ("service:a", "colour"),
        ("service:-b", ""),
        ("pipeline:p", "labels"),
        ("stage:p/one", "kind"),
        ("stage:p/one", "share"),
        ("stage:p/three", "service"),
        ("stage:p/three", ""),
        ("pipeline:p", "stages"),
        ("stage:p/one", "inputs"),
        ("policy:q", "workspaces"),
        ("policy:q", "requests_per_second"),
        ("policy:r", "speed"),
        ("DEFAULT", ""),
    }
    assert all(problem.file == "site.ini" for problem in problems)


def test_errors_have_line_numbers_of_the_whole_text():
    """Guards against wrong line numbers in errors.

    A long text is parsed in parts, and the parser counts the lines of each part from
    one.
    """
    filler = "".join(f"[workspace:f{number}]\n" for number in range(100))
    text = f"{filler}[workspace:b]\nlabels = x=y\nnonsense\n[workspace:f1]\n"
    problems = parse_objects(text, "f").unwrap_err()
    assert [(problem.section, problem.reason) for problem in problems] == [
        ("", "line 103: is not KEY = VALUE"),
        ("workspace:f1", "the section appears twice"),
    ]


def index(text):
    return {str(identify(item)): item for item in parse_objects(text).unwrap()}


def test_references_are_validated_over_the_whole_configuration():
    objects = index(TEXT)
    assert find_problems(objects, "") == []
    without_service = dict(objects)
    del without_service["service/stockdesk"]
    [problem] = find_new_problems(objects, without_service, "f")
    assert (problem.section, problem.key, problem.value) == (
        "stage:quote/hold",
        "service",
        "stockdesk",
    )
    # an existing problem does not block unrelated changes
    extended = without_service | index("[workspace:new]\n")
    assert find_new_problems(without_service, extended, "f") == []


@pytest.mark.parametrize(
    ("policy", "key", "value"),
    [
        ("to_pipelines = quote=9, nowhere=1", "to_pipelines", "nowhere"),
        ("to_services = nowhere=1", "to_services", "nowhere"),
        ("to_services = stockdesk=1", "to_services", "stockdesk=1"),
    ],
)
def test_a_split_leads_only_to_services_of_the_same_kind(policy, key, value):
    """Guards against calls of a generation stage to a plain service.

    A split whose selector also matches services of another kind would redirect the
    calls to these as well.
    """
    objects = index(TEXT)
    after = objects | index(f"[policy:s]\neffect = split\n{policy}\n")
    [problem] = find_new_problems(objects, after, "")
    assert (problem.section, problem.key, problem.value) == ("policy:s", key, value)
    same_kind = f"[policy:s]\neffect = split\nservices = name = stockdesk\n{policy}\n"
    if "nowhere" not in policy:
        assert find_new_problems(objects, objects | index(same_kind), "") == []
