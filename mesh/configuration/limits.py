"""What clients may send and how long they may take or rest, by the operators' `input_limits`. No I/O.

A proper request is never answered 413 or 431, nor is a connection closed under it: each bound here lies at
the operators' figure or a little above it, since theirs may leave out what is counted here.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from msgspec import Struct

MAX_HEAD_BYTES = 1024 * 1024  # bytes of a head that are read at the most, whatever the operators say
EXTRA_HEAD_BYTES = 4096  # of the request's line and of a body's framing, which count here as its head
EXTRA_LAG_S = 0.25  # the way from a client, and between two looks at the times


class InputLimits(Struct, frozen=True):
    """What a figure that the operators do not give is, in bytes and seconds; no ``quiescent_s``: connections
    may rest as long as there is room for them."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    request_s: float = 2.5
    idle_s: float | None = None


def read_limits(value: Mapping[str, Any] | None) -> InputLimits:
    """Of the item as it stands, or None where there is none; its figures are numbers above 0 or missing."""
    told = {field: float(number) for field, number in (value or {}).items() if field in _FIELDS and number}
    none = InputLimits()
    head, body, lag, rest = (told.get(field) for field in _FIELDS)
    return InputLimits(
        min(int(head), MAX_HEAD_BYTES) + EXTRA_HEAD_BYTES if head else none.head_bytes,
        int(body) if body else none.body_bytes,
        lag / 1000.0 + EXTRA_LAG_S if lag else none.request_s,
        rest / 1000.0 if rest else none.idle_s,
    )


_FIELDS = ("header_bytes", "body_bytes", "header_lag_ms", "quiescent_ms")
