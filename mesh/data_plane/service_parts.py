"""What the tables of a proxy's services have in common, as one table sees it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from mesh.data_plane.call_state import ClientRequest, Failed, Refused
from mesh.data_plane.key_maps import KeyMaps
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.traces import FirstHopTraces
from mesh.event_log.log import EventLog
from mesh.transport.link import Address


class ServiceContext(Protocol):
    """``ratio``, ``window_ms`` and ``slack`` bound further tries; ``watch`` is told of each call's end,
    ``renew`` of an item that a second hop knows to be newer."""

    loop: asyncio.AbstractEventLoop
    peer_links: PeerLinks
    node_of: Callable[[str], str]
    zone: str
    event_log: EventLog
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    sidecars: int
    multiple_zones: bool
    keys: KeyMaps
    traces: FirstHopTraces
    on_request_end: Callable[[ClientRequest, int | Refused | Failed], None]
    on_newer_item: Callable[[list[Any] | None], None]

    def now(self) -> float:
        """Milliseconds of the loop's clock."""

    def address_of(self, node: str) -> Address | None:
        """Where a node is; None where it is not known."""

    def seed(self) -> int:
        """For the decisions of one service."""
