#!/usr/bin/env bash
# Checks that what the scripts of this review start is there. The stand-ins need only
# Python's standard library, so nothing is compiled or installed.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps/greengagelatch_platform
for file in review/common-2/*.py review/[0-9]*/case.py; do
    python3 - "$file" <<'PY'
import ast
import pathlib
import sys

ast.parse(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8"))
PY
done
