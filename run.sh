#!/usr/bin/env bash
# From a fresh checkout to a sidecar that serves: a sample stall's configuration is written and checked, then tried
# between stand-ins on loopback for ten seconds. `./run.sh mesh` brings up a small mesh of both programs instead,
# changes a route and kills one of each under load. Either ends by itself and leaves nothing running.
set -euo pipefail
cd "$(dirname "$0")"
if [ "${1:-}" = mesh ]; then
    ./environment.sh .venv/mesh requirements-mesh.txt
    exec .venv/mesh/bin/python -m rigs.mesh_demo
fi
./environment.sh .run-venv requirements-configure.txt
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
python=.run-venv/bin/python
$python -m anisestair config generate deploy/apps/stall.toml --out "$folder"
$python -m anisestair config check "$folder"
$python -m anisestair config try "$folder/app.toml" "$@"
