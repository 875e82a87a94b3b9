"""The operator's file: what an installation switches on beyond the platform's own configuration.

Given as ``--operator FILE`` (TOML). Without it nothing of this is loaded. Each direction has a table.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from anisestair.discovery import address

MAX_BYTES = 1024 * 1024  # a file by hand has some kilobytes


class OperatorError(Exception):
    """One line: file, table and field, and what is wrong."""


class MethodTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"klass": "class"}):
    """[[rpc.methods]]: what the methods of a pattern mean."""

    pattern: str
    klass: str
    deadline_ms: float = 0.0
    key: tuple[int | str, ...] = ()  # paths in params, as of meaning.Rule
    id: tuple[int | str, ...] = ()
    deadline: tuple[int | str, ...] = ()


class RpcTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[rpc]: MessagePack-RPC on both sides."""

    listen: str
    methods: tuple[MethodTable, ...]
    # So many calls on a connection to an upstream: answers come in any order, but a break ends them all.
    calls_per_connection: int = 32
    calls_in_hand: int = 128  # from one connection of the application
    turned_away: tuple[Any, ...] = ()  # errors by which an upstream says that a call never ran

    def __post_init__(self) -> None:
        if not self.listen.startswith("unix:"):
            address(self.listen, lowest_port=0)
        for name in ("calls_per_connection", "calls_in_hand"):
            if not 1 <= getattr(self, name) <= 4096:
                raise ValueError(f"{name}: not within 1 to 4096")
        if not self.methods:
            raise ValueError("methods: none, so that every call would be refused")


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rpc: RpcTable | None = None


def load(path: Path) -> Operator:
    """Raises OperatorError."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise OperatorError(f"{path}: larger than {MAX_BYTES} bytes: not an operator's file")
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as fault:
        raise OperatorError(f"{path}: {' '.join(str(fault).split())}") from None
    try:
        return msgspec.convert(data, Operator)
    except msgspec.ValidationError as fault:
        raise OperatorError(f"{path}: {' '.join(str(fault).split())}") from None
