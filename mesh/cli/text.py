"""Plain text of at most 100 columns. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

WIDTH = 100
GAP = "  "


def table(head: Sequence[str], rows: Iterable[Sequence[object]], indent: str = "") -> list[str]:
    """Aligned columns below a header; the widest columns are truncated until a line fits WIDTH."""
    cells = [list(head), *([_cell_text(cell) for cell in row] for row in rows)]
    widths = [max(len(row[at]) for row in cells) for at in range(len(head))]
    available = WIDTH - len(indent) - len(GAP) * (len(widths) - 1)
    while sum(widths) > available and max(widths) > 4:
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
    """Wraps a text at its spaces; lines after the first are indented."""
    plain = _cell_text(text)
    first, *words = plain.lstrip(" ").split(" ")
    lines, current = [], " " * (len(plain) - len(plain.lstrip(" "))) + first
    for word in words:
        if len(current) + 1 + len(word) > WIDTH:
            lines.append(current)
            current = indent + word
        else:
            current = f"{current} {word}"
    return [_truncate(one, WIDTH) for one in [*lines, current]]


def join_names(items: Sequence[str], width: int) -> str:
    """The first names that fit into ``width`` columns, and the number of the others."""
    shown = ""
    for at, name in enumerate(items):
        suffix = f" and {len(items) - at} more"
        longer = f"{shown}, {name}" if shown else name
        if len(longer) + (len(suffix) if at + 1 < len(items) else 0) > width:
            return f"{shown}{suffix}" if shown else _truncate(name, width)
        shown = longer
    return shown


def tolerated_losses(losses: Mapping[str, Any]) -> str:
    """How many more losses the members tolerate."""
    if losses.get("machines") == -1:
        return "changes are not possible now"
    kinds = [f"{kind} {losses.get(kind, '?')}" for kind in ("machines", "zones", "regions")]
    return f"losses tolerated now: {', '.join(kinds)}"


def _cell_text(cell: object) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:.4g}"
    text = str(cell)
    return text if text.isprintable() else "".join(c if c.isprintable() else "?" for c in text)


def _truncate(text: str, width: int) -> str:
    return text if len(text) <= width else text[: max(width - 3, 0)] + "..."[:width]
