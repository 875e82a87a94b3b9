"""Limits on the requests and connections of clients, from the operators' `input_limits`. No I/O.

A request within the operators' limits is never answered 413 or 431, and its connection is never closed early:
each limit here equals the configured one or lies slightly above it, since that may leave out bytes or delays
that are counted here.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from msgspec import Struct

MAX_HEAD_BYTES = 1024 * 1024  # bytes, whatever the operators configure
EXTRA_HEAD_BYTES = 4096  # bytes for the request line and the framing of a body, which count as head here
EXTRA_LAG_S = 0.25  # transfer from the client, and the interval between two checks


class InputLimits(Struct, frozen=True):
    """Limits in bytes and seconds, with the defaults of those that are not configured. Without ``idle_s``
    connections may be idle as long as there is room for them."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    request_s: float = 2.5
    idle_s: float | None = None


def read_limits(value: Mapping[str, Any] | None) -> InputLimits:
    """The limits of an item's value, None if there is no item; its fields are numbers above 0 or missing."""
    configured = {
        field: float(number) for field, number in (value or {}).items() if field in _FIELDS and number
    }
    default = InputLimits()
    head, body, lag, idle = (configured.get(field) for field in _FIELDS)
    return InputLimits(
        min(int(head), MAX_HEAD_BYTES) + EXTRA_HEAD_BYTES if head else default.head_bytes,
        int(body) if body else default.body_bytes,
        lag / 1000.0 + EXTRA_LAG_S if lag else default.request_s,
        idle / 1000.0 if idle else default.idle_s,
    )


_FIELDS = ("header_bytes", "body_bytes", "header_lag_ms", "quiescent_ms")
