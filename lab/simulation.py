"""The whole simulation in virtual time: a play is a function of its scenario, its seed and the code.

What decides is real (the module, the watch for storms, or a policy to hold against them); servers, network,
discovery and clients are models. Nothing here reads a clock or a file.
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
from lab.versions import Change


def classes(scenario: Scenario) -> tuple[api.RequestClass, ...]:
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
    """One play. ``watch_storms``: the watch for storms stands before each module, as the operator's file has
    it."""

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
        """All that hear of the list: where a sidecar is being replaced, both of its processes."""
        return [*self.sidecars, *(item for at in self.changes.values() for item in at.beside())]

    def serving_process(self, number: int) -> Sidecar:
        """The process that a call of this sidecar's application comes to."""
        change = self.changes.get(number)
        return self.sidecars[number] if change is None else change.reached()

    def _create_servers(self, server_class: type[Server]) -> None:
        """The servers of the start, and that nothing has befallen the network or any sidecar yet."""
        self.changes: dict[int, Change] = {}  # of versions that are under way, by sidecar
        self.cut_zones: set[str] = set()  # zones that no message leaves or enters
        self.loss_share = 0.0  # share of attempts that are swallowed
        self.links = Links(lambda: self.clock.now, self.streams.of("links"))
        self.removed_servers: set[str] = set()  # servers that do not come back
        self._loss_rng, self._server_class = self.streams.of("loss"), server_class
        self.servers: list[Server] = []
        self.by_name: dict[str, Server] = {}
        made = self.scenario.servers
        bounds = list(accumulate(kind.share for kind in made.kinds))
        for number in range(made.count):
            # Kinds are laid out evenly by their shares: which server is of which is the same for every seed.
            place = (number + 0.5) / made.count * bounds[-1]
            kind = next(kind for kind, bound in zip(made.kinds, bounds, strict=True) if place <= bound)
            self._register_server(server_class(self, number, kind, f"s-{number}"))

    def _register_server(self, server: Server) -> None:
        self.servers.append(server)
        self.by_name[server.name] = server

    def add_server(self, kind: Kind) -> None:
        """A machine that the simulation has not had, started now."""
        number = len(self.servers)
        server = self._server_class(self, number, kind, f"s-{number}", cold=True)
        self._register_server(server)
        self.discovery.server_started(server)

    def settings(self, zone: str, number: int = -1) -> api.Settings:
        made = self.scenario
        limits = api.Limits(
            max_attempts=made.allow.max_attempts,
            may_cancel=made.allow.cancel,
            second_copies=made.allow.second_copies,
            max_retry_after_ms=made.clients.max_retry_after_ms,
            connect_timeout_ms=made.network.connect_timeout_ms,
            idle_ms=made.servers.idle_ms,
        )
        rules = api.Rules(
            made.allow.answer_slack_ms,
            made.allow.drain_grace_ms,
            cold_from=made.servers.cold_share,
            cold_ms=made.servers.warm_up_ms,
            fall_multiple=made.servers.fall_multiple,
            fall_ms=made.servers.fall_ms,
        )
        settings = api.Settings(
            classes=classes(made),
            peers=made.sidecars.count,
            zone=zone,
            asks_for_list=made.discovery.mode == "ask",
            limits=limits,
            rules=rules,
            worst_class_weight=made.goal.klass,
        )
        if hasattr(settings, "me"):  # older revisions are not told
            settings = replace(settings, me=number)
        if made.sidecars.cpu.per_s <= 0 or not hasattr(api, "Costs"):
            return settings  # older revisions, played for comparison, are not told, and charged all the same
        limits = replace(limits, cpu_us_per_s=made.sidecars.cpu.per_s)
        return replace(settings, limits=limits, costs=api.Costs(**made.sidecars.cpu.costs()))

    def fleet_view(self, sidecar: int, late: bool) -> FleetView:
        """Made when the first policy asks for it: one for all that see the present, else each its own, over
        the same history."""
        net = self.scenario.network
        trip = 2.0 * max(net.same_ms, net.cross_ms) if late else 0.0
        key = sidecar if late else -1
        if key not in self._views:
            works = {item.name: item.work_ms for item in self.scenario.classes}
            history = next((view for view in self._views.values() if view.delay_ms > 0), None)
            self._views[key] = FleetView(self.clock, self.by_name, works, trip, history)
        return self._views[key]

    def server_fell(self, server: Server) -> None:
        """A server was pushed over."""

    # Messages

    def is_dropped(self, sidecar: Sidecar, server: Server) -> bool:
        """Whether nothing of an attempt arrives, nor anything comes back."""
        if self.cut_zones and (sidecar.zone in self.cut_zones) != (server.zone in self.cut_zones):
            return True
        if not self.links.of(sidecar.zone, server.zone).requests_arrive:
            return True
        return self.loss_share > 0 and self._loss_rng.random() < self.loss_share

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """What a server answers, or its end, on its way back."""
        sidecar, server = attempt.sidecar, attempt.server
        if self.cut_zones and (sidecar.zone in self.cut_zones) != (server.zone in self.cut_zones):
            return
        link = self.links.of(sidecar.zone, server.zone)
        if link.answers_arrive:
            late = sidecar.delay(server) + link.message_delay_ms(self.links.rng)
            self.clock.schedule(late, sidecar.attempt_ended, attempt, outcome)

    # The play

    def run(self) -> Row:
        """Plays it to the end, or to the bound of its events; what it came to."""
        entries, fault = self.discovery.initial_list(self.servers), ""
        rng, spread = self.streams.of("start"), self.scenario.sidecars.start_spread_ms
        for sidecar in self.sidecars:
            self.clock.schedule(rng.uniform(0.0, spread), sidecar.start, entries)
        self.clock.schedule(spread, self.clients.begin)
        troubles.plan(self)
        try:
            self.clock.run(1000.0 * self.scenario.seconds)
        except TooManyEvents as bound:
            fault = str(bound)
        peak = max((server.peak for server in self.servers), default=0.0)
        broken = dict(self.checker.violations)
        return self.measures.row(
            broken, self.checker.ran_twice, peak, fault, self.clock.events, self.evenness
        )
