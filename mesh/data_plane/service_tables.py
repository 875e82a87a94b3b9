"""The tables of all services of one proxy, and what they share."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

from mesh.configuration.routes import Route
from mesh.data_plane.call_state import ClientRequest, Failed, Refused
from mesh.data_plane.key_maps import KeyMaps
from mesh.data_plane.peer_links import Passage
from mesh.data_plane.service_balancers import Table
from mesh.data_plane.traces import FirstHop
from mesh.event_log.log import EventLog
from mesh.transport.link import Address


def _pass_over(*_: Any) -> None:
    return


class Place(Protocol):
    """Where an instance is, as the membership has it."""

    def address(self, node: str) -> Address | None:
        """Of a node; None where it is not known."""


class Tables:
    """All services' tables of this sidecar, and what they share."""

    def __init__(
        self,
        passage: Passage,
        place: Place,
        node_of: Callable[[str], str],
        zone: str,
        bounds: tuple[float, float, float],
        seed: int,
        event_log: EventLog,
    ) -> None:
        """``bounds``: ratio, window in milliseconds and slack of the budget of further tries."""
        self.loop = asyncio.get_running_loop()
        self.passage, self.node_of, self._place = passage, node_of, place
        self.zone, self.event_log = zone, event_log
        self.ratio, self.window_ms, self.slack = bounds
        self._random = random.Random(seed)
        self.sidecars, self.many_zones = 3, False
        self.by_service: dict[str, Table] = {}
        self.keys = KeyMaps()
        self.traces = FirstHop()
        self.watch: Callable[[ClientRequest, int | Refused | Failed], None] = _pass_over  # each call's end
        self.renew: Callable[[list[Any] | None], None] = _pass_over  # a second hop knows a newer item

    def now(self) -> float:
        """Milliseconds of the loop's clock."""
        return self.loop.time() * 1000.0

    def address_of(self, node: str) -> Address | None:
        """Where a node is, as the membership has it."""
        return self._place.address(node)

    def seed(self) -> int:
        """For the decisions of one service."""
        return self._random.getrandbits(32)

    def draw(self) -> float:
        """From 0 to 1, for the share of a service."""
        return self._random.random()

    def of(self, service: str, route: Route) -> tuple[Table, bool]:
        """The table of a service, and whether it has just been made and knows no instance yet."""
        table = self.by_service.get(service)
        if table is not None:
            return table, False
        table = self.by_service[service] = Table(self, service, route)
        return table, True

    def tune(self, bounds: tuple[float, float, float]) -> None:
        """The budget of further tries is another: ratio, window in milliseconds and slack."""
        if bounds != (self.ratio, self.window_ms, self.slack):
            self.ratio, self.window_ms, self.slack = bounds
            for table in self.by_service.values():
                table.budget.tune(self.now(), *bounds)

    def people(self, sidecars: int, zones: int) -> None:
        """How many sidecars there are, and in how many zones."""
        if (sidecars, zones > 1) != (self.sidecars, self.many_zones):
            self.sidecars, self.many_zones = max(sidecars, 1), zones > 1
            for table in self.by_service.values():
                table.retune()
