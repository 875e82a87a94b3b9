"""Machines of a mesh, their processes' lives, and what befalls them. The programs are the shipped ones."""

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
from simulation.mesh.clock import LIFE, Clock, VirtualLoop, close_all, forget
from simulation.mesh.disk import Disk, Opens
from simulation.mesh.wire import End, Wire
from simulation.mesh.witness import Witness
from simulation.mesh.zones import ONE_ZONE, Zones

Script = Generator[simpy.Event, Any, Any]
Fault = Callable[["World", "Life", End | None], float | None]

RESTART_S, POWER_S = 0.3, 1.0
BEAT_S = 1.5
SILENCE_S = 1.0  # after which an operator goes elsewhere
FOLLOWED = 2  # redirections of one call


class Machine:
    def __init__(self, world: World, name: str, ip: str, core: bool, counted: bool = True) -> None:
        self.name, self.ip, self.core, self.counted = name, ip, core, counted
        self.number = len(world.machines)
        self.disk = Disk(world.env)
        self.life: Life | None = None
        self.beats = 0

    @property
    def program(self) -> Any:
        """The program as it runs now, or None."""
        return self.life.program if self.life is not None and self.life.alive else None


class Life:
    """One start of one process."""

    def __init__(self, machine: Machine) -> None:
        self.machine, self.host, self.alive = machine, machine.ip, True
        self.program: Any = None
        self.frozen_until = 0.0
        self.calls: set[simpy.Event] = set()
        self.coros: WeakSet[Any] = WeakSet()
        self.context = contextvars.copy_context()
        self.context.run(LIFE.set, self)


class World:
    """Use as a context: it patches what the programs take from the system, until it ends.

    Points are numbered from 0 while ``counting``: each frame sent, each sync begun and done, each merge.
    ``fault`` strikes at the point numbered ``at``.
    """

    def __init__(self, tolerance: Tolerance | None = None, zones: Zones = ONE_ZONE) -> None:
        self.env = Clock(0.0)
        self.loop = VirtualLoop(self.env)
        self.wire = Wire(self.loop, lambda end, _: self.point("send", end.life, end))
        self.placing = zones
        self.tolerance = tolerance if tolerance is not None else zones.tolerance
        self.machines: dict[str, Machine] = {}
        self.founders: list[Machine] = []
        self.witness = Witness(self)
        self.counting, self.at, self.fault = False, -1, None  # type: bool, int, Fault | None
        self.points: list[tuple[str, str]] = []  # kind and machine
        self.troubled_at = -1e9
        self._lives = 0
        self._patches: list[Any] = [
            mock.patch("mesh.dissemination.peers.connect", self.wire.connect),
            mock.patch("mesh.data_plane.peer_calls.connect", self.wire.connect),
            mock.patch("mesh.control_plane.program.listen", self.wire.listen),
            mock.patch("mesh.data_plane.program.listen", self.wire.listen),
            mock.patch("mesh.control_plane.disk_opening.DiskStore", Opens(self)),
            mock.patch("mesh.transport.http_calls.HttpServer.listen", _listens),
            mock.patch("mesh.control_plane.program.time", SimpleNamespace(time=self._time)),
            mock.patch("mesh.data_plane.program.time", SimpleNamespace(time=self._time)),
            mock.patch("mesh.control_plane.program.os", SimpleNamespace(urandom=self._urandom)),
            mock.patch("mesh.data_plane.program.os", SimpleNamespace(urandom=self._urandom)),
            mock.patch.object(Channel, "__hash__", self._hashes()),  # sets of them have one order
            mock.patch.object(Store, "merge_answer", self._merges(Store.merge_answer)),
            mock.patch.object(Store, "_put", self.witness.puts(Store._put)),
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
            if machine.life is not None:
                machine.life.alive = False
                forget(machine.life.coros)
        close_all()
        self.loop.close()
        gc.enable()

    def _hashes(self) -> Callable[[Channel], int]:
        count = itertools.count()

        def hashes(channel: Channel) -> int:
            if not hasattr(channel, "serial"):
                channel.serial = next(count)  # type: ignore[attr-defined]
            return int(channel.serial)  # type: ignore[attr-defined]

        return hashes

    def _time(self) -> float:
        return 1.7e9 + self.env.now

    def _urandom(self, size: int) -> bytes:
        self._lives += 1
        return self._lives.to_bytes(size, "big")

    def _merges(self, merge: Any) -> Any:
        def merges(store: Store, items: Any, vector: Any) -> Any:
            life = LIFE.get(None)
            if life is not None and store is life.program.config_store:
                self.point("merge", life)
            return merge(store, items, vector)

        return merges

    # Points

    def point(self, kind: str, life: Life, end: End | None = None) -> float | None:
        """Seconds that a frame is late; None where it is lost with its connection."""
        if not self.counting or not life.alive:
            return 0.0
        number = len(self.points)
        self.points.append((kind, life.machine.name))
        if number == self.at and self.fault is not None:
            self.trouble()
            return self.fault(self, life, end)
        return 0.0

    def trouble(self) -> None:
        self.troubled_at = float(self.env.now)

    # Machines

    def add(self, name: str, ip: str, core: bool = True, counted: bool = True) -> Machine:
        machine = self.machines[name] = Machine(self, name, ip, core, counted)
        return machine

    def settings(self, machine: Machine, cold: bool) -> Settings:
        ip = machine.ip
        return Settings(
            node=machine.name,
            role="core" if machine.core else "side",
            machine_class="core" if machine.core else "auxiliary",
            serves=("supervisor",) if machine.core else ("auxiliary",),
            ip=ip,
            zone=self.zone(machine),
            region="r",
            port_range=(7660, 7675),
            seeds=tuple((founder.ip, 8146) for founder in self.founders),
            cold_boot=cold,
            counted=machine.counted,
            state_dir="/nowhere" if machine.core else "",
            beat_period_ms=BEAT_S * 1000.0,
            upstream=None if machine.core else (ip, 8147),
            plant="" if machine.core else self.service(machine),
            zones=MappingProxyType({self.zone(machine): "r"}),
            ports=Ports((ip, 8145), (ip, 8141), (ip, 8140), (ip, 8146)),
            limits=MachineLimits(0.86, 1, 300, 4100, 1000.0, 64),
            tolerance=self.tolerance,
            bounds=Bounds(),
            invariants=(),
            unknown=(),
        )

    def start(self, machine: Machine, cold: bool = False) -> None:
        if machine.program is not None or machine.ip in self.wire.off:
            return
        life = machine.life = Life(machine)
        life.context.run(self.loop.create_task, self._begin(life, cold))

    async def _begin(self, life: Life, cold: bool) -> None:
        machine = life.machine
        settings = self.settings(machine, cold)
        event_log = EventLog(machine.name, io.StringIO(), Level.ERROR, self._time)
        if machine.core:
            life.program = Controller(settings, event_log)
        else:
            life.program = Proxy(settings, event_log)
            life.program.client_listener.listen = lambda address: None
            self.env.process(self._upstream(life))
        self.dress(life)
        await life.program.start()

    def dress(self, life: Life) -> None:
        """A process is made and not started yet; other rigs put their own parts into it here."""

    def service(self, machine: Machine) -> str:
        """Of the upstream beside a sidecar."""
        return "p"

    def zone(self, machine: Machine) -> str:
        return self.placing.name(machine.number)

    def _upstream(self, life: Life) -> Script:
        """The upstream beside a sidecar: its id is of the machine, its count goes on over lives."""
        while life.alive:
            life.machine.beats += 1
            told = {
                "plant": self.service(life.machine),
                "address": f"{life.host}:8147",
                "zone": self.zone(life.machine),
                "epoch": "v1",
                "capacity": 4,
                "state": "settled",
                "warmup_left_ms": 0,
                "sample_count": life.machine.beats,
            }
            body, target = msgspec.json.encode(told), f"/instances/i-{life.machine.name}".encode()
            message = http.Message(method=b"PUT", target=target, body=body)
            yield self.ask(life, life.program.registry.handle, message)
            yield self.env.timeout(BEAT_S)

    def controllers(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.core]

    def programs(self, core: bool) -> list[tuple[Machine, Any]]:
        """Those that run."""
        machines = [machine for machine in self.machines.values() if machine.core is core]
        return [(machine, machine.program) for machine in machines if machine.program is not None]

    # Trouble

    def kill(self, machine: Machine, silently: bool = False) -> None:
        self.trouble()
        life = machine.life
        if life is None or not life.alive:
            return
        life.alive = False
        forget(life.coros)
        self.wire.killed(life, silently)
        for call in life.calls:
            call.succeed(None)
        life.calls.clear()

    def restart(self, machine: Machine, after_s: float = RESTART_S) -> None:
        def later() -> Script:
            yield self.env.timeout(after_s)
            self.trouble()
            if machine.ip in self.wire.off:
                self.wire.back(machine.ip)
            self.start(machine)

        self.env.process(later())

    def power_off(self, machine: Machine) -> None:
        self.wire.off.add(machine.ip)
        self.kill(machine, silently=True)

    def freeze(self, machine: Machine, seconds: float) -> None:
        """Its process runs nothing for so long; what comes meanwhile waits."""
        self.trouble()
        if machine.life is not None:
            machine.life.frozen_until = float(self.env.now) + seconds

    def cut(self, ones: Sequence[Machine], others: Sequence[Machine], both: bool = True) -> None:
        self.trouble()
        for one in ones:
            for other in others:
                self.wire.cut.add((one.ip, other.ip))
                if both:
                    self.wire.cut.add((other.ip, one.ip))

    def heal(self) -> None:
        self.trouble()
        self.wire.heal()

    def reaches(self, machine: Machine) -> int:
        """Members whose machine runs and has a path both ways to this one, itself included."""
        return sum(
            other is machine or not self.wire.parted(machine.ip, other.ip)
            for other, _ in self.programs(core=True)
            if other.counted
        )

    # Calls

    def ask(
        self, life: Life, handle: Callable[[http.Message], Awaitable[Answer]], message: http.Message
    ) -> simpy.Event:
        """One HTTP call; the event's value is its answer, or None where the process ends before."""
        event = self.env.event()
        life.calls.add(event)

        async def run() -> None:
            answer = await handle(message)
            life.calls.discard(event)
            if not event.triggered:
                event.succeed(answer)

        life.context.run(self.loop.create_task, run())
        return event

    def call(self, machine: Machine, method: bytes, body: bytes = b"") -> Script:
        """An operator's call at one machine; None is no clear answer. What was said is the witness's."""
        life = machine.life
        if life is None or not life.alive or life.program is None:
            yield self.env.timeout(0.01)
            return None
        message = http.Message(method=method, target=b"/configuration", body=body)
        began = float(self.env.now)
        # A write wants more than half; half of them is enough for a read, since it meets every write.
        too_few = self.witness.members() // 2 if method == b"PATCH" else (self.witness.members() - 1) // 2
        apart = self.reaches(machine) <= too_few
        event = self.ask(life, life.program.operator_api.handle, message)
        yield event | self.env.timeout(SILENCE_S)
        answer: Answer | None = event.value if event.triggered else None
        apart = apart and self.reaches(machine) <= too_few and self.troubled_at < began
        if answer is not None:
            self.witness.answered(machine, life, method, body, answer, began, apart)
        return answer

    def get(self, machine: Machine) -> Script:
        return (yield from self.call(machine, b"GET"))

    def patch(self, machine: Machine, body: bytes, valid: bool = True) -> Script:
        self.witness.sends(body, valid)
        return (yield from self.call(machine, b"PATCH", body))

    def commit(self, machines: Sequence[Machine], body: bytes, tries: int = 40) -> Script:
        """One operator: the same call, at one machine after the other, until it is taken; a 307 is followed
        twice."""
        for number in range(tries):
            machine = machines[number % len(machines)]
            answer = yield from self.patch(machine, body)
            for _ in range(FOLLOWED):
                if answer is None or answer.status != 307:
                    break
                other = self.named(answer.location)
                if other is None:
                    break
                answer = yield from self.patch(other, body)
            if answer is not None and answer.status != 307 and answer.status < 500:
                return answer
            yield self.env.timeout(min(0.05 * (number + 1), 0.3))
        return None

    def named(self, location: str) -> Machine | None:
        """Whose control address that is; None for a machine that is gone."""
        host = location.removeprefix("http://").partition(":")[0]
        return next((machine for machine in self.machines.values() if machine.ip == host), None)

    # Scripts

    def until(self, holds: Callable[[], bool], within_s: float, what: str) -> Script:
        end = self.env.now + within_s
        while not holds():
            if self.env.now >= end:
                self.witness.broken.append(f"not within {within_s:g} s: {what}")
                return
            yield self.env.timeout(0.02)

    def boot(self, cores: int, proxies: int = 1) -> Script:
        """The first start of all: the founders, up to three, are whole at its end, later ones join."""
        self.founders = [self.add(f"c{n}", f"10.0.0.{n}") for n in range(1, min(cores, 3) + 1)]
        sides = [self.add(f"s{n}", f"10.0.1.{n}", core=False) for n in range(1, proxies + 1)]
        for machine in self.founders + sides:
            self.start(machine, cold=True)
        yield from self.joined(self.founders)
        for number in range(4, cores + 1):
            machine = self.add(f"c{number}", f"10.0.0.{number}")
            self.start(machine)
            yield from self.joined([machine])

    def joined(self, machines: Sequence[Machine], within_s: float = 10.0) -> Script:
        """Until these count, by their own word and by the newest view of all that run."""

        def all_count() -> bool:
            views = [program.member_set.view() for _, program in self.programs(core=True)]
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

        yield from self.until(all_count, within_s, f"{[m.name for m in machines]} count as members")

    def run(self, script: Callable[[World], Script]) -> list[str]:
        """Plays the script to its end; what was broken, a line each. Raises what the script raises."""
        done = self.loop.create_future()

        def play() -> Script:
            try:
                yield from script(self)
            except BaseException as fault:  # the loop would stop before simpy comes to raise it
                done.set_exception(fault)
            else:
                done.set_result(None)

        self.env.process(play())
        self.loop.run_until_complete(done)
        return self.witness.broken + self.loop.faults


async def _listens(_: object, address: tuple[str, int]) -> tuple[str, int]:
    await asyncio.sleep(0)
    return address
