"""A scenario: the fleet, its load, its clients and what befalls them. One TOML file, typed, with a schema.

    include = ["base.toml"]            # tables are laid over one another, the including file on top
    [draw]                             # any number can be drawn anew for each seed
    "load.share" = { low = 0.5, high = 0.9 }
    "servers.count" = { low = 5, high = 40, log = true }
    "clients.growing" = { one_of = [true, false] }

Times are milliseconds, shares 0 to 1, rates a second. Whatever is drawn comes from the seed alone.
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
    """What a field is drawn from: a range, evenly or by its logarithm, or some values."""

    low: int | float | None = None
    high: int | float | None = None
    log: bool = False
    one_of: tuple[Any, ...] = ()


class InvalidInput(ValueError):
    """A scenario that cannot be used: one line with file, field and what is the matter."""


class Source(Table, frozen=True, kw_only=True):
    """A scenario as written: its tree and what is drawn."""

    path: str
    tree: dict[str, Any]
    draws: dict[str, Draw]

    def with_changes(self, changes: Mapping[str, Any]) -> Source:
        """With other values at dotted places; what is set is no longer drawn."""
        tree = msgspec.json.decode(msgspec.json.encode(self.tree))
        for path_key, value in changes.items():
            set_field(tree, path_key, value, self.path)
        draws = {path_key: draw for path_key, draw in self.draws.items() if path_key not in changes}
        return Source(path=self.path, tree=tree, draws=draws)

    def scenario_for(self, seed: int) -> Scenario:
        """The scenario of one seed: what is drawn has values. Raises InvalidInput."""
        tree, streams = self.tree, Streams(seed)
        if self.draws:
            tree = msgspec.json.decode(msgspec.json.encode(tree))
            for path_key, draw in self.draws.items():
                stream = streams.of("draw", path_key)
                value: Any
                if draw.one_of:
                    value = draw.one_of[stream.integer_below(len(draw.one_of))]
                else:
                    assert draw.low is not None and draw.high is not None
                    draw_value = stream.log_uniform if draw.log else stream.uniform
                    value = draw_value(draw.low, draw.high)
                    if isinstance(draw.low, int) and isinstance(draw.high, int):
                        value = round(value)
                set_field(tree, path_key, value, self.path)
        return parse_scenario(tree, self.path)


def set_field(tree: dict[str, Any], path_key: str, value: Any, path: str) -> None:
    """Sets a dotted path_key; a whole number in it counts within an array. Raises InvalidInput."""
    *parents, last = path_key.split(".")
    at: Any = tree
    try:
        for step, following in zip(parents, [*parents[1:], last], strict=False):
            if isinstance(at, list):
                at = at[int(step)]
            elif step not in at and following.isdigit():
                raise IndexError  # an array that the file leaves as usual has no places
            else:
                at = at.setdefault(step, {})
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    except (ValueError, IndexError, TypeError, AttributeError):
        raise InvalidInput(
            f"{path}: {path_key}: there is no such place; name one that the file has"
        ) from None


def parse_scenario(tree: Mapping[str, Any], path: str) -> Scenario:
    """Raises InvalidInput."""
    try:
        made = msgspec.convert(tree, Scenario, strict=True)
    except msgspec.ValidationError as fault:
        text, _, path_key = str(fault).partition(" - at `$.")
        raise InvalidInput(f"{path}: {path_key.rstrip('`') or 'the file'}: {text}") from None
    for path_key, names in (
        ("classes", [item.name for item in made.classes]),
        ("members", [item.name for item in made.members]),
        ("network.zones", list(made.network.zones)),
    ):
        if len(set(names)) != len(names):
            raise InvalidInput(f"{path}: {path_key}: a name stands twice; give each its own")
    for number, trouble in enumerate(made.troubles):
        if trouble.kind == "loud" and trouble.member not in [item.name for item in made.members]:
            raise InvalidInput(f"{path}: troubles.{number}.member: {trouble.member!r} is no member; name one")
    for number, klass in enumerate(made.classes):
        if klass.aim_ms > klass.deadline_ms:
            raise InvalidInput(
                f"{path}: classes.{number}.aim_ms: beyond the deadline; set it to that at the most"
            )
    return made


def merge_tables(under: dict[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Tables by field, the second on top; arrays are replaced whole."""
    made = dict(under)
    for field, value in over.items():
        below = made.get(field)
        made[field] = (
            merge_tables(below, value) if isinstance(below, dict) and isinstance(value, dict) else value
        )
    return made


def _tree(path: Path, above: tuple[Path, ...]) -> dict[str, Any]:
    if path in above:
        raise InvalidInput(
            f"{path}: include: it includes itself by way of {above[-1].name}; take one of them out"
        )
    if len(above) >= MAX_INCLUDE_DEPTH:
        raise InvalidInput(f"{path}: include: more than {MAX_INCLUDE_DEPTH} files deep; flatten them")
    try:
        own = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise InvalidInput(f"{path}: {fault}") from None
    made: dict[str, Any] = {}
    includes = own.pop("include", [])
    if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
        raise InvalidInput(f"{path}: include: not an array of file names; write it as one")
    for name in includes:
        made = merge_tables(made, _tree((path.parent / name).resolve(), (*above, path)))
    return merge_tables(made, own)


def load(path: Path) -> Source:
    """Raises InvalidInput, also where what would be drawn cannot be used."""
    tree = _tree(path.resolve(), ())
    draws: dict[str, Draw] = {}
    given = tree.pop("draw", {})
    for path_key, value in given.items() if isinstance(given, dict) else ():
        try:
            draw = draws[path_key] = msgspec.convert(value, Draw)
        except msgspec.ValidationError as fault:
            raise InvalidInput(f"{path}: draw.{path_key}: {fault}") from None
        ranged = draw.low is not None and draw.high is not None
        if ranged == bool(draw.one_of):
            raise InvalidInput(f"{path}: draw.{path_key}: give low and high, or one_of")
        if ranged and (draw.low > draw.high or draw.log and draw.low <= 0):  # type: ignore[operator]
            raise InvalidInput(
                f"{path}: draw.{path_key}: low is above high, or not above 0 with log; set them in order"
            )
    source = Source(path=str(path), tree=tree, draws=draws)
    source.scenario_for(0)
    return source


def schema() -> dict[str, Any]:
    """The JSON schema of a scenario's tables, for editors."""
    return msgspec.json.schema(Scenario)
