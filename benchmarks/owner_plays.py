"""Runs random scenarios of a sharded service under faults, in virtual time. No key may have two holders, and
every key must have one in the end.

    python -m benchmarks.owner_plays [--plays 20] [--from 0] [--at-once 1] [--seconds 3600] [--out FILE]

Prints the violations and, last, the totals as JSON, with the number of samples, a tenth of a second apart,
in which some keys had no holder. Exits with 1 if a rule was broken.
"""

from __future__ import annotations

import random
import sys
from collections import Counter

import numpy as np

from benchmarks.drawn_plays import RunResult, measure_run, parse_arguments, run_seeds
from simulation.mesh import key_troubles
from simulation.mesh.key_servers import KEY_COUNT, KeyOwnershipWorld, sharded_service_body
from simulation.mesh.world import Script

ASSIGNMENT_TIMEOUT_S, TAKEOVER_TIMEOUT_S = 10.0, 20.0
SAMPLE_INTERVAL_S = 0.1


def _run_scenario(seed: int) -> tuple[list[str], Counter[str]]:
    counts: Counter[str] = Counter()
    rng = random.Random(seed)
    cores, proxies, troubles = rng.choice((3, 5)), rng.choice((2, 4, 7)), rng.choice((3, 6, 9))

    def each_key_has_one_holder(world: KeyOwnershipWorld) -> bool:
        return bool(np.all(world.holder_counts() == 1))

    def sample_unheld_keys(world: KeyOwnershipWorld) -> Script:
        while True:
            yield world.env.timeout(SAMPLE_INTERVAL_S)
            unheld = np.count_nonzero(world.holder_counts() == 0)
            counts["looks"] += 1
            if unheld:
                counts["looks with keys without a holder"] += 1
                counts["of which over half of the keys"] += int(unheld > KEY_COUNT // 2)

    def script(world: KeyOwnershipWorld) -> Script:
        yield from world.boot(cores, proxies)
        yield from world.commit(world.controllers(), sharded_service_body(1))
        yield from world.wait_until(
            lambda: each_key_has_one_holder(world), ASSIGNMENT_TIMEOUT_S, "each key has one holder"
        )
        world.env.process(key_troubles.traffic(world, seed))
        world.env.process(sample_unheld_keys(world))
        yield from key_troubles.inject_random_faults(world, seed, count=troubles)
        yield world.env.timeout(key_troubles.LONG_PARTITION_S)
        world.heal()
        yield from world.wait_until(
            lambda: each_key_has_one_holder(world), TAKEOVER_TIMEOUT_S, "each key has one holder in the end"
        )

    with KeyOwnershipWorld() as world:
        return world.run(script), counts  # type: ignore[arg-type]


def run_timed(seed: int) -> RunResult:
    """Runs one scenario and measures its CPU time, in a process of the pool."""
    return measure_run(seed, _run_scenario)


if __name__ == "__main__":
    sys.exit(run_seeds("owners", run_timed, parse_arguments(str(__doc__))))
