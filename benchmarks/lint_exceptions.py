"""Which files still break the newest linter rules: python -m benchmarks.lint_exceptions [--write]

``lint_exceptions.toml`` lists, file by file, the rules of ``RULES`` that a file breaks today; ruff passes
over just these. Printed are the files and violations of each rule; the exit code is 1 where the list is not
exactly what is broken. With --write the list is written anew, also after a file was moved or split. The
violations of a rule may only become fewer: ``tests/test_lint_exceptions.py`` has their bounds. The last line
is JSON.
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
REASON = """\
# Files that broke a rule when it was switched on; written by `python -m benchmarks.lint_exceptions --write`.
# Reason of all: they are older than the rule, and are mended as they are touched. ARG: a handler or stand-in
# that takes what its caller passes; C901, PLR0915: one function with several jobs; D1: a public item without
# a docstring; N: an exception whose name does not end in Error. Nothing new is listed here.
"""
TESTS_REASON = "# A test's name is a sentence that says what it holds.\n"

Violations = dict[str, Counter[str]]
"""Files, as paths below the root, with how often they break the rule, by rule."""


def rule_of(code: str) -> str:
    """The entry of RULES that a violation's code belongs to."""
    return next(rule for rule in RULES if code.startswith(rule))


def find_violations() -> Violations:
    """What the files of this folder break, whatever is excepted. Docstrings of tests do not count."""
    command = [
        *(sys.executable, "-m", "ruff", "check", ".", "--output-format", "json"),
        *("--select", ",".join(RULES), "--config", "lint.per-file-ignores={'tests/**'=['D1']}"),
    ]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr)
    found: Violations = {rule: Counter() for rule in RULES}
    for row in json.loads(done.stdout):
        path = Path(row["filename"]).relative_to(Path.cwd()).as_posix()
        found[rule_of(row["code"])][path] += 1
    return found


def by_file(found: Violations) -> dict[str, list[str]]:
    """The rules that each file breaks."""
    files = sorted({path for counted in found.values() for path in counted})
    return {path: [rule for rule in RULES if path in found[rule]] for path in files}


def read_list() -> dict[str, list[str]]:
    """The rules that the list excepts for each file."""
    told = tomllib.loads(LIST_PATH.read_text())["lint"]["per-file-ignores"]
    return {path: rules for path, rules in told.items() if path != "tests/**"}


def format_list(files: dict[str, list[str]]) -> str:
    """The list as it stands in its file."""
    rows = "".join(f"{json.dumps(path)} = {json.dumps(rules)}\n" for path, rules in files.items())
    return f'{REASON}[lint.per-file-ignores]\n{TESTS_REASON}"tests/**" = ["D1"]\n{rows}'


def main() -> int:
    """Compare or write; the exit code."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--write", action="store_true")
    found = find_violations()
    files = by_file(found)
    if words.parse_args().write:
        LIST_PATH.write_text(format_list(files))
    differing = sorted(
        path for path in files.keys() | read_list().keys() if files.get(path) != read_list().get(path)
    )
    for path in differing:
        print(f"{path}: breaks {files.get(path, [])}, listed {read_list().get(path, [])}")
    counts = {rule: {"files": len(counted), "violations": counted.total()} for rule, counted in found.items()}
    print(json.dumps(counts))
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
