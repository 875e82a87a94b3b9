"""How long a control process takes to be level again, by how much it lacks.

    python -m benchmarks.catch_up [--items 100 1000 10000] [--tries 5] [--real] [--json FILE]

Three control processes hold so many routes; one is killed, and comes back

- ``old``: with its disk, while a tenth, and all, of the routes were changed meanwhile, each once,
- ``empty``: with an empty folder.

Level is: its disk counts, and it holds what the others hold. Without ``--real`` in virtual time (2 ms between
machines, 5 ms a sync): seconds, and bytes that came over its links. With it, real processes on loopback, one
core's three at a time: seconds from its start, the time to start with them; its memory at the peak; its file.
p50 and p99 of the tries. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

import simpy

from anisestair.http import codec as http
from mesh.cli.client import Answered, ask
from rigs.mesh_peers import Operator, free_ports, patch_body, route, write_settings
from simulation.mesh.wire import ConnectionEnd
from simulation.mesh.witness import InvariantChecker
from simulation.mesh.world import Machine, World

Script = Generator[simpy.Event, Any, Any]
Figures = dict[str, float]

BATCH = 500  # routes of one order
WITHIN_S = 60.0
CORE = 3
DISK_MB = 256


@dataclass(frozen=True, slots=True)
class Case:
    """``lacks``: of so many items, all where the disk is ``empty``."""

    items: int
    disk: str
    lacks: int

    @property
    def name(self) -> str:
        return f"{self.items} items, {self.disk} disk, {self.lacks} lacking"


def cases(items: Sequence[int]) -> list[Case]:
    found = []
    for count in items:
        found += [
            Case(count, "old", max(count // 10, 1)),
            Case(count, "old", count),
            Case(count, "empty", count),
        ]
    return found


def orders(first: int, last: int, version: int) -> list[dict[str, Any]]:
    """Of routes with these numbers, in orders of BATCH."""
    return [
        patch_body(
            *(route(f"n{n}", f"/n{n}/", "p", version) for n in range(at, min(at + BATCH, last))),
            services=["p"] if at == first and version == 1 else [],
        )
        for at in range(first, last, BATCH)
    ]


# In virtual time


def virtual(case: Case) -> Figures:
    """One try."""
    found: Figures = {}

    def script(world: World) -> Script:
        yield from world.boot(CORE, proxies=0)
        taker = world.controllers()[-1]
        for body in orders(0, case.items, 1):
            yield from _sent(world, body)
        yield world.env.timeout(2.0)
        world.kill(taker)
        if case.disk == "empty":
            taker.disk.wipe()
        else:
            for body in orders(0, case.lacks, 2):
                yield from _sent(world, body)
        yield world.env.timeout(2.0)
        carried = _counted(world, taker)
        began = float(world.env.now)
        world.start(taker)
        yield from world.wait_until(lambda: _level(world, taker), WITHIN_S, f"{case.name}: level")
        found.update(s=float(world.env.now) - began, bytes=carried())

    # The checker looks at every item at every step, which is not what is measured.
    with World() as world, mock.patch.object(InvariantChecker, "_check_quorums"):
        broken = world.run(script)
    if broken:
        raise RuntimeError("; ".join(broken))
    return found


def _sent(world: World, body: dict[str, Any]) -> Script:
    message = http.Message(method=b"PATCH", target=b"/configuration", body=json.dumps(body).encode())
    for _ in range(50):
        incarnation = world.controllers()[0].incarnation
        assert incarnation is not None
        answer = yield world.send_request(incarnation, incarnation.program.operator_api.handle, message)
        if answer is not None and answer.status == 200:
            return
        yield world.env.timeout(0.2)
    raise RuntimeError(f"not taken: {answer}")


def _level(world: World, taker: Machine) -> bool:
    program, other = taker.program, world.controllers()[0].program
    return (
        program is not None
        and program.disk_writer.complete
        and program.member_set.has_contact()
        and program.config_store.digests.root() == other.config_store.digests.root()
    )


def _counted(world: World, taker: Machine) -> Callable[[], float]:
    """Bytes that come over the taker's links from now on."""
    total, carry = [0], world.network._transmit

    def carries(end: ConnectionEnd, data: bytes, delay_s: float) -> None:
        if end.other.incarnation.machine is taker:
            total[0] += len(data)
        carry(end, data, delay_s)

    world.network._transmit = carries  # type: ignore[method-assign]
    return lambda: float(total[0])


# With real processes


class Mesh:
    """One core on loopback, in a folder of its own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        net = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
        self.ips = [f"{net}.{61 + at}" for at in range(CORE)]
        self.ports = free_ports(self.ips, 4)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.operator = Operator([(ip, self.ports[1]) for ip in self.ips])

    async def start(self, at: int, cold: bool) -> None:
        settings = self.folder / f"core-{at}.toml"
        disk = self.folder / f"disk-{at}"
        disk.mkdir(exist_ok=True)
        write_settings(
            settings, f"core-{at}", self.ips[at], "supervisor", self.ports, self.ips, state_dir=str(disk)
        )
        text = settings.read_text().replace("disk_mb = 50", f"disk_mb = {DISK_MB}")
        settings.write_text(text if cold else text.replace("cold_boot = true", "cold_boot = false"))
        with (self.folder / f"core-{at}.log").open("ab") as log:
            self.processes[at] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "mesh.control_plane"),
                env={**os.environ, "ANISESTAIR_BOOT": str(settings)},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
            )

    async def kill(self, at: int) -> None:
        process = self.processes.pop(at)
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def status(self, at: int) -> dict[str, Any]:
        reply = await ask((self.ips[at], self.ports[0]), "status", 1.0)
        return dict(reply.value) if isinstance(reply, Answered) else {}

    async def level(self, at: int, within_s: float) -> float:
        """Seconds until it is; raises TimeoutError."""
        began = time.monotonic()
        async with asyncio.timeout(within_s):
            while True:
                told, other = await self.status(at), await self.status(0 if at else 1)
                if told and told["whole"] and told["in_touch"]:
                    if told["charter"]["digest"] == other.get("charter", {}).get("digest"):
                        return time.monotonic() - began
                await asyncio.sleep(0.02)

    def peak_mb(self, at: int) -> float:
        status = Path(f"/proc/{self.processes[at].pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024.0

    def file_mb(self, at: int) -> float:
        return (self.folder / f"disk-{at}" / "charter" / "store.mdb").stat().st_size / (1 << 20)


async def real(items: int, tries: int) -> dict[str, list[Figures]]:
    """All cases of that size, on one mesh: each try kills the last process of it."""
    found: dict[str, list[Figures]] = {}
    folder = Path(tempfile.mkdtemp(prefix="catch-up-"))
    mesh, version, last = Mesh(folder), 1, CORE - 1
    try:
        for at in range(CORE):
            await mesh.start(at, cold=True)
        for body in orders(0, items, version):
            await mesh.operator.change(body, WITHIN_S)
        await mesh.level(last, WITHIN_S)
        for case in cases([items]):
            for _ in range(tries):
                await mesh.kill(last)
                if case.disk == "empty":
                    shutil.rmtree(folder / f"disk-{last}")
                else:
                    version += 1
                    for body in orders(0, case.lacks, version):
                        await mesh.operator.change(body, WITHIN_S)
                await mesh.start(last, cold=False)
                took = await mesh.level(last, WITHIN_S)
                figures = {"s": took, "peak_mb": mesh.peak_mb(last), "file_mb": mesh.file_mb(last)}
                found.setdefault(case.name, []).append(figures)
        return found
    finally:
        for at in list(mesh.processes):
            await mesh.kill(at)
        shutil.rmtree(folder, ignore_errors=True)


# What is told


def summary(tries: Sequence[Figures]) -> Figures:
    """p50 and p99 of each figure."""
    told: Figures = {}
    for name in tries[0]:
        ordered = sorted(one[name] for one in tries)
        for share in (50, 99):
            told[f"{name}_p{share}"] = round(ordered[math.ceil(share / 100.0 * len(ordered)) - 1], 3)
    return told


def main(arguments: Sequence[str] | None = None) -> dict[str, Any]:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--items", type=int, nargs="+", default=[100, 1000, 10000])
    parser.add_argument("--tries", type=int, default=5)
    parser.add_argument("--real", action="store_true")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    told: dict[str, Figures] = {}
    for count in options.items:
        if options.real:
            tries = asyncio.run(real(count, options.tries))
        else:  # one try: the same seed gives the same figures
            tries = {case.name: [virtual(case)] for case in cases([count])}
        for name, figures in tries.items():
            told[name] = summary(figures)
            print(
                f"{name:45} " + "  ".join(f"{key} {value:g}" for key, value in told[name].items()), flush=True
            )
    result = {"real": options.real, "tries": options.tries if options.real else 1, "cases": told}
    if options.json is not None:
        options.json.write_text(json.dumps(result) + "\n")
    print(json.dumps(result))
    return result


if __name__ == "__main__":
    main()
