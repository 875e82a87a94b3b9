"""What the tables of a proxy's services have in common, as one table sees it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from mesh.data_plane.call_state import ClientRequest, Failed, Refused
from mesh.data_plane.key_maps import KeyMaps
from mesh.data_plane.peer_links import Passage
from mesh.data_plane.traces import FirstHop
from mesh.event_log.log import EventLog
from mesh.transport.link import Address


class ServiceParts(Protocol):
    """``ratio``, ``window_ms`` and ``slack`` bound further tries; ``watch`` is told of each call's end,
    ``renew`` of an item that a second hop knows to be newer."""

    loop: asyncio.AbstractEventLoop
    passage: Passage
    node_of: Callable[[str], str]
    zone: str
    event_log: EventLog
    ratio: float
    window_ms: float
    slack: float
    sidecars: int
    many_zones: bool
    keys: KeyMaps
    traces: FirstHop
    watch: Callable[[ClientRequest, int | Refused | Failed], None]
    renew: Callable[[list[Any] | None], None]

    def now(self) -> float:
        """Milliseconds of the loop's clock."""

    def address_of(self, node: str) -> Address | None:
        """Where a node is; None where it is not known."""

    def seed(self) -> int:
        """For the decisions of one service."""
