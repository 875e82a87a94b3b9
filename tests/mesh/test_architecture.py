"""The architecture page has the diagram of the import contract, and the files that it names exist."""

import re
from pathlib import Path

import pytest

from benchmarks.architecture import PAGE, draw_diagram, read_layers, replace_diagram

ROOT = Path(__file__).parents[2]
PROJECT = (ROOT / "pyproject.toml").read_text()


def test_the_page_has_the_diagram_of_the_import_contract() -> None:
    """If this fails, run `python -m benchmarks.architecture --write`."""
    page = PAGE.read_text()
    assert replace_diagram(page, draw_diagram(read_layers(PROJECT))) == page


def test_every_package_of_the_mesh_is_in_one_layer() -> None:
    found = [package for row in read_layers(PROJECT) for package in row]
    existing = {path.parent.name for path in (ROOT / "mesh").glob("*/__init__.py")}
    assert sorted(found) == sorted(existing)


def test_the_files_named_on_the_page_exist() -> None:
    named = set(re.findall(r"`((?:\w+/)+\w+\.(?:py|md))`", PAGE.read_text()))
    assert len(named) > 30
    assert [path for path in named if not ((ROOT / "mesh" / path).is_file() or (ROOT / path).is_file())] == []


def test_a_missing_contract_raises_and_an_old_diagram_is_replaced() -> None:
    with pytest.raises(LookupError):
        read_layers("[tool.importlinter]\ncontracts = []\n")
    assert replace_diagram("a\n```mermaid\nold\n```\nb\n", "new\n") == "a\n```mermaid\nnew\n```\nb\n"
