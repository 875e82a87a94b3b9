"""A small mesh of real processes on loopback, with its own address for each node.

    python -m rigs.mesh_demo

Starts three controllers and six proxies with stand-in upstreams. Under load a route changes to another
service, then a controller is killed, then a proxy. It prints what the clients of each machine saw, and exits.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from anisestair.http import codec as http
from rigs.fleet import kill_with_parent
from rigs.mesh_peers import (
    Address,
    Client,
    Operator,
    Upstream,
    call,
    free_ports,
    patch_body,
    poll_until,
    route,
    write_settings,
)

ROOT = Path(__file__).resolve().parent.parent
DEMO_TIMEOUT_S = 18.0
START_TIMEOUT_S = 8.0  # for nine interpreters on few cores
PROPAGATION_TIMEOUT_S = 4.0  # until a change is in force everywhere
HEARTBEAT_INTERVAL_S = 0.4
REQUEST_INTERVAL_S = 0.02  # of a client
CONTROLLERS, SERVICES = 3, ("red", "red", "red", "red", "blue", "blue")

FIRST_CONTROLLER_HOST, FIRST_PROXY_HOST = 11, 41  # the last part of the first node's address


def loopback_network() -> str:
    """Returns the first three parts of loopback addresses that are specific to this process."""
    number = os.getpid() % 60_000
    return f"127.{1 + number % 250}.{1 + number // 250}"


@dataclass
class Mesh:
    """Processes of both programs, with their files in ``folder``; all machines use the same ports."""

    folder: Path
    network: str
    ports: Sequence[int]  # of peers, control, outbound and readiness
    seeds: Sequence[str]
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    heartbeat_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    command: Callable[[str, str], Sequence[str]] = lambda program, _node: ("-m", f"mesh.{program}")

    @staticmethod
    def create(folder: Path, controllers: int, proxies: int) -> Mesh:
        network = loopback_network()
        ips = [f"{network}.{FIRST_CONTROLLER_HOST + at}" for at in range(controllers)] + [
            f"{network}.{FIRST_PROXY_HOST + at}" for at in range(proxies)
        ]
        return Mesh(folder, network, free_ports(ips, 4), ips[: min(controllers, 3)])

    def address(self, machine: int, port: int) -> Address:
        return f"{self.network}.{machine}", self.ports[port]

    def control(self, machine: int) -> Address:
        return self.address(machine, 1)

    def outbound(self, machine: int) -> Address:
        return self.address(machine, 2)

    async def start_controller(self, at: int) -> None:
        node = f"controller-{at}"
        disk = self.folder / f"disk-{at}"
        disk.mkdir()
        self._write_settings(node, FIRST_CONTROLLER_HOST + at, "supervisor", state_dir=str(disk))
        await self._start(node, "control_plane")

    async def start_proxy(self, at: int, upstream: Upstream) -> None:
        """Starts a proxy beside this upstream, which listens already, and the upstream's heartbeats."""
        self.write_proxy_settings(at, upstream)
        await self._start(f"proxy-{at}", "data_plane")
        self.start_heartbeats(at, upstream)

    def write_proxy_settings(self, at: int, upstream: Upstream) -> Path:
        """Writes the settings file of a proxy."""
        return self._write_settings(
            f"proxy-{at}",
            FIRST_PROXY_HOST + at,
            "auxiliary",
            upstream=upstream.address,
            service=upstream.service,
        )

    def start_heartbeats(self, at: int, upstream: Upstream) -> None:
        """Starts the heartbeats of the upstream to the proxy beside it, until the mesh is stopped."""
        self.heartbeat_tasks.add(
            asyncio.get_running_loop().create_task(self._send_heartbeats(FIRST_PROXY_HOST + at, upstream))
        )

    def _write_settings(
        self,
        node: str,
        machine: int,
        serves: str,
        upstream: Address | None = None,
        service: str = "",
        state_dir: str = "",
    ) -> Path:
        path = self.folder / f"{node}.toml"
        write_settings(
            path,
            node,
            f"{self.network}.{machine}",
            serves,
            self.ports,
            self.seeds,
            upstream=upstream,
            service=service,
            state_dir=state_dir,
        )
        return path

    async def restart(self, node: str, program: str) -> None:
        """Starts an ended process again with its current settings file."""
        await self._start(node, program)

    async def _start(self, node: str, program: str) -> None:
        with (self.folder / f"{node}.log").open("ab") as log:
            self.processes[node] = await asyncio.create_subprocess_exec(
                *(sys.executable, *self.command(program, node)),
                cwd=ROOT,
                env={**os.environ, "ANISESTAIR_BOOT": str(self.folder / f"{node}.toml")},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
                preexec_fn=kill_with_parent,
            )

    async def _send_heartbeats(self, machine: int, upstream: Upstream) -> None:
        while True:
            await upstream.send_heartbeat(self.control(machine))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def is_ready(self, machine: int) -> bool:
        return (await call(self.address(machine, 3), b"GET", b"/readiness", timeout_s=1.0))[0] == 200

    async def kill(self, node: str) -> None:
        process = self.processes[node]
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def stop(self) -> None:
        """Ends every process and waits for its exit."""
        for task in self.heartbeat_tasks:
            task.cancel()
        for node in self.processes:
            await self.kill(node)

    def log_tails(self, max_chars: int = 800) -> str:
        """Returns the last part of each log."""
        return "\n".join(
            f"--- {node}\n{(self.folder / f'{node}.log').read_text()[-max_chars:]}" for node in self.processes
        )


@dataclass
class PhaseResult:
    """What the clients of one machine saw during a phase: responses by status and upstream."""

    responses: Counter[str] = field(default_factory=Counter)
    longest_ms: float = 0.0

    def summary(self) -> str:
        counts = ", ".join(f"{count} x {outcome}" for outcome, count in sorted(self.responses.items()))
        return f"{counts or 'nothing'}; longest {self.longest_ms:.0f} ms"


class Load:
    """A client at each machine that sends one request after another, and reconnects after a failure."""

    def __init__(self, mesh: Mesh, machines: int) -> None:
        self.mesh, self.machines = mesh, machines
        self.results: dict[str, list[PhaseResult]] = {}
        self.current = [PhaseResult() for _ in range(machines)]
        self.last_outcomes = [""] * machines
        self._count = 0
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._run_client(at)) for at in range(machines)]

    def begin_phase(self, name: str) -> None:
        """Counts outcomes from now on for this phase."""
        self.current = self.results[name] = [PhaseResult() for _ in range(self.machines)]

    async def _run_client(self, at: int) -> None:
        client: Client | None = None
        while True:
            began, outcome = time.perf_counter(), "no connection"
            try:
                client = client or await Client.connect(self.mesh.outbound(FIRST_PROXY_HOST + at))
                self._count += 1
                client.send(f"{self._count:016x}", "/read/ok")
                response = await client.read()
                outcome = self._outcome(response)
                if response is None:
                    client = None
            except (OSError, TimeoutError, http.BadMessage):
                client = None
            took_ms = (time.perf_counter() - began) * 1000.0
            result = self.current[at]
            result.responses[outcome] += 1
            result.longest_ms = max(result.longest_ms, took_ms)
            self.last_outcomes[at] = outcome
            await asyncio.sleep(REQUEST_INTERVAL_S if client is not None else 5 * REQUEST_INTERVAL_S)

    @staticmethod
    def _outcome(response: http.Message | None) -> str:
        if response is None:
            return "connection cut"
        if response.status == 200:
            return "200 of " + response.body.partition(b"-")[0].decode()
        return str(response.status)

    async def wait_for_service(self, service: str, except_machine: int = -1) -> float:
        """Waits until the last response at each machine is of this service; returns the seconds that it took.
        Raises TimeoutError."""
        began = time.perf_counter()

        async def all_served() -> bool:
            return all(
                last == f"200 of {service}"
                for at, last in enumerate(self.last_outcomes)
                if at != except_machine
            )

        await poll_until(all_served, PROPAGATION_TIMEOUT_S)
        return time.perf_counter() - began

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


async def run_demo(folder: Path) -> None:
    """Raises TimeoutError if a step takes too long."""
    began = time.perf_counter()

    def report(text: str) -> None:
        print(f"{time.perf_counter() - began:5.1f} s  {text}", flush=True)

    mesh = Mesh.create(folder, CONTROLLERS, len(SERVICES))
    upstreams = []
    try:
        for at in range(CONTROLLERS):
            await mesh.start_controller(at)
        for at, service in enumerate(SERVICES):
            upstream = Upstream(f"{service}-{at}", service, lambda _: "ok", capacity=8)
            await upstream.start(f"{mesh.network}.{FIRST_PROXY_HOST + at}")
            upstreams.append(upstream)
            await mesh.start_proxy(at, upstream)
        report(f"{CONTROLLERS} controllers and {len(SERVICES)} proxies on {mesh.network}.*")
        operator = Operator([mesh.control(FIRST_CONTROLLER_HOST + at) for at in range(CONTROLLERS)])
        await operator.change(
            patch_body(route("read", "/read/", "red"), services=("red", "blue")), START_TIMEOUT_S
        )
        for at in range(len(SERVICES)):
            await poll_until(lambda at=at: mesh.is_ready(FIRST_PROXY_HOST + at), START_TIMEOUT_S)  # type: ignore[misc]
        report("configuration acknowledged, all proxies ready")
        load = Load(mesh, len(SERVICES))
        try:
            await _run_phases(mesh, load, operator, report)
        finally:
            load.stop()
    except BaseException:
        print(mesh.log_tails())
        raise
    finally:
        await mesh.stop()
        for upstream in upstreams:
            upstream.close()
    still_running = [node for node, process in mesh.processes.items() if process.returncode is None]
    report(f"ended; still running: {', '.join(still_running) or 'none'}")
    for name, machines in load.results.items():
        print(name)
        for at, result in enumerate(machines):
            print(f"    clients at proxy-{at} (beside {SERVICES[at]}): {result.summary()}")


async def _run_phases(mesh: Mesh, load: Load, operator: Operator, report: Callable[[str], None]) -> None:
    await load.wait_for_service("red")
    load.begin_phase("no faults, the route goes to red")
    await asyncio.sleep(1.0)
    load.begin_phase("the route changes to blue")
    await operator.change(patch_body(route("read", "/read/", "blue", 2)))
    report(
        f"acknowledged; all responses are of blue after {await load.wait_for_service('blue') * 1000:.0f} ms"
    )
    await asyncio.sleep(0.5)

    load.begin_phase("controller-0 is killed, then the route changes back to red")
    report(f"kill -9 {mesh.processes['controller-0'].pid}: controller-0")
    await mesh.kill("controller-0")
    await operator.change(patch_body(route("read", "/read/", "red", 3)))
    report(
        f"acknowledged by two; all responses are of red after"
        f" {await load.wait_for_service('red') * 1000:.0f} ms"
    )
    await asyncio.sleep(0.5)

    load.begin_phase("proxy-0 is killed")
    report(f"kill -9 {mesh.processes['proxy-0'].pid}: proxy-0")
    await mesh.kill("proxy-0")
    await asyncio.sleep(2.0)
    await load.wait_for_service("red", except_machine=0)


def main() -> int:
    with tempfile.TemporaryDirectory() as folder, suppress(KeyboardInterrupt):
        try:
            with asyncio.Runner() as runner:
                runner.run(asyncio.wait_for(run_demo(Path(folder)), DEMO_TIMEOUT_S))
        except TimeoutError:
            print(f"mesh_demo: not finished within {DEMO_TIMEOUT_S:g} s: see the logs above", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
