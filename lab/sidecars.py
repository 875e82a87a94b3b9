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
from lab.cpu import Bill
from lab.links import Links
from lab.measures import Measures
from lab.scenario_tables import Scenario
from lab.servers import DEAD, SILENT, UP, Attempt, Server
from lab.sight import Sees, Sight
from lab.streams import Streams, lognormal, turned


class Decides(Protocol):
    """What takes a sidecar's decisions: the module, or a policy to hold it against."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


Policy = Callable[[api.Settings, int], Decides]
# A connection kept: the server's life, since when it is idle, and when it was opened.
Kept = tuple[int, float, float]


class TryEnds(Protocol):
    """Who is told what became of a client's try."""

    def ended(self, held: Try, what: str, advice_ms: float) -> None:
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
    def clients(self) -> TryEnds:
        """Who is told what became of tries."""

    @property
    def discovery(self) -> Subscriptions:
        """Where the list of servers is asked for."""

    def settings(self, zone: str, number: int) -> api.Settings:
        """The decisions' settings for a sidecar of this zone and number."""

    def sight(self, sidecar: int, late: bool) -> Sight:
        """What a policy that sees servers' states may look at."""

    def swallowed(self, sidecar: Sidecar, server: Server) -> bool:
        """Whether nothing of an attempt arrives, nor anything comes back."""

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt's answer, or its end, leaves its server."""


class Sidecar:
    """``life`` counts its starts: what was planned in an earlier one is void."""

    here = True  # not of another process, as in a rig of several

    def __init__(
        self, simulation: SidecarHost, number: int, policy: Policy, watched: bool, version: int = 0
    ) -> None:
        """``version``: how many processes this sidecar has been before; two of them may be there at once."""
        self.simulation, self.clock, self.number, self.turn = simulation, simulation.clock, number, version
        self.policy, self.watched = policy, watched
        zones = simulation.scenario.network.zones
        self.zone = zones[number % len(zones)]
        self.settings = simulation.settings(self.zone, number)
        cpu = simulation.scenario.sidecars.cpu
        self.bill = Bill(cpu, simulation.measures) if cpu.per_s > 0 else None
        place = (number, version) if version else (number,)
        self.net, self.lag = simulation.streams.of("net", *place), simulation.streams.of("lag", *place)
        self.up, self.paused, self.life, self.resumed_at = False, False, 0, -1.0
        self.inbox: deque[tuple[Callable[..., None], tuple[object, ...]]] = deque()
        self.version, self.subscribed = 0, False
        self.known: dict[str, api.ServerEntry] = {}  # the list as it last had it
        self.tries: dict[str, Try] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.sent: dict[str, int] = {}  # attempts of a request so far, and those that have not ended
        self.out: dict[str, int] = {}
        self.kept: dict[int, list[Kept]] = {}  # by server, the one used last at the end

    def start(self, entries: tuple[api.ServerEntry, ...] | None = None) -> None:
        """Starts, or starts again with nothing but its last list."""
        self.up, self.paused, self.life = True, False, self.life + 1
        seed = self.simulation.seed * 100_003 + self.number * 101 + self.life + 7919 * self.turn
        self.module = self.policy(self.settings, seed)
        if isinstance(self.module, Sees):
            net = self.simulation.scenario.network
            sight = self.simulation.sight(self.number, self.module.late)
            self.module.given(sight, self.number, max(net.same_ms, net.cross_ms))
        self._looks = 0.0
        self.watch = Watch(self.settings, seed) if self.watched else None
        self.subscribed = self.simulation.scenario.discovery.mode == "push"
        first = entries is not None
        if entries is not None:
            self.known = {entry.server: entry for entry in entries}
        entries = tuple(self.known.values())
        if not self.turn or self.life > 1:
            self.simulation.checker.started(self.number)  # to the rules two processes are one sidecar
        self.hear(api.ServerList(ListKind.CACHED, self.version, entries))
        if first and self.subscribed:
            self.hear(api.ServerList(ListKind.FULL, self.version, entries))

    def die(self) -> None:
        """What it held is the clients' to try again; its attempts' connections end."""
        if not self.up:
            return
        self.up, self.life = False, self.life + 1
        self.inbox.clear()
        for attempt in list(self.attempts.values()):
            attempt.open = False
            attempt.server.cancel(attempt)
        self.attempts.clear()
        self.sent.clear()
        self.out.clear()
        for number, kept in self.kept.items():
            self.simulation.servers[number].connections -= len(kept)
        self.kept.clear()
        tries, self.tries = self.tries, {}
        for held in tries.values():
            self.simulation.clients.ended(held, "cut", 0.0)

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        """All that came in the meantime, in its order."""
        self.paused, self.resumed_at = False, self.clock.now
        while self.inbox and not self.paused:
            what, arguments = self.inbox.popleft()
            what(*arguments)

    # Events

    def hear(self, event: api.Event) -> None:
        if self.paused:
            self.inbox.append((self.hear, (event,)))
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
        now, watch = self.clock.now, self.watch
        if watch is not None and (change := watch.told(now, event)) is not None:
            self.simulation.measures.changes.append((self.number, change))
        actions = self.module.handle(now, event)
        if self.bill is not None:
            self._pay(now, event, actions)
        for action in actions:
            if watch is not None:
                action = watch.said(now, action)
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.SetTimer):
                self.clock.at(action.delay_ms, self._ring, self.life, action.token)
            elif isinstance(action, api.Cancel):
                if (attempt := self.attempts.get((action.request, action.attempt))) is not None:
                    self.clock.at(0.0, self.ended, attempt, Outcome.CANCELLED)
            elif isinstance(action, api.Refuse):
                self._answer(action.request, "refused", action.retry_after_ms)
            elif isinstance(action, api.Fail):
                self._answer(action.request, "failed", 0.0)
            elif isinstance(action, api.Subscribe):
                self.simulation.discovery.subscribe(self)

    def _pay(self, now: float, event: api.Event, actions: list[api.Action]) -> None:
        """Looks are counted where the module counts them, else as many as a pick is taken to need."""
        assert self.bill is not None
        sends = sum(isinstance(action, api.Send) for action in actions)
        looks = getattr(self.module, "looks", None)
        if looks is None:
            looked = sends * self.simulation.scenario.sidecars.cpu.looks
        else:
            looked, self._looks = looks - self._looks, looks
        self.bill.book(now, event, sends, looked)

    def _ring(self, life: int, token: int) -> None:
        if life == self.life:
            self.hear(api.Timer(token))

    def ask(self, held: Try, until: float) -> None:
        """A client's request has come whole. A process that stands still accepts it all the same."""
        if self.paused:
            self.inbox.append((self.ask, (held, until)))
            return
        if not held.open:
            return
        self.tries[held.name] = held
        self.simulation.checker.asked(self.number, held.name, held.call.klass.name, until)
        if self.bill is not None:
            self.bill.took(self.clock.now, held.call)
        self.hear(api.Request(held.name, held.call.klass.name, until, None, held.marked))

    def gone(self, held: Try) -> None:
        """The client waits no longer."""
        if self.tries.pop(held.name, None) is not None and self.up:
            self._left(held.name)

    def _left(self, name: str) -> None:
        """A process that stands still learns of it when it goes on; until then it may answer nobody."""
        if self.paused:
            self.inbox.append((self._left, (name,)))
            return
        self.simulation.checker.left(self.number, name, self.clock.now)
        self.hear(api.ClientGone(name))
        self._forget(name)

    def _answer(self, name: str, what: str, advice_ms: float) -> None:
        self.simulation.checker.final(self.number, name, what, self.clock.now)
        held = self.tries.pop(name, None)
        self._forget(name)
        if held is not None:
            self.simulation.clients.ended(held, what, advice_ms)

    def _forget(self, name: str) -> None:
        """Counts of attempts are kept while one can still end."""
        if name not in self.tries and not self.out.get(name):
            self.sent.pop(name, None)
            self.out.pop(name, None)

    # Attempts

    def _send(self, action: api.Send) -> None:
        simulation, now, name = self.simulation, self.clock.now, action.request
        number = self.sent.get(name, 0)
        self.sent[name] = number + 1
        self.out[name] = self.out.get(name, 0) + 1
        server = simulation.by_name[action.server]
        simulation.checker.sent(self.number, name, number, server.place(), now)
        held = self.tries.get(name)
        work, key, klass = 0.0, -1, ""
        if held is not None:
            call = held.call
            noise = lognormal(turned(call.chance, call.tries * 8 + number), call.klass.noise)
            work, key, klass = call.work * noise, call.key, call.klass.name
        attempt = self.attempts[name, number] = Attempt(self, name, number, server, now, work, key, klass)
        simulation.measures.bin().sent += 1
        self.clock.at(action.timeout_ms, self.ended, attempt, Outcome.TIMEOUT)
        if simulation.swallowed(self, server):
            return  # nothing comes back, not even of the connect
        link = simulation.links.of(self.zone, server.zone)
        one_way = self.delay(server) + link.late(simulation.links.chance)
        epoch, opened = self._take(server)
        attempt.opened = opened if epoch >= 0 else now
        if epoch >= 0:
            attempt.epoch = epoch
            if link.dead_before > opened:
                return  # open at this end alone
            if link.reset and simulation.links.chance.random() < link.reset:
                self.clock.at(one_way, self.ended, attempt, Outcome.RESET)
                return
            self.clock.at(one_way, server.arrive, attempt)
            return
        simulation.measures.bin().connects += 1
        if self.watch is not None:
            self.watch.opened(now)
        made = simulation.scenario.servers
        if server.state == DEAD:
            self.clock.at(2.0 * one_way, self.ended, attempt, Outcome.CONNECT_FAILED)
        elif server.state == SILENT:
            wait = simulation.scenario.network.connect_timeout_ms
            self.clock.at(wait, self.ended, attempt, Outcome.CONNECT_FAILED)
        else:
            hello = one_way * (1.0 + 2.0 * made.handshake_rtts)
            self.clock.at(hello, self._connected, attempt, server.epoch)

    def _connected(self, attempt: Attempt, epoch: int) -> None:
        server = attempt.server
        if not attempt.open:
            return
        if server.state != UP or server.epoch != epoch:
            self.ended(attempt, Outcome.CONNECT_FAILED)
            return
        if server.connections >= server.made.connections:
            self.simulation.reply(attempt, Outcome.FULL)  # too many connections: turned away unseen
            return
        server.connections += 1
        attempt.epoch = epoch
        if server.made.handshake_ms > 0:
            server.take(server.made.handshake_ms)
            if server.state != UP:
                self.ended(attempt, Outcome.RESET)
                return
        server.arrive(attempt)

    def _take(self, server: Server) -> tuple[int, float]:
        """The life to which a kept connection goes, the one used last first, and when it was opened; -1:
        there is none. One to a server that is silent is found out by its silence, one to an earlier life by
        its reset."""
        kept = self.kept.get(server.number)
        if not kept:
            return -1, 0.0
        idle = self.clock.now - 0.9 * server.made.idle_ms  # let go before the other side does
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
        return base * (1.0 + net.jitter * self.net.random())

    def ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """What a sidecar sees of an attempt's end; only the first counts."""
        if self.paused:
            if attempt.open:
                self.inbox.append((self.ended, (attempt, outcome)))
            return
        if not attempt.open:
            return
        attempt.open = False
        name, number, server = attempt.request, int(attempt.number), attempt.server
        del self.attempts[name, number]
        self.out[name] -= 1
        whole = outcome is Outcome.OK or outcome is Outcome.ERROR or outcome is Outcome.FULL
        if attempt.epoch == server.epoch and attempt.epoch >= 0:
            if whole:
                kept = (attempt.epoch, self.clock.now, attempt.opened)
                self.kept.setdefault(server.number, []).append(kept)
            else:
                server.connections -= 1
                server.cancel(attempt)
        self.simulation.checker.ended(self.number, name, number, outcome)
        if outcome is Outcome.OK and name in self.tries:
            self._answer(name, "served", 0.0)
        else:
            self._forget(name)
        closed = name not in self.tries
        self.hear(api.AttemptEnded(name, number, outcome, self.clock.now - attempt.sent, closed))
