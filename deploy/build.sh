#!/usr/bin/env bash
# Puts all that an instance needs under target/: libraries once, own packages always.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/installed
if [ ! -e "$stamp" ] || [ constraints.txt -nt "$stamp" ] \
    || [ deploy/requirements.txt -nt "$stamp" ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --target "$deps" \
        -c constraints.txt -r deploy/requirements.txt
    touch "$stamp"
fi
# replaced only where it differs: another run may be starting from it
copy() {
    if ! diff -rq --exclude=__pycache__ "$1" "$deps/$2" > /dev/null 2>&1; then
        rm -rf "${deps:?}/$2"
        cp -r "$1" "$deps/$2"
    fi
}
copy packages/greengagelatch/src/greengagelatch greengagelatch
copy packages/greengagelatch-entry/src/greengagelatch_entry greengagelatch_entry
copy platform/src/greengagelatch_platform greengagelatch_platform
# an instance can't write here, so that each start would compile them anew
python3 -m compileall -q "$deps/greengagelatch" "$deps/greengagelatch_entry" \
    "$deps/greengagelatch_platform"
