"""Worlds whose machines stand in several zones, and what such a world is drawn from."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mesh.replication.quorum import Tolerance


@dataclass(frozen=True)
class Zones:
    """How many there are, and what must be borne; machines are put into them by turns."""

    count: int = 1
    tolerance: Tolerance = Tolerance(1, 0, 0)

    def name(self, number: int) -> str:
        """Of the zone of the machine that came at this place."""
        return "z" if self.count == 1 else f"z{number % self.count + 1}"


ONE_ZONE = Zones()


def draw_zones(seed: str) -> Zones:
    """One to three; where there are three, the loss of one may have to be borne."""
    draw = random.Random(f"zones/{seed}")
    count = draw.choice((1, 2, 3, 3))
    zones = draw.choice((0, 1)) if count == 3 else 0
    return Zones(count, Tolerance(1, zones, 0))
