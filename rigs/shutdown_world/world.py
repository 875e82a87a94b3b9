"""Runs a plan on two complete sidecars and checks that accepted requests are answered and promises hold."""

from __future__ import annotations

import asyncio
import gc
import io
import os
import tempfile
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from msgspec import Struct
from msgspec.structs import replace

from anisestair.http import codec as http
from mesh.data_plane.call_state import NOT_EXECUTED_STATUSES
from mesh.data_plane.membership import INSTANCE, NODE
from mesh.data_plane.program import Proxy
from mesh.data_plane.request_dispatch import Reply
from mesh.event_log.log import EventLog
from mesh.replication.items import Item
from mesh.runtime.settings import Settings, parse_settings
from rigs.mesh_peers import Client, free_ports, route, write_settings
from rigs.shutdown_world.client import CONNECTION_LOST, SentRequest, SimulatedClient
from rigs.shutdown_world.clock import SkippingLoop
from rigs.shutdown_world.judgement import Execution, Finding, crossed_close, excused, findings
from rigs.shutdown_world.plan import GRACE_S, NEVER, Plan
from rigs.shutdown_world.upstream import WorkingUpstream

EXCHANGE_INTERVAL_S = 0.02
# Specific to this process, so that runs at the same time use different addresses.
NETWORK = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
INPUT_LIMITS = {"header_bytes": 65536, "body_bytes": 1 << 20, "header_lag_ms": 3000}


class Result(Struct):
    """The result of a run. ``failed``: answers that promise nothing, such as 502. ``crossed_close``: requests
    that crossed the close of their connection without being read; their clients can retry them."""

    findings: list[Finding]
    requests: int
    answered: int
    refused: int
    failed: int
    crossed_close: int
    excused: int
    shutdown_s: float  # of the first sidecar


class Sidecar:
    """One of the two sidecars, with its upstream."""

    def __init__(self, folder: Path, ip: str, node: str, executions: Counter[str]) -> None:
        """Creates the upstream; nothing is started."""
        self.upstream = WorkingUpstream(f"i-{node}", executions)
        self._folder, self.ip, self.node = folder, ip, node
        self.accepted: set[str] = set()  # ids of the requests that were read completely

    async def start(self, ports: list[int]) -> None:
        """Starts the sidecar and registers its running upstream. ``ports``: of peers, control, outbound and
        readiness."""
        file = self._folder / f"{self.node}.toml"
        write_settings(
            *(file, self.node, self.ip, "auxiliary", ports, ["127.0.0.9"], self.upstream.address, "s"),
            grace_s=GRACE_S,
        )
        settings = parse_settings(file.read_text())
        assert isinstance(settings, Settings), settings
        self.proxy = Proxy(settings, EventLog(self.node, io.StringIO()))
        self.proxy.balancers._random.seed(self.node)  # so that each run of a plan draws the same numbers
        await self.proxy.start()
        self._record_accepted()
        assert await self.upstream.send_heartbeat((self.ip, ports[1])) == 200

    def _record_accepted(self) -> None:
        begin = self.proxy.request_dispatcher.begin

        def recording(received_ms: float, message: http.Message, reply: Reply) -> str | None:
            self.accepted.add(message.get(b"attempt-id") or "")
            return begin(received_ms, message, reply)

        self.proxy.request_dispatcher.begin = recording  # type: ignore[method-assign]

    def receive_items(self, items: list[Item], name: str = "roll") -> None:
        """Merges items of the other sidecar, as the pull exchange would."""
        store = self.proxy.membership_store if name == "roll" else self.proxy.config_store
        changed = store.merge(items, {})
        if isinstance(changed, list) and changed:
            self.proxy._on_items(name, changed)

    def close(self) -> None:
        """Releases its sockets."""
        self.upstream.close()
        self.proxy.upstream_connections.close()
        assert self.proxy._server is not None
        self.proxy._server.close()
        for link in [*self.proxy.incoming_links, *(peer.link for peer in self.proxy.peer_links.links())]:
            if link is not None:
                link.close("the run is over")


class ShutdownSimulation:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Creates the sidecars; nothing is started."""
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.requests: list[SentRequest] = []
        self.executions: Counter[str] = Counter()
        self.first = Sidecar(folder, f"{NETWORK}.1", "n1", self.executions)
        self.second = Sidecar(folder, f"{NETWORK}.2", "n2", self.executions)
        self.outbound = ("", 0)
        self.delay_s, self.exited = plan.delay_s, False
        self.clients_stop_at = NEVER
        self.term_at = self.exit_at = NEVER
        self._version = 1

    async def connect(self) -> Client:
        """Connects a client to the first sidecar. Raises OSError."""
        return await Client.connect(self.outbound)

    async def run(self) -> Result:
        """Runs from the start of both sidecars to the exit of the first."""
        for sidecar in self.first, self.second:
            await sidecar.upstream.start(sidecar.ip)
        ports = free_ports([self.first.ip, self.second.ip], 4)
        self.outbound = (self.first.ip, ports[2])
        for sidecar in self.first, self.second:
            await sidecar.start(ports)
        self._configure(horizon_ms=5000)
        started_at = self.loop.time()
        self.clients_stop_at = started_at + self.plan.clients_stop_s
        self.term_at = started_at + self.plan.first_ends_s
        background = [asyncio.ensure_future(coroutine) for coroutine in self._background_tasks(started_at)]
        clients = [
            asyncio.ensure_future(
                SimulatedClient(self, f"c{at}", client_plan, self.plan.seed * 100 + at).run()
            )
            for at, client_plan in enumerate(self.plan.clients)
        ]
        await asyncio.sleep(self.plan.first_ends_s)
        await self.first.proxy.stop()
        self.exited, self.exit_at = True, self.loop.time()
        self._exit()
        await asyncio.wait(clients, timeout=10.0)
        for task in [*background, *clients]:
            task.cancel()
        await asyncio.gather(*background, *clients, return_exceptions=True)
        return self._result()

    def _exit(self) -> None:
        """Closes all sockets, as the kernel does when a process exits."""
        for connection in list(self.first.proxy.client_listener._connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.first.close()
        self.second.close()

    def _background_tasks(self, started_at: float) -> list[Coroutine[Any, Any, None]]:
        plan = self.plan
        tasks = [self._exchange_memberships()]
        tasks += [self._run_at(started_at + at, self._reload) for at in plan.hups_s]
        tasks += [self._run_at(started_at + at, self._change_configuration) for at in plan.changes_s]
        tasks += [self._run_at(started_at + at, self._reset_links) for at in plan.resets_s]
        if plan.second_ends_s != NEVER:
            tasks.append(self._end_second(started_at + plan.second_ends_s))
        return tasks

    async def _run_at(self, instant: float, action: Callable[[], None]) -> None:
        await asyncio.sleep(max(instant - self.loop.time(), 0.0))
        action()

    async def _end_second(self, instant: float) -> None:
        await asyncio.sleep(max(instant - self.loop.time(), 0.0))
        await self.second.proxy.stop()

    async def _exchange_memberships(self) -> None:
        while True:
            for target, source in (self.first, self.second), (self.second, self.first):
                items = [
                    item
                    for item in source.proxy.membership_store.items.values()
                    if item.kind in (NODE, INSTANCE)
                ]
                self.loop.call_later(self.plan.news_s, target.receive_items, items)
            await asyncio.sleep(EXCHANGE_INTERVAL_S)

    def _configure(self, horizon_ms: int) -> None:
        self._version += 1
        routes = {
            "read": route("read", "/read/", "s", horizon_ms=horizon_ms, trials=2),
            "pay": route("pay", "/pay/", "s", effectful=True, horizon_ms=horizon_ms, trials=2),
        }
        items = [Item("plant", "s", self._version, {"name": "s", "epoch": "r1"}, "op", self._version)]
        items.append(Item("input_limits", "input_limits", self._version, self._limits(), "op", self._version))
        for name, fields in routes.items():
            value = {**fields, "host": "h.example"}
            items.append(Item("route", name, self._version, value, "op", self._version))
        for sidecar in self.first, self.second:
            sidecar.receive_items(items, "charter")

    def _limits(self) -> dict[str, int]:
        return {**INPUT_LIMITS, "quiescent_ms": 4000 + 1000 * (self._version % 9)}

    def _change_configuration(self) -> None:
        self._configure(horizon_ms=5000 + 10 * self._version)

    def _reload(self) -> None:
        proxy = self.first.proxy
        proxy.apply_settings(replace(proxy.settings, seeds=(("127.0.0.8", 1 + self._version),)))

    def _reset_links(self) -> None:
        for peer in self.first.proxy.peer_links.links():
            if peer.link is not None:
                peer.link.close("reset by the simulation")

    def _result(self) -> Result:
        result = Result([], len(self.requests), 0, 0, 0, 0, 0, self.exit_at - self.term_at)
        for request in self.requests:
            execution, status = self._execution(request), request.status
            result.findings += findings(request, execution, self.term_at)
            if status == CONNECTION_LOST:
                result.crossed_close += crossed_close(request, execution)
                result.excused += excused(request, execution, self.term_at)
            elif status is not None and status > 0:
                result.answered += status == 200
                result.refused += status in NOT_EXECUTED_STATUSES
                result.failed += status != 200 and status not in NOT_EXECUTED_STATUSES
        return result

    def _execution(self, request: SentRequest) -> Execution:
        ends = [sidecar.upstream.ends_at.get(request.attempt, 0.0) for sidecar in (self.first, self.second)]
        accepted = request.attempt in self.first.accepted
        return Execution(self.executions[request.attempt], max(ends), accepted)


def run_plan(plan: Plan) -> Result:
    """Runs the plan and checks the result."""

    async def simulate(folder: str) -> Result:
        loop = asyncio.get_running_loop()
        with mock.patch("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time)):
            return await ShutdownSimulation(plan, Path(folder)).run()

    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=SkippingLoop) as runner:
        result = runner.run(simulate(folder))
    gc.collect()  # transports of a closed loop would warn if they were collected later
    return result
