"""Runs the platform's program with links of its own to the targets."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from greengagelatch.relay.targets import TargetTable
from greengagelatch_platform.__main__ import main

if TYPE_CHECKING:
    from greengagelatch.relay.targets import ListedTarget

__all__ = ("LINKS_SUFFIX", "use_links")

#: suffix of the file beside the settings that holds addresses by target id
LINKS_SUFFIX = ".links"


def use_links(path: Path) -> None:
    """Replace the addresses of all targets by those in a file.

    The table is where all listings meet: instances pass on each other's addresses.
    """
    put = TargetTable.put

    def put_linked(
        table: TargetTable, target: ListedTarget, read_revision: int = 0
    ) -> bool:
        addresses = json.loads(path.read_text(encoding="utf-8"))
        linked = replace(target, address=addresses[target.target_id])
        return put(table, linked, read_revision)

    TargetTable.put = put_linked


if __name__ == "__main__":
    settings = Path(sys.argv[sys.argv.index("--settings") + 1])
    use_links(settings.with_suffix(LINKS_SUFFIX))
    sys.exit(main(sys.argv[1:]))
