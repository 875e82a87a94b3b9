"""The processes of a soak, each with a supervisor that restarts it as its platform would."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from pathlib import Path

from msgspec import Struct

from rigs.fleet import kill_with_parent
from rigs.lost_links.between import HoldingRelay
from rigs.mesh_peers import Address, call, write_settings
from rigs.soak.configuration_ledger import Finding
from rigs.soak.disturbances import Disturbance, DisturbanceRecord
from rigs.soak.plan import SettingsChange

ROOT = Path(__file__).resolve().parent.parent.parent
DEFAULT_DOWN_S = 0.3
PROBE_INTERVAL_S = 0.1
GRACE_SLACK_S = 0.5
HEARTBEAT_MS = 500
SEED_ORDERS = 3
MAX_START_S = 10.0  # for a start on a busy machine; a longer one is the program's fault
INVALID_TOML_S = 0.05  # how long a settings file is invalid
EXIT_INVALID_SETTINGS = 2  # the exit status of a program without valid settings


class SettingsValues(Struct):
    """The current values in a settings file, apart from addresses."""

    seed_order: int = 0
    retry_ratio: float = 0.2
    settle_ms: float = 2000
    contact_ms: float = 3000

    def change(self, setting: SettingsChange) -> None:
        """Changes to the next value of that setting, which never exceeds the bounds of the rules."""
        if setting is SettingsChange.SEED_ORDER:
            self.seed_order = (self.seed_order + 1) % SEED_ORDERS
        elif setting is SettingsChange.RETRY_RATIO:
            self.retry_ratio = 0.3 if self.retry_ratio == 0.2 else 0.2
        elif setting is SettingsChange.SETTLE:
            self.settle_ms = 1500 if self.settle_ms == 2000 else 2000
        elif setting is SettingsChange.CONTACT:
            self.contact_ms = 2500 if self.contact_ms == 3000 else 3000


class Layout(Struct, frozen=True):
    """Addresses and files of a soak. All machines use the same port for the same purpose. Processes announce
    ``peer_port``; with relays they listen at ``relayed_peer_port``."""

    folder: Path
    network: str
    peer_port: int
    relayed_peer_port: int
    control_port: int
    outbound_port: int
    readiness_port: int
    relays: bool
    seeded_faults: tuple[str, ...] = ()


class Node:
    """One machine's process over all its incarnations."""

    def __init__(
        self,
        name: str,
        host: int,
        program: str,
        layout: Layout,
        disturbances: DisturbanceRecord,
        seeds: Callable[[], Sequence[str]],
        on_finding: Callable[[Finding], None],
        on_core_change: Callable[[], None],
        relay_seed: int,
    ) -> None:
        """``host``: the last part of its address. ``seeds``: returns the hosts in the operators' current
        list."""
        self.name, self.program, self._layout, self._disturbances = name, program, layout, disturbances
        self.ip = f"{layout.network}.{host}"
        self._seeds, self._on_finding, self._on_core_change = seeds, on_finding, on_core_change
        # ``retired``: stopped or replaced, and never started again.
        self.incarnation, self.ready, self.retired, self.frozen = 0, False, False, False
        self.term_at: dict[int, float] = {}  # time of the first SIGTERM, by incarnation
        self.down_s, self.wipe, self.cold_boot = DEFAULT_DOWN_S, False, True
        self.values = SettingsValues()
        self.upstream: Address | None = None
        self.service = ""
        self.process: asyncio.subprocess.Process | None = None
        self._own_disturbance: Disturbance | None = None
        self._signals_sent: set[int] = set()  # to this incarnation
        self._invalid_toml_incarnation = 0  # the latest one whose settings file was invalid for a moment
        self._responding_incarnation = 0  # the latest one that has responded, and so handles signals
        self._tasks: list[asyncio.Task[None]] = []
        self.relay: HoldingRelay | None = None
        if layout.relays:
            self.relay = HoldingRelay(
                self.ip, layout.relayed_peer_port, relay_seed, at=(self.ip, layout.peer_port)
            )

    @property
    def is_controller(self) -> bool:
        """Whether it belongs to the core."""
        return self.program == "control_plane"

    @property
    def control(self) -> Address:
        """The address at which it accepts calls of operators, or of its upstream."""
        return self.ip, self._layout.control_port

    @property
    def outbound(self) -> Address:
        """The address at which it accepts requests."""
        return self.ip, self._layout.outbound_port

    @property
    def running(self) -> bool:
        """Whether its process exists and is not frozen."""
        return self.process is not None and self.process.returncode is None and not self.frozen

    def start(self) -> None:
        """Starts its process, which is restarted from now on whenever it ends."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._supervise()), loop.create_task(self._probe())]

    async def stop(self) -> None:
        """Ends its process and waits for the exit."""
        self.retired = True
        for task in self._tasks:
            task.cancel()
        if self.process is not None and self.process.returncode is None:
            self.send(signal.SIGKILL)
            await self.process.wait()
        if self.relay is not None:
            self.relay.close()

    # Fault injection

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if it exists."""
        if self.process is None or self.process.returncode is not None:
            return
        # asyncio's send_signal polls first, which may take the exit status from the waiting task
        with suppress(ProcessLookupError):
            os.kill(self.process.pid, number)
        self._signals_sent.add(number)

    def kill(self, down_s: float, wipe: bool) -> None:
        """Sends SIGKILL; the process restarts later."""
        self.down_s, self.wipe = down_s, self.wipe or wipe
        self._disturb(planned=False)
        self.send(signal.SIGKILL)

    def terminate(self, down_s: float) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period."""
        now = asyncio.get_running_loop().time()
        self.down_s = down_s
        self._disturb(planned=True)
        self.term_at.setdefault(self.incarnation, now)
        self.send(signal.SIGTERM)
        self._spawn(self._kill_after_grace(self.incarnation))

    async def _kill_after_grace(self, incarnation: int) -> None:
        await asyncio.sleep(self._disturbances.bounds.grace_s + GRACE_SLACK_S)
        if self.incarnation != incarnation or self.process is None or self.process.returncode is not None:
            return
        if not self._signals_sent & {signal.SIGSTOP, signal.SIGKILL} and not self._stalled():
            self._report("Fault", f"still runs {self._disturbances.bounds.grace_s} s after SIGTERM")
        self.send(signal.SIGKILL)
        self.send(signal.SIGCONT)

    def _stalled(self) -> bool:
        now = asyncio.get_running_loop().time()
        return not self._disturbances.node_undisturbed("", now - self._disturbances.bounds.grace_s, now)

    async def freeze(self, for_s: float) -> None:
        """Sends SIGSTOP, and SIGCONT later."""
        incarnation, process = self.incarnation, self.process
        if process is None or process.returncode is not None or self.frozen:
            return
        disturbance = self._disturbances.disturb_node(self.name, asyncio.get_running_loop().time())
        self.frozen = True
        self._disturb_core()
        self.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if self.incarnation == incarnation and process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT)
        self.frozen = False
        disturbance.ended = asyncio.get_running_loop().time()
        self._disturb_core()

    def change_settings(self, setting: SettingsChange, signalled: bool) -> None:
        """Changes its settings file, and sends SIGHUP if ``signalled``."""
        if setting is SettingsChange.INVALID_TOML:
            self._settings.write_text("node = ")
            self._invalid_toml_incarnation = self.incarnation
            asyncio.get_running_loop().call_later(INVALID_TOML_S, self.write_settings)
        else:
            self.values.change(setting)
            self.write_settings()
        if signalled:
            self.send(signal.SIGHUP)

    def _disturb(self, planned: bool) -> None:
        now = asyncio.get_running_loop().time()
        if self._own_disturbance is None or (self._own_disturbance.planned and not planned):
            self._end_disturbance(now)
            self._own_disturbance = self._disturbances.disturb_node(self.name, now, planned)
        self._disturb_core(planned)

    def _end_disturbance(self, now: float) -> None:
        if self._own_disturbance is not None:
            self._own_disturbance.ended = now
            self._own_disturbance = None

    def _disturb_core(self, planned: bool = False) -> None:
        if self.is_controller:
            self._disturbances.disturb_core(asyncio.get_running_loop().time(), planned=planned)
            self._on_core_change()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _report(self, rule: str, description: str) -> None:
        now = asyncio.get_running_loop().time()
        self._on_finding(Finding(rule, now, f"{self.name} incarnation {self.incarnation}: {description}"))

    # Supervision

    async def _supervise(self) -> None:
        while not self.retired:
            await self._start_process()
            assert self.process is not None
            status = await self.process.wait()
            self.ready = False
            self._check_exit(status)
            if self.retired:
                return
            await asyncio.sleep(self.down_s)
            self.down_s = DEFAULT_DOWN_S
            if self.wipe:
                self.wipe = False
                shutil.rmtree(self.disk)

    async def _start_process(self) -> None:
        loop = asyncio.get_running_loop()
        if self.is_controller:
            self.disk.mkdir(exist_ok=True)
        self.write_settings()
        layout, port = self._layout, self._layout.relayed_peer_port if self.relay is not None else 0
        arguments = ("-m", "rigs.soak.node_program", self.program, self.ip, str(port), *layout.seeded_faults)
        self._signals_sent = set()
        with (layout.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, *arguments),
                cwd=ROOT,
                env={**os.environ, "ANISESTAIR_BOOT": str(self._settings)},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=log,
                preexec_fn=kill_with_parent,
            )
        self.incarnation += 1
        self.cold_boot = False
        self._disturb_core()
        loop.call_later(MAX_START_S, self._end_startup, self.incarnation)

    def _end_startup(self, incarnation: int) -> None:
        """Ends the disturbance: that incarnation has responded or exceeded MAX_START_S, so the rules apply to
        it again."""
        if (
            incarnation == self.incarnation
            and self._own_disturbance is not None
            and incarnation not in self.term_at
        ):
            self._end_disturbance(asyncio.get_running_loop().time())
            self._disturb_core()

    def _check_exit(self, status: int) -> None:
        if self.retired or signal.SIGKILL in self._signals_sent:
            return
        if self._responding_incarnation < self.incarnation and -status in self._signals_sent & {
            signal.SIGTERM,
            signal.SIGHUP,
        }:
            return
        if (
            status == EXIT_INVALID_SETTINGS
            and self._invalid_toml_incarnation == self.incarnation
            and self._responding_incarnation < self.incarnation
        ):
            return  # it started while its settings file was invalid
        if signal.SIGTERM in self._signals_sent:
            if status:
                self._report("Fault", f"exited with status {status} after SIGTERM")
            return
        self._disturb(planned=False)
        self._report("Fault", f"exited by itself with status {status}")

    async def _probe(self) -> None:
        """Polls whether this incarnation is ready, as the platform does but more often; for a controller,
        whether it responds at all."""
        target = (
            (self.control, b"/")
            if self.is_controller
            else ((self.ip, self._layout.readiness_port), b"/readiness")
        )
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self.process is None or self.process.returncode is not None:
                continue
            incarnation = self.incarnation
            status, _ = await call(target[0], b"GET", target[1], timeout_s=1.0)
            if incarnation == self.incarnation and status:
                if self._responding_incarnation < incarnation:
                    self._responding_incarnation = incarnation
                    self._end_startup(incarnation)
                self.ready = status == 200 and incarnation not in self.term_at

    # Files

    @property
    def disk(self) -> Path:
        """The folder whose data outlives the process."""
        return self._layout.folder / f"disk-{self.name}"

    @property
    def _settings(self) -> Path:
        return self._layout.folder / f"{self.name}.toml"

    def write_settings(self) -> None:
        """Writes the settings file with the current values and moves it into place."""
        layout, values = self._layout, self.values
        seeds = list(self._seeds())
        offset = values.seed_order % max(len(seeds), 1)
        draft = self._settings.with_suffix(".draft")
        write_settings(
            draft,
            self.name,
            self.ip,
            "supervisor" if self.is_controller else "auxiliary",
            (layout.peer_port, layout.control_port, layout.outbound_port, layout.readiness_port),
            seeds[offset:] + seeds[:offset],
            upstream=self.upstream,
            service=self.service,
            state_dir=str(self.disk) if self.is_controller else "",
            cold_boot=self.cold_boot,
            heartbeat_period_ms=HEARTBEAT_MS,
            retry_ratio=values.retry_ratio,
            settle_ms=values.settle_ms,
            contact_ms=values.contact_ms,
        )
        draft.replace(self._settings)

    def memory_mb(self) -> float:
        """Returns the resident memory of its process; 0 if there is none."""
        with suppress(OSError, ValueError, AttributeError):
            assert self.process is not None
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
            return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        return 0.0

    def open_descriptors(self) -> int:
        """Returns the number of open file descriptors of its process; 0 if there is none."""
        with suppress(OSError):
            assert self.process is not None
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        return 0
