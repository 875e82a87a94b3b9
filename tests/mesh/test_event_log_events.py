"""The catalogue of events, the operators' page about it, and the calls that log events agree."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from mesh.event_log import events
from mesh.event_log.events import CATALOGUE, Event

ROOT = Path(__file__).parents[2]
COLUMNS = ["event", "text", "values", "what it means", "what to do"]


def page() -> Iterator[tuple[int, list[str]]]:
    """The page's rows, each with the hundred that its section heading names."""
    hundred = 0
    for line in (ROOT / "docs/operate/log_events.md").read_text().splitlines():
        if line.startswith("## "):
            hundred = int(line.split()[1].rstrip(":"))
        elif line.startswith("|"):
            cells = [cell.strip() for cell in line.strip("|").split("|")]
            if cells[0].startswith("---") or cells == COLUMNS:
                continue
            yield hundred, cells


def test_the_page_has_every_event_as_the_catalogue_has_it() -> None:
    documented = [cells[:3] for _, cells in page()]
    defined = [[event.code, event.text, ", ".join(event.fields)] for _, event in sorted(CATALOGUE.items())]
    assert documented == defined


def test_every_event_stands_in_its_subject_with_its_meaning_and_its_mend() -> None:
    for hundred, cells in page():
        assert int(cells[0][1:]) // 100 * 100 == hundred, cells
        assert len(cells) == len(COLUMNS) and all(len(cell) > 5 for cell in cells[3:]), cells


def emit_calls() -> Iterator[tuple[str, str, set[str]]]:
    """The calls that log an event: the place, the event's constant, the names of the values."""
    for path in sorted((ROOT / "mesh").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr == "emit"
            ):
                continue
            if node.args and isinstance(node.args[0], ast.Attribute):
                place = f"{path.relative_to(ROOT)}:{node.lineno}"
                yield place, node.args[0].attr, {keyword.arg or "**" for keyword in node.keywords}


def test_every_telling_gives_the_values_of_its_event() -> None:
    for place, name, given in emit_calls():
        event = getattr(events, name, None)
        assert isinstance(event, Event), f"{place}: no event {name}"
        assert given == set(event.fields), f"{place}: {name} has {event.fields}"


def test_every_event_is_told_somewhere() -> None:
    used = {
        node.attr
        for path in (ROOT / "mesh").rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "events"
    }
    assert {name for name, event in vars(events).items() if isinstance(event, Event)} <= used


def test_a_number_that_is_retired_is_not_given_again() -> None:
    assert events.RETIRED.isdisjoint(CATALOGUE)
    with pytest.raises(ValueError, match="207"):
        events._define_event(207, events.Level.INFO, "given again")
