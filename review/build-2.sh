#!/bin/sh
# The stand-ins are Python of the standard library alone; there is nothing to fetch. This checks that all of them compile.
set -eu
cd "$(dirname "$0")"
for source in rig2.py [4-8]/run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
