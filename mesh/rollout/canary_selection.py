"""Selection of canaries: a tenth of the sidecars, selected anew for each version, spread over zones. No I/O.

Rendezvous hashing over all sidecars would cost one hash for each sidecar and item, which is seconds where
thousands of routes change in a mesh of a thousand sidecars. So each zone has a hash ring of its sidecars, and
an item selects the sidecars that follow its own hash: one that joins or leaves changes only neighbouring
selections, and two processes whose memberships differ by a few sidecars select nearly the same ones.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping

from mesh.membership.rendezvous import rendezvous_order, weight

# Share of the sidecars, rounded down, at least one: the reach of a faulty change before it is found.
CANARY_SHARE = 0.1


class CanarySelection:
    """Selects canaries within one membership. ``zones``: zone of each sidecar, by node name."""

    def __init__(self, zones: Mapping[str, str]) -> None:
        self.nodes = frozenset(zones)
        self._rings: dict[str, list[tuple[int, str]]] = {}
        for node, zone in zones.items():
            self._rings.setdefault(zone, []).append((weight("", node), node))
        for ring in self._rings.values():
            ring.sort()
        self.size = max(int(CANARY_SHARE * len(zones)), 1) if zones else 0

    def canaries(self, kind: str, name: str, version: int) -> frozenset[str]:
        """The canaries for a version of an item; empty without sidecars."""
        label = f"{kind}/{name}/{version}"
        rings = [self._rings[zone] for zone in rendezvous_order(label, self._rings)]
        start = weight(label, "")
        found: list[str] = []
        turn = 0
        while len(found) < self.size:
            for ring in rings:
                if turn < len(ring) and len(found) < self.size:
                    at = bisect_left(ring, (start, "")) + turn
                    found.append(ring[at % len(ring)][1])
            turn += 1
        return frozenset(found)
