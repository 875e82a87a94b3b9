"""Plays a plan on real processes of this machine, and gives what the ledgers found."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from collections.abc import Awaitable, Sequence
from pathlib import Path

from msgspec import Struct

from rigs.mesh_peers import call, polled
from rigs.soak import plan as events
from rigs.soak.clients import Picked, SoakClient, Use
from rigs.soak.configuration_ledger import ConfigurationLedger, Finding
from rigs.soak.contact import EVERYWHERE, Bounds, ContactRecord
from rigs.soak.machines import Machines, layout_of
from rigs.soak.nodes import ROOT, Node
from rigs.soak.orders import Operators, body_of
from rigs.soak.plan import Plan, RouteItem
from rigs.soak.request_ledger import RequestLedger
from rigs.soak.troubles import Troubles

START_S = 40.0
READ_EVERY_S = 0.7
LAST_READS_S = 4.0
CLIENT_STOPS_S = 10.0
RECENT = 12  # routes that requests prefer
RECENT_SHARE = 0.6
PAUSES_S = (0.01, 0.05, 0.3)
SAMPLE_S = 5.0
LOOK_S, STAND_S = 0.02, 0.2  # between two looks of this process; beyond it by so much, it stood still
LOG_SHOWN = 1500


class Growth(Struct):
    """Of one node: megabytes and descriptors at the first sample, and at the last."""

    first_mb: float
    first_files: int
    last_mb: float = 0.0
    last_files: int = 0


class Result(Struct):
    """What a soak came to."""

    findings: list[Finding]
    lives: int
    requests: int
    judged: int  # runs and refusals that the configuration's ledger judged
    writes: int
    acknowledged: int
    longest_ack_s: float
    reads: int
    stalls: int
    outcomes: dict[str, int]
    growth: dict[str, Growth]


class Soak:
    """One play of one plan."""

    def __init__(self, plan: Plan, folder: Path, faults: Sequence[str] = ()) -> None:
        """``faults``: guards that the processes lack. ``folder``: for files, disks and logs."""
        self.plan, self.folder = plan, folder
        self._choose = random.Random(plan.seed)
        self.contact = ContactRecord(Bounds())
        self.configuration = ConfigurationLedger(self.contact, plan.routes)
        self.requests = RequestLedger(self.contact)
        self.findings: list[Finding] = []
        layout = layout_of(plan, folder, tuple(faults))
        self.machines = Machines(plan, layout, self.contact, self.requests, self.configuration, self.findings)
        self.troubles = Troubles(self.machines)
        self._operators = Operators(
            self.configuration,
            lambda: [one.control for one in self.machines.listed],
            self.troubles.acknowledged,
            self._now,
        )
        self._clients: list[SoakClient] = []
        self._asking: list[asyncio.Task[None]] = []  # the clients' turns
        self._tasks: set[asyncio.Task[None]] = set()
        self._lives, self._reads, self._stalls = 0, 0, 0
        self._recent: list[Picked] = []
        self._first = [Picked(one.prefix, one.effectful, False) for one in plan.routes]
        self._growth: dict[str, Growth] = {}

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # The whole play

    async def run(self) -> Result:
        """Raises TimeoutError where the mesh does not come up."""
        try:
            await self._start()
            await self._play()
        except BaseException:
            print(self._logs(), file=sys.stderr)
            raise
        finally:
            await self._stop()
        return self._result()

    async def _start(self) -> None:
        await self.machines.start()
        self._spawn(self._watch_stalls())
        self._spawn(self._watch_self())
        await polled(self._first_configuration, START_S)
        for node in self.machines.proxies.values():
            await polled(lambda node=node: self._is_ready(node), START_S)  # type: ignore[misc]

    async def _first_configuration(self) -> bool:
        """Whether one of the controllers has taken it."""
        body = body_of(self.plan.routes, None)
        for node in self.machines.listed:
            if (await call(node.control, b"PATCH", b"/configuration", body, 1.0))[0] == 200:
                return True
        return False

    @staticmethod
    async def _is_ready(node: Node) -> bool:
        return node.ready

    async def _play(self) -> None:
        began = self._now()
        self._begin_clients()
        self._spawn(self._read_on())
        self._spawn(self._sample())
        writes: list[asyncio.Task[None]] = []
        for event in self.plan.events:
            await asyncio.sleep(began + event.at - self._now())
            if isinstance(event, events.Write | events.AddMany):
                write = event if isinstance(event, events.Write) else event.write()
                writes.append(self._spawn(self._write(write)))
            else:
                self._spawn(self.troubles.apply(event))
        await asyncio.sleep(began + self.plan.seconds - self._now())
        self.troubles.end()
        if writes:
            await asyncio.wait(writes)
        await self._last_reads()
        for client in self._clients:
            client.stopped = True
        await asyncio.wait(self._asking, timeout=CLIENT_STOPS_S)

    def _begin_clients(self) -> None:
        for node in self.machines.proxies.values():
            for number in range(self.plan.clients):
                client = SoakClient(
                    node,
                    f"{node.name}.{number}",
                    self._choose.choice(tuple(Use)),
                    self._choose.getrandbits(32),
                    self._choose.choice(PAUSES_S),
                    self._pick,
                    self.requests,
                    self.configuration,
                )
                self._clients.append(client)
                self._asking.append(self._spawn(client.run()))

    def _pick(self, choose: random.Random) -> Picked:
        if self._recent and choose.random() < RECENT_SHARE:
            return choose.choice(self._recent)
        return choose.choice(self._first)

    async def _stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._lives = await self.machines.stop()

    def _result(self) -> Result:
        now = max((one.at for one in self.requests.sent.values()), default=0.0)
        took = self._operators.took_s
        return Result(
            [*self.findings, *self.configuration.findings, *self.requests.judge(now)],
            self._lives,
            len(self.requests.sent),
            self.configuration.judged,
            len(self.configuration.orders),
            len(took),
            max(took, default=0.0),
            self._reads,
            self._stalls,
            self.requests.outcomes(),
            self._growth,
        )

    def _logs(self) -> str:
        logs = sorted(self.folder.glob("*.log"))
        return "\n".join(f"--- {path.name}\n{path.read_text()[-LOG_SHOWN:]}" for path in logs)

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            told = f"the soak itself failed: {task.exception()!r}"
            self.findings.append(Finding("Rig", self._now(), told))

    # What is measured

    async def _sample(self) -> None:
        while True:
            for node in self.machines.all():
                held_mb, files = round(node.memory_mb(), 1), node.descriptors()
                if held_mb:
                    growth = self._growth.setdefault(node.name, Growth(held_mb, files))
                    growth.last_mb, growth.last_files = held_mb, files
            await asyncio.sleep(SAMPLE_S)

    async def _watch_stalls(self) -> None:
        probe = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "rigs.soak.stall_probe"),
            cwd=ROOT,
            env=dict(os.environ),
            stdout=asyncio.subprocess.PIPE,
        )
        assert probe.stdout is not None
        try:
            while line := await probe.stdout.readline():
                ended, length = map(float, line.split())
                self._stalled(ended - length, ended)
        finally:
            probe.kill()

    async def _watch_self(self) -> None:
        """The relays and clients are in this process: while it stands still, so do all links."""
        while True:
            before = self._now()
            await asyncio.sleep(LOOK_S)
            if self._now() - before > LOOK_S + STAND_S:
                self._stalled(before, self._now())

    def _stalled(self, began: float, ended: float) -> None:
        self._stalls += 1
        self.contact.node(EVERYWHERE, began).ended = ended

    # Operators

    async def _write(self, write: events.Write) -> None:
        first = {one.prefix for one in self._first}
        for item in write.items:
            if isinstance(item, RouteItem):
                self._recent.append(Picked(item.prefix, item.effectful, item.prefix not in first))
            else:
                self._recent.append(Picked(f"/{item.name}/", False, True))
        self._recent = self._recent[-RECENT:]
        await self._operators.write(write)

    async def _read_on(self) -> None:
        while True:
            await asyncio.sleep(READ_EVERY_S)
            node = self._choose.choice(self.machines.listed)
            self._reads += await self._operators.read(node.name, node.control)

    async def _last_reads(self) -> None:
        """Each controller answers, after all is calm."""
        ends = self._now() + LAST_READS_S
        while self._now() < ends:
            for node in list(self.machines.listed):
                self._reads += await self._operators.read(node.name, node.control)
            await asyncio.sleep(0.2)
        for node in self.machines.listed:
            await self._last_read(node)

    async def _last_read(self, node: Node) -> None:
        try:
            await polled(lambda: self._operators.read(node.name, node.control), START_S)
        except TimeoutError:
            told = f"{node.name} answers no read in {START_S} s of calm"
            self.findings.append(Finding("CONFIG", self._now(), told))
