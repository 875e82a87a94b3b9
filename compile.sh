#!/bin/sh
# The decisions compiled ahead of time into .compiled, for the sidecar and the simulator's host. Where that cannot be
# done (no C compiler, no package mirror) they run from source, four times slower, with the same decisions.
cd "$(dirname "$0")" || exit 1
rm -rf .compiled .compile-venv
if python3 -m venv .compile-venv && .compile-venv/bin/pip -q install -r requirements-compile.txt &&
    .compile-venv/bin/python -m hareloom.compile; then
    rm -rf .compile-venv
else
    rm -rf .compiled .compile-venv
    echo "hareloom: not compiled; it runs from source" >&2
fi
exit 0
