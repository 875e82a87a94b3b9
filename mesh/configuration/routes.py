"""Which route a request takes: for each host a tree over the segments of prefixes.

A prefix begins and ends with a slash, so it begins a path exactly if its segments are the first of those
that the path closes with a slash; a lookup costs by the depth of the tree, not by the number of routes.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import KeysView
from typing import Any

from msgspec import Struct, field

MAX_ROUTES = 100_000


class RoutesFullError(Exception):
    """A route more than the table may hold: whoever accepts routes has to refuse them first."""


class Route(Struct, frozen=True):
    """A rule, ready to route by. ``horizon_ms`` is the longest a request is held, ``aim_ms`` the time within
    which an answer earns its full worth; ``priority`` 0 is the highest; ``split`` holds services and their
    shares, all above 0, which sum to 1 but for rounding."""

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
    """A ``Host`` as routes are found by: lower case, without spaces around it or a port."""
    folded = host.strip().lower()
    name, colon, port = folded.rpartition(":")
    # After the last colon of an IPv6 address without a port there stands a bracket too, so it is no number.
    return name if colon and (port.isdecimal() or not port) else folded


def read_route(name: str, version: int, value: dict[str, Any]) -> Route:
    """The route of a stored value, which ``decode_change`` has judged; what it leaves out has its default."""
    response = value["response"]
    horizon_ms = float(response["horizon_ms"])
    aim_ms = value.get("setpoint_ms")
    trials = response.get("trials")
    split = response.get("distribution")
    if split is None:
        shares: tuple[tuple[str, float], ...] = ((response["plant"], 1.0),)
    else:
        whole = float(sum(part["gain"] for part in split))
        parts = ((part["plant"], part["gain"] / whole) for part in split)
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
    """The service that ``u``, in [0, 1), falls to, each by its share."""
    for service, share in route.split:
        u -= share
        if u < 0:
            return service
    return route.split[-1][0]  # shares that were rounded may sum to a little under 1


class _Node(Struct):
    children: dict[str, _Node] = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)  # of this very prefix; the last is the one in force


class RouteTable:
    """The routes in force, at most ``most``. Of those with the same host and prefix, the one of the higher
    version, then of the greater name, is found; when it goes, the other comes back."""

    def __init__(self, most: int = MAX_ROUTES) -> None:
        self._max_routes = most
        self._by_name: dict[str, Route] = {}
        self._hosts: dict[str, _Node] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def names(self) -> KeysView[str]:
        """The names of all routes, a view."""
        return self._by_name.keys()

    def get(self, name: str) -> Route | None:
        """The route of that name, as it is in force."""
        return self._by_name.get(name)

    def put(self, route: Route) -> None:
        """Adds ``route`` in place of the one of its name, wherever that stood. Raises RoutesFullError on a
        new name when there is no room."""
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
        """Takes the route away; a name that is not there changes nothing."""
        route = self._by_name.pop(name, None)
        if route is None:
            return
        node = self._hosts[route.host]
        above: list[tuple[dict[str, _Node], str]] = [(self._hosts, route.host)]
        for segment in _segments(route.prefix):
            above.append((node.children, segment))
            node = node.children[segment]
        node.routes.remove(route)
        # Nodes that lead nowhere go, or routes that come and go would leave their paths behind.
        for nodes, key in reversed(above):
            if nodes[key].routes or nodes[key].children:
                break
            del nodes[key]

    def find(self, host: str, path: str) -> Route | None:
        """The route of ``host``, as the header gives it, with the longest prefix that begins ``path``, which
        has no query; None if there is none."""
        node = self._hosts.get(fold_host(host))
        if node is None or not path.startswith("/"):
            return None
        found = node.routes[-1] if node.routes else None
        start = 1
        while node.children:
            end = path.find("/", start)
            if end < 0:
                break
            below = node.children.get(path[start:end])
            if below is None:
                break
            node = below
            if node.routes:
                found = node.routes[-1]
            start = end + 1
        return found


def _segments(prefix: str) -> list[str]:
    return prefix.split("/")[1:-1]


def _rank(route: Route) -> tuple[int, str]:
    return route.version, route.name
