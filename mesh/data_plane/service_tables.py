"""The tables of all services of one proxy, and what they share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

from mesh.configuration.routes import Route
from mesh.data_plane.call_state import ClientRequest, Failed, Refused
from mesh.data_plane.key_maps import KeyMaps
from mesh.data_plane.peer_links import PeerLinks
from mesh.data_plane.service_balancers import ServiceBalancer
from mesh.data_plane.traces import FirstHopTraces
from mesh.event_log.log import EventLog
from mesh.transport.link import Address


def _ignore(*_: Any) -> None:
    return


class NodeAddresses(Protocol):
    """Where an instance is, as the membership has it."""

    def address(self, node: str) -> Address | None:
        """Of a node; None where it is not known."""


class ServiceBalancers:
    """All services' tables of this sidecar, and what they share."""

    def __init__(
        self,
        passage: PeerLinks,
        place: NodeAddresses,
        node_of: Callable[[str], str],
        zone: str,
        bounds: tuple[float, float, float],
        seed: int,
        event_log: EventLog,
    ) -> None:
        """``bounds``: ratio, window in milliseconds and slack of the budget of further tries."""
        self.loop = asyncio.get_running_loop()
        self.peer_links, self.node_of, self._addresses = passage, node_of, place
        self.zone, self.event_log = zone, event_log
        self.retry_ratio, self.retry_window_ms, self.retry_slack = bounds
        self._random = random.Random(seed)
        self.sidecars, self.multiple_zones = 3, False
        self.by_service: dict[str, ServiceBalancer] = {}
        self.keys = KeyMaps()
        self.traces = FirstHopTraces()
        self.on_request_end: Callable[[ClientRequest, int | Refused | Failed], None] = (
            _ignore  # each call's end
        )
        self.on_newer_item: Callable[[list[Any] | None], None] = _ignore  # a second hop knows a newer item

    def now(self) -> float:
        """Milliseconds of the loop's clock."""
        return self.loop.time() * 1000.0

    def address_of(self, node: str) -> Address | None:
        """Where a node is, as the membership has it."""
        return self._addresses.address(node)

    def seed(self) -> int:
        """For the decisions of one service."""
        return self._random.getrandbits(32)

    def random_fraction(self) -> float:
        """From 0 to 1, for the share of a service."""
        return self._random.random()

    def get_or_create(self, service: str, route: Route) -> tuple[ServiceBalancer, bool]:
        """The table of a service, and whether it has just been made and knows no instance yet."""
        table = self.by_service.get(service)
        if table is not None:
            return table, False
        table = self.by_service[service] = ServiceBalancer(self, service, route)
        return table, True

    def set_retry_budget(self, bounds: tuple[float, float, float]) -> None:
        """The budget of further tries is another: ratio, window in milliseconds and slack."""
        if bounds != (self.retry_ratio, self.retry_window_ms, self.retry_slack):
            self.retry_ratio, self.retry_window_ms, self.retry_slack = bounds
            for table in self.by_service.values():
                table.budget.tune(self.now(), *bounds)

    def set_fleet_size(self, sidecars: int, zones: int) -> None:
        """How many sidecars there are, and in how many zones."""
        if (sidecars, zones > 1) != (self.sidecars, self.multiple_zones):
            self.sidecars, self.multiple_zones = max(sidecars, 1), zones > 1
            for table in self.by_service.values():
                table.retune()
