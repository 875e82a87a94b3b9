"""The simulation in virtual time. A run (a "play") is a pure function of its scenario, its seed and the code.

The decisions are the real code: the balancer, storm detection, or a baseline policy to compare them with.
Servers, network, discovery and clients are models. Nothing here reads a clock or a file.
"""

from __future__ import annotations

from dataclasses import replace
from itertools import accumulate

from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import Effect, Group, Outcome
from lab import troubles
from lab.checker import Checker
from lab.clients import Clients
from lab.clock import Clock, TooManyEvents
from lab.discovery import Discovery
from lab.evenness import Evenness
from lab.links import Links
from lab.measures import Measures, Row
from lab.scenario_tables import Kind, Scenario
from lab.servers import Attempt, Server
from lab.sidecars import Policy, Sidecar
from lab.sight import FleetView
from lab.streams import Streams
from lab.versions import SidecarUpgrade


def request_classes(scenario: Scenario) -> tuple[api.RequestClass, ...]:
    """Returns the scenario's request classes as the balancer's settings hold them."""
    return tuple(
        api.RequestClass(
            item.name,
            item.aim_ms,
            item.deadline_ms,
            item.worth,
            item.late_worth,
            Effect(item.effect),
            Group(item.group),
            item.window_ms,
        )
        for item in scenario.classes
    )


class Simulation:
    """One run of a scenario. ``watch_storms``: each sidecar has storm detection on, as the operator's
    configuration can set it."""

    def __init__(
        self, scenario: Scenario, seed: int, policy: Policy = Balancer, watch_storms: bool = False
    ) -> None:
        self.scenario, self.seed = scenario, seed
        self.streams = Streams(seed)
        self.clock = Clock(scenario.most_events, scenario.ties)
        self.measures = Measures(scenario, self.clock)
        self.checker = Checker(scenario, self.settings(scenario.network.zones[0]))
        self.evenness = Evenness(scenario.settle_ms)
        self.discovery = Discovery(self)
        self.clients = Clients(self)
        self._views: dict[int, FleetView] = {}
        self._create_servers(Server)
        self.sidecars = [Sidecar(self, n, policy, watch_storms) for n in range(scenario.sidecars.count)]

    def processes(self) -> list[Sidecar]:
        """Returns all sidecar processes that receive the server list: during an upgrade, old and new."""
        return [
            *self.sidecars,
            *(item for upgrade in self.upgrades.values() for item in upgrade.other_processes()),
        ]

    def serving_process(self, number: int) -> Sidecar:
        """Returns the process that receives the next request for this sidecar."""
        upgrade = self.upgrades.get(number)
        return self.sidecars[number] if upgrade is None else upgrade.serving_process()

    def _create_servers(self, server_class: type[Server]) -> None:
        """Creates the initial servers and the fault state of the network, free of faults."""
        self.upgrades: dict[int, SidecarUpgrade] = {}  # upgrades in progress, by sidecar number
        self.cut_zones: set[str] = set()  # zones that no message leaves or enters
        self.loss_share = 0.0  # share of attempts that are lost without an answer
        self.links = Links(lambda: self.clock.now, self.streams.of("links"))
        self.removed_servers: set[str] = set()  # names of servers that do not return
        self._loss_rng, self._server_class = self.streams.of("loss"), server_class
        self.servers: list[Server] = []
        self.by_name: dict[str, Server] = {}
        config = self.scenario.servers
        bounds = list(accumulate(kind.share for kind in config.kinds))
        for number in range(config.count):
            # Kinds are assigned evenly by their shares, so a server has the same kind for every seed.
            position = (number + 0.5) / config.count * bounds[-1]
            kind = next(kind for kind, bound in zip(config.kinds, bounds, strict=True) if position <= bound)
            self._register_server(server_class(self, number, kind, f"s-{number}"))

    def _register_server(self, server: Server) -> None:
        self.servers.append(server)
        self.by_name[server.name] = server

    def add_server(self, kind: Kind) -> None:
        """Starts a new server now, with a new name."""
        number = len(self.servers)
        server = self._server_class(self, number, kind, f"s-{number}", cold=True)
        self._register_server(server)
        self.discovery.server_started(server)

    def settings(self, zone: str, number: int = -1) -> api.Settings:
        """Returns the balancer's settings for a sidecar of this zone and number."""
        scenario = self.scenario
        limits = api.Limits(
            max_attempts=scenario.allow.max_attempts,
            may_cancel=scenario.allow.cancel,
            second_copies=scenario.allow.second_copies,
            max_retry_after_ms=scenario.clients.max_retry_after_ms,
            connect_timeout_ms=scenario.network.connect_timeout_ms,
            idle_ms=scenario.servers.idle_ms,
        )
        rules = api.Rules(
            scenario.allow.answer_slack_ms,
            scenario.allow.drain_grace_ms,
            cold_from=scenario.servers.cold_share,
            cold_ms=scenario.servers.warm_up_ms,
            fall_multiple=scenario.servers.fall_multiple,
            fall_ms=scenario.servers.fall_ms,
        )
        settings = api.Settings(
            classes=request_classes(scenario),
            peers=scenario.sidecars.count,
            zone=zone,
            asks_for_list=scenario.discovery.mode == "ask",
            limits=limits,
            rules=rules,
            worst_class_weight=scenario.goal.klass,
        )
        if hasattr(settings, "me"):  # older revisions of the balancer have no such field
            settings = replace(settings, me=number)
        if scenario.sidecars.cpu.per_s <= 0 or not hasattr(api, "Costs"):
            return settings  # older revisions, run for comparison, know no costs; they are charged anyway
        limits = replace(limits, cpu_us_per_s=scenario.sidecars.cpu.per_s)
        return replace(settings, limits=limits, costs=api.Costs(**scenario.sidecars.cpu.costs()))

    def fleet_view(self, sidecar: int, delayed: bool) -> FleetView:
        """Returns the view of the servers' true states for a policy, made on first use.

        All policies without a delay share one view; each with a delay has its own, over a shared history.
        """
        net = self.scenario.network
        round_trip = 2.0 * max(net.same_ms, net.cross_ms) if delayed else 0.0
        key = sidecar if delayed else -1
        if key not in self._views:
            mean_work_ms = {item.name: item.work_ms for item in self.scenario.classes}
            history = next((view for view in self._views.values() if view.delay_ms > 0), None)
            self._views[key] = FleetView(self.clock, self.by_name, mean_work_ms, round_trip, history)
        return self._views[key]

    def server_crashed(self, server: Server) -> None:
        """Called after a server has crashed from overload."""

    # Network

    def is_dropped(self, sidecar: Sidecar, server: Server) -> bool:
        """Whether the network drops an attempt, so that neither it nor an answer arrives."""
        if self.cut_zones and (sidecar.zone in self.cut_zones) != (server.zone in self.cut_zones):
            return True
        if not self.links.of(sidecar.zone, server.zone).requests_arrive:
            return True
        return self.loss_share > 0 and self._loss_rng.random() < self.loss_share

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Delivers a server's answer, or the loss of its connection, to the sidecar after the delay."""
        sidecar, server = attempt.sidecar, attempt.server
        if self.cut_zones and (sidecar.zone in self.cut_zones) != (server.zone in self.cut_zones):
            return
        link = self.links.of(sidecar.zone, server.zone)
        if link.answers_arrive:
            delay = sidecar.delay(server) + link.message_delay_ms(self.links.rng)
            self.clock.schedule(delay, sidecar.attempt_ended, attempt, outcome)

    # The run

    def run(self) -> Row:
        """Runs the scenario to its end or to its limit on events, and returns the summary row."""
        entries, fault = self.discovery.initial_list(self.servers), ""
        rng, spread = self.streams.of("start"), self.scenario.sidecars.start_spread_ms
        for sidecar in self.sidecars:
            self.clock.schedule(rng.uniform(0.0, spread), sidecar.start, entries)
        self.clock.schedule(spread, self.clients.begin)
        troubles.plan(self)
        try:
            self.clock.run(1000.0 * self.scenario.seconds)
        except TooManyEvents as error:
            fault = str(error)
        peak = max((server.peak for server in self.servers), default=0.0)
        violations = dict(self.checker.violations)
        return self.measures.row(
            violations, self.checker.ran_twice, peak, fault, self.clock.events, self.evenness
        )
