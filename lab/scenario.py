"""Loads scenarios: the servers, the load, the clients and the troubles, as a TOML file with a schema.

    include = ["base.toml"]            # tables are merged; values of the including file take precedence
    [draw]                             # any value can be drawn anew for each seed
    "load.share" = { low = 0.5, high = 0.9 }
    "servers.count" = { low = 5, high = 40, log = true }
    "clients.growing" = { one_of = [true, false] }

Times are in milliseconds, shares from 0 to 1, rates per second. Drawn values depend only on the seed.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from lab.scenario_tables import Scenario, Table
from lab.streams import Streams

MAX_INCLUDE_DEPTH = 16


class Draw(Table, frozen=True, kw_only=True):
    """The distribution of a drawn field: a range, uniform or log-uniform, or a list of values."""

    low: int | float | None = None
    high: int | float | None = None
    log: bool = False
    one_of: tuple[Any, ...] = ()


class InvalidInput(ValueError):
    """An input that cannot be used. The message is one line with the file, the field and the reason."""


class Source(Table, frozen=True, kw_only=True):
    """A scenario as written: its tables as a tree, and the fields that are drawn."""

    path: str
    tree: dict[str, Any]
    draws: dict[str, Draw]

    def with_changes(self, changes: Mapping[str, Any]) -> Source:
        """Returns a copy with other values at dotted paths. A field that is set is no longer drawn."""
        tree = msgspec.json.decode(msgspec.json.encode(self.tree))
        for field, value in changes.items():
            set_field(tree, field, value, self.path)
        draws = {field: draw for field, draw in self.draws.items() if field not in changes}
        return Source(path=self.path, tree=tree, draws=draws)

    def scenario_for(self, seed: int) -> Scenario:
        """Returns the scenario for a seed, with values for the drawn fields. Raises InvalidInput."""
        tree, streams = self.tree, Streams(seed)
        if self.draws:
            tree = msgspec.json.decode(msgspec.json.encode(tree))
            for field, draw in self.draws.items():
                stream = streams.of("draw", field)
                value: Any
                if draw.one_of:
                    value = draw.one_of[stream.integer_below(len(draw.one_of))]
                else:
                    assert draw.low is not None and draw.high is not None
                    draw_value = stream.log_uniform if draw.log else stream.uniform
                    value = draw_value(draw.low, draw.high)
                    if isinstance(draw.low, int) and isinstance(draw.high, int):
                        value = round(value)
                set_field(tree, field, value, self.path)
        return parse_scenario(tree, self.path)


def set_field(tree: dict[str, Any], field: str, value: Any, path: str) -> None:
    """Sets the field at a dotted path; an integer in it is an index into an array. Raises InvalidInput."""
    *parents, last = field.split(".")
    node: Any = tree
    try:
        for step, following in zip(parents, [*parents[1:], last], strict=False):
            if isinstance(node, list):
                node = node[int(step)]
            elif step not in node and following.isdigit():
                raise IndexError  # an array that the file does not set has no elements to change
            else:
                node = node.setdefault(step, {})
        if isinstance(node, list):
            node[int(last)] = value
        else:
            node[last] = value
    except (ValueError, IndexError, TypeError, AttributeError):
        raise InvalidInput(f"{path}: {field}: no such field in the file") from None


def parse_scenario(tree: Mapping[str, Any], path: str) -> Scenario:
    """Returns the typed and validated scenario. Raises InvalidInput."""
    try:
        scenario = msgspec.convert(tree, Scenario, strict=True)
    except msgspec.ValidationError as error:
        text, _, field = str(error).partition(" - at `$.")
        raise InvalidInput(f"{path}: {field.rstrip('`') or 'the file'}: {text}") from None
    for field, names in (
        ("classes", [item.name for item in scenario.classes]),
        ("members", [item.name for item in scenario.members]),
        ("network.zones", list(scenario.network.zones)),
    ):
        if len(set(names)) != len(names):
            raise InvalidInput(f"{path}: {field}: duplicate name; names must be unique")
    for number, trouble in enumerate(scenario.troubles):
        if trouble.kind == "loud" and trouble.member not in [item.name for item in scenario.members]:
            raise InvalidInput(
                f"{path}: troubles.{number}.member: {trouble.member!r} is not the name of a member"
            )
    for number, klass in enumerate(scenario.classes):
        if klass.aim_ms > klass.deadline_ms:
            raise InvalidInput(f"{path}: classes.{number}.aim_ms: greater than the deadline")
    return scenario


def merge_tables(base: dict[str, Any], override: Mapping[str, Any]) -> dict[str, Any]:
    """Merges tables recursively. Values of the second take precedence; arrays are replaced as a whole."""
    merged = dict(base)
    for name, value in override.items():
        base_value = merged.get(name)
        merged[name] = (
            merge_tables(base_value, value)
            if isinstance(base_value, dict) and isinstance(value, dict)
            else value
        )
    return merged


def _tree(path: Path, ancestors: tuple[Path, ...]) -> dict[str, Any]:
    if path in ancestors:
        raise InvalidInput(f"{path}: include: the file includes itself through {ancestors[-1].name}")
    if len(ancestors) >= MAX_INCLUDE_DEPTH:
        raise InvalidInput(f"{path}: include: more than {MAX_INCLUDE_DEPTH} nested files")
    try:
        own = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidInput(f"{path}: {error}") from None
    merged: dict[str, Any] = {}
    includes = own.pop("include", [])
    if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
        raise InvalidInput(f"{path}: include: not an array of file names")
    for name in includes:
        merged = merge_tables(merged, _tree((path.parent / name).resolve(), (*ancestors, path)))
    return merge_tables(merged, own)


def load(path: Path) -> Source:
    """Loads a scenario file. Raises InvalidInput, also if the values drawn for seed 0 are invalid."""
    tree = _tree(path.resolve(), ())
    draws: dict[str, Draw] = {}
    drawn_fields = tree.pop("draw", {})
    for field, value in drawn_fields.items() if isinstance(drawn_fields, dict) else ():
        try:
            draw = draws[field] = msgspec.convert(value, Draw)
        except msgspec.ValidationError as error:
            raise InvalidInput(f"{path}: draw.{field}: {error}") from None
        has_range = draw.low is not None and draw.high is not None
        if has_range == bool(draw.one_of):
            raise InvalidInput(f"{path}: draw.{field}: set either low and high, or one_of")
        if has_range and (draw.low > draw.high or draw.log and draw.low <= 0):  # type: ignore[operator]
            raise InvalidInput(f"{path}: draw.{field}: low is greater than high, or not positive with log")
    source = Source(path=str(path), tree=tree, draws=draws)
    source.scenario_for(0)
    return source


def schema() -> dict[str, Any]:
    """Returns the JSON schema of a scenario's tables, for editors."""
    return msgspec.json.schema(Scenario)
