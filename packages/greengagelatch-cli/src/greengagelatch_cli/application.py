"""Command-line application and list of its commands."""

from __future__ import annotations

import importlib.metadata

from cleo.application import Application
from cleo.helpers import option

from .commands.changes import ListChanges, RollBack, ShowChange, WaitForChange
from .commands.checks import Check
from .commands.explanations import Explain
from .commands.fleet import Drain, Dump, Status
from .commands.labels import Label
from .commands.objects import Apply, Delete, Diff, Get

__all__ = ("create_application",)

NAME = "greengagelatch"
PACKAGE = "greengagelatch-cli"

COMMANDS = (
    Apply,
    Get,
    Diff,
    Delete,
    Label,
    ShowChange,
    WaitForChange,
    ListChanges,
    RollBack,
    Status,
    Explain,
    Dump,
    Drain,
    Check,
)


def create_application() -> Application:
    """Return the application; the caller maps its errors to exit codes."""
    application = Application(NAME, importlib.metadata.version(PACKAGE))
    application.set_display_name(NAME)
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.definition.add_option(
        option(
            "server",
            None,
            "Operators' addresses of entry instances, host:port[,host:port], tried"
            " in this order; default: $GREENGAGELATCH_SERVER.",
            flag=False,
        )
    )
    application.definition.add_option(
        option(
            "output", None, "Output format, text or json.", flag=False, default="text"
        )
    )
    for command in COMMANDS:
        application.add(command())
    return application
