"""Maintains the list of files that still break the newest linter rules.

    python -m benchmarks.lint_exceptions [--write]

``lint_exceptions.toml`` lists, for each file, the rules of ``RULES`` that it breaks; ruff ignores just these.
Prints the number of files and violations of each rule. The exit code is 1 if the list differs from the actual
violations. With --write the list is rewritten, which is also needed after a file was moved or split. The
number of violations of a rule may only decrease: ``tests/test_lint_exceptions.py`` has the bounds. The last
line is JSON.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tomllib
from collections import Counter
from pathlib import Path

LIST_PATH = Path("lint_exceptions.toml")
RULES = ("ARG", "C901", "D1", "N", "PLR0915")
HEADER = """\
# Files that broke a rule when it was switched on; written by `python -m benchmarks.lint_exceptions --write`.
# Reason of all: they are older than the rule, and are mended as they are touched. ARG: a handler or stand-in
# that takes what its caller passes; C901, PLR0915: one function with several jobs; D1: a public item without
# a docstring; N: an exception whose name does not end in Error. Nothing new is listed here.
"""
TESTS_COMMENT = "# A test's name is a sentence that says what it holds.\n"

Violations = dict[str, Counter[str]]
"""The number of violations by rule and by file; files are paths relative to the root."""


def rule_of(code: str) -> str:
    """Returns the entry of RULES to which the code of a violation belongs."""
    return next(rule for rule in RULES if code.startswith(rule))


def find_violations() -> Violations:
    """Returns all violations in this folder, ignoring the list. Missing docstrings in tests do not count."""
    command = [
        *(sys.executable, "-m", "ruff", "check", ".", "--output-format", "json"),
        *("--select", ",".join(RULES), "--config", "lint.per-file-ignores={'tests/**'=['D1']}"),
    ]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    if completed.returncode not in (0, 1):
        raise RuntimeError(completed.stderr)
    violations: Violations = {rule: Counter() for rule in RULES}
    for row in json.loads(completed.stdout):
        path = Path(row["filename"]).relative_to(Path.cwd()).as_posix()
        violations[rule_of(row["code"])][path] += 1
    return violations


def by_file(violations: Violations) -> dict[str, list[str]]:
    """Returns the rules that each file breaks."""
    files = sorted({path for counts in violations.values() for path in counts})
    return {path: [rule for rule in RULES if path in violations[rule]] for path in files}


def read_list() -> dict[str, list[str]]:
    """Returns the rules that the list excepts for each file."""
    ignores = tomllib.loads(LIST_PATH.read_text())["lint"]["per-file-ignores"]
    return {path: rules for path, rules in ignores.items() if path != "tests/**"}


def format_list(files: dict[str, list[str]]) -> str:
    """Returns the text of the list's file."""
    rows = "".join(f"{json.dumps(path)} = {json.dumps(rules)}\n" for path, rules in files.items())
    return f'{HEADER}[lint.per-file-ignores]\n{TESTS_COMMENT}"tests/**" = ["D1"]\n{rows}'


def main() -> int:
    """Runs the command; returns the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--write", action="store_true")
    violations = find_violations()
    rules_by_file = by_file(violations)
    if parser.parse_args().write:
        LIST_PATH.write_text(format_list(rules_by_file))
    differing = sorted(
        path
        for path in rules_by_file.keys() | read_list().keys()
        if rules_by_file.get(path) != read_list().get(path)
    )
    for path in differing:
        print(f"{path}: breaks {rules_by_file.get(path, [])}, listed {read_list().get(path, [])}")
    counts = {
        rule: {"files": len(counted), "violations": counted.total()} for rule, counted in violations.items()
    }
    print(json.dumps(counts))
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
