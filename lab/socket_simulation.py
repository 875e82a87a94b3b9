"""A scenario over real sockets: real sidecar processes between the emulator's own models, which run in real
time.

Servers, clients, discovery and troubles are those of the simulation in virtual time, the decisions those of
the program as it is started; only messages go over loopback. So what differs between the two is the sidecar's
network code, the kernel and the machine. Calls begin when they are due, whatever became of those before, and
their latency counts from then. A play is bounded in time and events, and ends what it began.

Hundreds of sidecars are more than one process can speak for: the servers and sidecars of a play are dealt
to several (lab/driver.py), each of which has a simulation of all of them, with those of the others as mere
places. What they saw is merged on the machine's one clock, and checked and measured as a whole
(`concluded`).
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
from lab.socket_servers import Elsewhere, Peer, Shard, SocketAttempt, SocketServer
from lab.socket_sidecars import Absent, SocketSidecar, Speaks
from lab.streams import Streams
from lab.wall import WallClock

SOCKETS_MS = 50.0  # that every time limit is longer over sockets (protocol)
MOST_US = 60_000_000  # of a latency that is counted
EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
MOST_NOTES = 4_000_000  # of one process


class SocketSimulation(Simulation):
    """The simulation in real time, or one process' part of it. Made inside a running event loop.

    ``open``, then ``ready`` with what all processes' ``open`` gave, then ``take_place``, then ``report``."""

    def __init__(self, scenario: Scenario, seed: int, speaks: Speaks = "http", shard: Shard = (0, 1)) -> None:
        """Raises InvalidInput for a scenario that cannot be played over sockets."""
        if any(item.kind == "upgrade" for item in scenario.troubles):
            raise InvalidInput(
                f"{scenario.name}: troubles: changes of versions over sockets are benchmarks/upgrade.py's"
            )
        self.shard = shard
        slack = scenario.allow.answer_slack_ms + SOCKETS_MS
        grace = scenario.allow.drain_grace_ms + SOCKETS_MS
        self.told = scenario  # as the sidecars are told
        allow = msgspec.structs.replace(scenario.allow, answer_slack_ms=slack, drain_grace_ms=grace)
        self.scenario, self.seed = msgspec.structs.replace(scenario, allow=allow), seed
        self.streams = Streams(seed)
        self.wall = WallClock(scenario.most_events)
        self.clock = cast(Any, self.wall)
        self.measures = Measures(self.scenario, self.clock)
        self.notes = EventRecorder(lambda: self.wall.now, MOST_NOTES)
        self.checker = self.evenness = cast(Any, self.notes)
        self.latency = HdrHistogram(1, MOST_US, 3)
        self.noise_of = {item.name: item.noise for item in scenario.classes}
        self.told_of_falls: Callable[[int], None] = lambda number: None
        zones = scenario.network.zones
        self.relayed = zones if links.has_link_troubles(scenario.troubles) else ()
        self.discovery = Discovery(self)
        self.clients = Clients(self)
        self.clients.try_name_prefix = f"{shard[0]}-"
        self._create_servers(self._server)  # type: ignore[arg-type]
        self.links.on_change = self._link
        count = scenario.sidecars.count
        self.peers = [Peer(self, n, zones[n % len(zones)]) for n in range(count)]
        sidecars: Any = [
            SocketSidecar(self, n, speaks) if self._mine(n) else Absent(n, zones[n % len(zones)])
            for n in range(count)
        ]
        self.sidecars = sidecars
        self.launcher = Launcher()
        self.fault = ""

    def _mine(self, number: int) -> bool:
        return number % self.shard[1] == self.shard[0]

    def _server(self, simulation: Simulation, number: int, *given: Any, **more: Any) -> Server:
        kind = SocketServer if self._mine(number) else Elsewhere
        return kind(simulation, number, *given, **more)

    def wire(self, name: str) -> SocketServer:
        return cast(SocketServer, self.by_name[name])

    def _link(self, place: links.ZonePair, link: links.Link) -> None:
        for server in self.servers:
            cast(SocketServer, server).fault(place, link)

    def server_fell(self, server: Server) -> None:
        self.told_of_falls(server.number)

    def heard_of_fall(self, number: int) -> None:
        """In another process of the rig a server was pushed over."""
        server = self.servers[number]
        if isinstance(server, Elsewhere):
            server.fell()

    def heard(self, held: Try) -> None:
        spent = round((self.clock.now - held.call.started_at) * 1000.0)
        self.latency.record_value(min(max(spent, 1), MOST_US))

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        assert isinstance(attempt, SocketAttempt)
        sidecar, server = attempt.sidecar, attempt.server
        if self.cut_zones and (sidecar.zone in self.cut_zones) != (server.zone in self.cut_zones):
            return
        self.clock.schedule(sidecar.delay(server), attempt.side.answer, attempt, outcome)

    def config(self, sidecar: SocketSidecar) -> str:
        """The platform's file for a sidecar (DEPLOY, PROTOCOL)."""
        made = self.told
        settings = {
            "classes": [
                {
                    "name": item.name,
                    "promise-ms": item.aim_ms,
                    "give-up-ms": item.deadline_ms,
                    "importance": item.worth,
                    "late-share": item.late_worth,
                    "idempotency": EFFECTS[item.effect],
                    "key-scope": item.group,
                    "window-ms": item.window_ms,
                }
                for item in made.classes
            ],
            "peers-total": made.sidecars.count,
            "me": sidecar.number,
            "locality": sidecar.zone,
            "discovery": made.discovery.mode,
            "weight-source": "nominal",
            "limits": {
                "connect-timeout-ms": made.network.connect_timeout_ms,
                "keepalive-ms": made.servers.idle_ms,
                "max-attempts": made.allow.max_attempts,
                "may-cancel": made.allow.cancel,
                "second-copies": False,
                "retry-after": made.clients.max_retry_after_ms > 0,
                "max-retry-after-ms": made.clients.max_retry_after_ms,
            },
            "rules": {
                "answer-slack-ms": made.allow.answer_slack_ms,
                "drain-grace-ms": made.allow.drain_grace_ms,
                "cold-from": made.servers.cold_share,
                "cold-ms": made.servers.warm_up_ms,
                "tip-multiple": made.servers.fall_multiple,
                "overload-for-ms": made.servers.fall_ms,
            },
            "tick-ms": 1.0,
            "scoring-mix": {"worst-class": made.goal.klass},
        }
        return json.dumps(
            {
                "name": f"n{sidecar.number}",
                "listen": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{sidecar.agent_port}",
                "seed": f"{self.seed * 100_003 + sidecar.number * 101 + sidecar.incarnation:016x}",
                "limits": {"sockets": 1024},
                "known": sidecar.list_told(),
                "settings": settings,
            }
        )

    async def open(self) -> dict[int, dict[str, tuple[str, str]]]:
        """Where this process' servers are reached, by their numbers."""
        await self.launcher.begin()
        return {
            server.number: self.wire(server.name).dials() for server in self.servers if self._here(server)
        }

    @staticmethod
    def _here(server: Server) -> bool:
        return isinstance(server, SocketServer)

    async def ready(self, reached: dict[int, dict[str, tuple[str, str]]]) -> float:
        """All sidecars of this process are up; the seconds that it took. Raises StartError."""
        for number, dials in reached.items():
            server = self.servers[number]
            if isinstance(server, Elsewhere):
                server.reached = dials
        begin, entries = time.monotonic(), self.discovery.initial_list(self.servers)
        await asyncio.gather(*(sidecar.begin(entries) for sidecar in self._own()))
        return time.monotonic() - begin

    def _own(self) -> list[SocketSidecar]:
        return [sidecar for sidecar in cast("list[Any]", self.sidecars) if sidecar.is_local]

    async def take_place(self, at: float | None = None) -> None:
        """The play, from this instant of the monotonic clock on, or from now."""
        if at is not None:
            await asyncio.sleep(max(at - time.monotonic(), 0.0))
        self.wall.restart(at)
        self.notes.restart()
        self.began_unix_ms = time.time() * 1000.0
        self.clients.begin()
        troubles.plan(self)
        try:
            await self.wall.run_until(1000.0 * self.scenario.seconds)
        except TooManyEvents as bound:
            self.fault = str(bound)

    def report(self) -> dict[str, Any]:
        """What this process saw, as MessagePack takes it."""
        return {
            "notes": self.notes.events,
            "beyond": self.notes.dropped,
            "measures": self.measures.export(),
            "latency": self.latency.encode(),
            "peak": max((server.peak for server in self.servers), default=0.0),
            "fault": self.fault,
            "events": self.wall.events,
            "late_ms": self.wall.most_late_ms,
            "memory": [memory_kb(pid) for pid in self.launcher.pids],
            "cpu_s": sum(cpu_s(pid) for pid in self.launcher.pids),
            "connections": [server.connections for server in self.servers if self._here(server)],
            "list_calls": sum(sidecar.list_calls for sidecar in self._own()),
        }

    async def close(self) -> None:
        await asyncio.gather(*(sidecar.close() for sidecar in self._own()))
        for server in self.servers:
            self.wire(server.name).close()
        await self.launcher.close()


class Concluded:
    """A play as all its processes saw it."""

    def __init__(self, scenario: Scenario, seed: int, reports: Sequence[dict[str, Any]]) -> None:
        slack = scenario.allow.answer_slack_ms + SOCKETS_MS
        grace = scenario.allow.drain_grace_ms + SOCKETS_MS
        allow = msgspec.structs.replace(scenario.allow, answer_slack_ms=slack, drain_grace_ms=grace)
        made = msgspec.structs.replace(scenario, allow=allow)
        virtual = Simulation(made, seed)  # for its settings alone: it is not played
        self.checker = Checker(made, virtual.settings(made.network.zones[0]), SOCKETS_MS)
        self.evenness = Evenness(made.settle_ms)
        self.measures = Measures(made, virtual.clock)
        self.latency = HdrHistogram(1, MOST_US, 3)
        replay(merge_recordings([report["notes"] for report in reports]), self.checker, self.evenness)
        for report in reports:
            self.measures.merge(report["measures"])
            self.latency.decode_and_add(report["latency"])
        faults = [report["fault"] for report in reports if report["fault"]]
        faults += [f"{report['beyond']} notes were not kept" for report in reports if report["beyond"]]
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
        """Of a sidecar, the median at the end: resident, its part of what is shared, and what is its own."""
        found = sorted(item for item in self.memory_kb if item[0])
        columns = zip(*found, strict=True) if found else ((0,), (0,), (0,))
        return {
            name: round(sorted(column)[len(column) // 2] / 1024.0, 2)
            for name, column in zip(("resident", "proportional", "own"), columns, strict=True)
        }

    def percentiles(self) -> dict[str, float]:
        return {
            f"p{part:g}_ms": self.latency.get_value_at_percentile(part) / 1000.0 for part in (50, 99, 99.9)
        }


def play(scenario: Scenario, seed: int, speaks: Speaks = "http") -> Concluded:
    """One play over sockets in this process, which takes as long as it says."""

    async def whole() -> dict[str, Any]:
        simulation = SocketSimulation(scenario, seed, speaks)
        try:
            await simulation.ready(await simulation.open())
            await simulation.take_place()
            return simulation.report()
        finally:
            await simulation.close()

    return Concluded(scenario, seed, [asyncio.run(whole())])
