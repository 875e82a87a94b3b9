"""A simulated mesh: machines, incarnations of their processes, and faults. It runs the production
programs."""

from __future__ import annotations

import asyncio
import contextvars
import gc
import io
import itertools
from collections.abc import Awaitable, Callable, Generator, Sequence
from types import MappingProxyType, SimpleNamespace, TracebackType
from typing import Any, Self
from unittest import mock
from weakref import WeakSet

import msgspec
import simpy

from anisestair.http import codec as http
from mesh.control_plane.program import Controller
from mesh.data_plane.program import Proxy
from mesh.dissemination.peers import Channel
from mesh.event_log.events import Level
from mesh.event_log.log import EventLog
from mesh.replication.membership_epochs import EMPTY_VIEW
from mesh.replication.quorum import Tolerance
from mesh.replication.store import Store
from mesh.runtime.settings import Bounds, MachineLimits, Ports, Settings
from mesh.transport.http_calls import Answer
from simulation.mesh.clock import (
    CURRENT_INCARNATION,
    Clock,
    VirtualLoop,
    close_started_coroutines,
    close_unstarted,
)
from simulation.mesh.disk import Disk, DiskStoreFactory
from simulation.mesh.wire import ConnectionEnd, Network
from simulation.mesh.witness import InvariantChecker
from simulation.mesh.zones import ONE_ZONE, ZoneLayout

Script = Generator[simpy.Event, Any, Any]
Fault = Callable[["World", "Incarnation", ConnectionEnd | None], float | None]

RESTART_S, POWER_S = 0.3, 1.0
HEARTBEAT_INTERVAL_S = 1.5
CALL_TIMEOUT_S = 1.0  # an operator then tries another controller
MAX_REDIRECTS = 2  # redirects that an operator follows for one call


class Machine:
    """A machine with one process and a disk. ``counted``: whether its controller may become a member."""

    def __init__(self, world: World, name: str, ip: str, controller: bool, counted: bool = True) -> None:
        self.name, self.ip, self.is_controller, self.counted = name, ip, controller, counted
        self.number = len(world.machines)
        self.disk = Disk(world.env)
        self.incarnation: Incarnation | None = None
        self.heartbeats = 0

    @property
    def program(self) -> Any:
        """The running program, or None."""
        return self.incarnation.program if self.incarnation is not None and self.incarnation.alive else None


class Incarnation:
    """One incarnation of a machine's process: from its start to its end."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.host, self.alive = machine, machine.ip, True
        self.program: Any = None
        self.frozen_until = 0.0
        self.pending_requests: set[simpy.Event] = set()
        self.coroutines: WeakSet[Any] = WeakSet()
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_INCARNATION.set, self)


class World:
    """A context manager that replaces the system interfaces of the programs until it exits.

    Fault points are numbered from 0 while ``recording_points``: each frame sent, each sync started and
    completed, each merge of items. ``fault`` is injected at the point numbered ``fault_index``.
    """

    def __init__(self, tolerance: Tolerance | None = None, zones: ZoneLayout = ONE_ZONE) -> None:
        self.env = Clock(0.0)
        self.loop = VirtualLoop(self.env)
        self.network = Network(self.loop, lambda end, _: self.reach_fault_point("send", end.incarnation, end))
        self.zone_layout = zones
        self.tolerance = tolerance if tolerance is not None else zones.tolerance
        self.machines: dict[str, Machine] = {}
        self.founders: list[Machine] = []
        self.checker = InvariantChecker(self)
        self.recording_points, self.fault_index, self.fault = False, -1, None  # type: bool, int, Fault | None
        self.fault_points: list[tuple[str, str]] = []  # kind and machine
        self.last_disturbance_at = -1e9
        self._urandom_calls = 0
        self._patches: list[Any] = [
            mock.patch("mesh.dissemination.peers.connect", self.network.connect),
            mock.patch("mesh.data_plane.peer_calls.connect", self.network.connect),
            mock.patch("mesh.control_plane.program.listen", self.network.listen),
            mock.patch("mesh.data_plane.program.listen", self.network.listen),
            mock.patch("mesh.control_plane.disk_opening.DiskStore", DiskStoreFactory(self)),
            mock.patch("mesh.transport.http_calls.HttpServer.listen", _fake_listen),
            mock.patch("mesh.control_plane.program.time", SimpleNamespace(time=self._time)),
            mock.patch("mesh.data_plane.program.time", SimpleNamespace(time=self._time)),
            mock.patch("mesh.control_plane.program.os", SimpleNamespace(urandom=self._urandom)),
            mock.patch("mesh.data_plane.program.os", SimpleNamespace(urandom=self._urandom)),
            # Makes the iteration order of sets of channels deterministic.
            mock.patch.object(Channel, "__hash__", self._serial_channel_hash()),
            mock.patch.object(Store, "merge_answer", self._count_merges(Store.merge_answer)),
            mock.patch.object(Store, "_put", self.checker.wrap_put(Store._put)),
        ]

    def __enter__(self) -> Self:
        gc.disable()
        for patch in self._patches:
            patch.start()
        return self

    def __exit__(self, kind: type[BaseException] | None, _: object, __: TracebackType | None) -> None:
        for patch in self._patches:
            patch.stop()
        for machine in self.machines.values():
            if machine.incarnation is not None:
                machine.incarnation.alive = False
                close_unstarted(machine.incarnation.coroutines)
        close_started_coroutines()
        self.loop.close()
        gc.enable()

    def _serial_channel_hash(self) -> Callable[[Channel], int]:
        count = itertools.count()

        def serial_hash(channel: Channel) -> int:
            if not hasattr(channel, "serial"):
                channel.serial = next(count)  # type: ignore[attr-defined]
            return int(channel.serial)  # type: ignore[attr-defined]

        return serial_hash

    def _time(self) -> float:
        return 1.7e9 + self.env.now

    def _urandom(self, size: int) -> bytes:
        self._urandom_calls += 1
        return self._urandom_calls.to_bytes(size, "big")

    def _count_merges(self, merge: Any) -> Any:
        def merge_and_count(store: Store, items: Any, vector: Any) -> Any:
            incarnation = CURRENT_INCARNATION.get(None)
            if incarnation is not None and store is incarnation.program.config_store:
                self.reach_fault_point("merge", incarnation)
            return merge(store, items, vector)

        return merge_and_count

    # Fault points

    def reach_fault_point(
        self, kind: str, incarnation: Incarnation, end: ConnectionEnd | None = None
    ) -> float | None:
        """Returns the extra delay of a frame in seconds, or None if it is lost with its connection."""
        if not self.recording_points or not incarnation.alive:
            return 0.0
        number = len(self.fault_points)
        self.fault_points.append((kind, incarnation.machine.name))
        if number == self.fault_index and self.fault is not None:
            self.note_disturbance()
            return self.fault(self, incarnation, end)
        return 0.0

    def note_disturbance(self) -> None:
        """Checks that apply to an undisturbed mesh are suspended for a while."""
        self.last_disturbance_at = float(self.env.now)

    # Machines

    def add(self, name: str, ip: str, controller: bool = True, counted: bool = True) -> Machine:
        machine = self.machines[name] = Machine(self, name, ip, controller, counted)
        return machine

    def settings(self, machine: Machine, cold: bool) -> Settings:
        ip = machine.ip
        return Settings(
            node=machine.name,
            role="core" if machine.is_controller else "side",
            machine_class="core" if machine.is_controller else "auxiliary",
            serves=("supervisor",) if machine.is_controller else ("auxiliary",),
            ip=ip,
            zone=self.zone(machine),
            region="r",
            port_range=(7660, 7675),
            seeds=tuple((founder.ip, 8146) for founder in self.founders),
            cold_boot=cold,
            counted=machine.counted,
            state_dir="/nowhere" if machine.is_controller else "",
            beat_period_ms=HEARTBEAT_INTERVAL_S * 1000.0,
            upstream=None if machine.is_controller else (ip, 8147),
            plant="" if machine.is_controller else self.service(machine),
            zones=MappingProxyType({self.zone(machine): "r"}),
            ports=Ports((ip, 8145), (ip, 8141), (ip, 8140), (ip, 8146)),
            limits=MachineLimits(0.86, 1, 300, 4100, 1000.0, 64),
            tolerance=self.tolerance,
            bounds=Bounds(),
            invariants=(),
            unknown=(),
        )

    def start(self, machine: Machine, cold: bool = False) -> None:
        if machine.program is not None or machine.ip in self.network.powered_off:
            return
        incarnation = machine.incarnation = Incarnation(machine)
        incarnation.context.run(self.loop.create_task, self._create_and_start(incarnation, cold))

    async def _create_and_start(self, incarnation: Incarnation, cold: bool) -> None:
        machine = incarnation.machine
        settings = self.settings(machine, cold)
        event_log = EventLog(machine.name, io.StringIO(), Level.ERROR, self._time)
        if machine.is_controller:
            incarnation.program = Controller(settings, event_log)
        else:
            incarnation.program = Proxy(settings, event_log)
            incarnation.program.client_listener.listen = lambda address: None
            self.env.process(self._run_upstream(incarnation))
        self.instrument(incarnation)
        await incarnation.program.start()

    def instrument(self, incarnation: Incarnation) -> None:
        """Called with a created program before its start; subclasses replace parts of it here."""

    def service(self, machine: Machine) -> str:
        """The service of the upstream beside a proxy."""
        return "p"

    def zone(self, machine: Machine) -> str:
        return self.zone_layout.name(machine.number)

    def _run_upstream(self, incarnation: Incarnation) -> Script:
        """Heartbeats of the upstream beside a proxy. Its instance id depends on the machine alone, and its
        sample count continues over restarts of the proxy."""
        while incarnation.alive:
            incarnation.machine.heartbeats += 1
            heartbeat = {
                "plant": self.service(incarnation.machine),
                "address": f"{incarnation.host}:8147",
                "zone": self.zone(incarnation.machine),
                "epoch": "v1",
                "capacity": 4,
                "state": "settled",
                "warmup_left_ms": 0,
                "sample_count": incarnation.machine.heartbeats,
            }
            body, target = msgspec.json.encode(heartbeat), f"/instances/i-{incarnation.machine.name}".encode()
            message = http.Message(method=b"PUT", target=target, body=body)
            yield self.send_request(incarnation, incarnation.program.registry.handle, message)
            yield self.env.timeout(HEARTBEAT_INTERVAL_S)

    def controllers(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.is_controller]

    def programs(self, controllers: bool) -> list[tuple[Machine, Any]]:
        """The running controllers or proxies."""
        machines = [machine for machine in self.machines.values() if machine.is_controller is controllers]
        return [(machine, machine.program) for machine in machines if machine.program is not None]

    # Faults

    def kill(self, machine: Machine, silently: bool = False) -> None:
        """Kills the process; ``silently``: without a reset of its connections, as after a power loss."""
        self.note_disturbance()
        incarnation = machine.incarnation
        if incarnation is None or not incarnation.alive:
            return
        incarnation.alive = False
        close_unstarted(incarnation.coroutines)
        self.network.close_connections_of(incarnation, silently)
        for call in incarnation.pending_requests:
            call.succeed(None)
        incarnation.pending_requests.clear()

    def restart(self, machine: Machine, after_s: float = RESTART_S) -> None:
        def later() -> Script:
            yield self.env.timeout(after_s)
            self.note_disturbance()
            if machine.ip in self.network.powered_off:
                self.network.power_on(machine.ip)
            self.start(machine)

        self.env.process(later())

    def power_off(self, machine: Machine) -> None:
        self.network.powered_off.add(machine.ip)
        self.kill(machine, silently=True)

    def freeze(self, machine: Machine, seconds: float) -> None:
        """Its process runs nothing for that time; events that arrive are handled afterwards."""
        self.note_disturbance()
        if machine.incarnation is not None:
            machine.incarnation.frozen_until = float(self.env.now) + seconds

    def partition(self, group: Sequence[Machine], others: Sequence[Machine], both_ways: bool = True) -> None:
        self.note_disturbance()
        for one in group:
            for other in others:
                self.network.blocked_paths.add((one.ip, other.ip))
                if both_ways:
                    self.network.blocked_paths.add((other.ip, one.ip))

    def heal(self) -> None:
        self.note_disturbance()
        self.network.heal()

    def count_reachable_members(self, machine: Machine) -> int:
        """The number of members with a running process and a path in both directions, including this one."""
        return sum(
            other is machine or not self.network.is_partitioned(machine.ip, other.ip)
            for other, _ in self.programs(controllers=True)
            if other.counted
        )

    # Requests

    def send_request(
        self,
        incarnation: Incarnation,
        handle: Callable[[http.Message], Awaitable[Answer]],
        message: http.Message,
    ) -> simpy.Event:
        """One HTTP request; the event's value is the answer, or None if the process ends first."""
        event = self.env.event()
        incarnation.pending_requests.add(event)

        async def run() -> None:
            answer = await handle(message)
            incarnation.pending_requests.discard(event)
            if not event.triggered:
                event.succeed(answer)

        incarnation.context.run(self.loop.create_task, run())
        return event

    def operator_call(self, machine: Machine, method: bytes, body: bytes = b"") -> Script:
        """A call of the operator API; None if there is no answer in time. The checker examines the answer."""
        incarnation = machine.incarnation
        if incarnation is None or not incarnation.alive or incarnation.program is None:
            yield self.env.timeout(0.01)
            return None
        message = http.Message(method=method, target=b"/configuration", body=body)
        began = float(self.env.now)
        # A write needs more than half of the members. Half is enough for a read, since it overlaps with every
        # write.
        too_few = (
            self.checker.member_count() // 2 if method == b"PATCH" else (self.checker.member_count() - 1) // 2
        )
        lacks_majority = self.count_reachable_members(machine) <= too_few
        event = self.send_request(incarnation, incarnation.program.operator_api.handle, message)
        yield event | self.env.timeout(CALL_TIMEOUT_S)
        answer: Answer | None = event.value if event.triggered else None
        lacks_majority = (
            lacks_majority
            and self.count_reachable_members(machine) <= too_few
            and self.last_disturbance_at < began
        )
        if answer is not None:
            self.checker.check_answer(machine, incarnation, method, body, answer, began, lacks_majority)
        return answer

    def get(self, machine: Machine) -> Script:
        return (yield from self.operator_call(machine, b"GET"))

    def patch(self, machine: Machine, body: bytes, valid: bool = True) -> Script:
        self.checker.record_sent(body, valid)
        return (yield from self.operator_call(machine, b"PATCH", body))

    def commit(self, machines: Sequence[Machine], body: bytes, tries: int = 40) -> Script:
        """Sends a write to the machines in turn until it is accepted or refused; follows up to two redirects
        a try."""
        for number in range(tries):
            machine = machines[number % len(machines)]
            answer = yield from self.patch(machine, body)
            for _ in range(MAX_REDIRECTS):
                if answer is None or answer.status != 307:
                    break
                other = self.machine_at(answer.location)
                if other is None:
                    break
                answer = yield from self.patch(other, body)
            if answer is not None and answer.status != 307 and answer.status < 500:
                return answer
            yield self.env.timeout(min(0.05 * (number + 1), 0.3))
        return None

    def machine_at(self, location: str) -> Machine | None:
        """The machine with this operator API address, or None if there is none."""
        host = location.removeprefix("http://").partition(":")[0]
        return next((machine for machine in self.machines.values() if machine.ip == host), None)

    # Scripts

    def wait_until(self, condition: Callable[[], bool], within_s: float, what: str) -> Script:
        end = self.env.now + within_s
        while not condition():
            if self.env.now >= end:
                self.checker.violations.append(f"not within {within_s:g} s: {what}")
                return
            yield self.env.timeout(0.02)

    def boot(self, controllers: int, proxies: int = 1) -> Script:
        """First start of the mesh: waits until up to three founders are members, then starts further
        controllers in turn."""
        self.founders = [self.add(f"c{n}", f"10.0.0.{n}") for n in range(1, min(controllers, 3) + 1)]
        proxy_machines = [self.add(f"s{n}", f"10.0.1.{n}", controller=False) for n in range(1, proxies + 1)]
        for machine in self.founders + proxy_machines:
            self.start(machine, cold=True)
        yield from self.wait_for_members(self.founders)
        for number in range(4, controllers + 1):
            machine = self.add(f"c{number}", f"10.0.0.{number}")
            self.start(machine)
            yield from self.wait_for_members([machine])

    def wait_for_members(self, machines: Sequence[Machine], within_s: float = 10.0) -> Script:
        """Until these are members by their own view and by the newest view of all running controllers."""

        def all_joined() -> bool:
            views = [program.member_set.view() for _, program in self.programs(controllers=True)]
            newest = max(views, key=lambda view: view.epoch, default=EMPTY_VIEW)
            for machine in machines:
                program = machine.program
                if (
                    program is None
                    or not program.joining.settled()
                    or not program.contact_probes.has_contact()
                ):
                    return False
                if program.member_set.view().epoch != newest.epoch:
                    return False
                if machine.counted != (machine.ip in newest.members):
                    return False
            return True

        yield from self.wait_until(all_joined, within_s, f"{[m.name for m in machines]} are members")

    def run(self, script: Callable[[World], Script]) -> list[str]:
        """Runs the script and returns the violations. Raises what the script raises."""
        done = self.loop.create_future()

        def play() -> Script:
            try:
                yield from script(self)
            except BaseException as fault:  # otherwise the loop stops before simpy raises it
                done.set_exception(fault)
            else:
                done.set_result(None)

        self.env.process(play())
        self.loop.run_until_complete(done)
        return self.checker.violations + self.loop.errors


async def _fake_listen(_: object, address: tuple[str, int]) -> tuple[str, int]:
    await asyncio.sleep(0)
    return address
