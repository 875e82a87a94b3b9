"""The page of the architecture has the picture that the contracts draw, and names files that are there."""

import re
from pathlib import Path

import pytest

from benchmarks.architecture import PAGE, layers, picture, with_picture

ROOT = Path(__file__).parents[2]
PROJECT = (ROOT / "pyproject.toml").read_text()


def test_the_picture_is_the_contracts() -> None:
    """Where this fails, `python -m benchmarks.architecture --write` draws it anew."""
    page = PAGE.read_text()
    assert with_picture(page, picture(layers(PROJECT))) == page


def test_every_package_of_the_mesh_is_in_one_layer() -> None:
    found = [package for row in layers(PROJECT) for package in row]
    there = {path.parent.name for path in (ROOT / "mesh").glob("*/__init__.py")}
    assert sorted(found) == sorted(there)


def test_the_files_on_the_page_are_there() -> None:
    named = set(re.findall(r"`((?:\w+/)+\w+\.(?:py|md))`", PAGE.read_text()))
    assert len(named) > 30
    assert [path for path in named if not ((ROOT / "mesh" / path).is_file() or (ROOT / path).is_file())] == []


def test_a_contract_that_is_missing_is_told_and_another_picture_is_seen() -> None:
    with pytest.raises(LookupError):
        layers("[tool.importlinter]\ncontracts = []\n")
    assert with_picture("a\n```mermaid\nold\n```\nb\n", "new\n") == "a\n```mermaid\nnew\n```\nb\n"
