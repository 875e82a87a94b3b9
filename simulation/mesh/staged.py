"""A simulated mesh with client calls, and checks that hold while its configuration changes.

Upstreams belong to the services in turn. A call to a service in ``failing_services`` is answered with 500,
all others with 200 after a delay. Beside the invariants of every world, these are violations: a proxy in
contact that uses an outdated version; a version that goes back; an effectful call that runs twice, or fails
although no machine was disturbed; a report that confirms a version too early.
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
from simulation.mesh.world import Incarnation, Machine, Script, World

UPSTREAM_DELAY_S = 0.03
MAX_CALL_S = 4.0  # above a client's timeout of three seconds
CONTACT_S, SETTLE_S = 3.0, 2.0
ZONES = 3


class FakeConnection:
    def drop(self) -> None:
        pass


@dataclass(eq=False)
class ClientCall:
    """A client's request: when and where it was sent, its answer, and the services that ran it."""

    attempt: str
    at: float
    incarnation: Incarnation
    route: str
    effectful: bool
    version: int | None = None  # in force at the proxy when it was sent
    status: int = 0
    finished_at: float = 0.0
    runs: list[str] = field(default_factory=list)  # services


class FakeConnections:
    """Replaces the connections to the upstream beside a proxy."""

    def __init__(self, world: RolloutWorld, incarnation: Incarnation) -> None:
        self.world, self.incarnation, self.max_connections = world, incarnation, 100

    def close_expired(self) -> None:
        pass

    async def send(self, attempt: bytes, payload: bytes, ended: Callable[[Any], None]) -> FakeConnection:
        world, service = self.world, self.world.service(self.incarnation.machine)
        call = world.calls.get(attempt.decode())
        if call is not None:
            call.runs.append(service)
        status = 500 if service in world.failing_services else 200
        headers = [(b"attempt-id", attempt), (b"response-seal", b"s")]
        message = http.Message(status=status, headers=headers, body=service.encode())
        world.loop.call_later(UPSTREAM_DELAY_S, ended, ResponseReceived(message))
        return FakeConnection()


class RolloutWorld(World):
    """A world with client calls, which records the versions in force at each proxy."""

    def __init__(self, services: Sequence[str] = ("p", "q")) -> None:
        super().__init__()
        self.services = tuple(services)
        self.failing_services: set[str] = set()
        self.calls: dict[str, ClientCall] = {}
        self.acknowledged: dict[str, list[tuple[int, float]]] = {}  # by route
        self.disturbed_at: dict[str, float] = {}  # by machine; "core" stands for any controller
        # Time, proxy, route, version in force.
        self.version_changes: list[tuple[float, Incarnation, str, int]] = []
        self._count = 0

    def service(self, machine: Machine) -> str:
        return self.services[int(machine.name[1:]) % len(self.services)]

    def zone(self, machine: Machine) -> str:
        return f"z{int(machine.name[1:]) % ZONES}"

    def instrument(self, incarnation: Incarnation) -> None:
        if incarnation.machine.is_controller:
            return
        program = incarnation.program
        program.upstream_connections = program.upstream_dispatch.connections = FakeConnections(
            self, incarnation
        )
        put, remove, routes = program.routes.put, program.routes.remove, program.routes

        def put_and_record(route: Route) -> None:
            self._record_version_change(incarnation, route.name, route.version)
            put(route)

        def remove_and_record(name: str) -> None:
            item = program.config_store.items.get(("route", name))
            if item is not None and item.value is None:
                self._record_version_change(incarnation, name, item.version)
            remove(name)

        write = program.reports.write

        def write_and_check(*written: Any) -> Any:
            result = write(*written)
            self._check_report(incarnation)
            return result

        routes.put, routes.remove, program.reports.write = put_and_record, remove_and_record, write_and_check

    def _record_version_change(self, incarnation: Incarnation, name: str, version: int) -> None:
        before = [v for _, source, n, v in self.version_changes if source is incarnation and n == name]
        if before and version < max(before):
            self.checker._report(
                f"{incarnation.machine.name}: {name} went back from r{max(before)} to r{version}"
            )
        self.version_changes.append((float(self.env.now), incarnation, name, version))

    # Contact

    def _mark_disturbed(self, machines: Sequence[Machine]) -> None:
        """A fault of a controller disturbs all proxies; a fault of a proxy only that proxy."""
        for machine in machines:
            self.disturbed_at["core" if machine.is_controller else machine.name] = float(self.env.now)

    def in_contact(self, machine: Machine, since: float) -> bool:
        """Whether neither the machine nor a controller was disturbed from CONTACT_S before ``since`` on."""
        cut = any(self.network.is_partitioned(machine.ip, other.ip) for other in self.controllers())
        return (
            not cut
            and max(self.disturbed_at.get(n, -1e9) for n in ("core", machine.name)) < since - CONTACT_S
        )

    def start(self, machine: Machine, cold: bool = False) -> None:
        if not cold:
            self._mark_disturbed([machine])
        super().start(machine, cold)

    def kill(self, machine: Machine, silently: bool = False) -> None:
        self._mark_disturbed([machine])
        super().kill(machine, silently)

    def freeze(self, machine: Machine, seconds: float) -> None:
        super().freeze(machine, seconds)
        self._mark_disturbed([machine])
        self.loop.call_later(seconds, self._mark_disturbed, [machine])

    def partition(self, group: Sequence[Machine], others: Sequence[Machine], both_ways: bool = True) -> None:
        super().partition(group, others, both_ways)
        self._mark_disturbed(self._partitioned_machines())

    def heal(self) -> None:
        self._mark_disturbed(self._partitioned_machines())
        super().heal()

    def _partitioned_machines(self) -> list[Machine]:
        controllers = self.controllers()
        return [
            m
            for m in self.machines.values()
            if any(self.network.is_partitioned(m.ip, c.ip) for c in controllers)
        ]

    # Calls

    def send_call(self, machine: Machine, rule: str, effectful: bool = False) -> None:
        """Sends a client's request at that machine; the result is recorded in ``calls``."""
        incarnation = machine.incarnation
        if incarnation is None or not incarnation.alive or incarnation.program is None:
            return
        self._count += 1
        attempt = f"{self._count:016x}"
        route = incarnation.program.routes.get(rule)
        call = ClientCall(attempt, float(self.env.now), incarnation, rule, effectful)
        call.version = route.version if route is not None else None
        self.calls[attempt] = call
        headers = [(b"host", b"h.example"), (b"attempt-id", attempt.encode()), (b"time-remaining", b"3000")]
        message = http.Message(method=b"GET", target=f"/{rule}/x".encode(), headers=headers)

        def reply(status: int, headers: http.Headers, body: bytes) -> None:
            call.status, call.finished_at = status, float(self.env.now)

        def begin() -> None:
            incarnation.program.request_dispatcher.begin(incarnation.program.balancers.now(), message, reply)

        self.loop.call_soon(begin, context=incarnation.context)

    def traffic(self, rules: dict[str, bool], every_s: float) -> Generator[simpy.Event, Any, None]:
        """Calls at each proxy, one route after the other. ``rules``: whether each route is effectful."""
        names = list(rules)
        turn = 0
        while True:
            turn += 1
            for machine in [m for m in self.machines.values() if not m.is_controller]:
                self.send_call(machine, names[turn % len(names)], rules[names[turn % len(names)]])
            yield self.env.timeout(every_s)

    # Configuration changes

    def commit_routes(self, version: int, *rules: dict[str, Any], services: Sequence[str] = ()) -> Script:
        """One operator's write; records its acknowledgement."""
        body = json.dumps(patch_body(*rules, services=services)).encode()
        answer = yield from self.commit(self.controllers(), body)
        if answer is not None and answer.status == 200:
            for rule in rules:
                self.record_acknowledgement(rule["name"], version)
        return answer

    def record_acknowledgement(self, name: str, version: int) -> None:
        now = float(self.env.now)
        self.acknowledged.setdefault(name, []).append((version, now))
        self.env.process(self._check_in_force(name, version, now))

    def _check_in_force(self, name: str, version: int, acked: float) -> Generator[simpy.Event, Any, None]:
        """SETTLE_S after an acknowledgement each proxy in contact must use that version or a newer one."""
        yield self.env.timeout(SETTLE_S)
        for machine, _ in self.programs(controllers=False):
            if not self.in_contact(machine, acked):
                continue
            versions = [
                v
                for _, incarnation, n, v in self.version_changes
                if incarnation is machine.incarnation and n == name
            ]
            if not versions or max(versions) < version:
                self.checker._report(
                    f"{machine.name} uses {name} {versions[-1:]} when r{version} must be in force"
                )

    def _check_report(self, incarnation: Incarnation) -> None:
        """A report may not confirm a version that is not in force at its proxy."""
        program = incarnation.program
        report_item = program.reports.items[REPORT, incarnation.machine.name]
        report = read(report_item.value)
        for _, controller in self.programs(controllers=True):
            for item in controller.config_store.items.values():
                if item.kind == "route" and item.value is not None and report.confirms(item):
                    in_force = program.routes.get(item.name)
                    if in_force is None or in_force.version < item.version:
                        self.checker._report(
                            f"{incarnation.machine.name} confirms {item.name} r{item.version} too early"
                        )

    def check_calls(self) -> None:
        """Checks all calls at the end of a run."""
        for call in self.calls.values():
            if call.effectful and len(call.runs) > 1:
                self.checker._report(f"{call.attempt} ran {len(call.runs)} times, at {call.runs}")
            if call.status == 0 and call.incarnation.alive and call.at < self.env.now - MAX_CALL_S:
                self.checker._report(f"{call.attempt} at {call.incarnation.machine.name} was never answered")
            if call.effectful and call.status in (502, 504) and not self.disturbed_at:
                self.checker._report(f"{call.attempt}: {call.status}, and no machine was disturbed")


def route_rule(
    name: str, service: str, version: int, effectful: bool = False, **fields: Any
) -> dict[str, Any]:
    """A route ``name`` with the prefix ``/name/``."""
    return route(name, f"/{name}/", service, version, effectful, **fields)


def split_rule(name: str, version: int, **shares: int) -> dict[str, Any]:
    result = route_rule(name, "p", version)
    del result["response"]["plant"]
    result["response"]["distribution"] = [{"plant": s, "gain": gain} for s, gain in shares.items()]
    return result
