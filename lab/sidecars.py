"""Model of a sidecar in virtual time. It hosts a load balancer, keeps connections, can pause and crash."""

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
    """Takes a sidecar's decisions: the shipped balancer, or a baseline policy to compare it with."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


Policy = Callable[[api.Settings, int], LoadBalancer]
# The server's epoch, the instant since which the connection is idle, and the instant at which it was opened.
IdleConnection = tuple[int, float, float]


class TryListener(Protocol):
    """Receives the outcomes of clients' tries."""

    def try_ended(self, client_try: Try, outcome: str, advice_ms: float) -> None:
        """Called once per try with its outcome, and with the retry delay that the client is advised."""


class Subscriptions(Protocol):
    """Serves the server list."""

    def subscribe(self, sidecar: Sidecar) -> None:
        """Requests the list and its changes from now on."""


class SidecarHost(Protocol):
    """The parts of the simulation that a sidecar uses."""

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
        """Receives the outcomes of tries."""

    @property
    def discovery(self) -> Subscriptions:
        """Serves the server list."""

    def settings(self, zone: str, number: int) -> api.Settings:
        """Returns the balancer's settings for a sidecar of this zone and number."""

    def fleet_view(self, sidecar: int, delayed: bool) -> FleetView:
        """Returns the view of the servers' true states for a policy that needs one."""

    def is_dropped(self, sidecar: Sidecar, server: Server) -> bool:
        """Whether the network drops an attempt, so that neither it nor an answer arrives."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Sends the outcome of an attempt from its server to its sidecar."""


class Sidecar:
    """One sidecar. ``incarnation`` counts its starts and crashes: timers of an earlier one are void."""

    is_local = True  # False for sidecars of another process, over sockets

    def __init__(
        self, simulation: SidecarHost, number: int, policy: Policy, watch_storms: bool, generation: int = 0
    ) -> None:
        """``generation``: how often an upgrade has replaced this sidecar's process before; during an upgrade,
        two processes exist."""
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
        self.known: dict[str, api.ServerEntry] = {}  # the most recent server list
        self.open_tries: dict[str, Try] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.attempts_sent: dict[str, int] = {}  # by request: attempts so far, and those in flight
        self.attempts_open: dict[str, int] = {}
        self.idle_connections: dict[int, list[IdleConnection]] = {}  # by server, the most recently used last

    def start(self, entries: tuple[api.ServerEntry, ...] | None = None) -> None:
        """Starts with these entries, or restarts with only its most recent list."""
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
        is_first_start = entries is not None
        if entries is not None:
            self.known = {entry.server: entry for entry in entries}
        entries = tuple(self.known.values())
        if not self.generation or self.incarnation > 1:
            self.simulation.checker.started(self.number)  # the rules count both processes as one sidecar
        self.handle_event(api.ServerList(ListKind.CACHED, self.list_version, entries))
        if is_first_start and self.subscribed:
            self.handle_event(api.ServerList(ListKind.FULL, self.list_version, entries))

    def crash(self) -> None:
        """Crashes: its open tries end as "cut", for their clients to retry, and its connections close."""
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
        for number, idle in self.idle_connections.items():
            self.simulation.servers[number].connections -= len(idle)
        self.idle_connections.clear()
        tries, self.open_tries = self.open_tries, {}
        for client_try in tries.values():
            self.simulation.clients.try_ended(client_try, "cut", 0.0)

    def pause(self) -> None:
        """Stops processing. What arrives is queued until `resume`."""
        self.paused = True

    def resume(self) -> None:
        """Continues after a pause and processes what has arrived meanwhile, in its order."""
        self.paused, self.resumed_at = False, self.clock.now
        while self.inbox and not self.paused:
            handler, arguments = self.inbox.popleft()
            handler(*arguments)

    # Events

    def handle_event(self, event: api.Event) -> None:
        """Passes an event to the balancer and performs the actions that it returns."""
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
        now, storm_watch = self.clock.now, self.storm_watch
        if storm_watch is not None and (change := storm_watch.told(now, event)) is not None:
            self.simulation.measures.storm_changes.append((self.number, change))
        actions = self.balancer.handle(now, event)
        if self.cpu_meter is not None:
            self._charge_cpu(now, event, actions)
        for action in actions:
            if storm_watch is not None:
                action = storm_watch.said(now, action)
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
        """Charges the CPU cost of an event. Servers examined are counted by the balancer if it can, otherwise
        the scenario's number for each send is assumed."""
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
        """Called when a client's request has arrived completely. A paused process also accepts it."""
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
        """Called when the client gives up this try."""
        if self.open_tries.pop(client_try.name, None) is not None and self.up:
            self._handle_client_gone(client_try.name)

    def _handle_client_gone(self, name: str) -> None:
        """Handles a client that has gone. A paused process learns of it when it resumes."""
        if self.paused:
            self.inbox.append((self._handle_client_gone, (name,)))
            return
        self.simulation.checker.left(self.number, name, self.clock.now)
        self.handle_event(api.ClientGone(name))
        self._drop_attempt_counts(name)

    def _finish(self, name: str, outcome: str, advice_ms: float) -> None:
        self.simulation.checker.final(self.number, name, outcome, self.clock.now)
        client_try = self.open_tries.pop(name, None)
        self._drop_attempt_counts(name)
        if client_try is not None:
            self.simulation.clients.try_ended(client_try, outcome, advice_ms)

    def _drop_attempt_counts(self, name: str) -> None:
        """Drops the attempt counts of a finished request once none of its attempts is in flight."""
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
            return  # no answer arrives, not even to a connect
        link = simulation.links.of(self.zone, server.zone)
        one_way = self.delay(server) + link.message_delay_ms(simulation.links.rng)
        epoch, opened = self._take_idle_connection(server)
        attempt.opened = opened if epoch >= 0 else now
        if epoch >= 0:
            attempt.epoch = epoch
            if link.half_open_before > opened:
                return  # half-open: the other end no longer has the connection
            if link.reset_share and simulation.links.rng.random() < link.reset_share:
                self.clock.schedule(one_way, self.attempt_ended, attempt, Outcome.RESET)
                return
            self.clock.schedule(one_way, server.arrive, attempt)
            return
        simulation.measures.bin().connects += 1
        if self.storm_watch is not None:
            self.storm_watch.opened(now)
        config = simulation.scenario.servers
        if server.state == DEAD:
            self.clock.schedule(2.0 * one_way, self.attempt_ended, attempt, Outcome.CONNECT_FAILED)
        elif server.state == SILENT:
            wait = simulation.scenario.network.connect_timeout_ms
            self.clock.schedule(wait, self.attempt_ended, attempt, Outcome.CONNECT_FAILED)
        else:
            handshake = one_way * (1.0 + 2.0 * config.handshake_rtts)
            self.clock.schedule(handshake, self._connected, attempt, server.epoch)

    def _connected(self, attempt: Attempt, epoch: int) -> None:
        server = attempt.server
        if not attempt.open:
            return
        if server.state != UP or server.epoch != epoch:
            self.attempt_ended(attempt, Outcome.CONNECT_FAILED)
            return
        if server.connections >= server.config.connections:
            self.simulation.reply(
                attempt, Outcome.FULL
            )  # too many connections: rejected before the request is read
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
        """Takes the most recently used idle connection to a server.

        Returns the server's epoch at which it was opened, and the instant; the epoch is -1 if there is no
        connection. The sidecar cannot tell that a server is silent or has restarted: the attempt then ends by
        timeout or by reset.
        """
        idle = self.idle_connections.get(server.number)
        if not idle:
            return -1, 0.0
        oldest = self.clock.now - 0.9 * server.config.idle_ms  # given up before the server closes it
        while idle:
            epoch, since, opened = idle.pop()
            if since >= oldest and (epoch == server.epoch or server.state != DEAD):
                return epoch, opened
            if epoch == server.epoch:
                server.connections -= 1
        return -1, 0.0

    def delay(self, server: Server) -> float:
        """Returns the one-way delay in ms of one message to a server."""
        net = self.simulation.scenario.network
        base = net.same_ms if server.zone == self.zone else net.cross_ms
        return base * (1.0 + net.jitter * self.network_rng.random())

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Called with the outcome of an attempt as the sidecar sees it; later calls are ignored."""
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
        complete = outcome is Outcome.OK or outcome is Outcome.ERROR or outcome is Outcome.FULL
        if attempt.epoch == server.epoch and attempt.epoch >= 0:
            if complete:
                idle = (attempt.epoch, self.clock.now, attempt.opened)
                self.idle_connections.setdefault(server.number, []).append(idle)
            else:
                server.connections -= 1
                server.cancel(attempt)
        self.simulation.checker.ended(self.number, name, number, outcome)
        if outcome is Outcome.OK and name in self.open_tries:
            self._finish(name, "served", 0.0)
        else:
            self._drop_attempt_counts(name)
        closed = name not in self.open_tries
        self.handle_event(api.AttemptEnded(name, number, outcome, self.clock.now - attempt.sent, closed))
