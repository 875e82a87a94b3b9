"""Types of the operator's file, which enables optional features of an installation.

Each feature has a table. operator_file reads the file.
"""

from __future__ import annotations

from typing import Any

import msgspec

from anisestair.endpoints import address

MAX_SOCKET_PATH_BYTES = 100  # with "unix:"; sun_path of a Unix socket holds 108 bytes with its terminator


class MethodTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"klass": "class"}):
    """[[rpc.methods]]: the request class of methods that match a pattern, and where their key and id are."""

    pattern: str
    klass: str
    deadline_ms: float = 0.0
    key: tuple[int | str, ...] = ()  # key, id and deadline are paths in params, as in meaning.Rule
    id: tuple[int | str, ...] = ()
    deadline: tuple[int | str, ...] = ()


class RpcTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[rpc]: MessagePack-RPC between the application, the sidecar and upstreams."""

    listen: str
    methods: tuple[MethodTable, ...]
    # Calls in flight on one upstream connection: answers may come in any order, a lost connection ends all.
    calls_per_connection: int = 32
    calls_in_hand: int = 128  # calls in flight from one connection of the application
    turned_away: tuple[Any, ...] = ()  # errors that an upstream sends only if it did not run the call

    def __post_init__(self) -> None:
        if not self.listen.startswith("unix:"):
            address(self.listen, lowest_port=0)
        for name in ("calls_per_connection", "calls_in_hand"):
            if not 1 <= getattr(self, name) <= 4096:
                raise ValueError(f"{name}: not from 1 to 4096")
        if not self.methods:
            raise ValueError("methods: empty; every call would be refused")


class StormsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[storms]: detection of retry and reconnect storms, and retry-after values that spread returning
    clients."""

    show: str = ""  # Unix socket that sends a report of the detection to each client; empty: none

    def __post_init__(self) -> None:
        if self.show and not self.show.startswith("unix:/"):
            raise ValueError('show: not "unix:" followed by an absolute path')
        if len(self.show.encode()) > MAX_SOCKET_PATH_BYTES:
            raise ValueError(
                f"show: longer than {MAX_SOCKET_PATH_BYTES} bytes, too long for a Unix socket address"
            )


class OperatorConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's file. A feature without its table is off."""

    rpc: RpcTable | None = None
    storms: StormsTable | None = None
