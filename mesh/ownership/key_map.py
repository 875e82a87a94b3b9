"""The map of a divided service: rows that cover all keys, each with holder, fence and next holder. No I/O.

A row is vacant (no holder), held, or leaving: its holder is to let it go, and ``next`` names who has it then.
The map is one item of the configuration's store, under the kind `OWNERSHIP` and the service's name.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from typing import Any

from msgspec import Struct

OWNERSHIP = "ownership"  # the kind of the items that hold a map
KEYS = 1 << 16
BUCKET = 16  # keys; rows begin at multiples of it
MAX_ROWS = 2048
MAX_HANDOVER_CHARS = 256  # characters


class Row(Struct, frozen=True):
    """Keys ``first`` to ``last``, both inside. ``fence`` is that of its holder's grant, 0 before any.

    ``next`` is None where nothing is to change, and "" where the row leaves and nobody is named for it."""

    first: int
    last: int
    holder: str = ""
    fence: int = 0
    next_holder: str | None = None
    handover: str = ""

    @property
    def vacant(self) -> bool:
        """Nobody holds it."""
        return not self.holder

    @property
    def leaving(self) -> bool:
        """Its holder is to let it go."""
        return bool(self.holder) and self.next_holder is not None

    @property
    def key_count(self) -> int:
        """How many keys it has."""
        return self.last - self.first + 1

    @property
    def final_holder(self) -> str:
        """Who has it once all that is decided has happened; "" where that is nobody."""
        return self.holder if self.next_holder is None else self.next_holder

    def overlaps(self, first: int, last: int) -> bool:
        """Whether it has a key of that range."""
        return self.first <= last and first <= self.last


class KeyMap:
    """One version of a service's map. ``counter``: the highest fence that was ever given; ``nodes``: the
    machines of its holders, so that a proxy that has lost all knows who held keys beside it."""

    def __init__(
        self, version: int, last_fence: int, rows: Sequence[Row], nodes: Mapping[str, str] | None = None
    ) -> None:
        """``rows`` in the order of their keys, all keys covered; see `read_map`."""
        self.version, self.last_fence, self.rows = version, last_fence, tuple(rows)
        self.nodes = dict(nodes or {})
        self._firsts = [row.first for row in self.rows]
        self._by_holder: dict[str, list[Row]] = {}
        for row in self.rows:
            if row.holder:
                self._by_holder.setdefault(row.holder, []).append(row)

    def row_for_key(self, key: int) -> Row:
        """The row with that key, 0 to 65535."""
        return self.rows[bisect_right(self._firsts, key) - 1]

    def rows_held_by(self, instance: str) -> list[Row]:
        """The rows that this upstream holds, those included that it is to let go."""
        return self._by_holder.get(instance, [])

    def is_next_holder(self, instance: str) -> bool:
        """Whether a row that another holds is to be this upstream's."""
        return any(row.leaving and row.next_holder == instance for row in self.rows)


def write_map(last_fence: int, rows: Sequence[Row], nodes: Mapping[str, str] | None = None) -> dict[str, Any]:
    """As the item's value; of ``nodes`` those of its holders."""
    holders = {row.holder for row in rows if row.holder}
    return {
        "fence": last_fence,
        "nodes": {name: node for name, node in sorted((nodes or {}).items()) if name in holders},
        "rows": [[row.first, row.last, row.holder, row.fence, row.next_holder, row.handover] for row in rows],
    }


def read_map(version: int, value: Mapping[str, Any]) -> KeyMap:
    """Raises KeyError, TypeError or ValueError for what is no map."""
    encoded_rows = value["rows"]
    if not isinstance(encoded_rows, list) or not 0 < len(encoded_rows) <= MAX_ROWS:
        raise ValueError(f"rows: give 1 to {MAX_ROWS}")
    rows, first = [], 0
    for fields in encoded_rows:
        row = Row(*fields)
        if row.first != first or not row.first <= row.last < KEYS:
            raise ValueError(f"rows: the one from {row.first!r} does not follow {first - 1}")
        rows.append(row)
        first = row.last + 1
    if first != KEYS:
        raise ValueError("rows: they do not cover all keys")
    nodes = {str(name): str(node) for name, node in dict(value.get("nodes", {})).items()}
    return KeyMap(version, int(value["fence"]), rows, nodes)


def read_key(text: str | None) -> int | None:
    """The key that a request's header names; None where it is none."""
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 5:
        return None
    key = int(text)
    return key if key < KEYS else None
