"""Both real programs on loopback: three of each, with stand-ins for what surrounds them.

Each machine has a loopback address of its own, since others are found by address and one port for all.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from anisestair.http import codec as http
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
    until,
    write_settings,
)

ROOT = Path(__file__).parent.parent.parent
START_S = 10.0  # for so many programs on few cores
SPREAD_S = 4.0  # a change is in force everywhere by then, as is what the upstreams say
GRACE_S = 2.5
MACHINES = 3
SERVICES = ("red", "red", "blue")  # of the upstreams, by machine

# Of this process alone: another run on the same machine has other addresses.
NET = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"


def way(message: http.Message) -> str:
    """The last part of the path says what the upstream does."""
    return message.target.rpartition(b"/")[2].decode()


@dataclass
class Program:
    """One process, and what it has written."""

    process: asyncio.subprocess.Process
    log: Path

    async def ended(self, timeout_s: float) -> int:
        return await asyncio.wait_for(self.process.wait(), timeout_s)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


@dataclass
class Mesh:
    folder: Path
    ports: list[int]
    runs: Counter[str] = field(default_factory=Counter)
    upstreams: list[Upstream] = field(default_factory=list)
    programs: dict[str, Program] = field(default_factory=dict)
    beats: list[asyncio.Task[None]] = field(default_factory=list)
    asked: int = 0

    def at(self, machine: int, port: int) -> Address:
        return f"{NET}.{machine}", self.ports[port]

    def control(self, machine: int) -> Address:
        return self.at(machine, 1)

    def core(self) -> list[Address]:
        """Where the operator calls."""
        return [self.control(11 + at) for at in range(MACHINES)]

    async def start(self, node: str, program: str) -> None:
        log = self.folder / f"{node}.log"
        with log.open("ab") as stream:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", f"mesh.{program}"),
                cwd=ROOT,
                env={**os.environ, "ANISESTAIR_BOOT": str(self.folder / f"{node}.toml")},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=stream,
            )
        self.programs[node] = Program(process, log)

    async def start_all(self) -> None:
        seeds = [f"{NET}.{11 + at}" for at in range(MACHINES)]
        for at in range(MACHINES):
            disk = self.folder / f"disk-{at}"
            disk.mkdir()
            write_settings(
                self.folder / f"core-{at}.toml",
                f"core-{at}",
                seeds[at],
                "supervisor",
                self.ports,
                seeds,
                state_dir=str(disk),
            )
            await self.start(f"core-{at}", "control_plane")
            upstream = Upstream(f"i-{at}", SERVICES[at], way, self.runs, capacity=8)
            await upstream.start(f"{NET}.{21 + at}")
            self.upstreams.append(upstream)
            write_settings(
                self.folder / f"side-{at}.toml",
                f"side-{at}",
                f"{NET}.{21 + at}",
                "auxiliary",
                self.ports,
                seeds,
                upstream=upstream.address,
                service=SERVICES[at],
                grace_s=GRACE_S,
            )
            await self.start(f"side-{at}", "data_plane")
            self.beats.append(asyncio.get_running_loop().create_task(self._beat(at)))

    async def _beat(self, at: int) -> None:
        while True:
            await self.upstreams[at].send_heartbeat(self.control(21 + at))
            await asyncio.sleep(0.4)  # the period of an upstream's beats

    async def stop(self) -> None:
        for task in self.beats:
            task.cancel()
        for program in self.programs.values():
            await program.kill()
        for upstream in self.upstreams:
            upstream.release.set()
            upstream.close()

    # Clients

    def id(self) -> str:
        self.asked += 1
        return f"{self.asked:016x}"

    async def client(self, at: int) -> Client:
        return await Client.connect(self.at(21 + at, 2))

    async def ask(self, at: int, path: str, body: bytes = b"") -> http.Message:
        """One request on a connection of its own."""
        client = await self.client(at)
        try:
            return await client.request(self.id(), path, body=body)
        finally:
            client.abort()

    async def ready(self, at: int) -> bool:
        return (await call(self.at(21 + at, 3), b"GET", b"/readiness", timeout_s=1.0))[0] == 200

    async def serves(self, at: int, path: str, instances: set[str]) -> None:
        """Until requests at that machine have been answered by each of these upstreams."""
        seen: set[str] = set()

        async def look() -> bool:
            answer = await self.ask(at, path)
            if answer.status == 200:
                seen.add(answer.body.partition(b":")[0].decode())
            return instances <= seen

        await polled(look, SPREAD_S)

    def told(self) -> str:
        """The logs' last lines, for a test that failed."""
        return "\n".join(
            f"--- {node}\n{program.log.read_text()[-1500:]}" for node, program in self.programs.items()
        )


@asynccontextmanager
async def mesh(folder: Path) -> AsyncIterator[Mesh]:
    ips = [f"{NET}.{base + at}" for base in (11, 21) for at in range(MACHINES)]
    there = Mesh(folder, free_ports(ips, 4))
    try:
        await there.start_all()
        yield there
    except BaseException:
        print(there.told())
        raise
    finally:
        await there.stop()


FIRST = patch_body(
    route("read", "/read/", "red"), route("pay", "/pay/", "blue", effectful=True), services=("red", "blue")
)


def names(configuration: dict[str, Any]) -> dict[str, str]:
    """Routes of a configuration as it was read back: name and version."""
    return {
        rule["name"]: rule["epoch"] for port in configuration["input_ports"] for rule in port["control_law"]
    }


def play(folder: Path, test: Callable[[Mesh, Operator], Awaitable[None]]) -> None:
    """A test on a mesh that has its first configuration and is ready everywhere."""

    async def run() -> None:
        async with asyncio.timeout(20.0), mesh(folder) as there:
            operator = Operator(there.core())
            assert not await there.ready(0)  # without a configuration
            await operator.change(FIRST, START_S)
            for at in range(MACHINES):
                await polled(lambda at=at: there.ready(at), START_S)  # type: ignore[misc]
            for at in range(MACHINES):
                await there.serves(at, "/read/ok", {"i-0", "i-1"})
                await there.serves(at, "/pay/ok", {"i-2"})
            await test(there, operator)

    asyncio.run(run())


def test_calls_cross_machines_a_change_shows_on_all_and_outlives_the_process_that_took_it(
    tmp_path: Path,
) -> None:
    async def test(there: Mesh, operator: Operator) -> None:
        # Calls
        answer = await there.ask(2, "/read/ok", body=b"\x00" * 100_000)
        assert answer.body.endswith(b":/read/ok:" + b"\x00" * 100_000)
        assert (await there.ask(0, "/new/ok")).status == 404
        for at in range(MACHINES):
            attempt = (await there.ask(at, "/pay/ok")).get(b"attempt-id")
            (seen,) = [one for one in there.upstreams[2].received if one.get(b"attempt-id") == attempt]
            assert seen.get(b"calling-service") == SERVICES[at]
            assert seen.get(b"target-instance") == "i-2"

        # A change, at one
        first = Operator([there.control(11)])
        await first.change(
            patch_body(route("pay", "/pay/", "red", 2, effectful=True), route("new", "/new/", "blue"))
        )
        wanted = {"read": "r1", "pay": "r2", "new": "r1"}
        for at in range(MACHINES):
            await there.serves(at, "/pay/ok", {"i-0", "i-1"})
            await there.serves(at, "/new/ok", {"i-2"})
            assert (await there.ask(at, "/pay/ok")).body[:3] in (b"i-0", b"i-1")  # and it does not go back

        # It ends without a word
        core = there.programs["core-0"]
        core.process.kill()
        assert await core.ended(2.0) == -signal.SIGKILL
        for at in (1, 2):
            assert names(await operator.read(there.control(11 + at))) == wanted
        await operator.change(patch_body(route("late", "/late/", "red", 5)))
        for at in range(MACHINES):
            await there.serves(at, "/late/ok", {"i-0", "i-1"})
        assert (await there.ask(1, "/pay/ok")).status == 200

        # It comes back; then all of them go, and come back with their disks alone
        wanted["late"] = "r5"
        await there.start("core-0", "control_plane")
        for at in range(MACHINES):
            assert names(await operator.read(there.control(11 + at))) == wanted
        for program in there.programs.values():  # the proxies too: they would tell the configuration again
            await program.kill()
        for at in range(MACHINES):
            await there.start(f"core-{at}", "control_plane")
        for at in range(MACHINES):
            assert names(await operator.read(there.control(11 + at))) == wanted

    play(tmp_path, test)


async def until_refused(there: Mesh) -> int:
    """Asks one request after another, on a new connection where the last answer ends the one before,
    until none is taken any more; gives how many were answered."""
    client = await there.client(2)
    for count in range(1, 100_000):
        answer = await client.request(there.id(), "/read/ok")
        assert answer.status == 200, answer
        if answer.get(b"connection") == "close":
            assert await client.read() is None
            try:
                client = await there.client(2)
            except OSError:
                return count
    raise AssertionError("it does not end")


def test_a_proxy_that_is_told_to_end_loses_no_call_on_either_hop(tmp_path: Path) -> None:
    async def test(there: Mesh, operator: Operator) -> None:
        program, upstreams = there.programs["side-2"], there.upstreams
        held = {}
        for at, path in (0, "/pay/hold"), (1, "/pay/hold"), (2, "/read/hold"), (2, "/pay/hold"):
            client, attempt = await there.client(at), there.id()
            client.send(attempt, path)
            held[attempt] = client
        await until(lambda: sum(there.runs[attempt] for attempt in held) == len(held), START_S)
        busy = asyncio.get_running_loop().create_task(until_refused(there))

        program.process.send_signal(signal.SIGTERM)

        async def leaves() -> bool:
            return not await there.ready(2)

        await polled(leaves, 2.0)  # the platform is told, while all goes on
        assert program.process.returncode is None and not busy.done()
        for upstream in upstreams:
            upstream.release.set()
        for attempt, client in held.items():
            answer = await client.read()
            assert answer is not None and (answer.status, answer.get(b"attempt-id")) == (200, attempt)
        assert await asyncio.wait_for(busy, GRACE_S) > 10
        assert await program.ended(GRACE_S) == 0
        paid = {
            one.get(b"attempt-id") or "" for one in upstreams[2].received if one.target.startswith(b"/pay/")
        }
        assert held.keys() & paid and all(there.runs[attempt] == 1 for attempt in paid)
        for at in (0, 1):
            assert (await there.ask(at, "/read/ok")).status == 200
            assert (await there.ask(at, "/pay/ok")).status == 503  # nobody is left that it can be reached by

    play(tmp_path, test)
