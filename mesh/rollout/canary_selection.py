"""Who takes an item first: a tenth of the sidecars, drawn anew for each version, spread over zones. No I/O.

Rendezvous over all sidecars would cost a hash for each of them and each item, seconds where thousands of
routes change in a mesh of a thousand. So each zone's sidecars stand on a circle by the hash of their names,
and an item names those that follow its own hash: one that comes or goes changes only the draws beside it, and
two processes whose memberships differ by a few still draw nearly the same.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping

from mesh.membership.rendezvous import rendezvous_order, weight

CANARY_SHARE = (
    0.1  # of the sidecars, rounded down, one at least: what a broken change may reach before the rest
)


class CanarySelection:
    """Of one membership. ``zones``: each sidecar's, by its node's name."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        self.nodes = frozenset(zones)
        self._circles: dict[str, list[tuple[int, str]]] = {}
        for node, zone in zones.items():
            self._circles.setdefault(zone, []).append((weight("", node), node))
        for circle in self._circles.values():
            circle.sort()
        self.size = max(int(CANARY_SHARE * len(zones)), 1) if zones else 0

    def canaries(self, kind: str, name: str, version: int) -> frozenset[str]:
        """The first part for that version of that item; empty without sidecars."""
        label = f"{kind}/{name}/{version}"
        circles = [self._circles[zone] for zone in rendezvous_order(label, self._circles)]
        start = weight(label, "")
        found: list[str] = []
        turn = 0
        while len(found) < self.size:
            for circle in circles:
                if turn < len(circle) and len(found) < self.size:
                    at = bisect_left(circle, (start, "")) + turn
                    found.append(circle[at % len(circle)][1])
            turn += 1
        return frozenset(found)
