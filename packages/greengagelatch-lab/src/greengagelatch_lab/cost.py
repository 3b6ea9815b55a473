"""Measures what a start of the platform program costs, by step and by module.

Run as ``python -m greengagelatch_lab.cost``. All figures are counts or ratios of
processor time within one run: to a start of the bare interpreter and, with
``--against``, to the same step of another source tree, such as a worktree of an earlier
commit. Both trees run with the libraries of this interpreter.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import subprocess
import sys
import sysconfig
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

from .platform_standins.fleet import create_settings

__all__ = (
    "StartCost",
    "format_costs",
    "main",
    "measure_starts",
    "parse_import_times",
)

#: starts of each step in each tree
ROUNDS = 9
#: starts whose imports are timed one by one
TIMED_STARTS = 3
#: modules in the printed table
MAX_SHOWN = 15
#: each step includes those before it; its own cost is the difference to the last one
STEPS = ("interpreter", "libraries", "own modules", "settings")
OWN_PREFIX = "greengagelatch"
#: source directories of a tree
SOURCES = (
    "packages/greengagelatch/src",
    "packages/greengagelatch-entry/src",
    "platform/src",
)
#: address for settings that no one connects to or listens on
UNUSED_ADDRESS = "127.0.0.1:9"

_IMPORT_TIME = re.compile(r"import time:\s+(\d+) \|\s+\d+ \|\s*(\S+)")

# the processes end without finalisation, which is no part of a start
EXIT = "import os; os._exit(0)"
IMPORT_LIBRARIES = """
import gc, importlib, os
gc.disable()
for name in {names!r}:
    try:
        importlib.import_module(name)
    except ImportError:
        pass
"""
IMPORT_PROGRAM = """
from greengagelatch_platform.__main__ import reduce_import_cost
reduce_import_cost()
from greengagelatch_platform import program
"""
LOAD_SETTINGS = """
program.load_settings({settings!r})
"""
PRINT_MODULES = """
import sys; print(*sys.modules, flush=True)
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartCost:
    """Cost of a start in one source tree."""

    #: modules loaded once the settings are read, and of those the project's own
    modules: int
    own_modules: int
    #: processor time of each step, in starts of the bare interpreter
    steps: dict[str, float]
    #: time of the imports of each module, in ratio to that of all
    shares: dict[str, float]


@dataclass(frozen=True, slots=True)
class _Tree:
    """A source tree and the settings file with which its program starts."""

    path: Path
    settings: str

    def run(self, code: str, *options: str) -> tuple[float, str, str]:
        """Run code in a new interpreter.

        :return: processor seconds, standard output, standard error
        :raises RuntimeError: if the code failed
        """
        # libraries' start-up hooks in site-packages are no part of the program
        command = [sys.executable, "-S", *options, "-c", f"{code}\n{EXIT}"]
        with tempfile.TemporaryFile("w+") as out, tempfile.TemporaryFile("w+") as err:
            process = subprocess.Popen(
                command, stdout=out, stderr=err, env=self._create_environment()
            )
            _, status, usage = os.wait4(process.pid, 0)
            process.returncode = os.waitstatus_to_exitcode(status)
            out.seek(0)
            err.seek(0)
            output, errors = out.read(), err.read()
        if process.returncode:
            raise RuntimeError(f"start in {self.path} failed: {errors[-500:]}")
        return usage.ru_utime + usage.ru_stime, output, errors

    def _create_environment(self) -> dict[str, str]:
        sources = [str(self.path / source) for source in SOURCES]
        return {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.pathsep.join([*sources, sysconfig.get_path("purelib")]),
            # loading them depends on the machine, and TLS is not used
            "SSL_CERT_FILE": os.devnull,
            "SSL_CERT_DIR": os.devnull,
        }

    def count_modules(self) -> list[str]:
        """Return the names of the modules that a start loads."""
        return self.run(self._create_start() + PRINT_MODULES)[1].split()

    def create_steps(self) -> dict[str, str]:
        """Return the code that runs to the end of each step."""
        loaded = set(self.run(PRINT_MODULES)[1].split())
        imported = parse_import_times(
            self.run(self._create_start(), "-X", "importtime")[2]
        )
        names = [
            name
            for name in imported
            if name not in loaded and not name.startswith(OWN_PREFIX)
        ]
        codes = (
            "",
            IMPORT_LIBRARIES.format(names=names),
            IMPORT_PROGRAM,
            self._create_start(),
        )
        return dict(zip(STEPS, codes, strict=True))

    def measure_imports(self) -> Counter[str]:
        """Return the microseconds of each import, without those that it causes."""
        total: Counter[str] = Counter()
        for _ in range(TIMED_STARTS):
            errors = self.run(self._create_start(), "-X", "importtime")[2]
            total.update(parse_import_times(errors))
        return total

    def _create_start(self) -> str:
        return IMPORT_PROGRAM + LOAD_SETTINGS.format(settings=self.settings)


def measure_starts(paths: list[Path], rounds: int = ROUNDS) -> list[StartCost]:
    """Measure starts in each tree; they alternate, so that load affects all alike."""
    with tempfile.TemporaryDirectory() as directory:
        settings = _write_settings(directory)
        trees = [_Tree(path, settings) for path in paths]
        # this also compiles the modules
        steps = [tree.create_steps() for tree in trees]
        seconds = [{step: [] for step in STEPS} for _ in trees]
        for _ in range(rounds):
            for tree, codes, times in zip(trees, steps, seconds, strict=True):
                for step, code in codes.items():
                    times[step].append(tree.run(code)[0])
        bare = median(value for times in seconds for value in times[STEPS[0]])
        return [
            _create_cost(tree, times, bare)
            for tree, times in zip(trees, seconds, strict=True)
        ]


def _create_cost(
    tree: _Tree, seconds: dict[str, list[float]], bare: float
) -> StartCost:
    names = tree.count_modules()
    imports = tree.measure_imports()
    whole = imports.total()
    steps = {}
    before = 0.0
    for step, times in seconds.items():
        until = median(times) / bare
        steps[step] = until - before
        before = until
    return StartCost(
        modules=len(names),
        own_modules=sum(name.startswith(OWN_PREFIX) for name in names),
        steps=steps,
        shares={name: spent / whole for name, spent in imports.most_common()},
    )


def _write_settings(directory: str) -> str:
    path = Path(directory) / "settings.json"
    content = create_settings(
        "a",
        host="127.0.0.1",
        front=UNUSED_ADDRESS,
        readiness=UNUSED_ADDRESS,
        control=UNUSED_ADDRESS,
        seeds=[],
        store=UNUSED_ADDRESS,
    )
    path.write_text(json.dumps(content), encoding="utf-8")
    return str(path)


def parse_import_times(text: str) -> dict[str, int]:
    """Return the microseconds of each import in the output of ``-X importtime``."""
    times = {}
    for line in text.splitlines():
        match = _IMPORT_TIME.match(line)
        if match is None:
            continue
        times[match[2]] = int(match[1])
    return times


def format_costs(costs: list[StartCost]) -> str:
    """Return the table of one tree, or of two trees and their ratio."""
    own = costs[0]
    rows = [("modules", *(cost.modules for cost in costs))]
    rows.append(("own of them", *(cost.own_modules for cost in costs)))
    rows += [(step, *(cost.steps[step] for cost in costs)) for step in STEPS]
    rows.append(("start", *(sum(cost.steps.values()) for cost in costs)))
    lines = [f"{'':<44} {'this':>8} {'other':>8} {'ratio':>8}".rstrip()]
    for name, *values in rows:
        if len(values) > 1 and values[1]:
            values.append(values[0] / values[1])
        lines.append(f"{name:<44}" + "".join(f" {value:>8.4g}" for value in values))
    packages: Counter[str] = Counter()
    for name, share in own.shares.items():
        packages[name.partition(".")[0]] += share
    for title, shares in (("package", packages), ("module", Counter(own.shares))):
        lines.append(f"\n{title:<44} {'share':>8}")
        for name, share in shares.most_common(MAX_SHOWN):
            lines.append(f"{name:<44} {share:>8.3f}")
    return "\n".join(lines)


def main() -> None:
    """Print a table and write the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path, help="root of another source tree")
    parser.add_argument(
        "--rounds", type=int, default=ROUNDS, help="starts of each step"
    )
    parser.add_argument("--output", type=Path, help="JSON file; default: none")
    options = parser.parse_args()
    paths = [Path.cwd()]
    if options.against is not None:
        paths.append(options.against)
    costs = measure_starts(paths, options.rounds)
    print(format_costs(costs))
    if options.output is not None:
        names = ("this", "other")[: len(costs)]
        figures = {name: asdict(cost) for name, cost in zip(names, costs, strict=True)}
        text = json.dumps(figures, indent=2)
        options.output.write_text(f"{text}\n", encoding="utf-8")


if __name__ == "__main__":
    main()
