#!/usr/bin/env bash
# From a fresh checkout to a sidecar that serves: a sample stall's configuration is written and checked, then tried
# between stand-ins on loopback for ten seconds. It ends by itself and leaves nothing running.
set -euo pipefail
cd "$(dirname "$0")"
./environment.sh .run-venv requirements-configure.txt
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
python=.run-venv/bin/python
$python -m anisestair config generate deploy/apps/stall.toml --out "$folder"
$python -m anisestair config check "$folder"
$python -m anisestair config try "$folder/app.toml" "$@"
