"""Both real programs on loopback: three processes of each, with stand-in upstreams, clients and operators.

Each machine has its own loopback address, since processes reach each other by address at one common port.
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
    poll_until,
    route,
    wait_until,
    write_settings,
)

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 10.0  # for six programs on few cores
PROPAGATION_TIMEOUT_S = 4.0  # until a change or a heartbeat has reached all machines
GRACE_S = 2.5
MACHINES = 3
SERVICES = ("red", "red", "blue")  # of the upstreams, by machine

# Specific to this process: another run on the same machine has other addresses.
NETWORK = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"


def behavior_of(message: http.Message) -> str:
    """Returns the last part of the path: how the upstream is to behave."""
    return message.target.rpartition(b"/")[2].decode()


@dataclass
class Program:
    """One process and its log file."""

    process: asyncio.subprocess.Process
    log: Path

    async def wait_for_exit(self, timeout_s: float) -> int:
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
    heartbeat_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    request_count: int = 0

    def address(self, machine: int, port: int) -> Address:
        return f"{NETWORK}.{machine}", self.ports[port]

    def control(self, machine: int) -> Address:
        return self.address(machine, 1)

    def controllers(self) -> list[Address]:
        """Returns the addresses that the operator calls."""
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
        seeds = [f"{NETWORK}.{11 + at}" for at in range(MACHINES)]
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
            upstream = Upstream(f"i-{at}", SERVICES[at], behavior_of, self.runs, capacity=8)
            await upstream.start(f"{NETWORK}.{21 + at}")
            self.upstreams.append(upstream)
            write_settings(
                self.folder / f"side-{at}.toml",
                f"side-{at}",
                f"{NETWORK}.{21 + at}",
                "auxiliary",
                self.ports,
                seeds,
                upstream=upstream.address,
                service=SERVICES[at],
                grace_s=GRACE_S,
            )
            await self.start(f"side-{at}", "data_plane")
            self.heartbeat_tasks.append(asyncio.get_running_loop().create_task(self._send_heartbeats(at)))

    async def _send_heartbeats(self, at: int) -> None:
        while True:
            await self.upstreams[at].send_heartbeat(self.control(21 + at))
            await asyncio.sleep(0.4)  # the interval of an upstream's heartbeats

    async def stop(self) -> None:
        for task in self.heartbeat_tasks:
            task.cancel()
        for program in self.programs.values():
            await program.kill()
        for upstream in self.upstreams:
            upstream.release.set()
            upstream.close()

    # Clients

    def new_attempt_id(self) -> str:
        self.request_count += 1
        return f"{self.request_count:016x}"

    async def client(self, at: int) -> Client:
        return await Client.connect(self.address(21 + at, 2))

    async def request(self, at: int, path: str, body: bytes = b"") -> http.Message:
        """Sends one request on a new connection."""
        client = await self.client(at)
        try:
            return await client.request(self.new_attempt_id(), path, body=body)
        finally:
            client.abort()

    async def is_ready(self, at: int) -> bool:
        return (await call(self.address(21 + at, 3), b"GET", b"/readiness", timeout_s=1.0))[0] == 200

    async def wait_for_instances(self, at: int, path: str, instances: set[str]) -> None:
        """Waits until each of these upstreams has answered a request at that machine."""
        seen: set[str] = set()

        async def all_seen() -> bool:
            response = await self.request(at, path)
            if response.status == 200:
                seen.add(response.body.partition(b":")[0].decode())
            return instances <= seen

        await poll_until(all_seen, PROPAGATION_TIMEOUT_S)

    def log_tails(self) -> str:
        """Returns the last part of each log, for a failed test."""
        return "\n".join(
            f"--- {node}\n{program.log.read_text()[-1500:]}" for node, program in self.programs.items()
        )


@asynccontextmanager
async def mesh(folder: Path) -> AsyncIterator[Mesh]:
    ips = [f"{NETWORK}.{base + at}" for base in (11, 21) for at in range(MACHINES)]
    there = Mesh(folder, free_ports(ips, 4))
    try:
        await there.start_all()
        yield there
    except BaseException:
        print(there.log_tails())
        raise
    finally:
        await there.stop()


INITIAL = patch_body(
    route("read", "/read/", "red"), route("pay", "/pay/", "blue", effectful=True), services=("red", "blue")
)


def versions(configuration: dict[str, Any]) -> dict[str, str]:
    """Returns the versions of routes by name, from a configuration that was read back."""
    return {
        rule["name"]: rule["epoch"] for port in configuration["input_ports"] for rule in port["control_law"]
    }


def run_test(folder: Path, test: Callable[[Mesh, Operator], Awaitable[None]]) -> None:
    """Runs a test on a mesh that has its initial configuration and is ready on all machines."""

    async def run() -> None:
        async with asyncio.timeout(20.0), mesh(folder) as there:
            operator = Operator(there.controllers())
            assert not await there.is_ready(0)  # without a configuration
            await operator.change(INITIAL, START_TIMEOUT_S)
            for at in range(MACHINES):
                await poll_until(lambda at=at: there.is_ready(at), START_TIMEOUT_S)  # type: ignore[misc]
            for at in range(MACHINES):
                await there.wait_for_instances(at, "/read/ok", {"i-0", "i-1"})
                await there.wait_for_instances(at, "/pay/ok", {"i-2"})
            await test(there, operator)

    asyncio.run(run())


def test_calls_cross_machines_a_change_shows_on_all_and_outlives_the_process_that_took_it(
    tmp_path: Path,
) -> None:
    async def test(there: Mesh, operator: Operator) -> None:
        # Calls
        response = await there.request(2, "/read/ok", body=b"\x00" * 100_000)
        assert response.body.endswith(b":/read/ok:" + b"\x00" * 100_000)
        assert (await there.request(0, "/new/ok")).status == 404
        for at in range(MACHINES):
            attempt = (await there.request(at, "/pay/ok")).get(b"attempt-id")
            (seen,) = [one for one in there.upstreams[2].received if one.get(b"attempt-id") == attempt]
            assert seen.get(b"calling-service") == SERVICES[at]
            assert seen.get(b"target-instance") == "i-2"

        # A change at one controller
        first = Operator([there.control(11)])
        await first.change(
            patch_body(route("pay", "/pay/", "red", 2, effectful=True), route("new", "/new/", "blue"))
        )
        expected = {"read": "r1", "pay": "r2", "new": "r1"}
        for at in range(MACHINES):
            await there.wait_for_instances(at, "/pay/ok", {"i-0", "i-1"})
            await there.wait_for_instances(at, "/new/ok", {"i-2"})
            assert (await there.request(at, "/pay/ok")).body[:3] in (b"i-0", b"i-1")  # it does not revert

        # That controller is killed
        core = there.programs["core-0"]
        core.process.kill()
        assert await core.wait_for_exit(2.0) == -signal.SIGKILL
        for at in (1, 2):
            assert versions(await operator.read(there.control(11 + at))) == expected
        await operator.change(patch_body(route("late", "/late/", "red", 5)))
        for at in range(MACHINES):
            await there.wait_for_instances(at, "/late/ok", {"i-0", "i-1"})
        assert (await there.request(1, "/pay/ok")).status == 200

        # It restarts; then all processes are killed, and the controllers restart from their disks
        expected["late"] = "r5"
        await there.start("core-0", "control_plane")
        for at in range(MACHINES):
            assert versions(await operator.read(there.control(11 + at))) == expected
        # The proxies are killed too, since they would disseminate the configuration again.
        for program in there.programs.values():
            await program.kill()
        for at in range(MACHINES):
            await there.start(f"core-{at}", "control_plane")
        for at in range(MACHINES):
            assert versions(await operator.read(there.control(11 + at))) == expected

    run_test(tmp_path, test)


async def until_refused(there: Mesh) -> int:
    """Sends one request after another, on a new connection whenever a response closes the previous one,
    until no connection is accepted; returns how many requests were answered."""
    client = await there.client(2)
    for count in range(1, 100_000):
        response = await client.request(there.new_attempt_id(), "/read/ok")
        assert response.status == 200, response
        if response.get(b"connection") == "close":
            assert await client.read() is None
            try:
                client = await there.client(2)
            except OSError:
                return count
    raise AssertionError("the proxy never stops accepting connections")


def test_a_proxy_that_is_told_to_end_loses_no_call_on_either_hop(tmp_path: Path) -> None:
    async def test(there: Mesh, operator: Operator) -> None:
        program, upstreams = there.programs["side-2"], there.upstreams
        held = {}
        for at, path in (0, "/pay/hold"), (1, "/pay/hold"), (2, "/read/hold"), (2, "/pay/hold"):
            client, attempt = await there.client(at), there.new_attempt_id()
            client.send(attempt, path)
            held[attempt] = client
        await wait_until(lambda: sum(there.runs[attempt] for attempt in held) == len(held), START_TIMEOUT_S)
        requests = asyncio.get_running_loop().create_task(until_refused(there))

        program.process.send_signal(signal.SIGTERM)

        async def not_ready() -> bool:
            return not await there.is_ready(2)

        await poll_until(not_ready, 2.0)  # the platform sees it while requests go on
        assert program.process.returncode is None and not requests.done()
        for upstream in upstreams:
            upstream.release.set()
        for attempt, client in held.items():
            response = await client.read()
            assert response is not None and (response.status, response.get(b"attempt-id")) == (200, attempt)
        assert await asyncio.wait_for(requests, GRACE_S) > 10
        assert await program.wait_for_exit(GRACE_S) == 0
        paid = {
            one.get(b"attempt-id") or "" for one in upstreams[2].received if one.target.startswith(b"/pay/")
        }
        assert held.keys() & paid and all(there.runs[attempt] == 1 for attempt in paid)
        for at in (0, 1):
            assert (await there.request(at, "/read/ok")).status == 200
            assert (
                await there.request(at, "/pay/ok")
            ).status == 503  # no proxy is left that reaches its upstream

    run_test(tmp_path, test)
