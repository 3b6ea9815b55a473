"""Entry point of ``greengagelatchd``."""

from __future__ import annotations

import asyncio
import sys

from cleo.application import Application as CommandLine
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from result import Err

from greengagelatch import __version__
from greengagelatch.settings import Settings, load

from .application import Application, ExitCode
from .composition import compose
from .garbage_collector import configure_garbage_collector
from .logs import LogOutput, configure_logging

__all__ = ("main",)

PROGRAM_NAME = "greengagelatchd"
RUN_COMMAND = "run"


class DaemonCommand(Command):
    """Runs the daemon, or validates its settings file."""

    name = RUN_COMMAND
    description = "Serves pipelines on an entry instance."
    options = [  # noqa: RUF012 - cleo declares them so
        option("config", "c", "Settings file (INI).", flag=False),
        option("check", None, "Check the settings and exit."),
    ]

    def handle(self) -> int:
        path = self.option("config")
        if not path:
            self.line_error("--config FILE is required")
            return ExitCode.STARTUP_FAILED
        result = load(path)
        if isinstance(result, Err):
            self.line_error(str(result.err_value))
            return ExitCode.STARTUP_FAILED
        if self.option("check"):
            self.line(f"{path}: settings are valid")
            return ExitCode.FINISHED
        return _run(result.ok_value)


def _run(settings: Settings) -> int:
    try:
        output = configure_logging(settings)
    except OSError as error:
        print(f"setting log.file = {settings['log.file']!r}: {error}", file=sys.stderr)
        return ExitCode.STARTUP_FAILED
    configure_garbage_collector()
    try:
        return asyncio.run(_serve(settings, output))
    finally:
        output.close()


async def _serve(settings: Settings, output: LogOutput) -> int:
    return await Application(compose(settings, output)).run()


def main() -> int:
    """Run the command line; return the exit code."""
    command_line = CommandLine(PROGRAM_NAME, __version__)
    command_line.add(DaemonCommand())
    # the daemon has a single command, whose name users need not type
    return command_line.run(ArgvInput([PROGRAM_NAME, RUN_COMMAND, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
