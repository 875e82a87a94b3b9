#!/bin/sh
# The decisions compiled ahead of time into .compiled, for the sidecar and the simulator's host, unless they are there
# already. Where that cannot be done (no C compiler, no package mirror) they run from source, three to four times slower,
# with the same decisions.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys; from hareloom.ahead import folder; sys.exit(not folder().is_dir())' && exit 0
tools=$(mktemp -d ./.compile-venv.XXXXXX) || exit 0
trap 'rm -rf "$tools"' EXIT
python3 -m venv "$tools" && "$tools/bin/pip" -q install -r requirements-compile.txt &&
    "$tools/bin/python" -m hareloom.compile || echo "hareloom: not compiled; it runs from source" >&2
exit 0
