"""Plays a plan on two whole sidecars and judges it: what was taken is answered, what is promised holds."""

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
from rigs.shutdown_world.client import CUT, PlayedClient, Sent
from rigs.shutdown_world.clock import SkippingLoop
from rigs.shutdown_world.judgement import Finding, Run, crossed, excused, findings
from rigs.shutdown_world.plan import GRACE_S, NEVER, Plan
from rigs.shutdown_world.upstream import WorkingUpstream

NEWS_EACH_S = 0.02
# Of this process alone: another play on the same machine has other addresses.
NET = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}"
HEADS = {"header_bytes": 65536, "body_bytes": 1 << 20, "header_lag_ms": 3000}


class Result(Struct):
    """What a play came to. ``failed``: an answer that promises nothing, as 502. ``crossed``: requests that
    were cut and had not been taken; they are lost to nobody, but cost their client a try."""

    findings: list[Finding]
    sent: int
    answered: int
    refused: int
    failed: int
    crossed: int
    excused: int
    took_s: float  # of the first sidecar's end


class Sidecar:
    """One of the two, with its upstream."""

    def __init__(self, folder: Path, ip: str, node: str, runs: Counter[str]) -> None:
        """Not started."""
        self.upstream = WorkingUpstream(f"i-{node}", runs)
        self._folder, self.ip, self.node = folder, ip, node
        self.began: set[str] = set()  # ids of requests that were read whole and begun

    async def start(self, ports: list[int]) -> None:
        """Its upstream, which runs, has said that it is there. ``ports``: of peers, control, outbound and
        readiness."""
        file = self._folder / f"{self.node}.toml"
        write_settings(
            *(file, self.node, self.ip, "auxiliary", ports, ["127.0.0.9"], self.upstream.address, "s"),
            grace_s=GRACE_S,
        )
        settings = parse_settings(file.read_text())
        assert isinstance(settings, Settings), settings
        self.proxy = Proxy(settings, EventLog(self.node, io.StringIO()))
        self.proxy.balancers._random.seed(self.node)  # the same draws in each play of a plan
        await self.proxy.start()
        self._watch()
        assert await self.upstream.send_heartbeat((self.ip, ports[1])) == 200

    def _watch(self) -> None:
        begin = self.proxy.request_dispatcher.begin

        def noted(received_ms: float, message: http.Message, reply: Reply) -> str | None:
            self.began.add(message.get(b"attempt-id") or "")
            return begin(received_ms, message, reply)

        self.proxy.request_dispatcher.begin = noted  # type: ignore[method-assign]

    def take(self, items: list[Item], name: str = "roll") -> None:
        """What the other has is known here, as news would bring it."""
        store = self.proxy.membership_store if name == "roll" else self.proxy.config_store
        changed = store.merge(items, {})
        if isinstance(changed, list) and changed:
            self.proxy._on_items(name, changed)

    def close(self) -> None:
        """Lets go of all that it holds of the system."""
        self.upstream.close()
        self.proxy.upstream_connections.close()
        assert self.proxy._server is not None
        self.proxy._server.close()
        for link in [*self.proxy.incoming_links, *(one.link for one in self.proxy.peer_links.links())]:
            if link is not None:
                link.close("the play is over")


class World:
    """One play while it goes on."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Nothing has been started."""
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.sent: list[Sent] = []
        self.runs: Counter[str] = Counter()
        self.first = Sidecar(folder, f"{NET}.1", "n1", self.runs)
        self.second = Sidecar(folder, f"{NET}.2", "n2", self.runs)
        self.outbound = ("", 0)
        self.delay_s, self.ended = plan.delay_s, False
        self.clients_stop_at = NEVER
        self.term_at = self.exit_at = NEVER
        self._version = 1

    async def connect(self) -> Client:
        """A client's connection to the first. Raises OSError."""
        return await Client.connect(self.outbound)

    async def play(self) -> Result:
        """From the start of both to the end of the first."""
        for sidecar in self.first, self.second:
            await sidecar.upstream.start(sidecar.ip)
        ports = free_ports([self.first.ip, self.second.ip], 4)
        self.outbound = (self.first.ip, ports[2])
        for sidecar in self.first, self.second:
            await sidecar.start(ports)
        self._configure(horizon_ms=5000)
        began = self.loop.time()
        self.clients_stop_at = began + self.plan.clients_stop_s
        self.term_at = began + self.plan.first_ends_s
        around = [asyncio.ensure_future(one) for one in self._around(began)]
        clients = [
            asyncio.ensure_future(PlayedClient(self, f"c{at}", one, self.plan.seed * 100 + at).run())
            for at, one in enumerate(self.plan.clients)
        ]
        await asyncio.sleep(self.plan.first_ends_s)
        await self.first.proxy.stop()
        self.ended, self.exit_at = True, self.loop.time()
        self._exit()
        await asyncio.wait(clients, timeout=10.0)
        for one in [*around, *clients]:
            one.cancel()
        await asyncio.gather(*around, *clients, return_exceptions=True)
        return self._judge()

    def _exit(self) -> None:
        """The kernel closes what a process had open."""
        for connection in list(self.first.proxy.client_listener._connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.first.close()
        self.second.close()

    def _around(self, began: float) -> list[Coroutine[Any, Any, None]]:
        plan = self.plan
        tasks = [self._news()]
        tasks += [self._at(began + at, self._hup) for at in plan.hups_s]
        tasks += [self._at(began + at, self._change) for at in plan.changes_s]
        tasks += [self._at(began + at, self._reset) for at in plan.resets_s]
        if plan.second_ends_s != NEVER:
            tasks.append(self._end_second(began + plan.second_ends_s))
        return tasks

    async def _at(self, instant: float, happens: Callable[[], None]) -> None:
        await asyncio.sleep(max(instant - self.loop.time(), 0.0))
        happens()

    async def _end_second(self, instant: float) -> None:
        await asyncio.sleep(max(instant - self.loop.time(), 0.0))
        await self.second.proxy.stop()

    async def _news(self) -> None:
        while True:
            for here, there in (self.first, self.second), (self.second, self.first):
                items = [
                    item
                    for item in there.proxy.membership_store.items.values()
                    if item.kind in (NODE, INSTANCE)
                ]
                self.loop.call_later(self.plan.news_s, here.take, items)
            await asyncio.sleep(NEWS_EACH_S)

    def _configure(self, horizon_ms: int) -> None:
        self._version += 1
        rules = {
            "read": route("read", "/read/", "s", horizon_ms=horizon_ms, trials=2),
            "pay": route("pay", "/pay/", "s", effectful=True, horizon_ms=horizon_ms, trials=2),
        }
        items = [Item("plant", "s", self._version, {"name": "s", "epoch": "r1"}, "op", self._version)]
        items.append(Item("input_limits", "input_limits", self._version, self._limits(), "op", self._version))
        for name, rule in rules.items():
            value = {**rule, "host": "h.example"}
            items.append(Item("route", name, self._version, value, "op", self._version))
        for sidecar in self.first, self.second:
            sidecar.take(items, "charter")

    def _limits(self) -> dict[str, int]:
        return {**HEADS, "quiescent_ms": 4000 + 1000 * (self._version % 9)}

    def _change(self) -> None:
        self._configure(horizon_ms=5000 + 10 * self._version)

    def _hup(self) -> None:
        proxy = self.first.proxy
        proxy.apply_settings(replace(proxy.settings, seeds=(("127.0.0.8", 1 + self._version),)))

    def _reset(self) -> None:
        for link in self.first.proxy.peer_links.links():
            if link.link is not None:
                link.link.close("reset by the play")

    def _judge(self) -> Result:
        result = Result([], len(self.sent), 0, 0, 0, 0, 0, self.exit_at - self.term_at)
        for request in self.sent:
            run, status = self._run(request), request.status
            result.findings += findings(request, run, self.term_at)
            if status == CUT:
                result.crossed += crossed(request, run)
                result.excused += excused(request, run, self.term_at)
            elif status is not None and status > 0:
                result.answered += status == 200
                result.refused += status in NOT_EXECUTED_STATUSES
                result.failed += status != 200 and status not in NOT_EXECUTED_STATUSES
        return result

    def _run(self, request: Sent) -> Run:
        ends = [side.upstream.ended_at.get(request.attempt, 0.0) for side in (self.first, self.second)]
        taken = request.attempt in self.first.began
        return Run(self.runs[request.attempt], max(ends), taken)


def play(plan: Plan) -> Result:
    """Plays it from its start to its judgement."""

    async def played(folder: str) -> Result:
        loop = asyncio.get_running_loop()
        with mock.patch("anisestair.http.frontend.time", SimpleNamespace(monotonic=loop.time)):
            return await World(plan, Path(folder)).play()

    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=SkippingLoop) as runner:
        result = runner.run(played(folder))
    gc.collect()  # transports of a loop that is over warn when they are collected later
    return result
