"""The key map of a sharded service: rows that cover all keys, each with holder, fence and next holder. No
I/O.

A row is vacant (no holder), held, or leaving: its holder has to release it, and ``next_holder`` gets it then.
The map is one item of the configuration store, of the kind `OWNERSHIP` and named after the service.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping, Sequence
from typing import Any

from msgspec import Struct

OWNERSHIP = "ownership"  # kind of the items that hold a map
KEYS = 1 << 16
BUCKET = 16  # keys; rows begin at multiples of it
MAX_ROWS = 2048
MAX_HANDOVER_CHARS = 256  # characters


class Row(Struct, frozen=True):
    """Keys ``first`` to ``last``, inclusive. ``fence`` is that of its holder's grant, 0 before any.

    ``next_holder`` is None if nothing changes, and "" if the row leaves and no next holder is known.
    """

    first: int
    last: int
    holder: str = ""
    fence: int = 0
    next_holder: str | None = None
    handover: str = ""

    @property
    def vacant(self) -> bool:
        """Whether the row has no holder."""
        return not self.holder

    @property
    def leaving(self) -> bool:
        """Whether its holder has to release it."""
        return bool(self.holder) and self.next_holder is not None

    @property
    def key_count(self) -> int:
        """The number of its keys."""
        return self.last - self.first + 1

    @property
    def final_holder(self) -> str:
        """The holder after all decided changes; "" if there is none."""
        return self.holder if self.next_holder is None else self.next_holder

    def overlaps(self, first: int, last: int) -> bool:
        """Whether it contains a key of that range."""
        return self.first <= last and first <= self.last


class KeyMap:
    """One version of a service's map. ``last_fence``: the highest fence ever granted; ``nodes``: the machines
    of the holders, so that a proxy that has lost its state knows which upstreams held keys on its machine."""

    def __init__(
        self, version: int, last_fence: int, rows: Sequence[Row], nodes: Mapping[str, str] | None = None
    ) -> None:
        """``rows`` in key order, covering all keys; see `read_map`."""
        self.version, self.last_fence, self.rows = version, last_fence, tuple(rows)
        self.nodes = dict(nodes or {})
        self._firsts = [row.first for row in self.rows]
        self._by_holder: dict[str, list[Row]] = {}
        for row in self.rows:
            if row.holder:
                self._by_holder.setdefault(row.holder, []).append(row)

    def row_for_key(self, key: int) -> Row:
        """The row that contains that key, 0 to 65535."""
        return self.rows[bisect_right(self._firsts, key) - 1]

    def rows_held_by(self, instance: str) -> list[Row]:
        """The rows that this upstream holds, including those that it has to release."""
        return self._by_holder.get(instance, [])

    def is_next_holder(self, instance: str) -> bool:
        """Whether this upstream is the next holder of a row."""
        return any(row.leaving and row.next_holder == instance for row in self.rows)


def write_map(last_fence: int, rows: Sequence[Row], nodes: Mapping[str, str] | None = None) -> dict[str, Any]:
    """Encodes the value of the item; of ``nodes`` only those of holders."""
    holders = {row.holder for row in rows if row.holder}
    return {
        "fence": last_fence,
        "nodes": {name: node for name, node in sorted((nodes or {}).items()) if name in holders},
        "rows": [[row.first, row.last, row.holder, row.fence, row.next_holder, row.handover] for row in rows],
    }


def read_map(version: int, value: Mapping[str, Any]) -> KeyMap:
    """Decodes a map. Raises KeyError, TypeError or ValueError for anything else."""
    encoded_rows = value["rows"]
    if not isinstance(encoded_rows, list) or not 0 < len(encoded_rows) <= MAX_ROWS:
        raise ValueError(f"rows: expected 1 to {MAX_ROWS}")
    rows, first = [], 0
    for encoded in encoded_rows:
        row = Row(*encoded)
        if row.first != first or not row.first <= row.last < KEYS:
            raise ValueError(f"rows: the row from {row.first!r} does not follow key {first - 1}")
        rows.append(row)
        first = row.last + 1
    if first != KEYS:
        raise ValueError("rows do not cover all keys")
    nodes = {str(name): str(node) for name, node in dict(value.get("nodes", {})).items()}
    return KeyMap(version, int(value["fence"]), rows, nodes)


def read_key(text: str | None) -> int | None:
    """The key in a request's header; None if it is not a key."""
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 5:
        return None
    key = int(text)
    return key if key < KEYS else None
