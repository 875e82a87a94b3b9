#!/usr/bin/env bash
# The stand-ins are Python without packages of their own: building them is compiling them, as a check.
set -euo pipefail
cd "$(dirname "$0")"
python3 -S - standins.py [0-9]*/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
