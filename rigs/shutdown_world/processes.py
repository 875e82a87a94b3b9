"""Real processes that are told to end at any moment, again and again, under clients of the protocol."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path

from msgspec import Struct

from rigs.mesh_demo import SIDE, Mesh
from rigs.mesh_peers import Client, Operator, change, polled, route
from rigs.shutdown_world.client import BEHIND, CUT, PlayedClient, Sent
from rigs.shutdown_world.judgement import LAST_SIXTH, Finding, Run, findings
from rigs.shutdown_world.plan import GRACE_S, NEVER, ClientPlan, Kind
from rigs.shutdown_world.upstream import WorkingUpstream

CONTROLLERS = 3
START_S = 15.0
UP_S = (0.2, 3.0)  # how long a sidecar that is ready runs before it is told to end
HUP_SHARE = 0.5  # of lives that are sent a SIGHUP at some moment
CLIENTS = (6, 16)


class Tally(Struct):
    """What all lives came to; ``long`` ends took more than five sixths of the grace."""

    lives: int = 0
    sent: int = 0
    counts: Counter[str] = Counter()
    findings: list[Finding] = []
    long: int = 0
    statuses: list[int] = []


class Life:
    """One life of a sidecar's process, as its clients see it."""

    def __init__(self, mesh: Mesh, at: int) -> None:
        """Of the sidecar of that number, which is ready."""
        self._mesh, self._at = mesh, at
        self.delay_s = 0.002
        self.sent: list[Sent] = []
        self.clients_stop_at = NEVER
        self.ended = False
        self.term_at = NEVER

    async def connect(self) -> Client:
        """A connection to it. Raises OSError."""
        return await Client.to(self._mesh.outbound(SIDE + self._at))


class Attack:
    """All sidecars of a small mesh, each ended again and again."""

    def __init__(self, mesh: Mesh, seed: int) -> None:
        """Not started."""
        self._mesh, self._choose = mesh, random.Random(seed)
        self._runs: Counter[str] = Counter()
        self._upstreams: list[WorkingUpstream] = []
        self.tally = Tally()

    async def start(self, proxies: int) -> None:
        """Every process is up, and the routes are known."""
        mesh = self._mesh
        for at in range(CONTROLLERS):
            await mesh.controller(at)
        operator = Operator([mesh.control(11 + at) for at in range(CONTROLLERS)])
        rules = [
            route("read", "/read/", "s", horizon_ms=5000, trials=2),
            route("pay", "/pay/", "s", effectful=True, horizon_ms=5000, trials=2),
        ]
        await operator.change(change(*rules, services=["s"]), within_s=START_S)
        for at in range(proxies):
            upstream = WorkingUpstream(f"i-{at}", self._runs)
            await upstream.start(f"{mesh.net}.{SIDE + at}")
            self._upstreams.append(upstream)
            await mesh.proxy(at, upstream)

    async def run(self, seconds: float) -> Tally:
        """Lives of all sidecars for so long."""
        until = asyncio.get_running_loop().time() + seconds
        await asyncio.gather(*(self._lives(at, until) for at in range(len(self._upstreams))))
        return self.tally

    async def _lives(self, at: int, until: float) -> None:
        number = 0
        while asyncio.get_running_loop().time() < until:
            await polled(lambda: self._mesh.ready(SIDE + at), START_S)
            number += 1
            await self._life(at, f"{at}.{number}")
            await self._mesh.again(f"proxy-{at}", "data_plane")

    async def _life(self, at: int, name: str) -> None:
        loop, choose = asyncio.get_running_loop(), self._choose
        life = Life(self._mesh, at)
        clients = [
            loop.create_task(PlayedClient(life, f"{name}.{number}", plan, choose.randrange(1 << 30)).run())
            for number, plan in enumerate(self._plans())
        ]
        process = self._mesh.processes[f"proxy-{at}"]
        up_s = choose.uniform(*UP_S)
        if choose.random() < HUP_SHARE:
            loop.call_later(choose.uniform(0.0, up_s + 2.0), self._hang_up, process)
        await asyncio.sleep(up_s)
        life.term_at = loop.time()
        if choose.random() < 0.5:  # else the platform goes on sending work, as with most of a zone ending
            life.clients_stop_at = life.term_at + choose.uniform(1.0, 2.1)
        process.send_signal(signal.SIGTERM)
        self.tally.statuses.append(await asyncio.wait_for(process.wait(), GRACE_S + 1.0))
        life.ended = True
        self.tally.long += loop.time() - life.term_at > GRACE_S * (1 - LAST_SIXTH)
        await asyncio.wait(clients, timeout=10.0)
        for one in clients:
            one.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        self._judge(life)

    @staticmethod
    def _hang_up(process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.send_signal(signal.SIGHUP)

    def _plans(self) -> list[ClientPlan]:
        choose = self._choose
        return [
            ClientPlan(choose.choice(tuple(Kind)), choose.choice((0.02, 0.3, 2.5)), choose.randint(2, 4))
            for _ in range(choose.randint(*CLIENTS))
        ]

    def _judge(self, life: Life) -> None:
        tally = self.tally
        tally.lives += 1
        tally.sent += len(life.sent)
        for request in life.sent:
            worked_until = max(one.ended_at.get(request.attempt, 0.0) for one in self._upstreams)
            run = Run(self._runs[request.attempt], worked_until)
            tally.findings += findings(request, run, life.term_at)
            name = {CUT: "cut", BEHIND: "behind a close", None: "none"}.get(request.status)
            tally.counts[name or str(request.status)] += 1


async def attack(seconds: float, proxies: int, seed: int) -> Tally:
    """Starts the processes, plays for so long, and ends them."""
    with tempfile.TemporaryDirectory() as folder:
        mesh = Mesh.of(Path(folder), CONTROLLERS, proxies)
        played = Attack(mesh, seed)
        try:
            await played.start(proxies)
            return await played.run(seconds)
        finally:
            await mesh.stop()
