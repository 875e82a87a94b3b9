"""Measures the readability of the repository in figures that an issue can compare.

    python -m benchmarks.readability

Counts over the Python files that git tracks, including tests unless stated otherwise:

- files longer than ``MAX_LINES`` lines;
- the longest function, in lines from its ``def`` to its end;
- import cycles outside tests: groups of modules that import one another, directly or indirectly, by any
  import statement, including those for types only and those within functions;
- the enabled ruff rules, and the exceptions (file and rule) listed in ``lint_exceptions.toml``;
- frames written as plain dicts outside tests: dict displays with the key ``"t"``;
- public items without a docstring (ruff's D1), outside tests and in tests;
- pairs of duplicates that the command ``duplicates`` reports; null if that command is not installed.

The last line is JSON.
"""

from __future__ import annotations

import ast
import json
import re
import shutil
import subprocess
import sys
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import grimp

from benchmarks.lint_exceptions import LIST_PATH, read_list

MAX_LINES = 400
FRAME_KIND_KEY = "t"
PACKAGES = ("anisestair", "benchmarks", "hareloom", "lab", "mesh", "rigs", "simulation", "statecheck")


def tracked_files() -> list[Path]:
    """Returns the Python files tracked by git below the current folder, the root of the repository."""
    listing = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.py"],
        capture_output=True,
        text=True,
        check=True,
    )
    return [path for path in map(Path, listing.stdout.splitlines()) if path.is_file()]


def is_test(path: Path) -> bool:
    """Tells whether a file belongs to the tests."""
    return path.parts[0] == "tests"


def long_files(paths: list[Path]) -> dict[str, int]:
    """Returns the files over the limit and their lines, longest first."""
    lengths = {str(path): len(path.read_text().splitlines()) for path in paths}
    over = [(name, lines) for name, lines in lengths.items() if lines > MAX_LINES]
    return dict(sorted(over, key=lambda row: -row[1]))


def functions(path: Path) -> Iterator[tuple[str, int]]:
    """Yields the functions of a file as ``path:name``, with their lines."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert node.end_lineno is not None
            yield f"{path}:{node.name}", node.end_lineno - node.lineno + 1


def bare_map_frames(path: Path) -> int:
    """Counts the dict displays of a file with the key that holds the kind of a frame."""
    return sum(
        isinstance(key, ast.Constant) and key.value == FRAME_KIND_KEY
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Dict)
        for key in node.keys
    )


def cycles_of(imports: Mapping[str, set[str]]) -> list[list[str]]:
    """Returns the groups of two or more modules that import one another, directly or not, largest first."""
    reachable = {module: _reachable(module, imports) for module in imports}
    groups = {
        tuple(sorted(other for other in found if module in reachable.get(other, ())))
        for module, found in reachable.items()
    }
    return sorted((list(group) for group in groups if len(group) > 1), key=lambda group: (-len(group), group))


def _reachable(module: str, imports: Mapping[str, set[str]]) -> set[str]:
    """Returns the modules that a module imports directly or indirectly; itself only if it is in a cycle."""
    reachable: set[str] = set()
    to_visit = list(imports[module])
    while to_visit:
        visited = to_visit.pop()
        if visited not in reachable:
            reachable.add(visited)
            to_visit.extend(imports.get(visited, ()))
    return reachable


def find_import_cycles(packages: tuple[str, ...] = PACKAGES) -> list[list[str]]:
    """Finds the import cycles among the modules of these packages."""
    graph = grimp.build_graph(*packages, cache_dir=None)
    return cycles_of({module: graph.find_modules_directly_imported_by(module) for module in graph.modules})


def ruff(*arguments: str) -> str:
    """Returns the output of ruff check. Findings are not an error."""
    command = [sys.executable, "-m", "ruff", "check", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr)
    return done.stdout


def enabled_rule_count() -> int:
    """Returns the number of enabled ruff rules."""
    output = ruff("--show-settings", "benchmarks/readability.py")
    enabled = re.search(r"linter\.rules\.enabled = \[(.*?)\]", output, re.DOTALL)
    assert enabled is not None
    return len(enabled[1].split(",\n")) - 1


def exception_count() -> int:
    """Returns the number of listed exceptions, each a file and a rule."""
    return sum(len(rules) for rules in read_list().values()) if LIST_PATH.exists() else 0


def undocumented_counts() -> tuple[int, int]:
    """Counts the public items without a docstring, outside tests and in tests."""
    findings = json.loads(ruff("--isolated", "--select", "D1", "--output-format", "json", "."))
    in_tests = sum(is_test(Path(row["filename"]).relative_to(Path.cwd())) for row in findings)
    return len(findings) - in_tests, in_tests


def duplicate_pairs() -> int | None:
    """Returns the number of pairs in the first line of ``duplicates``."""
    if shutil.which("duplicates") is None:
        return None
    output = subprocess.run(
        ["duplicates", "--seconds", "100"], capture_output=True, text=True, check=True
    ).stdout
    count = re.match(r"(\d+) pairs", output)
    return int(count[1]) if count else 0


def measure() -> dict[str, Any]:
    """Returns all figures by name."""
    paths = tracked_files()
    production = [path for path in paths if not is_test(path)]
    longest, lines = max((row for path in paths for row in functions(path)), key=lambda row: row[1])
    production_longest, production_lines = max(
        (row for path in production for row in functions(path)), key=lambda row: row[1]
    )
    missing, missing_in_tests = undocumented_counts()
    over = long_files(paths)
    cycles = find_import_cycles()
    return {
        "files": len(paths),
        "lines": sum(len(path.read_text().splitlines()) for path in paths),
        "files_over": len(over),
        "files_over_outside_tests": sum(not is_test(Path(name)) for name in over),
        "largest_file": next(iter(over.items()), None),
        "longest_function": [longest, lines],
        "longest_function_outside_tests": [production_longest, production_lines],
        "import_circles": len(cycles),
        "modules_in_circles": sum(map(len, cycles)),
        "ruff_rules_on": enabled_rule_count(),
        "ruff_exceptions": exception_count(),
        "bare_map_frames": sum(map(bare_map_frames, production)),
        "undocumented": missing,
        "undocumented_in_tests": missing_in_tests,
        "duplicate_pairs": duplicate_pairs(),
    }


def main() -> None:
    """Prints each figure, then all as JSON."""
    figures = measure()
    for name, lines in long_files(tracked_files()).items():
        print(f"{lines:5} lines  {name}")
    for cycle in find_import_cycles():
        print(f"import cycle of {len(cycle)}: {', '.join(cycle)}")
    for name, value in figures.items():
        print(f"{name}: {value}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
