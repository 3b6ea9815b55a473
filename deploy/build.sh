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
for name in greengagelatch greengagelatch_entry greengagelatch_platform; do
    rm -rf "${deps:?}/$name"
done
cp -r packages/greengagelatch/src/greengagelatch \
    packages/greengagelatch-entry/src/greengagelatch_entry \
    platform/src/greengagelatch_platform "$deps"
