#!/usr/bin/env bash
# Formatter, linter, strict type check, import contracts and tests, on a fresh checkout too: the tools are those of
# requirements-dev.txt, in an environment of their own.
set -euo pipefail
cd "$(dirname "$0")"
./environment.sh .ci-venv requirements-dev.txt
PATH="$PWD/.ci-venv/bin:$PATH"
ruff format --check .
ruff check .
mypy
lint-imports
python -m pytest -n 6 --known-red=KNOWN-RED.txt
