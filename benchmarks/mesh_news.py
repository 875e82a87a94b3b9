"""How news of the mesh scales, in virtual time: the shipped programs of both kinds, no sockets, no sleeping.

    python -m benchmarks.mesh_news [--proxies 10 100 300] [--controllers 3 9] [--steady 10] [--json FILE]

For each size: a minute in which nothing happens; a change of one route, from its acknowledgement until 99% of
the proxies have it; a join of a tenth (at most a hundred) of the proxies at once; a controller that is killed
and started again. Of each the messages, bytes and CPU a proxy, both directions counted, signs of life apart.
The CPU is that of a process's callbacks, with the rig's wire under them (a few microseconds a message).
``exponents``: of the proxies' number, by least squares over the sizes. The last line is JSON.
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

ROUTES = 20  # in force before anything is measured
GROUP = 100  # proxies that start together, and that join together at the most
PAUSE_S = 0.5  # between groups
CHANGES = 9
PHASE_S = 0.013  # beyond whole seconds, so that changes fall at other times of the programs' ticks
SETTLE_S = 3.0
WITHIN_S = 60.0
RETURN_S = 5.0  # of a controller: what is counted of its restart
COUNTS = ("messages", "bytes", "alive", "cpu_ms")


@dataclass(slots=True)
class Spent:
    """By all proxies, or all controllers, up to some moment; messages of both directions."""

    messages: float = 0.0
    bytes: float = 0.0
    alive: float = 0.0
    cpu_ms: float = 0.0

    def since(self, before: Spent, by: float) -> dict[str, float]:
        """What came on top of ``before``, divided."""
        return {name: (getattr(self, name) - getattr(before, name)) / by for name in COUNTS}


class Meter:
    """Counts what the wire carries, and the CPU of each process's callbacks. Use as a context."""

    def __init__(self, world: World) -> None:
        self.core, self.side = Spent(), Spent()
        self._stack = ExitStack()
        self._send = world.network.send
        self._patches: list[Any] = [
            mock.patch.object(world.network, "send", self._sends),
            mock.patch.object(asyncio.events.Handle, "_run", self._runs(asyncio.events.Handle._run)),
        ]

    def __enter__(self) -> Meter:
        for patch in self._patches:
            self._stack.enter_context(patch)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def now(self) -> tuple[Spent, Spent]:
        """Of the proxies, and of the controllers."""
        copies = [Spent(*(getattr(spent, name) for name in COUNTS)) for spent in (self.side, self.core)]
        return copies[0], copies[1]

    def _sends(self, end: ConnectionEnd, data: bytes) -> None:
        for one in (end, end.other):
            spent = self.core if one.incarnation.machine.is_controller else self.side
            if data == HEARTBEAT:
                spent.alive += 1
            else:
                spent.messages += 1
            spent.bytes += len(data)
        self._send(end, data)

    def _runs(self, run: Callable[[asyncio.Handle], None]) -> Callable[[asyncio.Handle], None]:
        def runs(handle: asyncio.Handle) -> None:
            incarnation = handle._context.get(CURRENT_INCARNATION)  # type: ignore[attr-defined]
            if incarnation is None:
                run(handle)
                return
            began = time.thread_time_ns()
            run(handle)
            spent = self.core if incarnation.machine.is_controller else self.side
            spent.cpu_ms += (time.thread_time_ns() - began) / 1e6

        return runs


class Measured:
    """One size: a script for the world, and what came of it in ``found``."""

    def __init__(self, proxies: int, controllers: int, steady_s: float) -> None:
        self.proxies, self.controllers, self.steady_s = proxies, controllers, steady_s
        self.join = max(min(proxies // 10, GROUP), 1)
        self.found: dict[str, dict[str, float]] = {}
        self.world: World
        self.meter: Meter
        self._version = 1

    def play(self) -> dict[str, Any]:
        """Raises RuntimeError where something of the mesh did not come about."""
        began = time.process_time()
        with World() as self.world, Meter(self.world) as self.meter:
            self.world.run(lambda _: self.script())
        return {
            "proxies": self.proxies,
            "controllers": self.controllers,
            "took_cpu_s": round(time.process_time() - began, 1),
            **{
                name: {key: round(value, 4) for key, value in one.items()} for name, one in self.found.items()
            },
        }

    # The script

    def script(self) -> Script:
        world = self.world
        cores = [world.add(f"c{n}", f"10.0.0.{n}") for n in range(1, self.controllers + 1)]
        world.founders = cores[:3]
        for machine in world.founders:
            world.start(machine, cold=True)
        yield from world.wait_for_members(world.founders)
        for machine in cores[3:]:
            world.start(machine)
            yield from world.wait_for_members([machine])
        rules = [route(f"r{n}", f"/r{n}/", "p") for n in range(ROUTES)]
        yield from world.commit(cores, body(patch_body(*rules, services=("p",))))
        yield world.env.timeout(SETTLE_S)  # the checker looks whether all have it
        sides: list[Machine] = []
        while len(sides) < self.proxies - self.join:
            sides += self._start(sides, min(GROUP, self.proxies - self.join - len(sides)))
            yield world.env.timeout(PAUSE_S)
        yield from self._until(lambda: knows(sides, sides), "the first proxies know each other")
        yield world.env.timeout(SETTLE_S)
        yield from self._joins(sides)
        yield world.env.timeout(SETTLE_S)
        yield from self._stands(sides)
        yield from self._changes(cores, sides)
        yield from self._restarts(cores[0], sides)

    def _start(self, there: Sequence[Machine], count: int) -> list[Machine]:
        made = []
        for number in range(len(there) + 1, len(there) + count + 1):
            machine = self.world.add(f"s{number}", f"10.1.{number // 250}.{number % 250}", controller=False)
            self.world.start(machine, cold=True)
            made.append(machine)
        return made

    def _joins(self, sides: list[Machine]) -> Script:
        """Until all of the new ones route, and until all know all."""
        (side, core), began = self.meter.now(), self._now()
        old = list(sides)
        new = self._start(sides, self.join)
        sides += new
        yield from self._until(lambda: ready(new), "those that join route")
        route_s = self._now() - began
        yield from self._until(lambda: knows(sides, new), "all know those that join")
        know_s = self._now() - began
        yield self.world.env.timeout(1.0)
        after = self.meter.now()
        joiners = {"joining": float(len(new)), "route_s": route_s, "known_s": know_s}
        self.found["join"] = joiners | self._spent(side, core, after, len(old) + len(new))

    def _stands(self, sides: Sequence[Machine]) -> Script:
        side, core = self.meter.now()
        yield self.world.env.timeout(self.steady_s)
        after = self.meter.now()
        minute = self.steady_s / 60.0
        self.found["minute"] = {
            name: value / minute for name, value in self._spent(side, core, after, len(sides)).items()
        }

    def _changes(self, cores: Sequence[Machine], sides: Sequence[Machine]) -> Script:
        """Of a route; times from the acknowledgement, below 0 where the news was there first."""
        rounds: list[dict[str, float]] = []
        quiet = self.found["minute"]
        for number in range(CHANGES):
            side, core = self.meter.now()
            began = self._now()
            self._version += 1
            rule = route("r0", "/r0/", "p", self._version)
            acknowledged: list[float] = []

            def commits(number: int = number, rule: dict[str, Any] = rule) -> Script:
                yield from self.world.commit([cores[number % len(cores)]], body(patch_body(rule)))
                acknowledged.append(self._now())  # noqa: B023

            self.world.env.process(commits())
            times = yield from self._reach(sides, self._version)
            yield from self._until(lambda: bool(acknowledged), "acknowledged")  # noqa: B023
            yield self.world.env.timeout(1.0 + PHASE_S)
            spent = self._spent(side, core, self.meter.now(), len(sides))
            minutes = (self._now() - began) / 60.0
            for name in spent:
                spent[name] -= quiet[name] * minutes
            share = sorted(times)[math.ceil(0.99 * len(times)) - 1]
            rounds.append(
                {
                    "acknowledged_s": acknowledged[0] - began,
                    "after_ack_99_s": share - acknowledged[0],
                    "after_ack_last_s": max(times) - acknowledged[0],
                    **spent,
                }
            )
        self.found["change"] = {name: statistics.median(one[name] for one in rounds) for name in rounds[0]}
        self.found["change"]["worst_after_ack_99_s"] = max(one["after_ack_99_s"] for one in rounds)

    def _reach(self, sides: Sequence[Machine], version: int) -> Script:
        """When each proxy has it."""
        times, left = [], list(sides)
        end = self._now() + WITHIN_S
        while left and self._now() < end:
            lacking = [one for one in left if one.program.config_store.items["route", "r0"].version < version]
            times += [self._now()] * (len(left) - len(lacking))
            left = lacking
            yield self.world.env.timeout(0.001)
        if left:
            raise RuntimeError(f"{len(left)} proxies lack a change after {WITHIN_S:g} s")
        return times

    def _restarts(self, machine: Machine, sides: Sequence[Machine]) -> Script:
        """Until it hands the configuration and the membership on again, and all its askers are back."""
        side, core = self.meter.now()
        program = machine.program
        asked = len(askers(program))
        known = len(program.membership_store.items)
        began = self._now()
        self.world.kill(machine)
        self.world.restart(machine)

        def back() -> bool:
            new = machine.program
            return (
                new is not None
                and new is not program
                and len(new.membership_store.items) >= known
                and new.contact_probes.has_contact()
                and len(askers(new)) >= asked
            )

        yield from self._until(back, "the controller is back")
        back_s = self._now() - began
        yield self.world.env.timeout(max(RETURN_S - back_s, 0.0))
        minutes = (self._now() - began) / 60.0
        spent = self._spent(side, core, self.meter.now(), len(sides))
        for name in spent:
            spent[name] -= self.found["minute"][name] * minutes
        del spent["cpu_ms"], spent["controller_cpu_ms"]  # one of them stood still for a part of the time
        self.found["restart"] = {"back_s": back_s, **spent}

    def _until(self, holds: Callable[[], bool], what: str) -> Script:
        yield from self.world.wait_until(holds, WITHIN_S, what)
        if self.world.checker.violations:
            raise RuntimeError("; ".join(self.world.checker.violations[:3]))

    def _now(self) -> float:
        return float(self.world.env.now)

    def _spent(self, side: Spent, core: Spent, after: tuple[Spent, Spent], proxies: int) -> dict[str, float]:
        found = after[0].since(side, proxies)
        controllers = after[1].since(core, self.controllers)
        found["controller_bytes"], found["controller_cpu_ms"] = controllers["bytes"], controllers["cpu_ms"]
        return found


def body(told: Any) -> bytes:
    return json.dumps(told).encode()


def ready(machines: Sequence[Machine]) -> bool:
    programs = [one.program for one in machines]
    return all(
        one is not None and len(one.routes) > 0 and one.channels.last_complete_at > 0.0 for one in programs
    )


def knows(machines: Sequence[Machine], others: Sequence[Machine]) -> bool:
    """Whether each has heard of all the others' upstreams."""
    wanted = [f"i-{other.name}" for other in others]
    return all(
        one.program is not None and all(name in one.program.membership.instances for name in wanted)
        for one in machines
    )


def askers(controller: Any) -> set[str]:
    """The proxies that ask it for news."""
    channels = controller.channels.open
    return {one.node for one in channels if one.link.up and one.peer_hello.get("role") == PROXY}


def exponent(sizes: Sequence[float], values: Sequence[float]) -> float | None:
    """Of the power law that fits best, by least squares of logarithms; None where there is none."""
    if len(sizes) < 2 or min(values) <= 0.0:
        return None
    x, y = [math.log(one) for one in sizes], [math.log(one) for one in values]
    return round(statistics.linear_regression(x, y).slope, 2)


def exponents(rows: Sequence[dict[str, Any]]) -> dict[str, dict[str, float | None]]:
    """Of each figure over the proxies, a number of controllers at a time."""
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
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--proxies", type=int, nargs="+", default=[10, 100, 300])
    words.add_argument("--controllers", type=int, nargs="+", default=[3, 9])
    words.add_argument("--steady", type=float, default=10.0, help="virtual seconds that stand for a minute")
    words.add_argument(
        "--json", type=Path, help="rows of earlier runs are read from it and all are kept there"
    )
    given = words.parse_args()
    rows: list[dict[str, Any]] = []
    if given.json is not None and given.json.exists():
        rows = json.loads(given.json.read_text())
    done = {(row["proxies"], row["controllers"]) for row in rows}
    for controllers in given.controllers:
        for proxies in given.proxies:
            if (proxies, controllers) in done:
                continue
            rows.append(Measured(proxies, controllers, given.steady).play())
            print(json.dumps(rows[-1]), flush=True)
            if given.json is not None:
                given.json.write_text(json.dumps(rows))
    print(json.dumps({"rows": rows, "exponents": exponents(rows)}))


if __name__ == "__main__":
    main()
