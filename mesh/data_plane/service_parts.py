"""State that the balancers of a proxy's services share, as one balancer sees it."""

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
    """``retry_ratio``, ``retry_window_ms`` and ``retry_slack`` limit retries. ``on_request_end`` is called
    with the result of each request, ``on_newer_item`` with an item that a second hop knows to be newer."""

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
        """Loop time in milliseconds."""

    def address_of(self, node: str) -> Address | None:
        """Address of a node; None if it is not known."""

    def seed(self) -> int:
        """Random seed for the decision module of one service."""
