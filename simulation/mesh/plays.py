"""Random plays with conflicting operators while machines are lost, partitioned, frozen and stalled.

The checker verifies the invariants; this module verifies that every write finally has a clear answer which
agrees with an earlier one.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import simpy

from mesh.transport.http_calls import Answer
from simulation.mesh import troubles
from simulation.mesh.world import Machine, Script, World
from simulation.mesh.zones import ONE_ZONE, ZoneLayout

ROUTE_NAMES = ("r1", "r2", "r3")
OPERATORS = 3
MAX_TRIES = 6  # of one operator for one write
RECOVERY_S = 3.5  # between a fault and the next one
CLEAR_ANSWER_S = 6.0  # after recovery, every write of one item must have a clear answer within this time


def patch_body(names: Sequence[str], version: int, trials: int, drop: bool = False) -> bytes:
    """A write of these routes under one version; different ``trials`` make different contents."""
    if drop:
        return json.dumps(
            {"remove": {"routes": [{"name": n, "epoch": f"r{version}"} for n in names]}}
        ).encode()
    rules = [
        {
            "name": name,
            "kind": "idempotent",
            "epoch": f"r{version}",
            "predicate": {"prefix": f"/{name}/"},
            "response": {"plant": "p", "horizon_ms": 800, "trials": trials},
        }
        for name in names
    ]
    ports = [{"host": "h", "control_law": rules}]
    return json.dumps(
        {"apply": {"input_ports": ports, "plant_groups": [{"name": "p", "epoch": "r1"}]}}
    ).encode()


def count_items(body: bytes) -> int:
    write = json.loads(body)
    rules = [r for port in write.get("apply", {}).get("input_ports", []) for r in port["control_law"]]
    return len(rules) + len(write.get("remove", {}).get("routes", []))


# The names of the faults are keys in the output of `benchmarks.order_plays`.


def frozen(world: World, machine: Machine) -> None:
    """Freezes the process for a while."""
    world.freeze(machine, 1.2)


def alone(world: World, machine: Machine) -> None:
    """Cuts the machine off from all others for a while."""
    troubles.alone(world, machine.incarnation, None)  # type: ignore[arg-type]


def deaf(world: World, machine: Machine) -> None:
    """The machine sends, but receives nothing for a while."""
    others = [one for one in world.machines.values() if one is not machine]
    world.partition(others, [machine], both_ways=False)
    world.loop.call_later(troubles.PARTITION_S, world.heal)


def mute(world: World, machine: Machine) -> None:
    """The machine receives, but what it sends is lost for a while."""
    others = [one for one in world.machines.values() if one is not machine]
    world.partition([machine], others, both_ways=False)
    world.loop.call_later(troubles.PARTITION_S, world.heal)


def _with_machine(fault: Any) -> Callable[[World, Machine], None]:
    def inject(world: World, machine: Machine) -> None:
        fault(world, machine.incarnation, None)

    inject.__name__ = fault.__name__
    return inject


FAULTS: tuple[Callable[[World, Machine], None], ...] = (
    frozen,
    alone,
    deaf,
    mute,
    *map(
        _with_machine,
        (
            troubles.crash,
            troubles.power,
            troubles.wiped,
            troubles.all_killed,
            troubles.all_power_one_wiped,
            troubles.hangs,
            troubles.refuses,
        ),
    ),
)


def run_play(seed: int, zones: ZoneLayout = ONE_ZONE) -> tuple[list[str], Counter[str]]:
    """Returns the violations and the counts of writes, answers and faults."""
    counts: Counter[str] = Counter(plays=1)
    rng = random.Random(seed)
    with World(zones=zones) as world:
        violations = world.run(lambda world: _script(world, rng, counts))
        counts["acknowledged"], counts["reads"] = world.checker.acknowledgements, world.checker.reads
        counts["rivalled"] = len(world.checker.conflicting_bodies)
    return violations, counts


def _script(world: World, rng: random.Random, counts: Counter[str]) -> Script:
    yield from world.boot(rng.choice((3, 3, 3, 4, 5)), proxies=1)
    world.env.process(world.checker.watch())
    sent: dict[bytes, Answer | None] = {}
    operators = [world.env.process(_operator(world, at, rng, sent, counts)) for at in range(OPERATORS)]
    injecting = world.env.process(_inject_faults(world, rng, counts))
    yield simpy.AllOf(world.env, [*operators, injecting])
    world.heal()
    yield world.env.timeout(RECOVERY_S)
    yield from world.checker.check_recovered()
    for body, earlier in sent.items():
        yield from _repeat_write(world, rng, body, earlier, counts)
    yield from world.checker.check_recovered()


def _operator(
    world: World, at: int, rng: random.Random, sent: dict[bytes, Answer | None], counts: Counter[str]
) -> Script:
    for version in range(1, 5):
        if sent and rng.random() < 0.2:
            body = rng.choice(sorted(sent))
        else:
            names = rng.sample(ROUTE_NAMES, rng.choice((1, 1, 1, 2, 3)))
            body = patch_body(sorted(names), version, rng.choice((1, 2, 2 + at)), rng.random() < 0.15)
        machines = world.controllers()
        rng.shuffle(machines)
        answer = yield from world.commit(machines, body, MAX_TRIES)
        counts["orders"] += 1
        if answer is not None or body not in sent:
            sent[body] = answer
        if rng.random() < 0.3:
            yield from world.get(rng.choice(world.controllers()))
        yield world.env.timeout(rng.uniform(0.0, 0.4))


def _inject_faults(world: World, rng: random.Random, counts: Counter[str]) -> Script:
    for _ in range(rng.choice((1, 1, 2))):
        yield world.env.timeout(rng.uniform(0.0, 0.8))
        inject = rng.choice(FAULTS)
        counts[inject.__name__] += 1
        inject(world, rng.choice(world.controllers()))
        yield world.env.timeout(RECOVERY_S)
        yield from world.wait_for_members([machine for machine in world.controllers() if machine.counted])


def _repeat_write(
    world: World, rng: random.Random, body: bytes, earlier: Answer | None, counts: Counter[str]
) -> Script:
    """Sends a write again to any controller: its answer must be clear and agree with the earlier one."""
    until, answer = world.env.now + CLEAR_ANSWER_S, None
    while world.env.now < until and (answer is None or answer.status >= 500):
        answer = yield from world.patch(rng.choice(world.controllers()), body)
        yield world.env.timeout(0.05)
    status = answer.status if answer is not None else 0
    counts[f"in the end {status}"] += 1
    if earlier is not None and earlier.status in (200, 409) and status != earlier.status:
        world.checker.violations.append(f"{status} to a write that had {earlier.status}: {body[:200]!r}")
    if count_items(body) == 1 and status not in (200, 409):
        reply = answer.body if answer is not None else b"nothing"
        world.checker.violations.append(f"no clear answer in the end, {reply!r}: {body[:200]!r}")
