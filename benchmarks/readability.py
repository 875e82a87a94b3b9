"""How readable the tree is, in figures that an issue can compare: python -m benchmarks.readability

Counted over the Python files that git tracks, tests included where nothing else is said:

- files longer than ``MOST_LINES`` lines;
- the longest function, in lines from its ``def`` to its end;
- import circles, tests excepted: groups of modules that reach one another, by every import statement, also
  those for types alone and those within functions;
- the rules that ruff has on, and the exceptions (file and rule) listed in ``lint_exceptions.toml``;
- frames written as bare maps outside tests: dictionary displays with the key ``"t"``;
- public items outside tests without a docstring (ruff's D1), and those in tests;
- pairs of places that the command ``duplicates`` reports; null where that command is not installed.

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

from benchmarks.lint_exceptions import LIST, listed

MOST_LINES = 400
FRAME_KIND_KEY = "t"
PACKAGES = ("anisestair", "benchmarks", "hareloom", "lab", "mesh", "rigs", "simulation", "statecheck")


def tracked_files() -> list[Path]:
    """The Python files that git tracks below the current folder, which is the repository's root."""
    listing = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", "*.py"],
        capture_output=True,
        text=True,
        check=True,
    )
    return [path for path in map(Path, listing.stdout.splitlines()) if path.is_file()]


def is_test(path: Path) -> bool:
    """Whether a file belongs to the tests."""
    return path.parts[0] == "tests"


def long_files(paths: list[Path]) -> dict[str, int]:
    """Files over the bound and their lines, longest first."""
    lengths = {str(path): len(path.read_text().splitlines()) for path in paths}
    over = [(name, lines) for name, lines in lengths.items() if lines > MOST_LINES]
    return dict(sorted(over, key=lambda row: -row[1]))


def functions(path: Path) -> Iterator[tuple[str, int]]:
    """The functions of a file, as ``path:name``, and their lines."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            assert node.end_lineno is not None
            yield f"{path}:{node.name}", node.end_lineno - node.lineno + 1


def bare_map_frames(path: Path) -> int:
    """How many dictionary displays of a file have the key that tells a frame's kind."""
    return sum(
        isinstance(key, ast.Constant) and key.value == FRAME_KIND_KEY
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Dict)
        for key in node.keys
    )


def circles_of(imports: Mapping[str, set[str]]) -> list[list[str]]:
    """Groups of two or more modules that reach one another by what each of them imports, largest first."""
    reached = {module: _reached(module, imports) for module in imports}
    groups = {
        tuple(sorted(other for other in found if module in reached.get(other, ())))
        for module, found in reached.items()
    }
    return sorted((list(group) for group in groups if len(group) > 1), key=lambda group: (-len(group), group))


def _reached(module: str, imports: Mapping[str, set[str]]) -> set[str]:
    """The modules that imports lead to from this one; itself only where a circle does."""
    found: set[str] = set()
    to_visit = list(imports[module])
    while to_visit:
        visited = to_visit.pop()
        if visited not in found:
            found.add(visited)
            to_visit.extend(imports.get(visited, ()))
    return found


def import_circles(packages: tuple[str, ...] = PACKAGES) -> list[list[str]]:
    """The circles among the modules of these packages."""
    graph = grimp.build_graph(*packages, cache_dir=None)
    return circles_of({module: graph.find_modules_directly_imported_by(module) for module in graph.modules})


def ruff(*arguments: str) -> str:
    """What ruff prints; that it finds something is no error here."""
    command = [sys.executable, "-m", "ruff", "check", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr)
    return done.stdout


def rules_on() -> int:
    """How many of ruff's rules are on."""
    told = ruff("--show-settings", "benchmarks/readability.py")
    enabled = re.search(r"linter\.rules\.enabled = \[(.*?)\]", told, re.DOTALL)
    assert enabled is not None
    return len(enabled[1].split(",\n")) - 1


def exceptions() -> int:
    """Pairs of file and rule that ruff passes over."""
    return sum(len(rules) for rules in listed().values()) if LIST.exists() else 0


def undocumented() -> tuple[int, int]:
    """Public items without a docstring: outside tests, in tests."""
    found = json.loads(ruff("--isolated", "--select", "D1", "--output-format", "json", "."))
    in_tests = sum(is_test(Path(row["filename"]).relative_to(Path.cwd())) for row in found)
    return len(found) - in_tests, in_tests


def duplicate_pairs() -> int | None:
    """Pairs that ``duplicates`` counts in its first line."""
    if shutil.which("duplicates") is None:
        return None
    told = subprocess.run(
        ["duplicates", "--seconds", "100"], capture_output=True, text=True, check=True
    ).stdout
    counted = re.match(r"(\d+) pairs", told)
    return int(counted[1]) if counted else 0


def measure() -> dict[str, Any]:
    """All figures, by name."""
    paths = tracked_files()
    served = [path for path in paths if not is_test(path)]
    longest, lines = max((row for path in paths for row in functions(path)), key=lambda row: row[1])
    served_longest, served_lines = max(
        (row for path in served for row in functions(path)), key=lambda row: row[1]
    )
    missing, missing_in_tests = undocumented()
    over = long_files(paths)
    circles = import_circles()
    return {
        "files": len(paths),
        "lines": sum(len(path.read_text().splitlines()) for path in paths),
        "files_over": len(over),
        "files_over_outside_tests": sum(not is_test(Path(name)) for name in over),
        "largest_file": next(iter(over.items()), None),
        "longest_function": [longest, lines],
        "longest_function_outside_tests": [served_longest, served_lines],
        "import_circles": len(circles),
        "modules_in_circles": sum(map(len, circles)),
        "ruff_rules_on": rules_on(),
        "ruff_exceptions": exceptions(),
        "bare_map_frames": sum(map(bare_map_frames, served)),
        "undocumented": missing,
        "undocumented_in_tests": missing_in_tests,
        "duplicate_pairs": duplicate_pairs(),
    }


def main() -> None:
    """Print each figure, then all as JSON."""
    figures = measure()
    for name, lines in long_files(tracked_files()).items():
        print(f"{lines:5} lines  {name}")
    for circle in import_circles():
        print(f"circle of {len(circle)}: {', '.join(circle)}")
    for name, value in figures.items():
        print(f"{name}: {value}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
