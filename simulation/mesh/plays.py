"""Drawn plays of operators who rival each other while machines are lost, cut off, frozen and stalled. What
must hold is the witness's; that in the end every write has a clear answer, the same as before, is looked at
here."""

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
from simulation.mesh.zones import ONE_ZONE, Zones

NAMES = ("r1", "r2", "r3")
OPERATORS = 3
TRIES = 6  # of one operator for one write, before the next one
CALM_S = 3.5  # after a trouble, before the next one
CLEAR_S = 6.0  # after all is well again, until every write of one item has a clear answer


def patch_body(names: Sequence[str], version: int, trials: int, drop: bool = False) -> bytes:
    """The body of one write of these routes under one version; ``trials`` makes contents differ."""
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


def items_of(body: bytes) -> int:
    told = json.loads(body)
    rules = [r for port in told.get("apply", {}).get("input_ports", []) for r in port["control_law"]]
    return len(rules) + len(told.get("remove", {}).get("routes", []))


def frozen(world: World, machine: Machine) -> None:
    world.freeze(machine, 1.2)


def alone(world: World, machine: Machine) -> None:
    troubles.alone(world, machine.life, None)  # type: ignore[arg-type]


def deaf(world: World, machine: Machine) -> None:
    others = [one for one in world.machines.values() if one is not machine]
    world.cut(others, [machine], both=False)
    world.loop.call_later(troubles.CUT_S, world.heal)


def mute(world: World, machine: Machine) -> None:
    others = [one for one in world.machines.values() if one is not machine]
    world.cut([machine], others, both=False)
    world.loop.call_later(troubles.CUT_S, world.heal)


def _befalls(fault: Any) -> Callable[[World, Machine], None]:
    def strikes(world: World, machine: Machine) -> None:
        fault(world, machine.life, None)

    strikes.__name__ = fault.__name__
    return strikes


TROUBLES: tuple[Callable[[World, Machine], None], ...] = (
    frozen,
    alone,
    deaf,
    mute,
    *map(
        _befalls,
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


def play(seed: int, zones: Zones = ONE_ZONE) -> tuple[list[str], Counter[str]]:
    """What was broken, a line each, and what there was of each kind."""
    counts: Counter[str] = Counter(plays=1)
    draw = random.Random(seed)
    with World(zones=zones) as world:
        told = world.run(lambda world: _script(world, draw, counts))
        counts["acknowledged"], counts["reads"] = world.witness.acks, world.witness.reads
        counts["rivalled"] = len(world.witness.rivalled)
    return told, counts


def _script(world: World, draw: random.Random, counts: Counter[str]) -> Script:
    yield from world.boot(draw.choice((3, 3, 3, 4, 5)), proxies=1)
    world.env.process(world.witness.watch())
    sent: dict[bytes, Answer | None] = {}
    working = [world.env.process(_operator(world, at, draw, sent, counts)) for at in range(OPERATORS)]
    troubling = world.env.process(_troubles(world, draw, counts))
    yield simpy.AllOf(world.env, [*working, troubling])
    world.heal()
    yield world.env.timeout(CALM_S)
    yield from world.witness.finish()
    for body, before in sent.items():
        yield from _again(world, draw, body, before, counts)
    yield from world.witness.finish()


def _operator(
    world: World, at: int, draw: random.Random, sent: dict[bytes, Answer | None], counts: Counter[str]
) -> Script:
    for version in range(1, 5):
        if sent and draw.random() < 0.2:
            body = draw.choice(sorted(sent))
        else:
            several = draw.sample(NAMES, draw.choice((1, 1, 1, 2, 3)))
            body = patch_body(sorted(several), version, draw.choice((1, 2, 2 + at)), draw.random() < 0.15)
        machines = world.controllers()
        draw.shuffle(machines)
        answer = yield from world.commit(machines, body, TRIES)
        counts["orders"] += 1
        if answer is not None or body not in sent:
            sent[body] = answer
        if draw.random() < 0.3:
            yield from world.get(draw.choice(world.controllers()))
        yield world.env.timeout(draw.uniform(0.0, 0.4))


def _troubles(world: World, draw: random.Random, counts: Counter[str]) -> Script:
    for _ in range(draw.choice((1, 1, 2))):
        yield world.env.timeout(draw.uniform(0.0, 0.8))
        strikes = draw.choice(TROUBLES)
        counts[strikes.__name__] += 1
        strikes(world, draw.choice(world.controllers()))
        yield world.env.timeout(CALM_S)
        yield from world.joined([machine for machine in world.controllers() if machine.counted])


def _again(
    world: World, draw: random.Random, body: bytes, before: Answer | None, counts: Counter[str]
) -> Script:
    """Any write, sent once more to any process: its answer is clear by now and the same as before."""
    until, answer = world.env.now + CLEAR_S, None
    while world.env.now < until and (answer is None or answer.status >= 500):
        answer = yield from world.patch(draw.choice(world.controllers()), body)
        yield world.env.timeout(0.05)
    status = answer.status if answer is not None else 0
    counts[f"in the end {status}"] += 1
    if before is not None and before.status in (200, 409) and status != before.status:
        world.witness.broken.append(f"{status} to an order that had {before.status}: {body[:200]!r}")
    if items_of(body) == 1 and status not in (200, 409):
        said = answer.body if answer is not None else b"nothing"
        world.witness.broken.append(f"no clear answer in the end, {said!r}: {body[:200]!r}")
