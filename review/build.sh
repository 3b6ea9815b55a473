#!/usr/bin/env bash
# The stand-ins need nothing but Python's standard library: they are only compiled here.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
from pathlib import Path

for path in sorted(Path().rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
