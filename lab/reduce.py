"""Reduces a scenario: removes what it can while a given symptom still shows. It runs no plays itself."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from lab.measures import Row

Tree = dict[str, Any]
RULES = ("lost", "twice", "drain", "fall")


class Symptom(msgspec.Struct, frozen=True, kw_only=True):
    """What a reduced scenario must still show: a broken rule by name, or a score below a bound."""

    rule: str = ""
    below: float = 0.0

    def shows(self, row: Row) -> bool:
        """Whether a play's result has the symptom."""
        if self.rule:
            return bool(getattr(row, f"broke_{self.rule}"))
        return not row.fault and row.score < self.below

    def description(self) -> str:
        """The symptom as a text for people."""
        return f"breaks the rule {self.rule!r}" if self.rule else f"score below {self.below:g}"


def candidates(tree: Tree) -> Iterator[tuple[str, Tree]]:
    """Smaller variants of a scenario, the largest reductions first: a description of each, and its tree."""

    def changed(change: Callable[[Tree], object]) -> Tree:
        copy: Tree = msgspec.json.decode(msgspec.json.encode(tree))
        change(copy)
        return copy

    for number in reversed(range(len(tree.get("troubles", [])))):
        yield f"without trouble {number}", changed(lambda copy, n=number: copy["troubles"].pop(n))  # type: ignore[misc]
    for table in ("classes", "members"):
        items = tree.get(table, [])
        for number in reversed(range(len(items) if len(items) > 1 else 0)):
            yield f"without {table} {number}", changed(lambda copy, t=table, n=number: copy[t].pop(n))  # type: ignore[misc]
    for field in ("seconds",):
        value = float(tree.get(field, 40.0))
        ends = [float(item.get("at_ms", 12_000.0)) for item in tree.get("troubles", [])]
        min_seconds = max([*ends, 0.0]) / 1000.0 + 2.0
        if value * 0.6 > min_seconds:
            yield "shorter", changed(lambda copy, v=value: copy.update(seconds=round(v * 0.6, 1)))  # type: ignore[misc]
    for table, field, min_count in (("sidecars", "count", 1), ("servers", "count", 1)):
        default = {"sidecars": 5, "servers": 15}[table]
        count = int(tree.get(table, {}).get("count", default))
        for share in (0.5, 0.75):
            smaller = max(math.floor(count * share), min_count)
            if smaller < count:
                yield (
                    f"{smaller} {table}",
                    changed(lambda copy, t=table, f=field, v=smaller: copy.setdefault(t, {}).update({f: v})),  # type: ignore[misc]
                )
    for table in ("load", "clients", "network", "discovery", "servers", "sidecars", "allow"):
        for field in tree.get(table, {}):
            if field != "count":
                yield (
                    f"{table}.{field} at its default",
                    changed(lambda copy, t=table, f=field: copy[t].pop(f)),  # type: ignore[misc]
                )


def reduce_scenario(
    tree: Tree, shows: Callable[[Tree], bool], max_plays: int, on_step: Callable[[str], None] = lambda _: None
) -> tuple[Tree, int]:
    """Returns the smallest scenario found, and the number of plays that it took.

    ``shows`` runs a play and tells whether it has the symptom. A step without the symptom is undone; the
    search ends when no step keeps the symptom, or after ``max_plays``."""
    plays, smaller_found = 0, True
    while smaller_found and plays < max_plays:
        smaller_found = False
        for step, smaller in candidates(tree):
            if plays >= max_plays:
                break
            plays += 1
            if shows(smaller):
                on_step(step)
                tree, smaller_found = smaller, True
                break
    return tree, plays
