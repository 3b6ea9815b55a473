"""Entry point of the ``greengagelatch`` command."""

from __future__ import annotations

import sys

from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from .application import create_application
from .exit_codes import ExitCode

__all__ = ("main", "run")


def run(arguments: list[str]) -> int:
    """Run the command with ``arguments`` and return its exit code."""
    application = create_application()
    source = ArgvInput(["greengagelatch", *arguments])
    source.set_stream(sys.stdin)
    try:
        return application.run(source)
    except CleoError as error:
        print(f"greengagelatch: {error}", file=sys.stderr)
        return ExitCode.USAGE


def main() -> None:
    """Run the command and exit the process with its exit code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
