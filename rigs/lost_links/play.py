"""Real sidecars with a relay in front of each peer port, upstreams, clients, and faults that are drawn from a
seed. A run takes a given time.
"""

from __future__ import annotations

import asyncio
import math
import random
import resource
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from rigs.lost_links.between import HoldingRelay, release_held, reset_half
from rigs.lost_links.callers import MAX_FREEZE_S, Clients, Route
from rigs.lost_links.ledger import InjectedFault, Ledger, LostCall
from rigs.lost_links.upstreams import RecordingUpstream
from rigs.mesh_demo import FIRST_CONTROLLER_HOST, FIRST_PROXY_HOST, Mesh
from rigs.mesh_peers import Operator, free_ports, patch_body, poll_until, route
from rigs.relay import Faults

START_TIMEOUT_S = 30.0
RESTART_TIMEOUT_S = 20.0
TERMINATION_TIMEOUT_S = 8.0  # beyond grace_s of the settings file
# Of the watchdog. A delay of more than STALL_S is recorded as a stall of this process.
WATCH_INTERVAL_S, STALL_S = 0.05, 0.2
ROUTES = [
    Route("/at-read/", "red", False),
    Route("/at-pay/", "red", True),
    Route("/at-list/", "blue", False),
    Route("/at-order/", "blue", True),
]
SETPOINT_MS, HORIZON_MS = 400, 2500


@dataclass(frozen=True, slots=True)
class RunSettings:
    proxies: int = 6
    connections: int = 12  # of clients, at each sidecar
    pause_s: float = 0.02  # between two batches of a connection
    capacity: int = 6
    misbehavior: float = 1.0  # factor of the shares in upstreams.BEHAVIOR_SHARES
    large_share: float = 0.0  # share of request and answer bodies of 5 MiB
    fault_interval_s: tuple[float, float] = (0.2, 0.8)  # between two faults
    disabled_guards: tuple[str, ...] = ()  # in the sidecars, see hop.GUARDS


class Machine:
    """One machine: a sidecar, its upstream and the relay in front of it."""

    def __init__(self, index: int, service: str, relay: HoldingRelay) -> None:
        self.index, self.service, self.relay = index, service, relay
        self.node = f"proxy-{index}"
        self.incarnations = 0  # of its upstream
        self.upstream: RecordingUpstream | None = None
        self.faulty = False  # a fault is being applied to it


class LostLinksRun:
    def __init__(self, folder: Path, settings: RunSettings, seed: int) -> None:
        self.folder, self.settings = folder, settings
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.mesh = Mesh.create(folder, 1, settings.proxies)
        (self.peer_port,) = free_ports(
            [f"{self.mesh.network}.{FIRST_PROXY_HOST + index}" for index in range(settings.proxies)], 1
        )
        self.mesh.command = lambda program, _: (
            *("-m", "rigs.lost_links.hop", program, str(self.peer_port), str(folder)),
            *settings.disabled_guards,
        )
        self.clients = Clients(self.ledger, ROUTES, seed, settings.pause_s, settings.large_share)
        self.machines: list[Machine] = []
        self.applied_faults: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self.failed_fault = ""  # a fault that could not be applied

    async def run(self, seconds: float, script: Sequence[str] | None = None) -> None:
        """Applies faults for that time, drawn evenly from the entries of ``script``, then waits until every
        call has ended. Raises TimeoutError if the mesh does not start."""
        try:
            await self._start()
            watch = asyncio.get_running_loop().create_task(self._watch_for_stalls())
            self._tasks.add(watch)
            started_at = time.monotonic()
            while time.monotonic() - started_at < seconds:
                await asyncio.sleep(self.rng.uniform(*self.settings.fault_interval_s))
                self._inject(self.rng.choice(script or FAULT_SCRIPT))
            for task in list(self._tasks - {watch}):
                await task
            await self.clients.end()
        except BaseException:
            print(self.mesh.log_tails(), file=sys.stderr)
            raise
        finally:
            await self._stop()
        self._read_lost_calls()

    async def _start(self) -> None:
        settings, network = self.settings, self.mesh.network
        await self.mesh.start_controller(0)
        for index in range(settings.proxies):
            ip = f"{network}.{FIRST_PROXY_HOST + index}"
            relay = HoldingRelay(ip, self.peer_port, self.rng.getrandbits(32), at=(ip, self.mesh.ports[0]))
            machine = Machine(index, ("red", "blue")[index % 2], relay)
            self.machines.append(machine)
            await self._new_upstream(machine)
            assert machine.upstream is not None
            await self.mesh.start_proxy(index, machine.upstream)
        operator = Operator([self.mesh.control(FIRST_CONTROLLER_HOST)])
        routes = [
            route(
                spec.prefix.strip("/"),
                spec.prefix,
                spec.service,
                effectful=spec.effectful,
                setpoint_ms=SETPOINT_MS,
                horizon_ms=HORIZON_MS,
            )
            for spec in ROUTES
        ]
        await operator.change(patch_body(*routes, services=("red", "blue")), START_TIMEOUT_S)
        for machine in self.machines:
            await poll_until(
                lambda at=machine.index: self.mesh.is_ready(FIRST_PROXY_HOST + at),  # type: ignore[misc]
                START_TIMEOUT_S,
            )
        for machine in self.machines:
            self.clients.add(
                machine.index, self.mesh.outbound(FIRST_PROXY_HOST + machine.index), settings.connections
            )

    async def _new_upstream(self, machine: Machine) -> None:
        """Starts a new incarnation at the machine's address; the last one has ended."""
        port = 0
        if machine.upstream is not None:
            port = machine.upstream.address[1]
            machine.upstream.close()
        machine.incarnations += 1
        name = f"{machine.service}-{machine.index}-{machine.incarnations}"
        upstream = RecordingUpstream(
            self.ledger,
            machine.node,
            name,
            machine.service,
            self.rng.getrandbits(32),
            self.settings.capacity,
            self.settings.misbehavior,
            self.settings.large_share,
        )
        await upstream.start(f"{self.mesh.network}.{FIRST_PROXY_HOST + machine.index}", port)
        machine.upstream = upstream

    def _restart_heartbeats(self, machine: Machine) -> None:
        """Sends heartbeats of the current incarnation instead of the last one."""
        assert machine.upstream is not None
        for task in [task for task in self.mesh.heartbeat_tasks if task.get_name() == str(machine.index)]:
            task.cancel()
            self.mesh.heartbeat_tasks.discard(task)
        before = set(self.mesh.heartbeat_tasks)
        self.mesh.start_heartbeats(machine.index, machine.upstream)
        for task in self.mesh.heartbeat_tasks - before:
            task.set_name(str(machine.index))

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self.mesh.stop()
        for machine in self.machines:
            machine.relay.close()
            if machine.upstream is not None:
                machine.upstream.close()

    def _read_lost_calls(self) -> None:
        for file in self.folder.glob("lost-*.txt"):
            for line in file.read_text().splitlines():
                key, peer, lost_at, queried, reason = line.split(" ", 4)
                self.ledger.lost_calls.append(LostCall(key, peer, float(lost_at), queried == "1", reason))

    async def _watch_for_stalls(self) -> None:
        """Records stalls of this process, which happen on a busy machine and affect all links."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = time.monotonic()
            if now - before > WATCH_INTERVAL_S + STALL_S:
                self.applied_faults["rig stood"] += 1
                self.ledger.faults.append(InjectedFault("rig stood", None, before, now))

    # Faults

    def _inject(self, name: str) -> None:
        if name == "half":
            reset_half([machine.relay for machine in self.machines], self.rng)
            self.applied_faults[name] += 1
            self.ledger.faults.append(InjectedFault(name, None, time.monotonic(), time.monotonic()))
            return
        if name == "none":
            return
        available = [machine for machine in self.machines if not machine.faulty]
        if len(available) <= len(self.machines) - 2 and name in PROCESS_FAULTS:
            return  # at most two at once
        if not available:
            return
        machine = self.rng.choice(available)
        self.applied_faults[name] += 1
        task = asyncio.get_running_loop().create_task(self._apply(name, machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply(self, name: str, machine: Machine) -> None:
        machine.faulty = True
        injected = InjectedFault(name, machine.index, time.monotonic(), math.inf)
        self.ledger.faults.append(injected)
        try:
            await FAULTS[name](self, machine)
        except (OSError, TimeoutError) as error:
            self.failed_fault = f"{name} at {machine.node}: {error!r}"
        finally:
            machine.faulty, injected.ended_at = False, time.monotonic()

    async def _reset(self, machine: Machine) -> None:
        for connection in machine.relay.open():
            connection.reset()

    async def _apply_link_faults(self, machine: Machine, faults: Faults, seconds: float) -> None:
        machine.relay.set_faults(faults)
        await asyncio.sleep(seconds)
        machine.relay.set_faults(Faults())

    async def _silent(self, machine: Machine) -> None:
        await self._apply_link_faults(
            machine, Faults(to_target=False, to_client=False), self.rng.uniform(0.2, 1.5)
        )

    async def _silent_to_target(self, machine: Machine) -> None:
        await self._apply_link_faults(machine, Faults(to_target=False), self.rng.uniform(0.2, 1.5))

    async def _silent_to_client(self, machine: Machine) -> None:
        await self._apply_link_faults(machine, Faults(to_client=False), self.rng.uniform(0.2, 1.5))

    async def _slow(self, machine: Machine) -> None:
        delay_ms = self.rng.uniform(20.0, 200.0)
        await self._apply_link_faults(
            machine, Faults(delay_ms=delay_ms, jitter_ms=delay_ms), self.rng.uniform(0.5, 2.0)
        )

    async def _random_resets(self, machine: Machine) -> None:
        await self._apply_link_faults(machine, Faults(reset=0.1), self.rng.uniform(0.2, 1.0))

    async def _hold(self, machine: Machine) -> None:
        """Data under way arrives after its link was given up and its calls were queried over the next one."""
        to_target = self.rng.random() < 0.8
        held = machine.relay.hold(to_target, not to_target or self.rng.random() < 0.5)
        await asyncio.sleep(self.rng.uniform(0.6, 2.5))
        release_held(held)

    async def _freeze(self, machine: Machine) -> None:
        process = self.mesh.processes[machine.node]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.choice((0.3, 0.5, 0.7, 1.0, 2.0, MAX_FREEZE_S)))
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    async def _kill(self, machine: Machine) -> None:
        await self.mesh.kill(machine.node)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        await self._restart_proxy(machine)

    async def _term(self, machine: Machine) -> None:
        process = self.mesh.processes[machine.node]
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), TERMINATION_TIMEOUT_S)
        except TimeoutError:
            self.applied_faults["killed after term"] += 1
            await self.mesh.kill(machine.node)
        await self._restart_proxy(machine)

    async def _replace_upstream(self, machine: Machine) -> None:
        """Ends the upstream during its calls; a new incarnation starts at the same address."""
        await self._new_upstream(machine)
        self._restart_heartbeats(machine)

    async def _replace_machine(self, machine: Machine) -> None:
        """Ends the machine; its addresses are reused by one of the other service."""
        assert machine.upstream is not None
        machine.upstream.close()
        if self.rng.random() < 0.5:
            self.mesh.processes[machine.node].terminate()
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        await self.mesh.kill(machine.node)
        machine.service = "blue" if machine.service == "red" else "red"
        machine.node = f"proxy-{machine.index}-{machine.incarnations + 1}"
        await self._new_upstream(machine)
        self.mesh.write_proxy_settings(machine.index, machine.upstream)
        written = (self.folder / f"proxy-{machine.index}.toml").read_text()
        (self.folder / f"{machine.node}.toml").write_text(
            written.replace(f'"proxy-{machine.index}"', f'"{machine.node}"')
        )
        await self._restart_proxy(machine)

    async def _restart_proxy(self, machine: Machine) -> None:
        """Starts the sidecar again; the upstream may be a new one."""
        await self.mesh.restart(machine.node, "data_plane")
        self._restart_heartbeats(machine)
        await poll_until(lambda: self.mesh.is_ready(FIRST_PROXY_HOST + machine.index), RESTART_TIMEOUT_S)


FaultAction = Callable[[LostLinksRun, Machine], Awaitable[None]]
PROCESS_FAULTS = frozenset({"freeze", "kill", "term", "replace"})
FAULTS: dict[str, FaultAction] = {
    "reset": LostLinksRun._reset,
    "resets": LostLinksRun._random_resets,
    "silent": LostLinksRun._silent,
    "silent there": LostLinksRun._silent_to_target,
    "silent back": LostLinksRun._silent_to_client,
    "slow": LostLinksRun._slow,
    "held": LostLinksRun._hold,
    "freeze": LostLinksRun._freeze,
    "kill": LostLinksRun._kill,
    "term": LostLinksRun._term,
    "upstream": LostLinksRun._replace_upstream,
    "replace": LostLinksRun._replace_machine,
}
FREQUENT_FAULTS = (
    "reset",
    "resets",
    "silent",
    "silent there",
    "silent back",
    "slow",
    "held",
    "held",
    "freeze",
    "half",
)
FAULT_SCRIPT = FREQUENT_FAULTS * 2 + ("kill", "term", "upstream", "replace")


def cpu_s() -> float:
    """Processor time of this process and of its ended children."""
    own, children = resource.getrusage(resource.RUSAGE_SELF), resource.getrusage(resource.RUSAGE_CHILDREN)
    return own.ru_utime + own.ru_stime + children.ru_utime + children.ru_stime
