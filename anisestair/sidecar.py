"""Runs the balancer and the lifecycle state machines: passes events to them and performs their actions and
effects."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

from anisestair.configure import retune
from anisestair.configure.effective import Config
from anisestair.discovery import Discovery
from anisestair.endpoints import Address, EndpointList
from anisestair.flow.budget import Body, Budget
from anisestair.http import codec as http
from anisestair.http.upstream import ConnectionPool, HttpConnection, UpstreamConnection
from anisestair.lifecycle import Lives
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.connection import Call
from anisestair.lifecycle.exchange import Final
from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import ListKind, Outcome, ServerState

log = logging.getLogger(__name__)

SPARE_SOCKETS = 32  # descriptors for other uses than clients and upstreams: logs, discovery, the event loop
GRACE_S = 1.2  # time after SIGHUP by which all clients use the classes of the new file
LATE_SHARE_OF_TARGET = 0.05  # a timer delay below this share of the shortest latency target is ignored

Answer = Callable[[int, http.Headers, "bytes | Body"], None]

# Status of the response for each final outcome except SERVED.
STATUS = {
    Final.REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
    Final.FAILED: HTTPStatus.BAD_GATEWAY,
    Final.OVERDUE: HTTPStatus.GATEWAY_TIMEOUT,
    Final.FAULT: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class Ask(Protocol):
    """A request in the protocol of its client: how it is forwarded and how it is answered."""

    lane: str  # prefix of a server's name for its endpoint of this protocol

    def write(self, connection: Any, call: Call, left_ms: int) -> None:
        """Send it on a connection of this lane, with the remaining time."""

    def reply(self, final: Final, arrived: Any, retry_after_ms: float) -> None:
        """Send the only response to the client; ``arrived`` is the last response from an upstream."""

    def sendable(self) -> bool:
        """Whether another attempt can send the complete request."""


class HttpAsk:
    lane = ""

    def __init__(self, message: http.Message, answer: Answer) -> None:
        self._message, self._answer = message, answer
        self._headers: http.Headers | None = None  # the forwarded headers, computed by the first write

    def write(self, connection: Any, call: Call, left_ms: int) -> None:
        message = self._message
        if self._headers is None:
            self._headers = [item for item in message.end_to_end() if item[0] != b"x-time-left-ms"]
        headers = [*self._headers, (b"x-time-left-ms", b"%d" % left_ms)]
        if message.stream is None:
            connection.write(call, http.write_request(message.method, message.target, headers, message.body))
        else:
            head = http.write_request(message.method, message.target, headers, message.stream)
            connection.write(call, head, message.stream)

    def sendable(self) -> bool:
        return self._message.stream is None or self._message.stream.replayable

    def reply(self, final: Final, arrived: Any, retry_after_ms: float) -> None:
        if final is Final.SERVED:
            headers = [item for item in arrived.end_to_end() if item[0] != b"x-backend-load"]
            self._answer(HTTPStatus.OK, headers, arrived.body if arrived.stream is None else arrived.stream)
            return
        headers = []
        if final is Final.REFUSED and retry_after_ms > 0:
            headers = [(b"retry-after", b"%.3f" % (retry_after_ms / 1000.0))]
        self._answer(STATUS[final], headers, b"")


class RpcLane(Protocol):
    """What the sidecar requires of MessagePack-RPC, if that is enabled."""

    lane: str
    calls: int  # maximum of concurrent calls on one connection to an upstream

    def connection(
        self, pool: ConnectionPool, number: int, carried: Callable[[int], tuple[Call, ...]]
    ) -> UpstreamConnection:
        """Create a connection without opening it; ``carried`` returns the calls outstanding on it."""


class StormObserver(Protocol):
    """What the sidecar requires of the retry storm detection, if that is enabled."""

    def observe_event(self, now: float, event: api.Event) -> object:
        """Observe an event before the balancer handles it."""

    def adjust_action(self, now: float, action: api.Action) -> api.Action:
        """Return the balancer's action to perform: a refusal may get a different retry delay."""

    def observe_connect(self, now: float) -> None:
        """Observe that a connection to an upstream is being opened."""


@dataclass(slots=True, eq=False)
class Sending:
    """The start of an attempt, in milliseconds of the balancer's clock, and its timeout."""

    sent: float
    expiry: asyncio.TimerHandle


@dataclass(slots=True, eq=False, weakref_slot=True)
class Record:
    """The part of an exchange kept outside the state machines: its bytes and timers."""

    ask: Ask
    deadline: float  # milliseconds of the balancer's clock
    klass: str = ""  # empty for a probe
    left_ms: float = 0.0  # while the body is being received: the time left once it has been sent
    guard: asyncio.TimerHandle | None = None
    sendings: list[Sending] = field(default_factory=list)
    arrived: Any = None  # the last response, set just before its event
    retry_after_ms: float = 0.0
    probed: str = ""  # the probed server, if this is a probe


class Sidecar:
    """Connects clients, upstreams and discovery with the balancer and the lifecycle state machines."""

    asks = HttpAsk  # creates the Ask of a client's message; other hosts of client connections do not load it

    def __init__(
        self,
        config: Config,
        offset_ms: float,
        most_upstream: int,
        rpc: RpcLane | None = None,
        storms: StormObserver | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = config.settings
        self.balancer = Balancer(config.settings, config.seed)
        self.classes = {item.name: item for item in config.settings.classes}
        self.former: dict[str, api.RequestClass] = {}  # previous classes, for GRACE_S after a change
        self._grace: asyncio.TimerHandle | None = None
        self.lives = Lives(most_upstream, config.settings.limits.max_attempts)
        self.budget = Budget(config.memory_mb)
        self.pool = ConnectionPool(
            config.settings.limits, self.feed, self._arrived, self._request_sent, self.budget
        )
        self.discovery = Discovery(config.discovery, config.known.seq, offset_ms, self.listed)
        self._records: dict[str, Record] = {}
        self._addresses: dict[str, Address] = {}
        self._probes = 0
        # Number of final outcomes by class: served, refused, failed.
        self.finals: dict[str, list[int]] = {name: [0, 0, 0] for name in ("", *self.classes)}
        self.known = self.usable = 0  # number of listed upstreams, and of those that accept requests
        self._ready: dict[str, bool] = {}  # by upstream
        self.reloads = [0, 0]  # number of files applied and rejected at SIGHUP
        self.list_received = self.discovery_failed = False  # discovery sent a list; a call to it failed
        self._rpc, self._storms = rpc, storms
        self._late_ms = LATE_SHARE_OF_TARGET * min(item.aim_ms for item in config.settings.classes)
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._list(config.known, config.known.event(ListKind.CACHED))
        if not config.settings.asks_for_list:  # lists are pushed: the watch starts at once
            self.discovery.watch()

    def retune(self, settings: api.Settings) -> None:
        """Apply new settings. For GRACE_S, requests for dropped classes, and requests that match the previous
        form of a changed class, are handled by the previous settings of the class."""
        if self._grace is not None:
            self._grace.cancel()
        self.former = retune.previous_classes(self.settings, settings)
        self.settings = settings
        self.classes.clear()
        self.classes.update((item.name, item) for item in settings.classes)
        for name in self.classes:
            self.finals.setdefault(name, [0, 0, 0])
        # A limit for all requests: open ones keep the number of attempts valid at their start.
        self.lives.max_attempts = max(self.lives.max_attempts, settings.limits.max_attempts)
        self.pool.retune(settings.limits)
        self._late_ms = LATE_SHARE_OF_TARGET * min(item.aim_ms for item in settings.classes)
        self.handle(api.Retune(retune.transitional_settings(settings, self.former)))
        self._grace = self.loop.call_later(GRACE_S, self._end_grace)

    def _end_grace(self) -> None:
        self._grace = None
        self.former = {}
        self.handle(api.Retune(self.settings))

    def now(self) -> float:
        """Return the time of the event loop's clock in milliseconds; loop.time() has only whole ones."""
        return time.monotonic() * 1000.0

    def in_hand(self, request: str) -> bool:
        return request in self.lives.exchanges

    async def close(self) -> None:
        """Shut down, after a response to each open request."""
        self.feed(ev.End())
        await self.discovery.close()
        self.pool.close()

    # The application and discovery

    def take(self, request: api.Request, ask: Ask) -> None:
        self.feed(ev.Take(request.request))
        klass = request.klass.rstrip(retune.PREVIOUS_SUFFIX)
        record = self._records[request.request] = Record(ask, request.deadline, klass)
        if request.body_ms > 0.0:
            record.left_ms = request.deadline - self.now() - request.body_ms
        # A request gets a response at its deadline even if the balancer fails to decide. Not before: the
        # balancer decides at the latest one tick earlier, maybe on a refusal; this is always a failure.
        record.guard = self.loop.call_at(request.deadline / 1000.0, self._overdue, request.request)
        self.handle(request)

    def client_gone(self, request: str) -> None:
        self.feed(ev.Settle(request, Final.GONE))

    def _overdue(self, request: str) -> None:
        log.error("request %s: no decision before its deadline", request)
        self.feed(ev.Settle(request, Final.OVERDUE))

    def listed(self, endpoints: EndpointList | None) -> None:
        if endpoints is None:
            self.discovery_failed = True
            self.handle(api.ServerList(ListKind.LOST))
        else:
            self.list_received = True
            self._list(endpoints, endpoints.event())

    def _list(self, endpoints: EndpointList, event: api.ServerList) -> None:
        listings = []
        for entry in endpoints.entries:
            address = endpoints.addresses[entry.server]
            gone = entry.state is ServerState.GONE
            life = None if gone else (address, entry.started_at)
            ready = entry.state is ServerState.READY
            listings.append(ev.Listing(entry.server, ready, life))
            self._addresses[entry.server] = address
            if self._rpc is not None:
                rpc = endpoints.rpc.get(entry.server)
                life = None if gone or rpc is None else (rpc, entry.started_at)
                name = self._rpc.lane + entry.server
                listings.append(ev.Listing(name, ready, life, self._rpc.calls))
                if rpc is not None:
                    self._addresses[name] = rpc
        # The state machines are updated first, since the balancer may send to a new upstream at once.
        # Attempts ended by the list are reported last, so that it does not choose the same upstream again.
        effects = self.lives.handle(ev.Listed(tuple(listings), endpoints.whole))
        # Costs time by the size of the change, except for a full list.
        named = list(self._ready) if endpoints.whole else []
        named += [entry.server for entry in endpoints.entries]
        for server in named:
            self.usable -= self._ready.pop(server, False)
            if (endpoint := self.lives.endpoints.get(server)) is not None:
                self._ready[server] = endpoint.ready
                self.usable += endpoint.ready
            for lane in (server, *([] if self._rpc is None else [self._rpc.lane + server])):
                if lane not in self.lives.endpoints:
                    self._addresses.pop(lane, None)
        self.known = len(self._ready)
        self.handle(event)
        self._carry_out(effects)

    def _rpc_name(self, server: str) -> bool:
        """Whether that name denotes a MessagePack-RPC endpoint."""
        return self._rpc is not None and server.startswith(self._rpc.lane)

    # The balancer: events in, actions out

    def handle(self, event: api.Event) -> None:
        """Pass an event to the balancer. Events raised while one is handled are queued."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        now, storms = self.now(), self._storms
        try:
            if storms is not None:
                storms.observe_event(now, event)
            for action in self.balancer.handle(now, event):
                self._act(now, action if storms is None else storms.adjust_action(now, action))
        except Exception:
            # An error in the balancer fails the current request only and does not stop the sidecar.
            log.exception("the balancer failed on %r", event)
            self.feed(ev.Settle(getattr(event, "request", ""), Final.FAULT))

    def _act(self, now: float, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(now, action.request, action.server, action.timeout_ms)
        elif isinstance(action, api.SetTimer):
            due = now + action.delay_ms
            self.loop.call_at(due / 1000.0, self._timer_fired, due, action.token)
        elif isinstance(action, api.Cancel):
            self.feed(ev.GiveUp(action.request, action.attempt, Outcome.CANCELLED))
        elif isinstance(action, api.Refuse):
            if action.request in self._records:
                self._records[action.request].retry_after_ms = action.retry_after_ms
            self.feed(ev.Settle(action.request, Final.REFUSED))
        elif isinstance(action, api.Fail):
            self.feed(ev.Settle(action.request, Final.FAILED))
        elif isinstance(action, api.Probe):
            self._probe(now, action.server)
        else:
            self.discovery.watch()

    def _timer_fired(self, due: float, token: int) -> None:
        """Handle a timer of the balancer. A late one shows how far this process lags; the balancer then
        spends less work per decision."""
        late = self.now() - due
        if late > self._late_ms:
            self.handle(api.Late(late))
        self.handle(api.Timer(token))

    def _send(self, now: float, request: str, server: str, timeout_ms: float) -> None:
        record = self._records[request]
        number, left = len(record.sendings), record.deadline - now
        timeout = min(timeout_ms or left, left)
        expired = ev.GiveUp(request, number, Outcome.TIMEOUT)
        expiry = self.loop.call_at((now + timeout) / 1000.0, self.feed, expired)
        record.sendings.append(Sending(now, expiry))
        in_time = timeout > 0.0 and record.ask.sendable()
        if record.ask.lane:
            # Not counted against a server without an endpoint of this protocol: reported as never sent.
            server = record.ask.lane + server
            in_time = in_time and server in self._addresses
        self.feed(ev.Choose(request, server, in_time))

    def _probe(self, now: float, server: str) -> None:
        """Send a health probe. Its id contains a space, which no client's id may contain."""
        self._probes += 1
        name, timeout = f"probe {self._probes}", self.settings.limits.connect_timeout_ms
        message = http.Message(method=b"GET", target=b"/health", headers=[(b"host", server.encode())])
        ask = HttpAsk(message, lambda *answer: None)
        self._records[name] = Record(ask, now + timeout, probed=server)
        self.feed(ev.Take(name))
        self._send(now, name, server, timeout)

    # The lifecycle state machines: events in, effects out

    def feed(self, event: ev.Event) -> None:
        self._carry_out(self.lives.handle(event))

    def _carry_out(self, effects: list[ev.Effect]) -> None:
        for effect in effects:
            _EFFECT_HANDLERS[type(effect)](self, *effect)

    def _reply(self, request: str, final: Final, number: int | None) -> None:
        record = self._records[request]
        self._cancel_guard(record)
        if getattr(record.arrived, "stream", None) is None or final is not Final.SERVED:
            self.finals[record.klass][min(final, Final.FAILED)] += 1
        record.ask.reply(final, record.arrived, record.retry_after_ms)

    def _passed(self, request: str, whole: bool) -> None:
        """Record the end of a streamed response; one that was cut off counts as failed."""
        record = self._records[request]
        self.finals[record.klass][0 if whole else Final.FAILED] += 1
        if not whole:
            record.arrived.stream.cut()

    def _cancel_guard(self, record: Record) -> None:
        if record.guard is not None:
            record.guard.cancel()
            record.guard = None

    def _ended(self, request: str, number: int, outcome: Outcome, closed: bool) -> None:
        record = self._records[request]
        sending = record.sendings[number]
        sending.expiry.cancel()
        latency = self.now() - sending.sent
        if record.probed:
            self.feed(ev.Settle(request, Final.GONE))
            self.handle(api.ProbeEnded(record.probed, outcome, latency))
        else:
            self.handle(api.AttemptEnded(request, number, outcome, latency, closed))

    def _left(self, request: str) -> None:
        self._cancel_guard(self._records[request])
        self.handle(api.ClientGone(request))

    def _forget(self, request: str) -> None:
        del self._records[request]

    def _open(self, connection: int, server: str) -> None:
        upstream: UpstreamConnection
        if self._storms is not None:
            self._storms.observe_connect(self.now())
        if self._rpc is not None and self._rpc_name(server):
            upstream = self._rpc.connection(self.pool, connection, self._carried)
        else:
            upstream = HttpConnection(self.pool, connection)
        self.pool.open(upstream, self._addresses[server])

    def _carried(self, connection: int) -> tuple[Call, ...]:
        found = self.lives.connections.get(connection)
        return found.calls if found is not None else ()

    def _write(self, connection: int, call: Call, kept: bool) -> None:
        upstream = self.pool[connection]
        if kept and not upstream.usable():
            self.feed(ev.Unusable(connection, call))
            return
        record = self._records[call[0]]
        expires = record.sendings[call[1]].expiry.when()
        record.ask.write(upstream, call, max(int((expires - self.loop.time()) * 1000.0), 1))

    def _request_sent(self, call: Call) -> None:
        """Restart the time limits once the last byte of a streamed request has been sent."""
        record = self._records.get(call[0])
        if record is None or record.left_ms <= 0.0:
            return
        now = self.now()
        sending = record.sendings[call[1]]
        sending.expiry.cancel()
        sending.sent, record.deadline = now, now + record.left_ms
        expired = ev.GiveUp(call[0], call[1], Outcome.TIMEOUT)
        sending.expiry = self.loop.call_at(record.deadline / 1000.0, self.feed, expired)
        if record.guard is not None:
            record.guard.cancel()
            record.guard = self.loop.call_at(record.deadline / 1000.0, self._overdue, call[0])

    def _rest(self, connection: int) -> None:
        self.pool[connection].rest()

    def _close(self, connection: int) -> None:
        self.pool[connection].close()

    def _arrived(self, call: Call, answer: Any) -> None:
        if call[0] in self._records:
            self._records[call[0]].arrived = answer


_EFFECT_HANDLERS: dict[type, Callable[..., Any]] = {
    ev.Reply: Sidecar._reply,
    ev.Passed: Sidecar._passed,
    ev.Ended: Sidecar._ended,
    ev.Left: Sidecar._left,
    ev.Forget: Sidecar._forget,
    ev.Open: Sidecar._open,
    ev.Write: Sidecar._write,
    ev.Rest: Sidecar._rest,
    ev.Close: Sidecar._close,
}
