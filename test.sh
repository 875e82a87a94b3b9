#!/usr/bin/env bash
# Formatter, linter, strict type check, import contracts and tests; the tools are those of requirements-dev.txt.
set -euo pipefail
cd "$(dirname "$0")"
ruff format --check .
ruff check .
mypy
lint-imports
python -m pytest -n 4
