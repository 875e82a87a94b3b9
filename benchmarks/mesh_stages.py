"""Measures staged rollouts in virtual time. The shipped programs of both roles run without sockets and
without sleeping.

    python -m benchmarks.mesh_stages [--proxies 10 100 300] [--plays 20] [--states SECONDS]

For each size, with and without the hold: a route moves to another service while nothing else happens.
Reported are the time to its acknowledgement, the time from there until it is in force at the sidecars
(negative: before it), and the messages, bytes and CPU per sidecar for one change and 2.2 s, including
reports and commands.

Then runs with calls on ten sidecars: a route moves to a service that responds 500 (the share of calls during
the hold that went there, and whether the rollout was judged worse within the hold), or to a sound one
(whether it was judged worse). ``--states`` explores each size of `rigs/stage_model.py` for at most that
long. The last line is JSON.
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

ROUTE_CHANGES = 8
MAX_GROUP, GROUP_PAUSE_S = 100, 0.5
SETTLE_S = 4.0
CALL_INTERVAL_S = 0.04  # between two calls of one sidecar
HOLD_S = derive_rollout_times(2000.0, 4000.0).hold_s


def nearest_rank(values: Sequence[float], share: float) -> float:
    """Returns a quantile by the nearest-rank method."""
    return sorted(values)[max(math.ceil(share * len(values)) - 1, 0)]


def proxies_of(world: RolloutWorld) -> list[Machine]:
    return [machine for machine in world.machines.values() if not machine.is_controller]


def start(world: RolloutWorld, count: int) -> Script:
    """Starts a mesh with ``count`` sidecars and one route."""
    yield from world.boot(3, min(count, MAX_GROUP))
    while len(started := proxies_of(world)) < count:
        for number in range(len(started) + 1, min(len(started) + MAX_GROUP, count) + 1):
            machine = world.add(f"s{number}", f"10.1.{number // 250}.{number % 250}", controller=False)
            world.start(machine, cold=True)
        yield world.env.timeout(GROUP_PAUSE_S)
    yield from world.commit_routes(1, route_rule("a", "p", 1), services=("p", "q"))
    yield world.env.timeout(SETTLE_S + count / MAX_GROUP)
    world.disturbed_at.clear()


class RolloutMeasurement:
    """Moves of a route in an idle mesh with ``count`` sidecars."""

    def __init__(self, count: int, hold_share: float) -> None:
        self.count, self.hold_share = count, hold_share
        self.rounds: list[dict[str, float]] = []

    def run(self) -> dict[str, Any]:
        """Runs the script. Raises RuntimeError if a rule was broken."""
        started = time.process_time()
        with ExitStack() as stack:
            stack.enter_context(mock.patch.object(bounds, "HOLD_SHARE", self.hold_share))
            world = stack.enter_context(RolloutWorld())
            meter = stack.enter_context(Meter(world))
            violations = world.run(lambda _: self._script(world, meter))
        if violations:
            raise RuntimeError("; ".join(violations[:3]))
        found = {name: statistics.median(row[name] for row in self.rounds) for name in self.rounds[0]}
        found["worst_last_s"] = max(row["last_s"] for row in self.rounds)
        return {
            "proxies": self.count,
            "hold_share": self.hold_share,
            "took_cpu_s": round(time.process_time() - started, 1),
            **{name: round(value, 4) for name, value in found.items()},
        }

    def _script(self, world: RolloutWorld, meter: Meter) -> Script:
        yield from start(world, self.count)
        for number in range(ROUTE_CHANGES):
            yield world.env.timeout(0.137)
            proxies_before, _ = meter.read()
            version, started = 2 + number, float(world.env.now)
            yield from world.commit_routes(version, route_rule("a", "qp"[number % 2], version))
            acknowledged_at = float(world.env.now)
            yield world.env.timeout(2.2)
            # One entry per incarnation: the first time at which this version was in force there.
            times = [at for at, _, _, changed_to in world.version_changes if changed_to == version]
            if len(times) != self.count:
                raise RuntimeError(f"r{version} came into force at {len(times)} of {self.count}")
            spent = meter.read()[0].since(proxies_before, self.count)
            self.rounds.append(
                {
                    "acknowledged_s": acknowledged_at - started,
                    "first_s": min(times) - acknowledged_at,
                    "p50_s": nearest_rank(times, 0.5) - acknowledged_at,
                    "p99_s": nearest_rank(times, 0.99) - acknowledged_at,
                    "last_s": max(times) - acknowledged_at,
                    **spent,
                }
            )


class VerdictRun:
    """Sidecars with calls, one of them in the first stage, and one move of a route."""

    def __init__(self, seed: int, failing: bool, count: int = 10) -> None:
        self.seed, self.failing, self.count = seed, failing, count
        self.found: dict[str, float] = {}

    def run(self) -> dict[str, float]:
        with RolloutWorld() as world:
            world.run(lambda _: self._script(world))
        return self.found

    def _script(self, world: RolloutWorld) -> Script:
        yield from start(world, self.count)
        world.env.process(world.traffic({"a": False}, CALL_INTERVAL_S))
        yield world.env.timeout(1.5 + 0.017 * self.seed)
        if self.failing:
            world.failing_services.add("q")
        before = set(world.calls)
        started, version = float(world.env.now), 2 + self.seed
        world.env.process(world.commit_routes(version, route_rule("a", "q", version)))
        judged_worse_s = math.inf
        while world.env.now < started + HOLD_S - 0.01:
            yield world.env.timeout(0.01)
            if judged_worse_s == math.inf and any(
                controller.rollouts.rollouts[-1].worse for _, controller in world.programs(controllers=True)
            ):
                judged_worse_s = float(world.env.now) - started
        calls_during_hold = [call for name, call in world.calls.items() if name not in before and call.runs]
        self.found = {
            "share": sum(call.runs == ["q"] for call in calls_during_hold) / max(len(calls_during_hold), 1),
            "told_s": judged_worse_s,
            "calls": float(len(calls_during_hold)),
        }


def count_false_verdicts(plays: int) -> int:
    """Returns how many of ``plays`` rollouts of a sound service with some failures are judged worse."""
    rng, false_verdicts = random.Random(49), 0
    for number in range(plays):
        failing = (0.0, 0.01, 0.05, 0.2)[number % 4]
        old = Tally(200, sum(rng.random() < failing for _ in range(200)))
        new, judged_worse = Tally(), False
        for n in range(1, 65):
            new.calls, new.failures = n, new.failures + (rng.random() < failing)
            judged_worse = judged_worse or n in (8, 16, 32, 64) and is_worse(new, old)
        false_verdicts += judged_worse
    return false_verdicts


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--proxies", type=int, nargs="*", default=[10, 100, 300])
    parser.add_argument("--plays", type=int, default=20)
    parser.add_argument("--states", type=float, default=0.0, help="seconds for each size of the model")
    args = parser.parse_args()
    found: dict[str, Any] = {"spread": [], "states": []}
    for count in args.proxies:
        for share in (bounds.HOLD_SHARE, 0.0):
            row = RolloutMeasurement(count, share).run()
            found["spread"].append(row)
            print(row, flush=True)
    if args.plays:
        broken = [VerdictRun(seed, True).run() for seed in range(args.plays)]
        sound = [VerdictRun(seed, False).run() for seed in range(args.plays)]
        found["broken"] = {
            "plays": args.plays,
            "told_within_hold": sum(run["told_s"] < HOLD_S for run in broken),
            "told_s_median": statistics.median(run["told_s"] for run in broken),
            "worst_share_of_calls": round(max(run["share"] for run in broken), 4),
        }
        found["sound"] = {
            "plays": args.plays,
            "told_against": sum(run["told_s"] < math.inf for run in sound),
            "noise_told_against_of_1000": count_false_verdicts(1000),
        }
        print(found["broken"], found["sound"], sep="\n", flush=True)
    if args.states:
        for name, size in {**SCENARIOS, **LARGE_SCENARIOS}.items():
            report = explore(RolloutModel(name, size), seconds=args.states)
            row = {"size": name, "states": report.states, "whole": report.complete, "depth": report.depth}
            row["broken"] = str(report.violation) if report.violation is not None else None
            found["states"].append(row)
            print(row, flush=True)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
