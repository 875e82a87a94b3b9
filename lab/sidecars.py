"""A sidecar in virtual time: what hosts a decision module, with its connections, and what may befall it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from anisestair.storms.watch import Watch
from hareloom import interface as api
from hareloom.interface import ListKind, Outcome
from lab.calls import Try
from lab.checker import Checker
from lab.clock import Clock
from lab.cpu import CpuMeter
from lab.links import Links
from lab.measures import Measures
from lab.scenario_tables import Scenario
from lab.servers import DEAD, SILENT, UP, Attempt, Server
from lab.sight import FleetView, NeedsFleetView
from lab.streams import Streams, golden_ratio_draw, lognormal


class LoadBalancer(Protocol):
    """What takes a sidecar's decisions: the module, or a policy to hold it against."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


Policy = Callable[[api.Settings, int], LoadBalancer]
# A connection kept: the server's life, since when it is idle, and when it was opened.
IdleConnection = tuple[int, float, float]


class TryListener(Protocol):
    """Who is told what became of a client's try."""

    def try_ended(self, client_try: Try, what: str, advice_ms: float) -> None:
        """The one outcome of a try, with the time after which its client may come again."""


class Subscriptions(Protocol):
    """Where a sidecar asks for the list of servers."""

    def subscribe(self, sidecar: Sidecar) -> None:
        """Ask for the list and its changes from here on."""


class SidecarHost(Protocol):
    """What a sidecar needs of the simulation that it is part of."""

    scenario: Scenario
    seed: int
    clock: Clock
    streams: Streams
    measures: Measures
    checker: Checker
    links: Links
    servers: list[Server]
    by_name: dict[str, Server]

    @property
    def clients(self) -> TryListener:
        """Who is told what became of tries."""

    @property
    def discovery(self) -> Subscriptions:
        """Where the list of servers is asked for."""

    def settings(self, zone: str, number: int) -> api.Settings:
        """The decisions' settings for a sidecar of this zone and number."""

    def fleet_view(self, sidecar: int, late: bool) -> FleetView:
        """What a policy that sees servers' states may look at."""

    def is_dropped(self, sidecar: Sidecar, server: Server) -> bool:
        """Whether nothing of an attempt arrives, nor anything comes back."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt's answer, or its end, leaves its server."""


class Sidecar:
    """``life`` counts its starts: what was planned in an earlier one is void."""

    is_local = True  # not of another process, as in a rig of several

    def __init__(
        self, simulation: SidecarHost, number: int, policy: Policy, watch_storms: bool, generation: int = 0
    ) -> None:
        """``version``: how many processes this sidecar has been before; two of them may be there at once."""
        self.simulation, self.clock, self.number, self.generation = (
            simulation,
            simulation.clock,
            number,
            generation,
        )
        self.policy, self.watch_storms = policy, watch_storms
        zones = simulation.scenario.network.zones
        self.zone = zones[number % len(zones)]
        self.settings = simulation.settings(self.zone, number)
        cpu = simulation.scenario.sidecars.cpu
        self.cpu_meter = CpuMeter(cpu, simulation.measures) if cpu.per_s > 0 else None
        stream_key = (number, generation) if generation else (number,)
        self.network_rng, self.list_delay_rng = (
            simulation.streams.of("net", *stream_key),
            simulation.streams.of("lag", *stream_key),
        )
        self.up, self.paused, self.incarnation, self.resumed_at = False, False, 0, -1.0
        self.inbox: deque[tuple[Callable[..., None], tuple[object, ...]]] = deque()
        self.list_version, self.subscribed = 0, False
        self.known: dict[str, api.ServerEntry] = {}  # the list as it last had it
        self.open_tries: dict[str, Try] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.attempts_sent: dict[str, int] = {}  # attempts of a request so far, and those that have not ended
        self.attempts_open: dict[str, int] = {}
        self.idle_connections: dict[int, list[IdleConnection]] = {}  # by server, the one used last at the end

    def start(self, entries: tuple[api.ServerEntry, ...] | None = None) -> None:
        """Starts, or starts again with nothing but its last list."""
        self.up, self.paused, self.incarnation = True, False, self.incarnation + 1
        seed = self.simulation.seed * 100_003 + self.number * 101 + self.incarnation + 7919 * self.generation
        self.balancer = self.policy(self.settings, seed)
        if isinstance(self.balancer, NeedsFleetView):
            net = self.simulation.scenario.network
            fleet_view = self.simulation.fleet_view(self.number, self.balancer.delayed_view)
            self.balancer.attach_view(fleet_view, self.number, max(net.same_ms, net.cross_ms))
        self._servers_examined = 0.0
        self.storm_watch = Watch(self.settings, seed) if self.watch_storms else None
        self.subscribed = self.simulation.scenario.discovery.mode == "push"
        first = entries is not None
        if entries is not None:
            self.known = {entry.server: entry for entry in entries}
        entries = tuple(self.known.values())
        if not self.generation or self.incarnation > 1:
            self.simulation.checker.started(self.number)  # to the rules two processes are one sidecar
        self.handle_event(api.ServerList(ListKind.CACHED, self.list_version, entries))
        if first and self.subscribed:
            self.handle_event(api.ServerList(ListKind.FULL, self.list_version, entries))

    def crash(self) -> None:
        """What it client_try is the clients' to try again; its attempts' connections end."""
        if not self.up:
            return
        self.up, self.incarnation = False, self.incarnation + 1
        self.inbox.clear()
        for attempt in list(self.attempts.values()):
            attempt.open = False
            attempt.server.cancel(attempt)
        self.attempts.clear()
        self.attempts_sent.clear()
        self.attempts_open.clear()
        for number, kept in self.idle_connections.items():
            self.simulation.servers[number].connections -= len(kept)
        self.idle_connections.clear()
        tries, self.open_tries = self.open_tries, {}
        for client_try in tries.values():
            self.simulation.clients.try_ended(client_try, "cut", 0.0)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        """All that came in the meantime, in its order."""
        self.paused, self.resumed_at = False, self.clock.now
        while self.inbox and not self.paused:
            what, arguments = self.inbox.popleft()
            what(*arguments)

    # Events

    def handle_event(self, event: api.Event) -> None:
        if self.paused:
            self.inbox.append((self.handle_event, (event,)))
            return
        if isinstance(event, api.ServerList):
            for entry in event.entries if event.kind is not ListKind.LOST else ():
                if entry.state is api.ServerState.GONE:
                    self.known.pop(entry.server, None)
                else:
                    self.known[entry.server] = entry
            if event.kind is ListKind.FULL:
                named = {entry.server for entry in event.entries}
                self.known = {name: entry for name, entry in self.known.items() if name in named}
            self.simulation.checker.listed(self.number, self.clock.now, event)
        now, watch = self.clock.now, self.storm_watch
        if watch is not None and (change := watch.told(now, event)) is not None:
            self.simulation.measures.storm_changes.append((self.number, change))
        actions = self.balancer.handle(now, event)
        if self.cpu_meter is not None:
            self._charge_cpu(now, event, actions)
        for action in actions:
            if watch is not None:
                action = watch.said(now, action)
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.SetTimer):
                self.clock.schedule(action.delay_ms, self._fire_timer, self.incarnation, action.token)
            elif isinstance(action, api.Cancel):
                if (attempt := self.attempts.get((action.request, action.attempt))) is not None:
                    self.clock.schedule(0.0, self.attempt_ended, attempt, Outcome.CANCELLED)
            elif isinstance(action, api.Refuse):
                self._finish(action.request, "refused", action.retry_after_ms)
            elif isinstance(action, api.Fail):
                self._finish(action.request, "failed", 0.0)
            elif isinstance(action, api.Subscribe):
                self.simulation.discovery.subscribe(self)

    def _charge_cpu(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """Looks are counted where the module counts them, else as many as a pick is taken to need."""
        assert self.cpu_meter is not None
        sends = sum(isinstance(action, api.Send) for action in actions)
        looks = getattr(self.balancer, "looks", None)
        if looks is None:
            examined = sends * self.simulation.scenario.sidecars.cpu.looks
        else:
            examined, self._servers_examined = looks - self._servers_examined, looks
        self.cpu_meter.charge(now, event, sends, examined)

    def _fire_timer(self, incarnation: int, token: int) -> None:
        if incarnation == self.incarnation:
            self.handle_event(api.Timer(token))

    def handle_request(self, client_try: Try, deadline: float) -> None:
        """A client's request has come whole. A process that stands still accepts it all the same."""
        if self.paused:
            self.inbox.append((self.handle_request, (client_try, deadline)))
            return
        if not client_try.open:
            return
        self.open_tries[client_try.name] = client_try
        self.simulation.checker.asked(self.number, client_try.name, client_try.call.klass.name, deadline)
        if self.cpu_meter is not None:
            self.cpu_meter.request_accepted(self.clock.now, client_try.call)
        self.handle_event(
            api.Request(client_try.name, client_try.call.klass.name, deadline, None, client_try.marked)
        )

    def client_gone(self, client_try: Try) -> None:
        """The client waits no longer."""
        if self.open_tries.pop(client_try.name, None) is not None and self.up:
            self._client_gone(client_try.name)

    def _client_gone(self, name: str) -> None:
        """A process that stands still learns of it when it goes on; until then it may answer nobody."""
        if self.paused:
            self.inbox.append((self._client_gone, (name,)))
            return
        self.simulation.checker.left(self.number, name, self.clock.now)
        self.handle_event(api.ClientGone(name))
        self._forget(name)

    def _finish(self, name: str, what: str, advice_ms: float) -> None:
        self.simulation.checker.final(self.number, name, what, self.clock.now)
        client_try = self.open_tries.pop(name, None)
        self._forget(name)
        if client_try is not None:
            self.simulation.clients.try_ended(client_try, what, advice_ms)

    def _forget(self, name: str) -> None:
        """Counts of attempts are kept while one can still end."""
        if name not in self.open_tries and not self.attempts_open.get(name):
            self.attempts_sent.pop(name, None)
            self.attempts_open.pop(name, None)

    # Attempts

    def _send(self, action: api.Send) -> None:
        simulation, now, name = self.simulation, self.clock.now, action.request
        number = self.attempts_sent.get(name, 0)
        self.attempts_sent[name] = number + 1
        self.attempts_open[name] = self.attempts_open.get(name, 0) + 1
        server = simulation.by_name[action.server]
        simulation.checker.sent(self.number, name, number, server.location(), now)
        client_try = self.open_tries.get(name)
        work, key, klass = 0.0, -1, ""
        if client_try is not None:
            call = client_try.call
            noise = lognormal(golden_ratio_draw(call.draw, call.tries * 8 + number), call.klass.noise)
            work, key, klass = call.work * noise, call.key, call.klass.name
        attempt = self.attempts[name, number] = Attempt(self, name, number, server, now, work, key, klass)
        simulation.measures.bin().sent += 1
        self.clock.schedule(action.timeout_ms, self.attempt_ended, attempt, Outcome.TIMEOUT)
        if simulation.is_dropped(self, server):
            return  # nothing comes back, not even of the connect
        link = simulation.links.of(self.zone, server.zone)
        one_way = self.delay(server) + link.message_delay_ms(simulation.links.rng)
        epoch, opened = self._take_idle_connection(server)
        attempt.opened = opened if epoch >= 0 else now
        if epoch >= 0:
            attempt.epoch = epoch
            if link.half_open_before > opened:
                return  # open at this end alone
            if link.reset_share and simulation.links.rng.random() < link.reset_share:
                self.clock.schedule(one_way, self.attempt_ended, attempt, Outcome.RESET)
                return
            self.clock.schedule(one_way, server.arrive, attempt)
            return
        simulation.measures.bin().connects += 1
        if self.storm_watch is not None:
            self.storm_watch.opened(now)
        made = simulation.scenario.servers
        if server.state == DEAD:
            self.clock.schedule(2.0 * one_way, self.attempt_ended, attempt, Outcome.CONNECT_FAILED)
        elif server.state == SILENT:
            wait = simulation.scenario.network.connect_timeout_ms
            self.clock.schedule(wait, self.attempt_ended, attempt, Outcome.CONNECT_FAILED)
        else:
            hello = one_way * (1.0 + 2.0 * made.handshake_rtts)
            self.clock.schedule(hello, self._connected, attempt, server.epoch)

    def _connected(self, attempt: Attempt, epoch: int) -> None:
        server = attempt.server
        if not attempt.open:
            return
        if server.state != UP or server.epoch != epoch:
            self.attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        if server.connections >= server.config.connections:
            self.simulation.reply(attempt, Outcome.FULL)  # too many connections: turned away unseen
            return
        server.connections += 1
        attempt.epoch = epoch
        if server.config.handshake_ms > 0:
            server.record_load(server.config.handshake_ms)
            if server.state != UP:
                self.attempt_ended(attempt, Outcome.RESET)
                return
        server.arrive(attempt)

    def _take_idle_connection(self, server: Server) -> tuple[int, float]:
        """The life to which a kept connection goes, the one used last first, and when it was opened; -1:
        there is none. One to a server that is silent is found out by its silence, one to an earlier life by
        its reset."""
        kept = self.idle_connections.get(server.number)
        if not kept:
            return -1, 0.0
        idle = self.clock.now - 0.9 * server.config.idle_ms  # let go before the other side does
        while kept:
            epoch, since, opened = kept.pop()
            if since >= idle and (epoch == server.epoch or server.state != DEAD):
                return epoch, opened
            if epoch == server.epoch:
                server.connections -= 1
        return -1, 0.0

    def delay(self, server: Server) -> float:
        """One way, ms."""
        net = self.simulation.scenario.network
        base = net.same_ms if server.zone == self.zone else net.cross_ms
        return base * (1.0 + net.jitter * self.network_rng.random())

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """What a sidecar sees of an attempt's end; only the first counts."""
        if self.paused:
            if attempt.open:
                self.inbox.append((self.attempt_ended, (attempt, outcome)))
            return
        if not attempt.open:
            return
        attempt.open = False
        name, number, server = attempt.request, int(attempt.number), attempt.server
        del self.attempts[name, number]
        self.attempts_open[name] -= 1
        whole = outcome is Outcome.OK or outcome is Outcome.ERROR or outcome is Outcome.FULL
        if attempt.epoch == server.epoch and attempt.epoch >= 0:
            if whole:
                kept = (attempt.epoch, self.clock.now, attempt.opened)
                self.idle_connections.setdefault(server.number, []).append(kept)
            else:
                server.connections -= 1
                server.cancel(attempt)
        self.simulation.checker.ended(self.number, name, number, outcome)
        if outcome is Outcome.OK and name in self.open_tries:
            self._finish(name, "served", 0.0)
        else:
            self._forget(name)
        closed = name not in self.open_tries
        self.handle_event(api.AttemptEnded(name, number, outcome, self.clock.now - attempt.sent, closed))
