"""Tests of the reference pages that are generated from the code."""

from __future__ import annotations

from pathlib import Path

import pytest

from greengagelatch.settings import SETTINGS
from greengagelatch_lab.pages import PAGES, render_settings

DIRECTORY = Path(__file__).parents[2] / "docs" / "operators"


@pytest.mark.parametrize("name", sorted(PAGES))
def test_committed_pages_are_up_to_date(name):
    """Guards against pages that list settings or metrics that no longer exist.

    The pages become stale if `make docs` is not run after a change of the code.
    """
    committed = (DIRECTORY / name).read_text(encoding="utf-8")
    assert committed == PAGES[name](), "run make docs"


def test_page_of_settings_has_a_row_for_each():
    rows = [line for line in render_settings().splitlines() if line.startswith("| `")]
    assert len(rows) == len(SETTINGS)
