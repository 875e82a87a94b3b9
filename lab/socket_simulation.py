"""Plays a scenario over real sockets: real sidecar processes between the simulation's models, in real time.

Servers, clients, discovery and troubles are the models of the simulation in virtual time, and decisions are
those of the real program; only messages travel over loopback. Differences between the two therefore come from
the sidecar's network code, the kernel and the machine. Calls start when they are due, whatever became of
earlier ones, and their latency counts from then. A play is bounded in time and number of events, and ends
every process that it started.

One process cannot emulate the peers of hundreds of sidecars. The servers and sidecars of a play are therefore
divided among several drivers (lab/driver.py). Each driver simulates all of them, those of the other drivers
as placeholders. Their recordings are merged by the machine's monotonic clock, then checked and measured as a
whole (`SocketPlayResult`).
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Sequence
from typing import Any, cast

import msgspec
from hdrh.histogram import HdrHistogram

from hareloom.interface import Outcome
from lab import links, troubles
from lab.calls import Try
from lab.checker import Checker
from lab.clients import Clients
from lab.clock import TooManyEvents
from lab.discovery import Discovery
from lab.evenness import Evenness
from lab.launch import Launcher, cpu_s, memory_kb
from lab.ledger import EventRecorder, merge_recordings, replay
from lab.measures import Measures, Row
from lab.scenario import InvalidInput
from lab.scenario_tables import Scenario
from lab.servers import Attempt, Server
from lab.simulation import Simulation
from lab.socket_servers import RemoteServer, Shard, SidecarPeer, SocketAttempt, SocketServer
from lab.socket_sidecars import CallProtocol, RemoteSidecar, SocketSidecar
from lab.streams import Streams
from lab.wall import WallClock

SOCKET_SLACK_MS = 50.0  # added to every time limit for the delays of real sockets
MAX_LATENCY_US = 60_000_000  # upper bound of recorded latencies
IDEMPOTENCY_NAMES = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
MAX_EVENTS = 4_000_000  # recorded by one process


class SocketSimulation(Simulation):
    """The simulation in real time, or one driver's part of it. Create it inside a running event loop.

    Call ``start_servers``, then ``start_sidecars`` with the merged results of all drivers'
    ``start_servers``, then ``run_play``, then ``report``, and ``close`` at the end."""

    def __init__(
        self, scenario: Scenario, seed: int, protocol: CallProtocol = "http", shard: Shard = (0, 1)
    ) -> None:
        """Raises InvalidInput if the scenario cannot be played over sockets."""
        if any(item.kind == "upgrade" for item in scenario.troubles):
            raise InvalidInput(
                f"{scenario.name}: troubles: no changes of versions over sockets; use benchmarks/upgrade.py"
            )
        self.shard = shard
        slack = scenario.allow.answer_slack_ms + SOCKET_SLACK_MS
        grace = scenario.allow.drain_grace_ms + SOCKET_SLACK_MS
        self.sidecar_scenario = scenario  # without the slack: the settings that sidecars get
        allow = msgspec.structs.replace(scenario.allow, answer_slack_ms=slack, drain_grace_ms=grace)
        self.scenario, self.seed = msgspec.structs.replace(scenario, allow=allow), seed
        self.streams = Streams(seed)
        self.wall = WallClock(scenario.most_events)
        self.clock = cast(Any, self.wall)
        self.measures = Measures(self.scenario, self.clock)
        self.recorder = EventRecorder(lambda: self.wall.now, MAX_EVENTS)
        self.checker = self.evenness = cast(Any, self.recorder)
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.noise_by_class = {item.name: item.noise for item in scenario.classes}
        self.on_server_fall: Callable[[int], None] = lambda number: None
        zones = scenario.network.zones
        self.relayed_zones = zones if links.has_link_troubles(scenario.troubles) else ()
        self.discovery = Discovery(self)
        self.clients = Clients(self)
        self.clients.try_name_prefix = f"{shard[0]}-"
        self._create_servers(self._create_server)  # type: ignore[arg-type]
        self.links.on_change = self._apply_link
        count = scenario.sidecars.count
        self.peers = [SidecarPeer(self, n, zones[n % len(zones)]) for n in range(count)]
        sidecars: Any = [
            SocketSidecar(self, n, protocol) if self._is_local(n) else RemoteSidecar(n, zones[n % len(zones)])
            for n in range(count)
        ]
        self.sidecars = sidecars
        self.launcher = Launcher()
        self.fault = ""

    def _is_local(self, number: int) -> bool:
        return number % self.shard[1] == self.shard[0]

    def _create_server(self, simulation: Simulation, number: int, *given: Any, **more: Any) -> Server:
        server_class = SocketServer if self._is_local(number) else RemoteServer
        return server_class(simulation, number, *given, **more)

    def socket_server(self, name: str) -> SocketServer:
        """The server of this name."""
        return cast(SocketServer, self.by_name[name])

    def _apply_link(self, zones: links.ZonePair, link: links.Link) -> None:
        for server in self.servers:
            cast(SocketServer, server).apply_link(zones, link)

    def server_crashed(self, server: Server) -> None:
        """A warming server of this process failed under too much load."""
        self.on_server_fall(server.number)

    def apply_remote_fall(self, number: int) -> None:
        """A warming server of another driver failed under too much load."""
        server = self.servers[number]
        if isinstance(server, RemoteServer):
            server.fell()

    def record_latency(self, client_try: Try) -> None:
        """Records the latency of a served call, from its start."""
        latency_us = round((self.clock.now - client_try.call.started_at) * 1000.0)
        self.latency.record_value(min(max(latency_us, 1), MAX_LATENCY_US))

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Sends an attempt's answer after the network's delay, unless its zones are partitioned."""
        assert isinstance(attempt, SocketAttempt)
        sidecar, server = attempt.sidecar, attempt.server
        if self.cut_zones and (sidecar.zone in self.cut_zones) != (server.zone in self.cut_zones):
            return
        self.clock.schedule(sidecar.delay(server), attempt.connection.send_answer, attempt, outcome)

    def config(self, sidecar: SocketSidecar) -> str:
        """The platform's configuration file for a sidecar, as JSON."""
        scenario = self.sidecar_scenario
        settings = {
            "classes": [
                {
                    "name": item.name,
                    "promise-ms": item.aim_ms,
                    "give-up-ms": item.deadline_ms,
                    "importance": item.worth,
                    "late-share": item.late_worth,
                    "idempotency": IDEMPOTENCY_NAMES[item.effect],
                    "key-scope": item.group,
                    "window-ms": item.window_ms,
                }
                for item in scenario.classes
            ],
            "peers-total": scenario.sidecars.count,
            "me": sidecar.number,
            "locality": sidecar.zone,
            "discovery": scenario.discovery.mode,
            "weight-source": "nominal",
            "limits": {
                "connect-timeout-ms": scenario.network.connect_timeout_ms,
                "keepalive-ms": scenario.servers.idle_ms,
                "max-attempts": scenario.allow.max_attempts,
                "may-cancel": scenario.allow.cancel,
                "second-copies": False,
                "retry-after": scenario.clients.max_retry_after_ms > 0,
                "max-retry-after-ms": scenario.clients.max_retry_after_ms,
            },
            "rules": {
                "answer-slack-ms": scenario.allow.answer_slack_ms,
                "drain-grace-ms": scenario.allow.drain_grace_ms,
                "cold-from": scenario.servers.cold_share,
                "cold-ms": scenario.servers.warm_up_ms,
                "tip-multiple": scenario.servers.fall_multiple,
                "overload-for-ms": scenario.servers.fall_ms,
            },
            "tick-ms": 1.0,
            "scoring-mix": {"worst-class": scenario.goal.klass},
        }
        return json.dumps(
            {
                "name": f"n{sidecar.number}",
                "listen": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{sidecar.discovery_port}",
                "seed": f"{self.seed * 100_003 + sidecar.number * 101 + sidecar.incarnation:016x}",
                "limits": {"sockets": 1024},
                "known": sidecar.discovery_answer(),
                "settings": settings,
            }
        )

    async def start_servers(self) -> dict[int, dict[str, tuple[str, str]]]:
        """The addresses of this process' servers, by server number and then by zone of the sidecar."""
        await self.launcher.start()
        return {
            server.number: self.socket_server(server.name).addresses()
            for server in self.servers
            if self._is_socket_server(server)
        }

    @staticmethod
    def _is_socket_server(server: Server) -> bool:
        return isinstance(server, SocketServer)

    async def start_sidecars(self, addresses: dict[int, dict[str, tuple[str, str]]]) -> float:
        """Starts this process' sidecars; the seconds until all were up. Raises StartError."""
        for number, by_zone in addresses.items():
            server = self.servers[number]
            if isinstance(server, RemoteServer):
                server.addresses_by_zone = by_zone
        started_at, entries = time.monotonic(), self.discovery.initial_list(self.servers)
        await asyncio.gather(*(sidecar.launch(entries) for sidecar in self._local_sidecars()))
        return time.monotonic() - started_at

    def _local_sidecars(self) -> list[SocketSidecar]:
        return [sidecar for sidecar in cast("list[Any]", self.sidecars) if sidecar.is_local]

    async def run_play(self, at: float | None = None) -> None:
        """Runs the play, starting at this instant of the monotonic clock, or now."""
        if at is not None:
            await asyncio.sleep(max(at - time.monotonic(), 0.0))
        self.wall.restart(at)
        self.recorder.restart()
        self.began_unix_ms = time.time() * 1000.0
        self.clients.begin()
        troubles.plan(self)
        try:
            await self.wall.run_until(1000.0 * self.scenario.seconds)
        except TooManyEvents as error:
            self.fault = str(error)

    def report(self) -> dict[str, Any]:
        """What this process recorded, in types that MessagePack can encode."""
        return {
            "notes": self.recorder.events,
            "beyond": self.recorder.dropped,
            "measures": self.measures.export(),
            "latency": self.latency.encode(),
            "peak": max((server.peak for server in self.servers), default=0.0),
            "fault": self.fault,
            "events": self.wall.events,
            "late_ms": self.wall.max_delay_ms,
            "memory": [memory_kb(pid) for pid in self.launcher.pids],
            "cpu_s": sum(cpu_s(pid) for pid in self.launcher.pids),
            "connections": [server.connections for server in self.servers if self._is_socket_server(server)],
            "list_calls": sum(sidecar.list_calls for sidecar in self._local_sidecars()),
        }

    async def close(self) -> None:
        """Ends all sidecars, servers and connections."""
        await asyncio.gather(*(sidecar.close() for sidecar in self._local_sidecars()))
        for server in self.servers:
            self.socket_server(server.name).close()
        await self.launcher.close()


class SocketPlayResult:
    """The result of a play, from the reports of all its drivers."""

    def __init__(self, scenario: Scenario, seed: int, reports: Sequence[dict[str, Any]]) -> None:
        slack = scenario.allow.answer_slack_ms + SOCKET_SLACK_MS
        grace = scenario.allow.drain_grace_ms + SOCKET_SLACK_MS
        allow = msgspec.structs.replace(scenario.allow, answer_slack_ms=slack, drain_grace_ms=grace)
        extended = msgspec.structs.replace(scenario, allow=allow)
        virtual = Simulation(extended, seed)  # only for its settings; it is not run
        self.checker = Checker(extended, virtual.settings(extended.network.zones[0]), SOCKET_SLACK_MS)
        self.evenness = Evenness(extended.settle_ms)
        self.measures = Measures(extended, virtual.clock)
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        replay(merge_recordings([report["notes"] for report in reports]), self.checker, self.evenness)
        for report in reports:
            self.measures.merge(report["measures"])
            self.latency.decode_and_add(report["latency"])
        faults = [report["fault"] for report in reports if report["fault"]]
        faults += [f"{report['beyond']} events were not recorded" for report in reports if report["beyond"]]
        self.late_ms = max(report["late_ms"] for report in reports)
        self.cpu_s = sum(report["cpu_s"] for report in reports)
        self.connections = [count for report in reports for count in report["connections"]]
        self.list_calls = sum(report["list_calls"] for report in reports)
        self.memory_kb = [tuple(item) for report in reports for item in report["memory"]]
        peak = max(report["peak"] for report in reports)
        events = sum(report["events"] for report in reports)
        self.row: Row = self.measures.row(
            dict(self.checker.violations),
            self.checker.ran_twice,
            peak,
            "; ".join(faults),
            events,
            self.evenness,
        )

    def memory_mb(self) -> dict[str, float]:
        """The median memory of a sidecar at the end of the play: resident, proportional and private."""
        samples = sorted(item for item in self.memory_kb if item[0])
        columns = zip(*samples, strict=True) if samples else ((0,), (0,), (0,))
        return {
            name: round(sorted(column)[len(column) // 2] / 1024.0, 2)
            for name, column in zip(("resident", "proportional", "own"), columns, strict=True)
        }

    def percentiles(self) -> dict[str, float]:
        """Latencies of served calls."""
        return {
            f"p{percentile:g}_ms": self.latency.get_value_at_percentile(percentile) / 1000.0
            for percentile in (50, 99, 99.9)
        }


def play(scenario: Scenario, seed: int, protocol: CallProtocol = "http") -> SocketPlayResult:
    """Runs a play over sockets with a single driver, in this process and in real time."""

    async def run() -> dict[str, Any]:
        simulation = SocketSimulation(scenario, seed, protocol)
        try:
            await simulation.start_sidecars(await simulation.start_servers())
            await simulation.run_play()
            return simulation.report()
        finally:
            await simulation.close()

    return SocketPlayResult(scenario, seed, [asyncio.run(run())])
