"""Sample configuration in the platform's format."""

from __future__ import annotations

from typing import Any

__all__ = ("HOST", "API_KEY", "create_configuration")

HOST = "fleet.example"
API_KEY = "key-of-north"

_MAKER = {
    "slots": 1,
    "queue": 2,
    "batch": 8,
    "call-ms": 30,
    "item-ms": 1,
    "headroom-mb": 10,
    "handle-s": 4,
    "link-mbps": 10000,
}
_COLD_START = {"cold-start-s": 3.0, "cold-per-s": 2.0}
_ENGINE = {"slots": 16, "kv-capacity": 100000, "models": [{"name": "m"}]}


def create_configuration(
    version: int = 3,
    *,
    keys: tuple[str, ...] = (API_KEY,),
    timeout_ms: int = 3000,
    **changes: Any,
) -> dict[str, Any]:
    """Create a configuration with routes of each kind; ``changes`` replace fields."""
    routes = _create_routes()
    for route in routes:
        route["timeout-ms"] = timeout_ms
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "desk",
                "health-path": "/healthz",
                "max-conns": 100,
                **_COLD_START,
            },
            {
                "name": "llm",
                "health-path": "/healthz",
                "engine": _ENGINE,
                **_COLD_START,
            },
            {"name": "portal", "health-path": "/healthz", "segments": _MAKER},
            {"name": "ledger", "health-path": "/healthz", "segments": _MAKER},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 65536,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "north", "api-keys": list(keys), "priority": 1}],
        **changes,
    }


def _create_routes() -> list[dict[str, Any]]:
    return [
        _create_route("look", "safe", service="desk", **{"max-attempts": 2}),
        _create_route("book", "unsafe", service="desk"),
        _create_route(
            "draft",
            "streaming",
            service="llm",
            resumable=True,
            sticky=True,
            stages=[
                {"service": "portal", "after": [], "bytes": 1000},
                {"service": "ledger", "after": [0], "bytes": 1000},
            ],
            **{"max-attempts": 2, "itl-target-ms": 250},
        ),
        _create_route("scan", "streaming", service="llm", sticky=True),
        _create_route("open", "safe", service="desk", public=True),
    ]


def _create_route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route-kind": kind,
        "slo-ms": 500,
        "priority": 1,
        "max-attempts": 1,
        "public": False,
        **fields,
    }
