"""The route table: for each host a tree over the path segments of the prefixes.

A prefix begins and ends with a slash, so it matches a path exactly if its segments are the first of those
that the path terminates with a slash. A lookup takes time by the depth of the tree, not by the number of
routes.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import KeysView
from typing import Any

from msgspec import Struct, field

MAX_ROUTES = 100_000


class RoutesFullError(Exception):
    """The table is full; the code that accepts routes has to refuse them before."""


class Route(Struct, frozen=True):
    """A routing rule. ``horizon_ms`` is the longest time that a request is held, ``aim_ms`` the time within
    which an answer has its full value; ``priority`` 0 is the highest; ``split`` holds services and their
    shares, all above 0, with the sum 1 up to rounding."""

    name: str
    version: int
    host: str
    prefix: str
    effectful: bool
    horizon_ms: float
    aim_ms: float
    trials: int
    priority: int
    split: tuple[tuple[str, float], ...]


def fold_host(host: str) -> str:
    """Normalises a ``Host`` for lookups: lower case, without surrounding spaces and without the port."""
    folded = host.strip().lower()
    name, colon, port = folded.rpartition(":")
    # In an IPv6 address without a port the last colon is followed by a bracket too, so not by a number.
    return name if colon and (port.isdecimal() or not port) else folded


def read_route(name: str, version: int, value: dict[str, Any]) -> Route:
    """Parses a stored value, which ``decode_change`` has validated; missing fields get their defaults."""
    response = value["response"]
    horizon_ms = float(response["horizon_ms"])
    aim_ms = value.get("setpoint_ms")
    trials = response.get("trials")
    split = response.get("distribution")
    if split is None:
        shares: tuple[tuple[str, float], ...] = ((response["plant"], 1.0),)
    else:
        total = float(sum(part["gain"] for part in split))
        parts = ((part["plant"], part["gain"] / total) for part in split)
        shares = tuple((service, share) for service, share in parts if share > 0)
    return Route(
        name=name,
        version=version,
        host=fold_host(value["host"]),
        prefix=value["predicate"]["prefix"],
        effectful=value["kind"] == "effectful",
        horizon_ms=horizon_ms,
        aim_ms=horizon_ms if aim_ms is None else float(aim_ms),
        trials=1 if trials is None else int(trials),
        priority=int(value.get("priority") or 0),
        split=shares,
    )


def pick_service(route: Route, u: float) -> str:
    """Selects a service by the shares of the route; ``u`` is uniform in [0, 1)."""
    for service, share in route.split:
        u -= share
        if u < 0:
            return service
    return route.split[-1][0]  # rounded shares may sum to slightly less than 1


class _Node(Struct):
    children: dict[str, _Node] = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)  # of exactly this prefix; the last one is in force


class RouteTable:
    """The routes in force, at most ``max_routes``. Of routes with the same host and prefix, the one with the
    higher version, then with the greater name, is found; when it is removed, the other one is found again."""

    def __init__(self, max_routes: int = MAX_ROUTES) -> None:
        self._max_routes = max_routes
        self._by_name: dict[str, Route] = {}
        self._hosts: dict[str, _Node] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def names(self) -> KeysView[str]:
        """A view of the names of all routes."""
        return self._by_name.keys()

    def get(self, name: str) -> Route | None:
        """The route of that name in force, or None."""
        return self._by_name.get(name)

    def put(self, route: Route) -> None:
        """Adds ``route``, replacing the one of its name under any prefix. Raises RoutesFullError for a new
        name if the table is full."""
        if route.name not in self._by_name and len(self._by_name) >= self._max_routes:
            raise RoutesFullError(
                f"route {route.name!r}: the table holds {self._max_routes} routes; drop some first"
            )
        self.remove(route.name)
        self._by_name[route.name] = route
        node = self._hosts.setdefault(route.host, _Node())
        for segment in _segments(route.prefix):
            node = node.children.setdefault(segment, _Node())
        insort(node.routes, route, key=_rank)

    def remove(self, name: str) -> None:
        """Removes a route; an unknown name has no effect."""
        route = self._by_name.pop(name, None)
        if route is None:
            return
        node = self._hosts[route.host]
        ancestors: list[tuple[dict[str, _Node], str]] = [(self._hosts, route.host)]
        for segment in _segments(route.prefix):
            ancestors.append((node.children, segment))
            node = node.children[segment]
        node.routes.remove(route)
        # Empty nodes are removed, so that the table does not grow with routes that are gone.
        for nodes, key in reversed(ancestors):
            if nodes[key].routes or nodes[key].children:
                break
            del nodes[key]

    def find(self, host: str, path: str) -> Route | None:
        """The route of ``host``, a header value, with the longest prefix of ``path``, which has no query;
        None if there is none."""
        node = self._hosts.get(fold_host(host))
        if node is None or not path.startswith("/"):
            return None
        found = node.routes[-1] if node.routes else None
        start = 1
        while node.children:
            end = path.find("/", start)
            if end < 0:
                break
            child = node.children.get(path[start:end])
            if child is None:
                break
            node = child
            if node.routes:
                found = node.routes[-1]
            start = end + 1
        return found


def _segments(prefix: str) -> list[str]:
    return prefix.split("/")[1:-1]


def _rank(route: Route) -> tuple[int, str]:
    return route.version, route.name
