"""Settings in stages, in virtual time: the shipped programs of both kinds, no sockets, no sleeping.

    python -m benchmarks.mesh_stages [--proxies 10 100 300] [--plays 20] [--states SECONDS]

For each size, with the hold and without it: a route moves to another service while nothing else happens; how
long its acknowledgement took, and from there until it is in force at the sidecars (below 0: before it); the
messages, bytes and CPU of a sidecar for one change and 2.2 s, reports and words among them. Then plays on ten
sidecars with calls: a route moves to a service that answers 500, and which share of the calls of the hold's
time went there, and whether that was told within it; a route moves to a sound one, and whether anything was
told against it. ``--states`` explores `rigs/stage_model.py`, each size for so long at the most. The last line
is JSON.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import statistics
import time
from collections.abc import Sequence
from contextlib import ExitStack
from typing import Any
from unittest import mock

from benchmarks.mesh_news import Meter
from mesh.rollout import bounds
from mesh.rollout.bounds import derive_rollout_times
from mesh.rollout.canary_verdict import Tally, is_worse
from rigs.stage_model import LARGE_SCENARIOS, SCENARIOS, RolloutModel
from simulation.mesh.staged import RolloutWorld, route_rule
from simulation.mesh.world import Machine, Script
from statecheck import explore

CHANGES = 8
GROUP, PAUSE_S = 100, 0.5
SETTLE_S = 4.0
CALLS_S = 0.04  # between two calls of one sidecar
HOLD_S = derive_rollout_times(2000.0, 4000.0).hold_s


def rank(values: Sequence[float], share: float) -> float:
    """The nearest rank."""
    return sorted(values)[max(math.ceil(share * len(values)) - 1, 0)]


def sides(world: RolloutWorld) -> list[Machine]:
    return [machine for machine in world.machines.values() if not machine.is_controller]


def start(world: RolloutWorld, count: int) -> Script:
    """A mesh in service with one route."""
    yield from world.boot(3, min(count, GROUP))
    while len(there := sides(world)) < count:
        for number in range(len(there) + 1, min(len(there) + GROUP, count) + 1):
            machine = world.add(f"s{number}", f"10.1.{number // 250}.{number % 250}", controller=False)
            world.start(machine, cold=True)
        yield world.env.timeout(PAUSE_S)
    yield from world.commit_routes(1, route_rule("a", "p", 1), services=("p", "q"))
    yield world.env.timeout(SETTLE_S + count / GROUP)
    world.disturbed_at.clear()


class Spread:
    """Moves of a route in a mesh of so many sidecars."""

    def __init__(self, count: int, share: float) -> None:
        self.count, self.share = count, share
        self.rounds: list[dict[str, float]] = []

    def play(self) -> dict[str, Any]:
        """Raises RuntimeError where a rule was broken."""
        began = time.process_time()
        with ExitStack() as stack:
            stack.enter_context(mock.patch.object(bounds, "HOLD_SHARE", self.share))
            world = stack.enter_context(RolloutWorld())
            meter = stack.enter_context(Meter(world))
            broken = world.run(lambda _: self._script(world, meter))
        if broken:
            raise RuntimeError("; ".join(broken[:3]))
        found = {name: statistics.median(one[name] for one in self.rounds) for name in self.rounds[0]}
        found["worst_last_s"] = max(one["last_s"] for one in self.rounds)
        return {
            "proxies": self.count,
            "hold_share": self.share,
            "took_cpu_s": round(time.process_time() - began, 1),
            **{name: round(value, 4) for name, value in found.items()},
        }

    def _script(self, world: RolloutWorld, meter: Meter) -> Script:
        yield from start(world, self.count)
        for number in range(CHANGES):
            yield world.env.timeout(0.137)
            side, _ = meter.read()
            version, began = 2 + number, float(world.env.now)
            yield from world.commit_routes(version, route_rule("a", "qp"[number % 2], version))
            acked = float(world.env.now)
            yield world.env.timeout(2.2)
            # By life, so that nobody counts twice; the first instant at which that version was in force.
            times = [at for at, _, _, v in world.version_changes if v == version]
            if len(times) != self.count:
                raise RuntimeError(f"r{version} came into force at {len(times)} of {self.count}")
            spent = meter.read()[0].since(side, self.count)
            self.rounds.append(
                {
                    "acknowledged_s": acked - began,
                    "first_s": min(times) - acked,
                    "p50_s": rank(times, 0.5) - acked,
                    "p99_s": rank(times, 0.99) - acked,
                    "last_s": max(times) - acked,
                    **spent,
                }
            )


class Play:
    """Ten sidecars with calls, of which one is the first part, and one move."""

    def __init__(self, seed: int, failing: bool, count: int = 10) -> None:
        self.seed, self.failing, self.count = seed, failing, count
        self.found: dict[str, float] = {}

    def play(self) -> dict[str, float]:
        with RolloutWorld() as world:
            world.run(lambda _: self._script(world))
        return self.found

    def _script(self, world: RolloutWorld) -> Script:
        yield from start(world, self.count)
        world.env.process(world.traffic({"a": False}, CALLS_S))
        yield world.env.timeout(1.5 + 0.017 * self.seed)
        if self.failing:
            world.failing_services.add("q")
        before = set(world.calls)
        began, version = float(world.env.now), 2 + self.seed
        world.env.process(world.commit_routes(version, route_rule("a", "q", version)))
        told = math.inf
        while world.env.now < began + HOLD_S - 0.01:
            yield world.env.timeout(0.01)
            if told == math.inf and any(
                r.rollouts.rollouts[-1].worse for _, r in world.programs(controllers=True)
            ):
                told = float(world.env.now) - began
        fresh = [one for name, one in world.calls.items() if name not in before and one.runs]
        self.found = {
            "share": sum(one.runs == ["q"] for one in fresh) / max(len(fresh), 1),
            "told_s": told,
            "calls": float(len(fresh)),
        }


def noise(plays: int) -> int:
    """In how many of so many plays of a sound way, with calls that fail now and then, it is called worse."""
    chance, found = random.Random(49), 0
    for number in range(plays):
        failing = (0.0, 0.01, 0.05, 0.2)[number % 4]
        old = Tally(200, sum(chance.random() < failing for _ in range(200)))
        new, wrong = Tally(), False
        for n in range(1, 65):
            new.calls, new.failures = n, new.failures + (chance.random() < failing)
            wrong = wrong or n in (8, 16, 32, 64) and is_worse(new, old)
        found += wrong
    return found


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--proxies", type=int, nargs="*", default=[10, 100, 300])
    words.add_argument("--plays", type=int, default=20)
    words.add_argument("--states", type=float, default=0.0, help="seconds for each size of the model")
    given = words.parse_args()
    found: dict[str, Any] = {"spread": [], "states": []}
    for count in given.proxies:
        for share in (bounds.HOLD_SHARE, 0.0):
            row = Spread(count, share).play()
            found["spread"].append(row)
            print(row, flush=True)
    if given.plays:
        broken = [Play(seed, True).play() for seed in range(given.plays)]
        sound = [Play(seed, False).play() for seed in range(given.plays)]
        found["broken"] = {
            "plays": given.plays,
            "told_within_hold": sum(one["told_s"] < HOLD_S for one in broken),
            "told_s_median": statistics.median(one["told_s"] for one in broken),
            "worst_share_of_calls": round(max(one["share"] for one in broken), 4),
        }
        found["sound"] = {
            "plays": given.plays,
            "told_against": sum(one["told_s"] < math.inf for one in sound),
            "noise_told_against_of_1000": noise(1000),
        }
        print(found["broken"], found["sound"], sep="\n", flush=True)
    if given.states:
        for name, size in {**SCENARIOS, **LARGE_SCENARIOS}.items():
            report = explore(RolloutModel(name, size), seconds=given.states)
            row = {"size": name, "states": report.states, "whole": report.complete, "depth": report.depth}
            row["broken"] = str(report.violation) if report.violation is not None else None
            found["states"].append(row)
            print(row, flush=True)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
