"""The balancers of all services of one proxy, and the state that they share."""

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
    """Node addresses known from the membership."""

    def address(self, node: str) -> Address | None:
        """Address of a node; None if it is not known."""


class ServiceBalancers:
    """All service balancers of this sidecar, and the state that they share."""

    def __init__(
        self,
        peer_links: PeerLinks,
        addresses: NodeAddresses,
        node_of: Callable[[str], str],
        zone: str,
        retry_budget: tuple[float, float, float],
        seed: int,
        event_log: EventLog,
    ) -> None:
        """``retry_budget``: ratio, window in milliseconds and slack of the retry budget."""
        self.loop = asyncio.get_running_loop()
        self.peer_links, self.node_of, self._addresses = peer_links, node_of, addresses
        self.zone, self.event_log = zone, event_log
        self.retry_ratio, self.retry_window_ms, self.retry_slack = retry_budget
        self._random = random.Random(seed)
        self.sidecars, self.multiple_zones = 3, False
        self.by_service: dict[str, ServiceBalancer] = {}
        self.keys = KeyMaps()
        self.traces = FirstHopTraces()
        self.on_request_end: Callable[[ClientRequest, int | Refused | Failed], None] = _ignore
        self.on_newer_item: Callable[[list[Any] | None], None] = _ignore  # set by the proxy

    def now(self) -> float:
        """Loop time in milliseconds."""
        return self.loop.time() * 1000.0

    def address_of(self, node: str) -> Address | None:
        """Address of a node, from the membership; None if it is not known."""
        return self._addresses.address(node)

    def seed(self) -> int:
        """Random seed for the decision module of one service."""
        return self._random.getrandbits(32)

    def random_fraction(self) -> float:
        """Random number from 0 to 1, which picks a service by its share."""
        return self._random.random()

    def get_or_create(self, service: str, route: Route) -> tuple[ServiceBalancer, bool]:
        """The balancer of a service, and whether it was just created and has no instances yet."""
        balancer = self.by_service.get(service)
        if balancer is not None:
            return balancer, False
        balancer = self.by_service[service] = ServiceBalancer(self, service, route)
        return balancer, True

    def set_retry_budget(self, retry_budget: tuple[float, float, float]) -> None:
        """Updates the retry budget: ratio, window in milliseconds and slack."""
        if retry_budget != (self.retry_ratio, self.retry_window_ms, self.retry_slack):
            self.retry_ratio, self.retry_window_ms, self.retry_slack = retry_budget
            for balancer in self.by_service.values():
                balancer.budget.tune(self.now(), *retry_budget)

    def set_fleet_size(self, sidecars: int, zones: int) -> None:
        """Updates the number of sidecars and of zones."""
        if (sidecars, zones > 1) != (self.sidecars, self.multiple_zones):
            self.sidecars, self.multiple_zones = max(sidecars, 1), zones > 1
            for balancer in self.by_service.values():
                balancer.retune()
