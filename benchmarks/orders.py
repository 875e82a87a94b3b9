"""What an order costs, in virtual time: until it is acknowledged, frames and bytes between control processes,
syncs; and the processor time of an order of 4,000 routes.

    python -m benchmarks.orders [--orders 40] [--routes 4000]

Sidecars: one. A frame takes 2 ms, a sync 5 ms. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from typing import Any

from simulation.mesh.plays import patch_body
from simulation.mesh.world import Script, World

CORES = (3, 5)


def small(cores: int, orders: int) -> dict[str, Any]:
    """One route an order, 50 ms apart, to each process in turn."""
    took: list[float] = []
    told: dict[str, Any] = {}

    def script(world: World) -> Script:
        yield from world.boot(cores, proxies=1)
        yield world.env.timeout(1.0)
        yield from world.commit(world.controllers(), patch_body(["r0"], 1, 1))
        yield world.env.timeout(1.0)
        sent = [0, 0]
        carry = world.network.send

        def send(end: Any, data: bytes) -> None:
            if (
                end.other.incarnation.machine.is_controller
                and end.incarnation.machine.is_controller
                and len(data) > 10
            ):
                sent[0] += 1
                sent[1] += len(data)
            carry(end, data)

        world.network.send = send  # type: ignore[method-assign]
        world.recording_points = True
        machines = world.controllers()
        for number in range(orders):
            began = float(world.env.now)
            answer = yield from world.patch(
                machines[number % cores], patch_body([f"r{number % 7}"], number + 2, 1)
            )
            assert answer is not None and answer.status == 200
            took.append(float(world.env.now) - began)
            yield world.env.timeout(0.05)
        yield world.env.timeout(1.0)
        syncs = sum(kind == "synced" for kind, _ in world.fault_points)
        told.update(frames=sent[0] / orders, bytes=sent[1] / orders, syncs=syncs / orders)

    with World() as world:
        broken = world.run(script)
    assert not broken, broken
    return {
        "cores": cores,
        "ack_ms": round(statistics.median(took) * 1000.0, 1),
        "ack_most_ms": round(max(took) * 1000.0, 1),
        **{name: round(value, 1) for name, value in told.items()},
    }


def large(routes: int) -> dict[str, Any]:
    """One order of so many routes: the processor's time is that of all three processes and the world."""
    told: dict[str, Any] = {}

    def script(world: World) -> Script:
        yield from world.boot(3, proxies=1)
        yield world.env.timeout(1.0)
        body = patch_body([f"r{n}" for n in range(routes)], 1, 1)
        began, cpu = float(world.env.now), time.process_time()
        answer = yield from world.patch(world.controllers()[0], body)
        told["cpu_ms"] = round((time.process_time() - cpu) * 1000.0)
        told["status"] = answer.status if answer is not None else None
        told["ack_ms"] = round((float(world.env.now) - began) * 1000.0, 1)
        told["bytes"] = len(body)

    with World() as world:
        world.checker._check_acknowledgement = lambda machine, body: None  # type: ignore[method-assign]
        world.run(script)
    return {"routes": routes, **told}


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--orders", type=int, default=40)
    words.add_argument("--routes", type=int, default=4000)
    given = words.parse_args()
    rows = [small(cores, given.orders) for cores in CORES]
    for row in rows:
        print(", ".join(f"{name} {value}" for name, value in row.items()), flush=True)
    whole = large(given.routes)
    print(", ".join(f"{name} {value}" for name, value in whole.items()))
    print(json.dumps({"small": rows, "large": whole}))


if __name__ == "__main__":
    main()
