"""The stranger's map, and the operators' page beside the code, name functions and tests that are there; the
map leaves no rule without a word, the page no sentence."""

import ast
import re
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parents[2]
MAP = (ROOT / "docs/design/map.md").read_text()
PAGES = (ROOT / "docs/pages.md").read_text()
CONNECTIONS = "test_data_plane_upstream_connections.py"
REFERENCE = re.compile(r"`((?:\w+/)*\w+\.py):([A-Za-z_]\w*(?:\.\w+)*)`")
RULES = {
    *("MIXED", "UNASKED", "TWICE", "REFUSED", "DENIED", "ROUTE", "DRAIN", "LOST", "CONFIG", "BUDGET"),
    *("RECOVER", "Fault", "Acks", "Late answers"),
}


@cache
def names(path: Path) -> frozenset[str]:
    """Functions, classes, their methods, and constants of a module, as the map would name them."""
    found: set[str] = set()

    def walk(body: list[ast.stmt], before: str) -> None:
        for node in body:
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                found.add(before + node.name)
                if isinstance(node, ast.ClassDef):
                    walk(node.body, f"{before}{node.name}.")
            elif isinstance(node, ast.Assign | ast.AnnAssign):
                targets = node.targets if isinstance(node, ast.Assign) else [node.target]
                for target in targets:
                    found.update(before + one.id for one in ast.walk(target) if isinstance(one, ast.Name))

    walk(ast.parse(path.read_text()).body, "")
    return frozenset(found)


def file_of(path: str) -> Path | None:
    """Where a reference points: the mesh's packages, then the root, then the mesh's tests by bare name."""
    places = [ROOT / "tests/mesh" / path] if path.startswith("test_") else [ROOT / "mesh" / path, ROOT / path]
    return next((place for place in places if place.is_file()), None)


def missing(text: str) -> list[str]:
    lacking = []
    for path, name in REFERENCE.findall(text):
        place = file_of(path)
        if place is None or name not in names(place):
            lacking.append(f"{path}:{name}")
    return lacking


def rows() -> list[list[str]]:
    """The cells of the tables of rules, without their heads."""
    told = MAP.partition("\n## Rules")[2]
    cells = [
        [cell.strip() for cell in line.strip("|").split(" | ")]
        for line in told.splitlines()
        if line[:1] == "|"
    ]
    return [row for row in cells if row[0].strip() != "rule" and not row[0].startswith("---")]


def test_whatever_the_map_names_is_there() -> None:
    assert len(REFERENCE.findall(MAP)) > 100
    assert missing(MAP) == []
    assert len(REFERENCE.findall(PAGES)) > 80
    assert missing(PAGES) == []


def test_each_sentence_of_the_page_has_its_test_or_says_why_not() -> None:
    told = PAGES.partition("\n## On the wire")[2].partition("\n## On the bench")[0]
    cells = [line.strip("|").split(" | ") for line in told.splitlines() if line[:1] == "|"]
    judged = [row for row in cells if row[0].strip() != "the page" and not row[0].startswith(" ---")]
    assert len(judged) > 40
    for row in judged:
        assert len(row) == 4, row
        assert "`test_" in row[3] or "none needed" in row[3] or "**open" in row[1], row
    numbers = {int(number) for number in re.findall(r"\*\*[Oo]pen \((\d+)\)\*\*", told)}
    listed = PAGES.partition("\n## What is open")[2]
    assert numbers == {int(number) for number in re.findall(r"^\| (\d+) \|", listed, re.MULTILINE)}


def test_no_reference_is_written_in_a_way_that_would_not_be_looked_up() -> None:
    loose = set(re.findall(r"`([^`\n]*\.py:[^`\n]*)`", MAP + PAGES))
    assert {one for one in loose if not REFERENCE.fullmatch(f"`{one}`")} == set()


def test_each_rule_has_its_keepers_and_tests_or_says_that_it_has_none() -> None:
    seen = {rule for row in rows() for rule in RULES if row[0].startswith(rule)}
    assert seen == RULES
    for row in rows():
        _, keepers, tests = row
        assert REFERENCE.search(keepers) or "**no keeper**" in keepers, row
        assert (
            any(path.startswith("test_") for path, _ in REFERENCE.findall(tests)) or "**no test**" in tests
        ), row


def test_what_is_not_there_is_seen() -> None:
    balancers = "data_plane/service_balancers.py"
    gone = (
        f"`{balancers}:ServiceBalancer.x` `data_plane/none.py:x` `test_cli_judge.py:test_x` `tables.py:Table`"
    )
    assert len(missing(gone)) == 4
    assert (
        missing(f"`{balancers}:ServiceBalancer.submit` `{CONNECTIONS}:test_nobody_there_is_not_sent`") == []
    )
