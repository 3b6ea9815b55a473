"""Operators' HTTP API for configuration changes, objects and generations."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from aiohttp import web
from result import Err, Ok

from greengagelatch.config.ini_writer import format_object, format_objects
from greengagelatch.config.names import ObjectKind, identify
from greengagelatch.config.problems import Problem
from greengagelatch.config.records import encode_body
from greengagelatch.config.requests import is_valid_change_id
from greengagelatch.config.selectors import Selector, parse_selector

from .change_answers import (
    create_json_response,
    create_outcome_response,
    describe_problems,
)
from .change_requests import read_change

if TYPE_CHECKING:
    from collections.abc import Mapping

    from greengagelatch.config.names import ConfigObject
    from greengagelatch.config.records import Record

    from ..configuration.report import MemberGeneration
    from ..controllers.configuration import ConfigurationController

__all__ = ("add_configuration_routes",)

#: default and maximum number of changes in one response
DEFAULT_LIMIT = 50
MAX_LIMIT = 5000

JSON_TYPE = "application/json"


def add_configuration_routes(
    app: web.Application, controller: ConfigurationController
) -> None:
    """Add the configuration routes, served by ``controller``."""
    routes = _Routes(controller)
    app.router.add_post("/changes", routes.make_change)
    app.router.add_get("/changes", routes.list_changes)
    app.router.add_get("/changes/{change_id}", routes.show_change)
    app.router.add_get("/objects", routes.list_objects)
    app.router.add_get("/generation", routes.show_generation)


class _Routes:
    """Request handlers; each reads the configuration once, for consistent output."""

    def __init__(self, controller: ConfigurationController) -> None:
        self._controller = controller

    async def make_change(self, request: web.Request) -> web.Response:
        body = await _read_json(request)
        change_id = body.get("change_id") if isinstance(body, dict) else None
        shown = change_id if isinstance(change_id, str) else ""
        match await read_change(body):
            case Err(problems):
                return _refuse(shown, problems)
            case Ok(change):
                outcome = await self._controller.change(change)
        return create_outcome_response(change, outcome)

    async def show_change(self, request: web.Request) -> web.Response:
        change_id = request.match_info["change_id"]
        if not is_valid_change_id(change_id):
            return _refuse(
                change_id, [_create_problem("change_id", change_id, "invalid id")]
            )
        answer = await self._controller.find_change(change_id)
        if answer.is_err():
            message = f"can't read the store: {answer.err_value.message}"
            body = {"state": "unknown", "change_id": change_id, "message": message}
            return create_json_response(body, status=504)
        head, entry = answer.ok_value.head, answer.ok_value.entry
        if entry is None:
            body = {
                "state": "not-found",
                "change_id": change_id,
                "generation": head.generation,
                "oldest_time": head.changes[0].time if head.changes else None,
            }
            return create_json_response(body, status=404)
        members = await self._controller.list_generations(
            refresh=_queries_members(request)
        )
        body = {
            "state": "settled",
            "change_id": change_id,
            "generation": entry.generation,
            "time": entry.time,
            "in_force": _describe_members(members, entry.generation),
        }
        return create_json_response(body)

    async def list_changes(self, request: web.Request) -> web.Response:
        text = request.query.get("limit", str(DEFAULT_LIMIT))
        if not text.isdecimal() or not 0 < int(text) <= MAX_LIMIT:
            reason = f"must be between 1 and {MAX_LIMIT}"
            return _refuse("", [_create_problem("limit", text, reason)])
        head = self._controller.head
        changes = [
            {
                "change_id": entry.change_id,
                "generation": entry.generation,
                "time": entry.time,
            }
            for entry in reversed(head.changes[-int(text) :])
        ]
        return create_json_response({"generation": head.generation, "changes": changes})

    async def list_objects(self, request: web.Request) -> web.Response:
        kind = request.query.get("kind", "")
        kinds = [item.value for item in ObjectKind]
        if kind and kind not in kinds:
            reason = f"must be one of {', '.join(kinds)}"
            return _refuse("", [_create_problem("kind", kind, reason)])
        text = request.query.get("selector", "")
        selector = parse_selector(text)
        if selector.is_err():
            return _refuse("", [_create_problem("selector", text, selector.err_value)])
        name = request.query.get("name", "")
        generation = self._controller.snapshot.generation
        objects = self._select_objects(kind, name, selector.ok_value)
        if not _accepts_json(request):
            written = f"# generation {generation}\n\n{format_objects(objects)}"
            return web.Response(text=written)
        records = self._controller.list_records()
        rows = [_describe_object(item, records) for item in objects]
        return create_json_response({"generation": generation, "objects": rows})

    async def show_generation(self, request: web.Request) -> web.Response:
        controller = self._controller
        text = request.query.get("at", "")
        if text and not text.isdecimal():
            return _refuse("", [_create_problem("at", text, "must be a generation")])
        members = await controller.list_generations(refresh=_queries_members(request))
        # read last: the generation may have risen while members were queried
        head = controller.head
        at = int(text) if text else head.generation
        body = {
            "instance": controller.instance_id,
            "data_centre": controller.data_centre,
            "generation": head.generation,
            "change_id": head.changes[-1].change_id if head.changes else "",
            "ready": controller.ready,
            "store_age_s": controller.get_store_age(),
            "members": _describe_members(members, at),
        }
        return create_json_response(body)

    def _select_objects(
        self, kind: str, name: str, selector: Selector
    ) -> list[ConfigObject]:
        snapshot = self._controller.snapshot
        maps: Mapping[str, Mapping[str, ConfigObject]] = {
            ObjectKind.SERVICE.value: snapshot.services,
            ObjectKind.WORKSPACE.value: snapshot.workspaces,
            ObjectKind.PIPELINE.value: snapshot.pipelines,
            ObjectKind.POLICY.value: snapshot.policies,
        }
        selected = []
        for map_kind, objects in maps.items():
            if kind and kind != map_kind:
                continue
            for key in sorted(objects):
                item = objects[key]
                if name and name != key:
                    continue
                if selector.matches(key, item.labels):
                    selected.append(item)
        return selected


async def _read_json(request: web.Request) -> Any:
    try:
        return json.loads(await request.text())
    except (ValueError, RecursionError):
        return None


def _accepts_json(request: web.Request) -> bool:
    if request.query.get("format") == "json":
        return True
    return JSON_TYPE in request.headers.get("Accept", "")


def _queries_members(request: web.Request) -> bool:
    return request.query.get("ask") == "yes"


def _create_problem(key: str, value: str, reason: str) -> Problem:
    return Problem(file="", key=key, value=value, reason=reason)


def _refuse(change_id: str, problems: Any) -> web.Response:
    return create_json_response(describe_problems(change_id, problems), status=400)


def _describe_members(
    members: tuple[MemberGeneration, ...], at: int
) -> list[dict[str, Any]]:
    return [
        {
            "instance": member.instance_id,
            "data_centre": member.data_centre,
            "state": member.state,
            "generation": member.generation,
            "age_s": member.age,
            "in_force": member.generation is not None and member.generation >= at,
        }
        for member in members
    ]


def _describe_object(
    item: ConfigObject, records: Mapping[str, Record]
) -> dict[str, Any]:
    object_id = identify(item)
    record = records.get(str(object_id))
    return {
        **encode_body(item),
        "kind": object_id.kind.value,
        "name": object_id.name,
        "generation": 0 if record is None else record.generation,
        "change_id": "" if record is None else record.change_id,
        "text": format_object(item),
    }
