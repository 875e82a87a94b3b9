#!/usr/bin/env bash
# ./environment.sh FOLDER REQUIREMENTS: a virtual environment with pinned packages, made once and again when the
# requirements change.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11) and "python3 is older than 3.11")'
cat requirements.txt requirements-configure.txt requirements-lab.txt requirements-mesh.txt requirements-operate.txt "$2" > ".$2.wanted"
if ! cmp -s ".$2.wanted" "$1/installed.txt"; then
    python3 -m venv --clear "$1"
    "$1/bin/pip" -q install -r "$2"
    cp ".$2.wanted" "$1/installed.txt"
fi
rm -f ".$2.wanted"
