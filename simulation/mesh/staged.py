"""A mesh in virtual time with clients' calls on it, and what must hold while its configuration changes.

The machines' upstreams are of the services by turns; a call to a service in ``failing`` gets 500, all others
200 after a while. Besides what a plain world's witness looks at, it is told of: a sidecar in touch that goes
by an older version than it must; one that goes back; an effectful call that runs twice, or whose client is
told nothing of use though nothing befell its machine; a report that confirms too much.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass, field
from typing import Any

import simpy

from anisestair.http import codec as http
from mesh.configuration.routes import Route
from mesh.data_plane.upstream_connections import ResponseReceived
from mesh.rollout.report import REPORT, read
from rigs.mesh_peers import patch_body, route
from simulation.mesh.world import Life, Machine, Script, World

TAKES_S = 0.03
LONGEST_S = 4.0  # a call has three seconds
CONTACT_S, SETTLE_S = 3.0, 2.0
ZONES = 3


class FakeConnection:
    def drop(self) -> None:
        pass


@dataclass(eq=False)
class Called:
    """A client's request: when it was sent, where, its answer, and where it ran by which version."""

    attempt: str
    at: float
    life: Life
    route: str
    effectful: bool
    version: int | None = None  # the one in force at its sidecar when it was sent
    status: int = 0
    over: float = 0.0
    runs: list[str] = field(default_factory=list)  # services


class FakeConnections:
    """Stands for the connections to the upstream beside a sidecar."""

    def __init__(self, world: Staged, life: Life) -> None:
        self.world, self.life, self.max_connections = world, life, 100

    def close_expired(self) -> None:
        pass

    async def send(self, attempt: bytes, payload: bytes, ended: Callable[[Any], None]) -> FakeConnection:
        world, service = self.world, self.world.service(self.life.machine)
        called = world.calls.get(attempt.decode())
        if called is not None:
            called.runs.append(service)
        status = 500 if service in world.failing else 200
        headers = [(b"attempt-id", attempt), (b"response-seal", b"s")]
        message = http.Message(status=status, headers=headers, body=service.encode())
        world.loop.call_later(TAKES_S, ended, ResponseReceived(message))
        return FakeConnection()


class Staged(World):
    def __init__(self, services: Sequence[str] = ("p", "q")) -> None:
        super().__init__()
        self.services = tuple(services)
        self.failing: set[str] = set()
        self.calls: dict[str, Called] = {}
        self.acked: dict[str, list[tuple[int, float]]] = {}  # by route
        self.touched: dict[str, float] = {}  # when something last befell a machine
        self.changes: list[tuple[float, Life, str, int]] = []  # when, at which life, route, version in force
        self._count = 0

    def service(self, machine: Machine) -> str:
        return self.services[int(machine.name[1:]) % len(self.services)]

    def zone(self, machine: Machine) -> str:
        return f"z{int(machine.name[1:]) % ZONES}"

    def dress(self, life: Life) -> None:
        if life.machine.core:
            return
        program = life.program
        program.upstream_connections = program.upstream_dispatch.connections = FakeConnections(self, life)
        put, drop, routes = program.routes.put, program.routes.remove, program.routes

        def puts(route: Route) -> None:
            self._goes(life, route.name, route.version)
            put(route)

        def drops(name: str) -> None:
            item = program.config_store.items.get(("route", name))
            if item is not None and item.value is None:
                self._goes(life, name, item.version)
            drop(name)

        take = program.reports.write

        def takes(*written: Any) -> Any:
            told = take(*written)
            self._said(life)
            return told

        routes.put, routes.remove, program.reports.write = puts, drops, takes

    def _goes(self, life: Life, name: str, version: int) -> None:
        before = [v for _, source, n, v in self.changes if source is life and n == name]
        if before and version < max(before):
            self.witness._say(f"{life.machine.name}: {name} went back from r{max(before)} to r{version}")
        self.changes.append((float(self.env.now), life, name, version))

    # Who is in touch

    def _befalls(self, machines: Sequence[Machine]) -> None:
        """A core machine in trouble unsettles the core; a sidecar in trouble is its own matter."""
        for machine in machines:
            self.touched["core" if machine.core else machine.name] = float(self.env.now)

    def in_touch(self, machine: Machine, since: float) -> bool:
        """Whether nothing befell that machine, or the core, from the contact time before ``since`` on."""
        cut = any(self.wire.parted(machine.ip, core.ip) for core in self.controllers())
        return not cut and max(self.touched.get(n, -1e9) for n in ("core", machine.name)) < since - CONTACT_S

    def start(self, machine: Machine, cold: bool = False) -> None:
        if not cold:
            self._befalls([machine])
        super().start(machine, cold)

    def kill(self, machine: Machine, silently: bool = False) -> None:
        self._befalls([machine])
        super().kill(machine, silently)

    def freeze(self, machine: Machine, seconds: float) -> None:
        super().freeze(machine, seconds)
        self._befalls([machine])
        self.loop.call_later(seconds, self._befalls, [machine])

    def cut(self, ones: Sequence[Machine], others: Sequence[Machine], both: bool = True) -> None:
        super().cut(ones, others, both)
        self._befalls(self._cut())

    def heal(self) -> None:
        self._befalls(self._cut())
        super().heal()

    def _cut(self) -> list[Machine]:
        cores = self.controllers()
        return [m for m in self.machines.values() if any(self.wire.parted(m.ip, c.ip) for c in cores)]

    # Calls

    def ask_for(self, machine: Machine, rule: str, effectful: bool = False) -> None:
        """A client's request at that machine; what comes of it stands in ``calls``."""
        life = machine.life
        if life is None or not life.alive or life.program is None:
            return
        self._count += 1
        attempt = f"{self._count:016x}"
        standing = life.program.routes.get(rule)
        called = Called(attempt, float(self.env.now), life, rule, effectful)
        called.version = standing.version if standing is not None else None
        self.calls[attempt] = called
        headers = [(b"host", b"h.example"), (b"attempt-id", attempt.encode()), (b"time-remaining", b"3000")]
        message = http.Message(method=b"GET", target=f"/{rule}/x".encode(), headers=headers)

        def reply(status: int, headers: http.Headers, body: bytes) -> None:
            called.status, called.over = status, float(self.env.now)

        def begin() -> None:
            life.program.request_dispatcher.begin(life.program.balancers.now(), message, reply)

        self.loop.call_soon(begin, context=life.context)

    def traffic(self, rules: dict[str, bool], every_s: float) -> Generator[simpy.Event, Any, None]:
        """At each sidecar a call to one route after the other. ``rules``: whether each is effectful."""
        names = list(rules)
        turn = 0
        while True:
            turn += 1
            for machine in [m for m in self.machines.values() if not m.core]:
                self.ask_for(machine, names[turn % len(names)], rules[names[turn % len(names)]])
            yield self.env.timeout(every_s)

    # Changes

    def commits(self, version: int, *rules: dict[str, Any], services: Sequence[str] = ()) -> Script:
        """One operator's change; its acknowledgement is kept."""
        body = json.dumps(patch_body(*rules, services=services)).encode()
        answer = yield from self.commit(self.controllers(), body)
        if answer is not None and answer.status == 200:
            for rule in rules:
                self.noted(rule["name"], version)
        return answer

    def noted(self, name: str, version: int) -> None:
        now = float(self.env.now)
        self.acked.setdefault(name, []).append((version, now))
        self.env.process(self._in_force(name, version, now))

    def _in_force(self, name: str, version: int, acked: float) -> Generator[simpy.Event, Any, None]:
        """From the settling time after an acknowledgement each sidecar in touch goes by it or a newer one."""
        yield self.env.timeout(SETTLE_S)
        for machine, _ in self.programs(core=False):
            if not self.in_touch(machine, acked):
                continue
            goes = [v for _, life, n, v in self.changes if life is machine.life and n == name]
            if not goes or max(goes) < version:
                self.witness._say(
                    f"{machine.name} goes by {name} {goes[-1:]} when r{version} must be in force"
                )

    def _said(self, life: Life) -> None:
        """A report may confirm nothing that is not in force at the sidecar that gives it just now."""
        program = life.program
        item = program.reports.items[REPORT, life.machine.name]
        report = read(item.value)
        for _, controller in self.programs(core=True):
            for one in controller.config_store.items.values():
                if one.kind == "route" and one.value is not None and report.confirms(one):
                    standing = program.routes.get(one.name)
                    if standing is None or standing.version < one.version:
                        self.witness._say(f"{life.machine.name} confirms {one.name} r{one.version} too early")

    def judge(self) -> None:
        """Of all calls, when they are over."""
        for one in self.calls.values():
            if one.effectful and len(one.runs) > 1:
                self.witness._say(f"{one.attempt} ran {len(one.runs)} times, at {one.runs}")
            if one.status == 0 and one.life.alive and one.at < self.env.now - LONGEST_S:
                self.witness._say(f"{one.attempt} at {one.life.machine.name} was never answered")
            if one.effectful and one.status in (502, 504) and not self.touched:
                self.witness._say(f"{one.attempt}: {one.status}, and nothing befell anybody")


def rule(name: str, service: str, version: int, effectful: bool = False, **fields: Any) -> dict[str, Any]:
    """A route ``name`` of prefix ``/name/``."""
    return route(name, f"/{name}/", service, version, effectful, **fields)


def split(name: str, version: int, **shares: int) -> dict[str, Any]:
    told = rule(name, "p", version)
    del told["response"]["plant"]
    told["response"]["distribution"] = [{"plant": s, "gain": gain} for s, gain in shares.items()]
    return told
