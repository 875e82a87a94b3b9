"""A found scenario made small: what can go while a stated symptom still shows. Decisions only."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from lab.measures import Row

Tree = dict[str, Any]
RULES = ("lost", "twice", "drain", "fall")


class Symptom(msgspec.Struct, frozen=True, kw_only=True):
    """A broken rule by name, or a score below a bound."""

    rule: str = ""
    below: float = 0.0

    def shows(self, row: Row) -> bool:
        if self.rule:
            return bool(getattr(row, f"broke_{self.rule}"))
        return not row.fault and row.score < self.below

    def words(self) -> str:
        return f"breaks the rule {self.rule!r}" if self.rule else f"score below {self.below:g}"


def candidates(tree: Tree) -> Iterator[tuple[str, Tree]]:
    """Smaller scenarios, those first that take most away: the words for each step, and its tree."""

    def changed(change: Callable[[Tree], object]) -> Tree:
        made: Tree = msgspec.json.decode(msgspec.json.encode(tree))
        change(made)
        return made

    for number in reversed(range(len(tree.get("troubles", [])))):
        yield f"without trouble {number}", changed(lambda made, n=number: made["troubles"].pop(n))  # type: ignore[misc]
    for place in ("classes", "members"):
        items = tree.get(place, [])
        for number in reversed(range(len(items) if len(items) > 1 else 0)):
            yield f"without {place} {number}", changed(lambda made, p=place, n=number: made[p].pop(n))  # type: ignore[misc]
    for field in ("seconds",):
        value = float(tree.get(field, 40.0))
        ends = [float(item.get("at_ms", 12_000.0)) for item in tree.get("troubles", [])]
        least = max([*ends, 0.0]) / 1000.0 + 2.0
        if value * 0.6 > least:
            yield "shorter", changed(lambda made, v=value: made.update(seconds=round(v * 0.6, 1)))  # type: ignore[misc]
    for table, field, least_count in (("sidecars", "count", 1), ("servers", "count", 1)):
        usual = {"sidecars": 5, "servers": 15}[table]
        count = int(tree.get(table, {}).get("count", usual))
        for share in (0.5, 0.75):
            smaller = max(math.floor(count * share), least_count)
            if smaller < count:
                yield (
                    f"{smaller} {table}",
                    changed(lambda made, t=table, f=field, v=smaller: made.setdefault(t, {}).update({f: v})),  # type: ignore[misc]
                )
    for table in ("load", "clients", "network", "discovery", "servers", "sidecars", "allow"):
        for field in tree.get(table, {}):
            if field != "count":
                yield f"{table}.{field} as usual", changed(lambda made, t=table, f=field: made[t].pop(f))  # type: ignore[misc]


def reduced(
    tree: Tree, shows: Callable[[Tree], bool], most_plays: int, said: Callable[[str], None] = lambda _: None
) -> tuple[Tree, int]:
    """The smallest that was found and how many plays that took; ``shows`` plays one. A step that loses the
    symptom is taken back; it ends where none keeps it, or at the bound."""
    plays, at_work = 0, True
    while at_work and plays < most_plays:
        at_work = False
        for words, smaller in candidates(tree):
            if plays >= most_plays:
                break
            plays += 1
            if shows(smaller):
                said(words)
                tree, at_work = smaller, True
                break
    return tree, plays
