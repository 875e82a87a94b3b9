"""Plain text of at most 100 columns. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

WIDTH = 100
GAP = "  "


def table(head: Sequence[str], rows: Iterable[Sequence[object]], indent: str = "") -> list[str]:
    """Lines of columns, the head first; the widest columns are cut until a line fits WIDTH."""
    cells = [list(head), *([_cell_text(cell) for cell in row] for row in rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(head))]
    room = WIDTH - len(indent) - len(GAP) * (len(widths) - 1)
    while sum(widths) > room and max(widths) > 4:
        widths[widths.index(max(widths))] -= 1
    return [
        (
            indent
            + GAP.join(_truncate(cell, width).ljust(width) for cell, width in zip(row, widths, strict=True))
        ).rstrip()
        for row in cells
    ]


def line(text: str) -> str:
    """One printable line of at most WIDTH columns."""
    return _truncate(_cell_text(text), WIDTH)


def wrapped(text: str, indent: str = "  ") -> list[str]:
    """A text over several lines at its spaces, those after the first indented."""
    plain = _cell_text(text)
    first, *words = plain.lstrip(" ").split(" ")
    lines, now = [], " " * (len(plain) - len(plain.lstrip(" "))) + first
    for word in words:
        if len(now) + 1 + len(word) > WIDTH:
            lines.append(now)
            now = indent + word
        else:
            now = f"{now} {word}"
    return [_truncate(one, WIDTH) for one in [*lines, now]]


def join_names(found: Sequence[str], room: int) -> str:
    """The first names that fit ``room`` columns, and how many more there are."""
    shown = ""
    for at, name in enumerate(found):
        more = f" and {len(found) - at} more"
        longer = f"{shown}, {name}" if shown else name
        if len(longer) + (len(more) if at + 1 < len(found) else 0) > room:
            return f"{shown}{more}" if shown else _truncate(name, room)
        shown = longer
    return shown


def tolerated_losses(told: Mapping[str, Any]) -> str:
    """How many more losses are borne, in words."""
    if told.get("machines") == -1:
        return "orders do not go on now"
    kinds = [f"{kind} {told.get(kind, '?')}" for kind in ("machines", "zones", "regions")]
    return f"losses borne now: {', '.join(kinds)}"


def _cell_text(cell: object) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:.4g}"
    told = str(cell)
    return told if told.isprintable() else "".join(c if c.isprintable() else "?" for c in told)


def _truncate(text: str, width: int) -> str:
    return text if len(text) <= width else text[: max(width - 3, 0)] + "..."[:width]
