"""Measures how long a restarted controller takes to catch up, by the number of items that it lacks.

    python -m benchmarks.catch_up [--items 100 1000 10000] [--tries 5] [--real] [--json FILE]

Three controllers hold this many routes. One of them is killed and restarted

- ``old``: with its disk, after a tenth of the routes, or all of them, were changed once,
- ``empty``: with an empty state folder.

It has caught up once its disk counts as complete and it holds the same items as the others. Without
``--real``, the controllers are simulated in virtual time (2 ms between machines, 5 ms for a sync): prints the
seconds and the bytes received over its links. With ``--real``, three real processes run on loopback: prints
the seconds since its start, including the time to start, its peak memory and the size of its store file. The
figures are the p50 and p99 over the trials. The last line is JSON.
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

ROUTES_PER_WRITE = 500
TIMEOUT_S = 60.0
CONTROLLER_COUNT = 3
DISK_MB = 256


@dataclass(frozen=True, slots=True)
class Case:
    """``lacks``: how many items the controller lacks at its restart; all if the disk is ``empty``."""

    items: int
    disk: str
    lacks: int

    @property
    def name(self) -> str:
        return f"{self.items} items, {self.disk} disk, {self.lacks} lacking"


def cases_for(items: Sequence[int]) -> list[Case]:
    result = []
    for count in items:
        result += [
            Case(count, "old", max(count // 10, 1)),
            Case(count, "old", count),
            Case(count, "empty", count),
        ]
    return result


def write_bodies(first: int, last: int, version: int) -> list[dict[str, Any]]:
    """Returns the write requests for the routes with these numbers, ROUTES_PER_WRITE in each."""
    return [
        patch_body(
            *(route(f"n{n}", f"/n{n}/", "p", version) for n in range(at, min(at + ROUTES_PER_WRITE, last))),
            services=["p"] if at == first and version == 1 else [],
        )
        for at in range(first, last, ROUTES_PER_WRITE)
    ]


# In virtual time


def run_simulated(case: Case) -> Figures:
    """Runs one trial in virtual time."""
    figures: Figures = {}

    def script(world: World) -> Script:
        yield from world.boot(CONTROLLER_COUNT, proxies=0)
        restarted = world.controllers()[-1]
        for body in write_bodies(0, case.items, 1):
            yield from _send_write(world, body)
        yield world.env.timeout(2.0)
        world.kill(restarted)
        if case.disk == "empty":
            restarted.disk.wipe()
        else:
            for body in write_bodies(0, case.lacks, 2):
                yield from _send_write(world, body)
        yield world.env.timeout(2.0)
        received_bytes = _count_received_bytes(world, restarted)
        started_at = float(world.env.now)
        world.start(restarted)
        yield from world.wait_until(
            lambda: _has_caught_up(world, restarted), TIMEOUT_S, f"{case.name}: caught up"
        )
        figures.update(s=float(world.env.now) - started_at, bytes=received_bytes())

    # The checker examines every item at every step; its cost is not to be measured.
    with World() as world, mock.patch.object(InvariantChecker, "_check_quorums"):
        violations = world.run(script)
    if violations:
        raise RuntimeError("; ".join(violations))
    return figures


def _send_write(world: World, body: dict[str, Any]) -> Script:
    message = http.Message(method=b"PATCH", target=b"/configuration", body=json.dumps(body).encode())
    for _ in range(50):
        incarnation = world.controllers()[0].incarnation
        assert incarnation is not None
        answer = yield world.send_request(incarnation, incarnation.program.operator_api.handle, message)
        if answer is not None and answer.status == 200:
            return
        yield world.env.timeout(0.2)
    raise RuntimeError(f"write request was not accepted: {answer}")


def _has_caught_up(world: World, machine: Machine) -> bool:
    program, other = machine.program, world.controllers()[0].program
    return (
        program is not None
        and program.disk_writer.complete
        and program.member_set.has_contact()
        and program.config_store.digests.root() == other.config_store.digests.root()
    )


def _count_received_bytes(world: World, machine: Machine) -> Callable[[], float]:
    """Starts to count the bytes that a machine receives; the returned function gives their number."""
    total, transmit = [0], world.network._transmit

    def counting_transmit(end: ConnectionEnd, data: bytes, delay_s: float) -> None:
        if end.other.incarnation.machine is machine:
            total[0] += len(data)
        transmit(end, data, delay_s)

    world.network._transmit = counting_transmit  # type: ignore[method-assign]
    return lambda: float(total[0])


# With real processes


class Mesh:
    """Three controllers on loopback, with their settings and disks in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        net = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
        self.ips = [f"{net}.{61 + number}" for number in range(CONTROLLER_COUNT)]
        self.ports = free_ports(self.ips, 4)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.operator = Operator([(ip, self.ports[1]) for ip in self.ips])

    async def start(self, number: int, cold: bool) -> None:
        settings = self.folder / f"core-{number}.toml"
        disk = self.folder / f"disk-{number}"
        disk.mkdir(exist_ok=True)
        write_settings(
            settings,
            f"core-{number}",
            self.ips[number],
            "supervisor",
            self.ports,
            self.ips,
            state_dir=str(disk),
        )
        text = settings.read_text().replace("disk_mb = 50", f"disk_mb = {DISK_MB}")
        settings.write_text(text if cold else text.replace("cold_boot = true", "cold_boot = false"))
        with (self.folder / f"core-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "mesh.control_plane"),
                env={**os.environ, "ANISESTAIR_BOOT": str(settings)},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
            )

    async def kill(self, number: int) -> None:
        process = self.processes.pop(number)
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    async def status(self, number: int) -> dict[str, Any]:
        reply = await ask((self.ips[number], self.ports[0]), "status", 1.0)
        return dict(reply.value) if isinstance(reply, Answered) else {}

    async def wait_until_caught_up(self, number: int, timeout_s: float) -> float:
        """Waits until a controller holds what the others hold, and returns the seconds waited. Raises
        TimeoutError."""
        started = time.monotonic()
        async with asyncio.timeout(timeout_s):
            while True:
                own_status, other_status = await self.status(number), await self.status(0 if number else 1)
                if own_status and own_status["whole"] and own_status["in_touch"]:
                    if own_status["charter"]["digest"] == other_status.get("charter", {}).get("digest"):
                        return time.monotonic() - started
                await asyncio.sleep(0.02)

    def peak_mb(self, number: int) -> float:
        status = Path(f"/proc/{self.processes[number].pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024.0

    def file_mb(self, number: int) -> float:
        return (self.folder / f"disk-{number}" / "charter" / "store.mdb").stat().st_size / (1 << 20)


async def run_real(items: int, trials: int) -> dict[str, list[Figures]]:
    """Runs all cases of this size on one mesh; each trial kills and restarts the last controller."""
    figures_by_case: dict[str, list[Figures]] = {}
    folder = Path(tempfile.mkdtemp(prefix="catch-up-"))
    mesh, version, last = Mesh(folder), 1, CONTROLLER_COUNT - 1
    try:
        for at in range(CONTROLLER_COUNT):
            await mesh.start(at, cold=True)
        for body in write_bodies(0, items, version):
            await mesh.operator.change(body, TIMEOUT_S)
        await mesh.wait_until_caught_up(last, TIMEOUT_S)
        for case in cases_for([items]):
            for _ in range(trials):
                await mesh.kill(last)
                if case.disk == "empty":
                    shutil.rmtree(folder / f"disk-{last}")
                else:
                    version += 1
                    for body in write_bodies(0, case.lacks, version):
                        await mesh.operator.change(body, TIMEOUT_S)
                await mesh.start(last, cold=False)
                elapsed_s = await mesh.wait_until_caught_up(last, TIMEOUT_S)
                figures = {"s": elapsed_s, "peak_mb": mesh.peak_mb(last), "file_mb": mesh.file_mb(last)}
                figures_by_case.setdefault(case.name, []).append(figures)
        return figures_by_case
    finally:
        for at in list(mesh.processes):
            await mesh.kill(at)
        shutil.rmtree(folder, ignore_errors=True)


# Output


def summarize(trials: Sequence[Figures]) -> Figures:
    """Returns the p50 and p99 of each figure."""
    result: Figures = {}
    for name in trials[0]:
        ordered = sorted(trial[name] for trial in trials)
        for share in (50, 99):
            result[f"{name}_p{share}"] = round(ordered[math.ceil(share / 100.0 * len(ordered)) - 1], 3)
    return result


def main(arguments: Sequence[str] | None = None) -> dict[str, Any]:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--items", type=int, nargs="+", default=[100, 1000, 10000])
    parser.add_argument("--tries", type=int, default=5)
    parser.add_argument("--real", action="store_true")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    summaries: dict[str, Figures] = {}
    for count in options.items:
        if options.real:
            trials = asyncio.run(run_real(count, options.tries))
        else:  # one trial: all trials in virtual time have the same result
            trials = {case.name: [run_simulated(case)] for case in cases_for([count])}
        for name, figures in trials.items():
            summaries[name] = summarize(figures)
            print(
                f"{name:45} " + "  ".join(f"{key} {value:g}" for key, value in summaries[name].items()),
                flush=True,
            )
    result = {"real": options.real, "tries": options.tries if options.real else 1, "cases": summaries}
    if options.json is not None:
        options.json.write_text(json.dumps(result) + "\n")
    print(json.dumps(result))
    return result


if __name__ == "__main__":
    main()
