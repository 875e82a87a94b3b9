"""A small mesh of real processes on loopback, each node on an address of its own: started, and ended by pid.

    python -m rigs.mesh_demo

Three controllers and six proxies with stand-in upstreams. Under load a route is given to another service,
then a controller is killed, then a proxy; what the clients of each machine saw is printed. It ends by itself.
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
from rigs.fleet import end_with_parent
from rigs.mesh_peers import (
    Address,
    Client,
    Operator,
    Upstream,
    call,
    free_ports,
    patch_body,
    polled,
    route,
    write_settings,
)

ROOT = Path(__file__).resolve().parent.parent
WHOLE_S = 18.0  # the demonstration; what takes longer ends it with a line that says so
START_S = 8.0  # for so many interpreters on few cores
SPREAD_S = 4.0  # a change is in force everywhere by then
BEAT_S = 0.4  # between two beats of an upstream
ASK_S = 0.02  # between two requests of a client
CONTROLLERS, SERVICES = 3, ("red", "red", "red", "red", "blue", "blue")

CORE, SIDE = 11, 41  # the last part of a node's address, for the first of each


def net() -> str:
    """The first parts of loopback addresses that no other process of this machine uses for the same."""
    number = os.getpid() % 60_000
    return f"127.{1 + number % 250}.{1 + number // 250}"


@dataclass
class Mesh:
    """Processes of both programs whose files are in ``folder``; ports are one for all machines."""

    folder: Path
    net: str
    ports: Sequence[int]  # of peers, control, outbound and readiness
    seeds: Sequence[str]
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    beating: set[asyncio.Task[None]] = field(default_factory=set)
    command: Callable[[str, str], Sequence[str]] = lambda program, _: ("-m", f"mesh.{program}")  # and node

    @staticmethod
    def of(folder: Path, controllers: int, proxies: int) -> Mesh:
        here = net()
        ips = [f"{here}.{CORE + at}" for at in range(controllers)] + [
            f"{here}.{SIDE + at}" for at in range(proxies)
        ]
        return Mesh(folder, here, free_ports(ips, 4), ips[: min(controllers, 3)])

    def at(self, machine: int, port: int) -> Address:
        return f"{self.net}.{machine}", self.ports[port]

    def control(self, machine: int) -> Address:
        return self.at(machine, 1)

    def outbound(self, machine: int) -> Address:
        return self.at(machine, 2)

    async def controller(self, at: int) -> None:
        node = f"controller-{at}"
        disk = self.folder / f"disk-{at}"
        disk.mkdir()
        self._write(node, CORE + at, "supervisor", state_dir=str(disk))
        await self._start(node, "control_plane")

    async def proxy(self, at: int, upstream: Upstream) -> None:
        """One beside this upstream, which has begun to listen; it tells the sidecar that it is there."""
        self.write_proxy(at, upstream)
        await self._start(f"proxy-{at}", "data_plane")
        self.beats(at, upstream)

    def write_proxy(self, at: int, upstream: Upstream) -> Path:
        """Its settings file."""
        return self._write(
            f"proxy-{at}", SIDE + at, "auxiliary", upstream=upstream.address, service=upstream.service
        )

    def beats(self, at: int, upstream: Upstream) -> None:
        """The upstream tells the sidecar beside it that it is there, until the mesh is stopped."""
        self.beating.add(asyncio.get_running_loop().create_task(self._beat(SIDE + at, upstream)))

    def _write(
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
            f"{self.net}.{machine}",
            serves,
            self.ports,
            self.seeds,
            upstream=upstream,
            service=service,
            state_dir=state_dir,
        )
        return path

    async def again(self, node: str, program: str) -> None:
        """One that has ended, with its settings file as it is now."""
        await self._start(node, program)

    async def _start(self, node: str, program: str) -> None:
        with (self.folder / f"{node}.log").open("ab") as log:
            self.processes[node] = await asyncio.create_subprocess_exec(
                *(sys.executable, *self.command(program, node)),
                cwd=ROOT,
                env={**os.environ, "ANISESTAIR_BOOT": str(self.folder / f"{node}.toml")},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    async def _beat(self, machine: int, upstream: Upstream) -> None:
        while True:
            await upstream.send_heartbeat(self.control(machine))
            await asyncio.sleep(BEAT_S)

    async def ready(self, machine: int) -> bool:
        return (await call(self.at(machine, 3), b"GET", b"/readiness", timeout_s=1.0))[0] == 200

    async def kill(self, node: str) -> None:
        process = self.processes[node]
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def stop(self) -> None:
        """Every process has ended when this returns."""
        for task in self.beating:
            task.cancel()
        for node in self.processes:
            await self.kill(node)

    def told(self, most: int = 800) -> str:
        """The last bytes of each log."""
        return "\n".join(
            f"--- {node}\n{(self.folder / f'{node}.log').read_text()[-most:]}" for node in self.processes
        )


@dataclass
class Seen:
    """What the clients of one machine saw while one thing went on: answers by status and upstream."""

    answers: Counter[str] = field(default_factory=Counter)
    longest_ms: float = 0.0

    def line(self) -> str:
        told = ", ".join(f"{count} x {what}" for what, count in sorted(self.answers.items()))
        return f"{told or 'nothing'}; longest {self.longest_ms:.0f} ms"


class Load:
    """A client at each machine that asks one request after another, and again where its connection broke."""

    def __init__(self, mesh: Mesh, machines: int) -> None:
        self.mesh, self.machines = mesh, machines
        self.seen: dict[str, list[Seen]] = {}
        self.now = [Seen() for _ in range(machines)]
        self.last = [""] * machines  # upstream, or what there was instead
        self._count = 0
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._ask_on(at)) for at in range(machines)]

    def phase(self, name: str) -> None:
        """What is seen from now on is of this."""
        self.now = self.seen[name] = [Seen() for _ in range(self.machines)]

    async def _ask_on(self, at: int) -> None:
        client: Client | None = None
        while True:
            began, what = time.perf_counter(), "no connection"
            try:
                client = client or await Client.connect(self.mesh.outbound(SIDE + at))
                self._count += 1
                client.send(f"{self._count:016x}", "/read/ok")
                answer = await client.read()
                what = self._what(answer)
                if answer is None:
                    client = None
            except (OSError, TimeoutError, http.BadMessage):
                client = None
            took_ms = (time.perf_counter() - began) * 1000.0
            seen = self.now[at]
            seen.answers[what] += 1
            seen.longest_ms = max(seen.longest_ms, took_ms)
            self.last[at] = what
            await asyncio.sleep(ASK_S if client is not None else 5 * ASK_S)

    @staticmethod
    def _what(answer: http.Message | None) -> str:
        if answer is None:
            return "connection cut"
        if answer.status == 200:
            return "200 of " + answer.body.partition(b"-")[0].decode()
        return str(answer.status)

    async def until_all(self, service: str, besides: int = -1) -> float:
        """Seconds until the last answer at each machine is of this service. Raises TimeoutError."""
        began = time.perf_counter()

        async def look() -> bool:
            return all(last == f"200 of {service}" for at, last in enumerate(self.last) if at != besides)

        await polled(look, SPREAD_S)
        return time.perf_counter() - began

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


async def play(folder: Path) -> None:
    """Raises TimeoutError where something does not come about in its time."""
    began = time.perf_counter()

    def say(text: str) -> None:
        print(f"{time.perf_counter() - began:5.1f} s  {text}", flush=True)

    mesh = Mesh.of(folder, CONTROLLERS, len(SERVICES))
    upstreams = []
    try:
        for at in range(CONTROLLERS):
            await mesh.controller(at)
        for at, service in enumerate(SERVICES):
            upstream = Upstream(f"{service}-{at}", service, lambda _: "ok", capacity=8)
            await upstream.start(f"{mesh.net}.{SIDE + at}")
            upstreams.append(upstream)
            await mesh.proxy(at, upstream)
        say(f"{CONTROLLERS} controllers and {len(SERVICES)} proxies on {mesh.net}.*")
        operator = Operator([mesh.control(CORE + at) for at in range(CONTROLLERS)])
        await operator.change(patch_body(route("read", "/read/", "red"), services=("red", "blue")), START_S)
        for at in range(len(SERVICES)):
            await polled(lambda at=at: mesh.ready(SIDE + at), START_S)  # type: ignore[misc]
        say("configuration acknowledged, all proxies ready")
        load = Load(mesh, len(SERVICES))
        try:
            await _troubles(mesh, load, operator, say)
        finally:
            load.stop()
    except BaseException:
        print(mesh.told())
        raise
    finally:
        await mesh.stop()
        for upstream in upstreams:
            upstream.close()
    left = [node for node, process in mesh.processes.items() if process.returncode is None]
    say(f"ended; still running: {', '.join(left) or 'none'}")
    for name, machines in load.seen.items():
        print(name)
        for at, seen in enumerate(machines):
            print(f"    clients at proxy-{at} (beside {SERVICES[at]}): {seen.line()}")


async def _troubles(mesh: Mesh, load: Load, operator: Operator, say: Callable[[str], None]) -> None:
    await load.until_all("red")
    load.phase("calm, the route goes to red")
    await asyncio.sleep(1.0)
    load.phase("the route is given to blue")
    await operator.change(patch_body(route("read", "/read/", "blue", 2)))
    say(f"acknowledged; within {await load.until_all('blue') * 1000:.0f} ms all answers are of blue")
    await asyncio.sleep(0.5)

    load.phase("controller-0 is killed, then the route is given back to red")
    say(f"kill -9 {mesh.processes['controller-0'].pid}: controller-0")
    await mesh.kill("controller-0")
    await operator.change(patch_body(route("read", "/read/", "red", 3)))
    say(f"acknowledged by two; within {await load.until_all('red') * 1000:.0f} ms all answers are of red")
    await asyncio.sleep(0.5)

    load.phase("proxy-0 is killed")
    say(f"kill -9 {mesh.processes['proxy-0'].pid}: proxy-0")
    await mesh.kill("proxy-0")
    await asyncio.sleep(2.0)
    await load.until_all("red", besides=0)


def main() -> int:
    with tempfile.TemporaryDirectory() as folder, suppress(KeyboardInterrupt):
        try:
            with asyncio.Runner() as runner:
                runner.run(asyncio.wait_for(play(Path(folder)), WHOLE_S))
        except TimeoutError:
            print(
                f"mesh_demo: it did not come about within {WHOLE_S:g} s: see the logs above", file=sys.stderr
            )
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
