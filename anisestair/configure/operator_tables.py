"""The operator's file as types: what an installation switches on beyond the platform's own configuration.

Each direction has a table. Reading a file is operator_file's.
"""

from __future__ import annotations

from typing import Any

import msgspec

from anisestair.endpoints import address

MOST_PATH = 100  # bytes of a Unix socket's address: sun_path holds 108, with the end and "unix:" beside it


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


class StormsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[storms]: the watch for storms of retries and reconnects, and advice that spreads returns."""

    show: str = ""  # a Unix socket that gives the table of what is seen to whoever connects; empty: none

    def __post_init__(self) -> None:
        if self.show and not self.show.startswith("unix:/"):
            raise ValueError('show: not "unix:" and a path from the root')
        if len(self.show.encode()) > MOST_PATH:
            raise ValueError(f"show: longer than {MOST_PATH} bytes, which no socket's path may be")


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rpc: RpcTable | None = None
    storms: StormsTable | None = None
