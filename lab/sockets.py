"""A scenario over real sockets: real sidecar processes between the emulator's own models, which run in real
time.

Servers, clients, discovery and troubles are those of the virtual market, the decisions those of the program
as it is started; only messages go over loopback. So what differs between the two is the sidecar's network
code, the kernel and the machine. Calls begin when they are due, whatever became of those before, and their
latency counts from then. A play is bounded in time and events, and ends what it began.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any, cast

import msgspec
from hdrh.histogram import HdrHistogram

from hareloom.interface import Outcome
from lab import troubles
from lab.checker import Checker
from lab.clients import Clients, Try
from lab.clock import Unending
from lab.discovery import Discovery
from lab.market import Market
from lab.measures import Measures, Row
from lab.scenario import Scenario
from lab.servers import Attempt
from lab.streams import Streams
from lab.wall import WallClock
from lab.wire_servers import WireAttempt, WireServer
from lab.wire_sidecars import Speaks, WireSidecar

SOCKETS_MS = 50.0  # that every time limit is longer over sockets (protocol)
MOST_US = 60_000_000  # of a latency that is counted
EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}


class WireMarket(Market):
    """The market in real time. Made inside a running event loop."""

    def __init__(self, scenario: Scenario, seed: int, speaks: Speaks = "http") -> None:
        slack = scenario.allow.answer_slack_ms + SOCKETS_MS
        grace = scenario.allow.drain_grace_ms + SOCKETS_MS
        self.told = scenario  # as the sidecars are told
        allow = msgspec.structs.replace(scenario.allow, answer_slack_ms=slack, drain_grace_ms=grace)
        self.scenario, self.seed = msgspec.structs.replace(scenario, allow=allow), seed
        self.streams = Streams(seed)
        self.wall = WallClock(scenario.most_events)
        self.clock = cast(Any, self.wall)
        self.measures = Measures(self.scenario, self.clock)
        self.checker = Checker(self.scenario, self.settings(scenario.network.zones[0]), SOCKETS_MS)
        self.tries: dict[str, Try] = {}
        self.latency = HdrHistogram(1, MOST_US, 3)
        self.discovery = Discovery(self)
        self.clients = Clients(self)
        self._lay_out(WireServer)
        sidecars: Any = [WireSidecar(self, n, speaks) for n in range(scenario.sidecars.count)]
        self.sidecars = sidecars

    def heard(self, held: Try) -> None:
        spent = round((self.clock.now - held.call.begun) * 1000.0)
        self.latency.record_value(min(max(spent, 1), MOST_US))

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        assert isinstance(attempt, WireAttempt)
        sidecar, server = attempt.sidecar, attempt.server
        if self.cut and (sidecar.zone in self.cut) != (server.zone in self.cut):
            return
        self.clock.at(sidecar.delay(server), attempt.side.answer, attempt, outcome)

    def config(self, sidecar: WireSidecar) -> str:
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
                "seed": f"{self.seed * 100_003 + sidecar.number * 101 + sidecar.life:016x}",
                "limits": {"sockets": 1024},
                "known": sidecar.list_told(),
                "settings": settings,
            }
        )

    async def play(self) -> Row:
        """Plays it in real time; what it came to."""
        entries, fault = self.discovery.first(self.servers), ""
        sidecars = cast("list[WireSidecar]", self.sidecars)
        clock = self.wall
        try:
            await asyncio.gather(*(sidecar.begin(entries) for sidecar in sidecars))
            clock.restart()
            self.began_unix_ms = time.time() * 1000.0
            self.clients.begin()
            troubles.plan(self)
            try:
                await clock.run_until(1000.0 * self.scenario.seconds)
            except Unending as bound:
                fault = str(bound)
        finally:
            await asyncio.gather(*(sidecar.close() for sidecar in sidecars))
            for server in self.servers:
                cast(WireServer, server).close()
        peak = max((server.peak for server in self.servers), default=0.0)
        return self.measures.row(
            dict(self.checker.broken), self.checker.ran_twice, peak, fault, self.clock.events
        )


def play(scenario: Scenario, seed: int, speaks: Speaks = "http") -> tuple[WireMarket, Row]:
    """One play over sockets, which takes as long as it says."""

    async def whole() -> tuple[WireMarket, Row]:
        market = WireMarket(scenario, seed, speaks)
        return market, await market.play()

    return asyncio.run(whole())
