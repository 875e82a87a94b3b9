"""Measures the cost of a configuration change (an order) in virtual time: the time to its acknowledgement,
the frames and bytes between controllers, and disk syncs; and the CPU time of one change of 4,000 routes.

    python -m benchmarks.orders [--orders 40] [--routes 4000]

With one sidecar. A frame takes 2 ms, a sync 5 ms. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from typing import Any

from simulation.mesh.plays import patch_body
from simulation.mesh.world import Script, World

CONTROLLER_COUNTS = (3, 5)


def measure_small_changes(cores: int, orders: int) -> dict[str, Any]:
    """Measures changes of one route each, 50 ms apart, sent to each controller in turn."""
    acknowledgement_s: list[float] = []
    figures: dict[str, Any] = {}

    def script(world: World) -> Script:
        yield from world.boot(cores, proxies=1)
        yield world.env.timeout(1.0)
        yield from world.commit(world.controllers(), patch_body(["r0"], 1, 1))
        yield world.env.timeout(1.0)
        sent = [0, 0]
        network_send = world.network.send

        def send(end: Any, data: bytes) -> None:
            if (
                end.other.incarnation.machine.is_controller
                and end.incarnation.machine.is_controller
                and len(data) > 10
            ):
                sent[0] += 1
                sent[1] += len(data)
            network_send(end, data)

        world.network.send = send  # type: ignore[method-assign]
        world.recording_points = True
        machines = world.controllers()
        for number in range(orders):
            started_s = float(world.env.now)
            response = yield from world.patch(
                machines[number % cores], patch_body([f"r{number % 7}"], number + 2, 1)
            )
            assert response is not None and response.status == 200
            acknowledgement_s.append(float(world.env.now) - started_s)
            yield world.env.timeout(0.05)
        yield world.env.timeout(1.0)
        syncs = sum(kind == "synced" for kind, _ in world.fault_points)
        figures.update(frames=sent[0] / orders, bytes=sent[1] / orders, syncs=syncs / orders)

    with World() as world:
        violations = world.run(script)
    assert not violations, violations
    return {
        "cores": cores,
        "ack_ms": round(statistics.median(acknowledgement_s) * 1000.0, 1),
        "ack_most_ms": round(max(acknowledgement_s) * 1000.0, 1),
        **{name: round(value, 1) for name, value in figures.items()},
    }


def measure_large_change(routes: int) -> dict[str, Any]:
    """Measures one change of ``routes`` routes. CPU time includes all three controllers and the simulator."""
    figures: dict[str, Any] = {}

    def script(world: World) -> Script:
        yield from world.boot(3, proxies=1)
        yield world.env.timeout(1.0)
        body = patch_body([f"r{n}" for n in range(routes)], 1, 1)
        started_s, cpu = float(world.env.now), time.process_time()
        response = yield from world.patch(world.controllers()[0], body)
        figures["cpu_ms"] = round((time.process_time() - cpu) * 1000.0)
        figures["status"] = response.status if response is not None else None
        figures["ack_ms"] = round((float(world.env.now) - started_s) * 1000.0, 1)
        figures["bytes"] = len(body)

    with World() as world:
        world.checker._check_acknowledgement = lambda machine, body: None  # type: ignore[method-assign]
        world.run(script)
    return {"routes": routes, **figures}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--orders", type=int, default=40)
    parser.add_argument("--routes", type=int, default=4000)
    args = parser.parse_args()
    rows = [measure_small_changes(cores, args.orders) for cores in CONTROLLER_COUNTS]
    for row in rows:
        print(", ".join(f"{name} {value}" for name, value in row.items()), flush=True)
    large_row = measure_large_change(args.routes)
    print(", ".join(f"{name} {value}" for name, value in large_row.items()))
    print(json.dumps({"small": rows, "large": large_row}))


if __name__ == "__main__":
    main()
