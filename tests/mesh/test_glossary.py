"""The glossary's terms are defined where it says, by the new name or by the former one, never by both."""

import re
from dataclasses import dataclass
from pathlib import Path

from tests.mesh.test_map import names

ROOT = Path(__file__).parents[2]
GLOSSARY = (ROOT / "docs/design/glossary.md").read_text()
COLUMNS = 5
DEFINED = re.compile(r"`((?:\w+/)*\w+\.py):(\w+(?:\.\w+)*)`")
FORMER = re.compile(r"`(?:((?:\w+/)*\w+\.py):)?([A-Z]\w*(?:\.\w+)*)`")


@dataclass(frozen=True)
class Term:
    term: str
    path: str
    name: str
    former_path: str
    former_name: str  # "": the definition has no other name to be replaced


def terms() -> list[Term]:
    """The rows of five cells, each of which must name one definition."""
    found = []
    for line in GLOSSARY.partition("\n## ")[2].splitlines():
        cells = [cell.strip() for cell in line.split("|")][1:-1]
        if len(cells) != COLUMNS or cells[0] == "term" or cells[0].startswith("---"):
            continue
        defined, former = DEFINED.fullmatch(cells[2]), FORMER.search(cells[3])
        assert defined, line
        path = former[1] if former and former[1] else defined[1]
        found.append(Term(cells[0], defined[1], defined[2], path, former[2] if former else ""))
    return found


def defines(path: str, name: str) -> bool:
    file = ROOT / "mesh" / path
    return bool(name) and file.is_file() and name in names(file)


def wrong(rows: list[Term]) -> list[str]:
    """Terms that are defined by neither name, or by both."""
    return [
        row.term for row in rows if defines(row.path, row.name) == defines(row.former_path, row.former_name)
    ]


def test_each_term_is_defined_by_its_name_or_by_the_former_one() -> None:
    assert len(terms()) > 80
    assert wrong(terms()) == []


def test_every_row_of_the_tables_of_terms_is_read() -> None:
    tables = GLOSSARY.partition("\n## ")[2].partition("\n## Words inside")[0]
    rows = [line for line in tables.splitlines() if line[:2] == "| " and "`" in line]
    assert len(rows) == len(terms())


def test_a_term_stands_once() -> None:
    found = [row.term for row in terms()]
    assert sorted(found) == sorted(set(found))


def test_a_definition_that_is_missing_or_double_is_seen() -> None:
    missing = Term("nobody", "replication/items.py", "Nobody", "replication/items.py", "")
    double = Term("item", "replication/items.py", "Item", "replication/items.py", "outranks")
    renamed = Term("renamed", "replication/items.py", "Item", "replication/items.py", "Gone")
    due = Term("due", "replication/items.py", "Later", "replication/items.py", "Item")
    assert wrong([missing, double, renamed, due]) == ["nobody", "item"]
