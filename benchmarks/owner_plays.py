"""Drawn plays of a divided service under troubles, in virtual time: no key is held twice, all are in the end.

    python -m benchmarks.owner_plays [--plays 20] [--from 0] [--at-once 1] [--seconds 3600] [--out FILE]

Prints what was broken, and the total as JSON last, with the tenths of a second in which a part of the keys
had no holder. Ends with 1 where a rule was broken.
"""

from __future__ import annotations

import random
import sys
from collections import Counter

import numpy as np

from benchmarks.drawn_plays import Played, arguments, run, timed
from simulation.mesh import key_troubles
from simulation.mesh.key_servers import KEY_COUNT, KeyOwnershipWorld, sharded_service_body
from simulation.mesh.world import Script

GIVEN_S, TAKEN_OVER_S = 10.0, 20.0
LOOK_S = 0.1


def _play(seed: int) -> tuple[list[str], Counter[str]]:
    counts: Counter[str] = Counter()
    draw = random.Random(seed)
    cores, proxies, troubles = draw.choice((3, 5)), draw.choice((2, 4, 7)), draw.choice((3, 6, 9))

    def held_once(world: KeyOwnershipWorld) -> bool:
        return bool(np.all(world.holder_counts() == 1))

    def looks(world: KeyOwnershipWorld) -> Script:
        while True:
            yield world.env.timeout(LOOK_S)
            without = np.count_nonzero(world.holder_counts() == 0)
            counts["looks"] += 1
            if without:
                counts["looks with keys without a holder"] += 1
                counts["of which over half of the keys"] += int(without > KEY_COUNT // 2)

    def day(world: KeyOwnershipWorld) -> Script:
        yield from world.boot(cores, proxies)
        yield from world.commit(world.controllers(), sharded_service_body(1))
        yield from world.wait_until(lambda: held_once(world), GIVEN_S, "each key has one holder")
        world.env.process(key_troubles.traffic(world, seed))
        world.env.process(looks(world))
        yield from key_troubles.inject_random_faults(world, seed, count=troubles)
        yield world.env.timeout(key_troubles.LONG_PARTITION_S)
        world.heal()
        yield from world.wait_until(
            lambda: held_once(world), TAKEN_OVER_S, "each key has one holder in the end"
        )

    with KeyOwnershipWorld() as world:
        return world.run(day), counts  # type: ignore[arg-type]


def one(seed: int) -> Played:
    """Runs in a process of the pool."""
    return timed(seed, _play)


if __name__ == "__main__":
    sys.exit(run("owners", one, arguments(str(__doc__))))
