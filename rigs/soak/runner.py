"""Runs a plan on real processes of this machine, and returns the findings of the ledgers."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from collections.abc import Awaitable, Sequence
from pathlib import Path

import msgspec
from msgspec import Struct

from rigs.mesh_peers import call, poll_until
from rigs.soak import plan as events
from rigs.soak.clients import ConnectionUse, RouteTarget, SoakClient
from rigs.soak.configuration_ledger import ConfigurationLedger, Finding
from rigs.soak.disturbances import ALL_NODES, Bounds, DisturbanceRecord
from rigs.soak.fault_injection import FaultInjector
from rigs.soak.machines import Machines, make_layout
from rigs.soak.nodes import ROOT, Node
from rigs.soak.operators import Operators, body_of
from rigs.soak.plan import Plan, RouteItem
from rigs.soak.request_ledger import RequestLedger

START_TIMEOUT_S = 40.0
READ_INTERVAL_S = 0.7
FINAL_READS_S = 4.0
CLIENT_STOP_TIMEOUT_S = 10.0
MAX_RECENT_TARGETS = 12  # of recent writes
RECENT_SHARE = 0.6  # of the requests go to recent targets
MAX_PAUSES_S = (0.01, 0.05, 0.3)
SAMPLE_INTERVAL_S = 5.0
STALL_CHECK_S, STALL_S = 0.02, 0.2  # interval of checks; a check later than that by STALL_S shows a stall
LOG_TAIL_CHARS = 1500


class Growth(Struct):
    """Memory and file descriptors of one node at the first and the last sample."""

    first_mb: float
    first_files: int
    last_mb: float = 0.0
    last_files: int = 0


class Result(Struct):
    """The result of a soak. Its fields are keys of the JSON output."""

    findings: list[Finding]
    incarnations: int = msgspec.field(name="lives")
    requests: int
    checked: int = msgspec.field(name="judged")  # runs and 404 responses, by the configuration ledger
    writes: int
    acknowledged: int
    longest_ack_s: float
    reads: int
    stalls: int
    outcomes: dict[str, int]
    growth: dict[str, Growth]


class Soak:
    """One run of one plan."""

    def __init__(self, plan: Plan, folder: Path, seeded_faults: Sequence[str] = ()) -> None:
        """``seeded_faults``: names of faults in all processes. ``folder``: for settings, disks and logs."""
        self.plan, self.folder = plan, folder
        self._rng = random.Random(plan.seed)
        self.disturbances = DisturbanceRecord(Bounds())
        self.configuration = ConfigurationLedger(self.disturbances, plan.routes)
        self.requests = RequestLedger(self.disturbances)
        self.findings: list[Finding] = []
        layout = make_layout(plan, folder, tuple(seeded_faults))
        self.machines = Machines(
            plan, layout, self.disturbances, self.requests, self.configuration, self.findings
        )
        self.fault_injector = FaultInjector(self.machines)
        self._operators = Operators(
            self.configuration,
            lambda: [one.control for one in self.machines.listed_controllers],
            self.fault_injector.on_acknowledged,
            self._now,
        )
        self._clients: list[SoakClient] = []
        self._client_tasks: list[asyncio.Task[None]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._incarnations, self._reads, self._stalls = 0, 0, 0
        self._recent_targets: list[RouteTarget] = []
        self._initial_targets = [RouteTarget(one.prefix, one.effectful, False) for one in plan.routes]
        self._growth: dict[str, Growth] = {}

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # The whole run

    async def run(self) -> Result:
        """Runs the plan. Raises TimeoutError if the mesh does not start in time."""
        try:
            await self._start()
            await self._run_events()
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
        await poll_until(self._write_initial_configuration, START_TIMEOUT_S)
        for node in self.machines.proxies.values():
            await poll_until(lambda node=node: self._is_ready(node), START_TIMEOUT_S)  # type: ignore[misc]

    async def _write_initial_configuration(self) -> bool:
        """Returns whether one of the controllers has acknowledged it."""
        body = body_of(self.plan.routes, None)
        for node in self.machines.listed_controllers:
            if (await call(node.control, b"PATCH", b"/configuration", body, 1.0))[0] == 200:
                return True
        return False

    @staticmethod
    async def _is_ready(node: Node) -> bool:
        return node.ready

    async def _run_events(self) -> None:
        began = self._now()
        self._start_clients()
        self._spawn(self._read_periodically())
        self._spawn(self._sample())
        writes: list[asyncio.Task[None]] = []
        for event in self.plan.events:
            await asyncio.sleep(began + event.at - self._now())
            if isinstance(event, events.Write | events.AddManyRoutes):
                write = event if isinstance(event, events.Write) else event.as_write()
                writes.append(self._spawn(self._write(write)))
            else:
                self._spawn(self.fault_injector.inject(event))
        await asyncio.sleep(began + self.plan.seconds - self._now())
        self.fault_injector.end()
        if writes:
            await asyncio.wait(writes)
        await self._final_reads()
        for client in self._clients:
            client.stopped = True
        await asyncio.wait(self._client_tasks, timeout=CLIENT_STOP_TIMEOUT_S)

    def _start_clients(self) -> None:
        for node in self.machines.proxies.values():
            for number in range(self.plan.clients):
                client = SoakClient(
                    node,
                    f"{node.name}.{number}",
                    self._rng.choice(tuple(ConnectionUse)),
                    self._rng.getrandbits(32),
                    self._rng.choice(MAX_PAUSES_S),
                    self._choose_target,
                    self.requests,
                    self.configuration,
                )
                self._clients.append(client)
                self._client_tasks.append(self._spawn(client.run()))

    def _choose_target(self, rng: random.Random) -> RouteTarget:
        if self._recent_targets and rng.random() < RECENT_SHARE:
            return rng.choice(self._recent_targets)
        return rng.choice(self._initial_targets)

    async def _stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._incarnations = await self.machines.stop()

    def _result(self) -> Result:
        now = max((one.ended_at for one in self.requests.sent.values()), default=0.0)
        ack_times_s = self._operators.ack_times_s
        return Result(
            [*self.findings, *self.configuration.findings, *self.requests.check(now)],
            self._incarnations,
            len(self.requests.sent),
            self.configuration.checked,
            len(self.configuration.writes),
            len(ack_times_s),
            max(ack_times_s, default=0.0),
            self._reads,
            self._stalls,
            self.requests.count_outcomes(),
            self._growth,
        )

    def _logs(self) -> str:
        logs = sorted(self.folder.glob("*.log"))
        return "\n".join(f"--- {path.name}\n{path.read_text()[-LOG_TAIL_CHARS:]}" for path in logs)

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            description = f"the soak itself failed: {task.exception()!r}"
            self.findings.append(Finding("Rig", self._now(), description))

    # Measurements

    async def _sample(self) -> None:
        while True:
            for node in self.machines.all():
                memory_mb, files = round(node.memory_mb(), 1), node.open_descriptors()
                if memory_mb:
                    growth = self._growth.setdefault(node.name, Growth(memory_mb, files))
                    growth.last_mb, growth.last_files = memory_mb, files
            await asyncio.sleep(SAMPLE_INTERVAL_S)

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
                self._record_stall(ended - length, ended)
        finally:
            probe.kill()

    async def _watch_self(self) -> None:
        """Records stalls of this process, which contains the relays and clients: they stall all links."""
        while True:
            before = self._now()
            await asyncio.sleep(STALL_CHECK_S)
            if self._now() - before > STALL_CHECK_S + STALL_S:
                self._record_stall(before, self._now())

    def _record_stall(self, began: float, ended: float) -> None:
        self._stalls += 1
        self.disturbances.disturb_node(ALL_NODES, began).ended = ended

    # Operators

    async def _write(self, write: events.Write) -> None:
        initial = {one.prefix for one in self._initial_targets}
        for item in write.items:
            if isinstance(item, RouteItem):
                self._recent_targets.append(
                    RouteTarget(item.prefix, item.effectful, item.prefix not in initial)
                )
            else:
                self._recent_targets.append(RouteTarget(f"/{item.name}/", False, True))
        self._recent_targets = self._recent_targets[-MAX_RECENT_TARGETS:]
        await self._operators.write(write)

    async def _read_periodically(self) -> None:
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            node = self._rng.choice(self.machines.listed_controllers)
            self._reads += await self._operators.read(node.name, node.control)

    async def _final_reads(self) -> None:
        """Reads from each controller, which has to respond once no faults are injected any more."""
        ends = self._now() + FINAL_READS_S
        while self._now() < ends:
            for node in list(self.machines.listed_controllers):
                self._reads += await self._operators.read(node.name, node.control)
            await asyncio.sleep(0.2)
        for node in self.machines.listed_controllers:
            await self._final_read(node)

    async def _final_read(self, node: Node) -> None:
        try:
            await poll_until(lambda: self._operators.read(node.name, node.control), START_TIMEOUT_S)
        except TimeoutError:
            description = f"{node.name} answers no read within {START_TIMEOUT_S} s without faults"
            self.findings.append(Finding("CONFIG", self._now(), description))
