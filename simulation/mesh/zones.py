"""Distribution of simulated machines over zones, fixed or random."""

from __future__ import annotations

import random
from dataclasses import dataclass

from mesh.replication.quorum import Tolerance


@dataclass(frozen=True)
class ZoneLayout:
    """The number of zones and the losses that must be tolerated. Machines are assigned to zones in turn."""

    count: int = 1
    tolerance: Tolerance = Tolerance(1, 0, 0)

    def name(self, number: int) -> str:
        """The zone of the machine with this index."""
        return "z" if self.count == 1 else f"z{number % self.count + 1}"


ONE_ZONE = ZoneLayout()


def draw_zones(seed: str) -> ZoneLayout:
    """One to three zones; with three, the loss of a zone may have to be tolerated."""
    rng = random.Random(f"zones/{seed}")
    count = rng.choice((1, 2, 3, 3))
    zones = rng.choice((0, 1)) if count == 3 else 0
    return ZoneLayout(count, Tolerance(1, zones, 0))
