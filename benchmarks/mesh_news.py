"""Measures in virtual time how dissemination scales with the size of the mesh. The shipped programs of both
roles run without sockets and without sleeping.

    python -m benchmarks.mesh_news [--proxies 10 100 300] [--controllers 3 9] [--steady 10] [--json FILE]

For each size: a minute in which nothing changes; a change of one route, from its acknowledgement until 99%
of the proxies have it; a simultaneous join of a tenth of the proxies (at most a hundred); a controller that
is killed and restarted. Each row has messages, bytes and CPU per proxy, in both directions, with heartbeats
counted separately. CPU is that of the callbacks of a process, including the simulated network (a few
microseconds per message). ``exponents`` are fitted over the number of proxies by least squares. The last
line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import statistics
import time
from collections import defaultdict
from collections.abc import Callable, Generator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

import simpy

from mesh.data_plane.membership import PROXY
from mesh.transport.link import HEARTBEAT
from rigs.mesh_peers import patch_body, route
from simulation.mesh.clock import CURRENT_INCARNATION
from simulation.mesh.wire import ConnectionEnd
from simulation.mesh.world import Machine, World

Script = Generator[simpy.Event, Any, Any]

ROUTES = 20  # active before anything is measured
MAX_GROUP = 100  # proxies that start or join at the same time
GROUP_PAUSE_S = 0.5  # between the starts of two groups
ROUTE_CHANGES = 9
TICK_OFFSET_S = 0.013  # beyond whole seconds, so that changes fall at varying phases of the programs' ticks
SETTLE_S = 3.0
TIMEOUT_S = 60.0
RESTART_WINDOW_S = 5.0  # measured after the restart of a controller
COUNTS = ("messages", "bytes", "alive", "cpu_ms")


@dataclass(slots=True)
class Usage:
    """Cumulative usage of all proxies or of all controllers; messages count in both directions."""

    messages: float = 0.0
    bytes: float = 0.0
    alive: float = 0.0  # heartbeats
    cpu_ms: float = 0.0

    def since(self, before: Usage, divisor: float) -> dict[str, float]:
        """Returns the increase over ``before``, divided by ``divisor``."""
        return {name: (getattr(self, name) - getattr(before, name)) / divisor for name in COUNTS}


class Meter:
    """Counts network traffic and the CPU of the callbacks of each process. A context manager."""

    def __init__(self, world: World) -> None:
        self.controller_usage, self.proxy_usage = Usage(), Usage()
        self._stack = ExitStack()
        self._send = world.network.send
        self._patches: list[Any] = [
            mock.patch.object(world.network, "send", self._counted_send),
            mock.patch.object(asyncio.events.Handle, "_run", self._timed_run(asyncio.events.Handle._run)),
        ]

    def __enter__(self) -> Meter:
        for patch in self._patches:
            self._stack.enter_context(patch)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def read(self) -> tuple[Usage, Usage]:
        """Returns copies of the usage of the proxies and of the controllers."""
        copies = [
            Usage(*(getattr(usage, name) for name in COUNTS))
            for usage in (self.proxy_usage, self.controller_usage)
        ]
        return copies[0], copies[1]

    def _counted_send(self, end: ConnectionEnd, data: bytes) -> None:
        for connection_end in (end, end.other):
            usage = (
                self.controller_usage
                if connection_end.incarnation.machine.is_controller
                else self.proxy_usage
            )
            if data == HEARTBEAT:
                usage.alive += 1
            else:
                usage.messages += 1
            usage.bytes += len(data)
        self._send(end, data)

    def _timed_run(self, run: Callable[[asyncio.Handle], None]) -> Callable[[asyncio.Handle], None]:
        def timed_run(handle: asyncio.Handle) -> None:
            incarnation = handle._context.get(CURRENT_INCARNATION)  # type: ignore[attr-defined]
            if incarnation is None:
                run(handle)
                return
            started = time.thread_time_ns()
            run(handle)
            usage = self.controller_usage if incarnation.machine.is_controller else self.proxy_usage
            usage.cpu_ms += (time.thread_time_ns() - started) / 1e6

        return timed_run


class Measurement:
    """The scripted run for one size of the mesh, and its results."""

    def __init__(self, proxies: int, controllers: int, steady_s: float) -> None:
        self.proxies, self.controllers, self.steady_s = proxies, controllers, steady_s
        self.joining = max(min(proxies // 10, MAX_GROUP), 1)
        self.results: dict[str, dict[str, float]] = {}
        self.world: World
        self.meter: Meter
        self._version = 1

    def run(self) -> dict[str, Any]:
        """Runs the script. Raises RuntimeError if the mesh does not reach an expected state in time."""
        started = time.process_time()
        with World() as self.world, Meter(self.world) as self.meter:
            self.world.run(lambda _: self.script())
        return {
            "proxies": self.proxies,
            "controllers": self.controllers,
            "took_cpu_s": round(time.process_time() - started, 1),
            **{
                name: {key: round(value, 4) for key, value in row.items()}
                for name, row in self.results.items()
            },
        }

    # The script

    def script(self) -> Script:
        world = self.world
        controllers = [world.add(f"c{n}", f"10.0.0.{n}") for n in range(1, self.controllers + 1)]
        world.founders = controllers[:3]
        for machine in world.founders:
            world.start(machine, cold=True)
        yield from world.wait_for_members(world.founders)
        for machine in controllers[3:]:
            world.start(machine)
            yield from world.wait_for_members([machine])
        rules = [route(f"r{n}", f"/r{n}/", "p") for n in range(ROUTES)]
        yield from world.commit(controllers, body(patch_body(*rules, services=("p",))))
        yield world.env.timeout(SETTLE_S)  # lets the checker verify that all have the routes
        proxies: list[Machine] = []
        while len(proxies) < self.proxies - self.joining:
            proxies += self._start(proxies, min(MAX_GROUP, self.proxies - self.joining - len(proxies)))
            yield world.env.timeout(GROUP_PAUSE_S)
        yield from self._wait_until(
            lambda: know_upstreams(proxies, proxies), "the first proxies know each other"
        )
        yield world.env.timeout(SETTLE_S)
        yield from self._measure_join(proxies)
        yield world.env.timeout(SETTLE_S)
        yield from self._measure_idle(proxies)
        yield from self._measure_changes(controllers, proxies)
        yield from self._measure_restart(controllers[0], proxies)

    def _start(self, existing: Sequence[Machine], count: int) -> list[Machine]:
        started = []
        for number in range(len(existing) + 1, len(existing) + count + 1):
            machine = self.world.add(f"s{number}", f"10.1.{number // 250}.{number % 250}", controller=False)
            self.world.start(machine, cold=True)
            started.append(machine)
        return started

    def _measure_join(self, proxies: list[Machine]) -> Script:
        """Measures a join, until all new proxies route and until all proxies know their upstreams."""
        (proxy_before, controller_before), started = self.meter.read(), self._now()
        old = list(proxies)
        new = self._start(proxies, self.joining)
        proxies += new
        yield from self._wait_until(lambda: have_routes(new), "the joining proxies have routes")
        route_s = self._now() - started
        yield from self._wait_until(lambda: know_upstreams(proxies, new), "all know the joining proxies")
        know_s = self._now() - started
        yield self.world.env.timeout(1.0)
        after = self.meter.read()
        joiners = {"joining": float(len(new)), "route_s": route_s, "known_s": know_s}
        self.results["join"] = joiners | self._usage_per_process(
            proxy_before, controller_before, after, len(old) + len(new)
        )

    def _measure_idle(self, proxies: Sequence[Machine]) -> Script:
        proxy_before, controller_before = self.meter.read()
        yield self.world.env.timeout(self.steady_s)
        after = self.meter.read()
        minute = self.steady_s / 60.0
        self.results["minute"] = {
            name: value / minute
            for name, value in self._usage_per_process(
                proxy_before, controller_before, after, len(proxies)
            ).items()
        }

    def _measure_changes(self, controllers: Sequence[Machine], proxies: Sequence[Machine]) -> Script:
        """Measures route changes. Times count from the acknowledgement and can be negative."""
        rounds: list[dict[str, float]] = []
        quiet = self.results["minute"]
        for number in range(ROUTE_CHANGES):
            proxy_before, controller_before = self.meter.read()
            started = self._now()
            self._version += 1
            rule = route("r0", "/r0/", "p", self._version)
            acknowledged: list[float] = []

            def commit(number: int = number, rule: dict[str, Any] = rule) -> Script:
                yield from self.world.commit([controllers[number % len(controllers)]], body(patch_body(rule)))
                acknowledged.append(self._now())  # noqa: B023

            self.world.env.process(commit())
            times = yield from self._arrival_times(proxies, self._version)
            yield from self._wait_until(lambda: bool(acknowledged), "acknowledged")  # noqa: B023
            yield self.world.env.timeout(1.0 + TICK_OFFSET_S)
            spent = self._usage_per_process(proxy_before, controller_before, self.meter.read(), len(proxies))
            minutes = (self._now() - started) / 60.0
            for name in spent:
                spent[name] -= quiet[name] * minutes
            p99_at = sorted(times)[math.ceil(0.99 * len(times)) - 1]
            rounds.append(
                {
                    "acknowledged_s": acknowledged[0] - started,
                    "after_ack_99_s": p99_at - acknowledged[0],
                    "after_ack_last_s": max(times) - acknowledged[0],
                    **spent,
                }
            )
        self.results["change"] = {name: statistics.median(one[name] for one in rounds) for name in rounds[0]}
        self.results["change"]["worst_after_ack_99_s"] = max(one["after_ack_99_s"] for one in rounds)

    def _arrival_times(self, proxies: Sequence[Machine], version: int) -> Script:
        """Returns when each proxy received the version."""
        times, waiting = [], list(proxies)
        end = self._now() + TIMEOUT_S
        while waiting and self._now() < end:
            outdated = [
                machine
                for machine in waiting
                if machine.program.config_store.items["route", "r0"].version < version
            ]
            times += [self._now()] * (len(waiting) - len(outdated))
            waiting = outdated
            yield self.world.env.timeout(0.001)
        if waiting:
            raise RuntimeError(f"{len(waiting)} proxies lack a change after {TIMEOUT_S:g} s")
        return times

    def _measure_restart(self, machine: Machine, proxies: Sequence[Machine]) -> Script:
        """Measures a restart, until the controller disseminates configuration and membership and its proxies
        are connected again."""
        proxy_before, controller_before = self.meter.read()
        program = machine.program
        proxies_before = len(connected_proxies(program))
        items_before_kill = len(program.membership_store.items)
        started = self._now()
        self.world.kill(machine)
        self.world.restart(machine)

        def back() -> bool:
            new = machine.program
            return (
                new is not None
                and new is not program
                and len(new.membership_store.items) >= items_before_kill
                and new.contact_probes.has_contact()
                and len(connected_proxies(new)) >= proxies_before
            )

        yield from self._wait_until(back, "the controller is back")
        back_s = self._now() - started
        yield self.world.env.timeout(max(RESTART_WINDOW_S - back_s, 0.0))
        minutes = (self._now() - started) / 60.0
        spent = self._usage_per_process(proxy_before, controller_before, self.meter.read(), len(proxies))
        for name in spent:
            spent[name] -= self.results["minute"][name] * minutes
        del spent["cpu_ms"], spent["controller_cpu_ms"]  # one process was down part of the time
        self.results["restart"] = {"back_s": back_s, **spent}

    def _wait_until(self, holds: Callable[[], bool], what: str) -> Script:
        yield from self.world.wait_until(holds, TIMEOUT_S, what)
        if self.world.checker.violations:
            raise RuntimeError("; ".join(self.world.checker.violations[:3]))

    def _now(self) -> float:
        return float(self.world.env.now)

    def _usage_per_process(
        self, proxy_before: Usage, controller_before: Usage, after: tuple[Usage, Usage], proxies: int
    ) -> dict[str, float]:
        usage = after[0].since(proxy_before, proxies)
        controllers = after[1].since(controller_before, self.controllers)
        usage["controller_bytes"], usage["controller_cpu_ms"] = controllers["bytes"], controllers["cpu_ms"]
        return usage


def body(data: Any) -> bytes:
    return json.dumps(data).encode()


def have_routes(machines: Sequence[Machine]) -> bool:
    programs = [machine.program for machine in machines]
    return all(
        program is not None and len(program.routes) > 0 and program.channels.last_complete_at > 0.0
        for program in programs
    )


def know_upstreams(machines: Sequence[Machine], others: Sequence[Machine]) -> bool:
    """Tells whether each machine knows the upstreams of all the others."""
    wanted = [f"i-{other.name}" for other in others]
    return all(
        machine.program is not None and all(name in machine.program.membership.instances for name in wanted)
        for machine in machines
    )


def connected_proxies(controller: Any) -> set[str]:
    """Returns the proxies that pull from a controller."""
    channels = controller.channels.open
    return {
        channel.node for channel in channels if channel.link.up and channel.peer_hello.get("role") == PROXY
    }


def exponent(sizes: Sequence[float], values: Sequence[float]) -> float | None:
    """Returns the exponent of the power law that fits best (least squares of logarithms), or None."""
    if len(sizes) < 2 or min(values) <= 0.0:
        return None
    x, y = [math.log(one) for one in sizes], [math.log(one) for one in values]
    return round(statistics.linear_regression(x, y).slope, 2)


def exponents(rows: Sequence[dict[str, Any]]) -> dict[str, dict[str, float | None]]:
    """Returns the exponent of each figure over the number of proxies, by number of controllers."""
    found: dict[str, dict[str, float | None]] = defaultdict(dict)
    for controllers in sorted({row["controllers"] for row in rows}):
        these = [row for row in rows if row["controllers"] == controllers]
        sizes = [float(row["proxies"]) for row in these]
        for part in ("minute", "change", "join", "restart"):
            for name in ("messages", "bytes", "cpu_ms", "controller_bytes", "controller_cpu_ms"):
                values = [row[part][name] for row in these if name in row[part]]
                if len(values) == len(sizes):
                    found[f"{controllers} controllers"][f"{part}.{name}"] = exponent(sizes, values)
    return dict(found)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--proxies", type=int, nargs="+", default=[10, 100, 300])
    parser.add_argument("--controllers", type=int, nargs="+", default=[3, 9])
    parser.add_argument(
        "--steady", type=float, default=10.0, help="virtual seconds to measure, scaled to a minute"
    )
    parser.add_argument(
        "--json", type=Path, help="file with the rows of earlier runs, to which new rows are added"
    )
    args = parser.parse_args()
    rows: list[dict[str, Any]] = []
    if args.json is not None and args.json.exists():
        rows = json.loads(args.json.read_text())
    done = {(row["proxies"], row["controllers"]) for row in rows}
    for controllers in args.controllers:
        for proxies in args.proxies:
            if (proxies, controllers) in done:
                continue
            rows.append(Measurement(proxies, controllers, args.steady).run())
            print(json.dumps(rows[-1]), flush=True)
            if args.json is not None:
                args.json.write_text(json.dumps(rows))
    print(json.dumps({"rows": rows, "exponents": exponents(rows)}))


if __name__ == "__main__":
    main()
