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

MOST_INCLUDES = 16


class Draw(Table, frozen=True, kw_only=True):
    """What a field is drawn from: a range, evenly or by its logarithm, or some values."""

    low: int | float | None = None
    high: int | float | None = None
    log: bool = False
    one_of: tuple[Any, ...] = ()


class Wrong(ValueError):
    """A scenario that cannot be used: one line with file, field and what is the matter."""


class Source(Table, frozen=True, kw_only=True):
    """A scenario as written: its tree and what is drawn."""

    path: str
    tree: dict[str, Any]
    draws: dict[str, Draw]

    def changed(self, changes: Mapping[str, Any]) -> Source:
        """With other values at dotted places; what is set is no longer drawn."""
        tree = msgspec.json.decode(msgspec.json.encode(self.tree))
        for place, value in changes.items():
            put(tree, place, value, self.path)
        draws = {place: draw for place, draw in self.draws.items() if place not in changes}
        return Source(path=self.path, tree=tree, draws=draws)

    def play_of(self, seed: int) -> Scenario:
        """The scenario of one seed: what is drawn has values. Raises Wrong."""
        tree, streams = self.tree, Streams(seed)
        if self.draws:
            tree = msgspec.json.decode(msgspec.json.encode(tree))
            for place, draw in self.draws.items():
                stream = streams.of("draw", place)
                value: Any
                if draw.one_of:
                    value = draw.one_of[stream.whole(len(draw.one_of))]
                else:
                    assert draw.low is not None and draw.high is not None
                    pull = stream.log_uniform if draw.log else stream.uniform
                    value = pull(draw.low, draw.high)
                    if isinstance(draw.low, int) and isinstance(draw.high, int):
                        value = round(value)
                put(tree, place, value, self.path)
        return typed(tree, self.path)


def put(tree: dict[str, Any], place: str, value: Any, path: str) -> None:
    """Sets a dotted place; a whole number in it counts within an array. Raises Wrong."""
    *way, last = place.split(".")
    at: Any = tree
    try:
        for step, following in zip(way, [*way[1:], last], strict=False):
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
        raise Wrong(f"{path}: {place}: there is no such place; name one that the file has") from None


def typed(tree: Mapping[str, Any], path: str) -> Scenario:
    """Raises Wrong."""
    try:
        made = msgspec.convert(tree, Scenario, strict=True)
    except msgspec.ValidationError as fault:
        text, _, place = str(fault).partition(" - at `$.")
        raise Wrong(f"{path}: {place.rstrip('`') or 'the file'}: {text}") from None
    for place, names in (
        ("classes", [item.name for item in made.classes]),
        ("members", [item.name for item in made.members]),
        ("network.zones", list(made.network.zones)),
    ):
        if len(set(names)) != len(names):
            raise Wrong(f"{path}: {place}: a name stands twice; give each its own")
    for number, trouble in enumerate(made.troubles):
        if trouble.kind == "loud" and trouble.member not in [item.name for item in made.members]:
            raise Wrong(f"{path}: troubles.{number}.member: {trouble.member!r} is no member; name one")
    for number, klass in enumerate(made.classes):
        if klass.aim_ms > klass.deadline_ms:
            raise Wrong(f"{path}: classes.{number}.aim_ms: beyond the deadline; set it to that at the most")
    return made


def laid(under: dict[str, Any], over: Mapping[str, Any]) -> dict[str, Any]:
    """Tables by field, the second on top; arrays are replaced whole."""
    made = dict(under)
    for field, value in over.items():
        below = made.get(field)
        made[field] = laid(below, value) if isinstance(below, dict) and isinstance(value, dict) else value
    return made


def _tree(path: Path, above: tuple[Path, ...]) -> dict[str, Any]:
    if path in above:
        raise Wrong(f"{path}: include: it includes itself by way of {above[-1].name}; take one of them out")
    if len(above) >= MOST_INCLUDES:
        raise Wrong(f"{path}: include: more than {MOST_INCLUDES} files deep; flatten them")
    try:
        own = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise Wrong(f"{path}: {fault}") from None
    made: dict[str, Any] = {}
    includes = own.pop("include", [])
    if not isinstance(includes, list) or not all(isinstance(name, str) for name in includes):
        raise Wrong(f"{path}: include: not an array of file names; write it as one")
    for name in includes:
        made = laid(made, _tree((path.parent / name).resolve(), (*above, path)))
    return laid(made, own)


def load(path: Path) -> Source:
    """Raises Wrong, also where what would be drawn cannot be used."""
    tree = _tree(path.resolve(), ())
    draws: dict[str, Draw] = {}
    given = tree.pop("draw", {})
    for place, value in given.items() if isinstance(given, dict) else ():
        try:
            draw = draws[place] = msgspec.convert(value, Draw)
        except msgspec.ValidationError as fault:
            raise Wrong(f"{path}: draw.{place}: {fault}") from None
        ranged = draw.low is not None and draw.high is not None
        if ranged == bool(draw.one_of):
            raise Wrong(f"{path}: draw.{place}: give low and high, or one_of")
        if ranged and (draw.low > draw.high or draw.log and draw.low <= 0):  # type: ignore[operator]
            raise Wrong(
                f"{path}: draw.{place}: low is above high, or not above 0 with log; set them in order"
            )
    source = Source(path=str(path), tree=tree, draws=draws)
    source.play_of(0)
    return source


def schema() -> dict[str, Any]:
    """The JSON schema of a scenario's tables, for editors."""
    return msgspec.json.schema(Scenario)
