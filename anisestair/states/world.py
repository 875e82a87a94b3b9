"""The machines, closed: requests, servers and a network that may do anything at any moment, as a model.

The machines are the sidecar's own (`Lives`), and what the decisions may do is asked of the real `Balancer`
(`Permits`). The model plays the driver, the application, the upstreams and the list. It keeps what is true
beside what the machines believe: which request has left in whole, which server was told to drain, what an
answer was made for. Monitors compare the two at every effect.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from dataclasses import dataclass, replace
from itertools import permutations
from typing import Any, NamedTuple

from anisestair.lifecycle import Lives
from anisestair.lifecycle import attempt as attempts
from anisestair.lifecycle import connection as connections
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.attempt import Attempt
from anisestair.lifecycle.connection import Call, Connection
from anisestair.lifecycle.endpoint import Endpoint
from anisestair.lifecycle.exchange import Exchange, Final, forgettable
from anisestair.states import properties as props
from anisestair.states.permits import Permits, View
from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Outcome
from statecheck import Model, Violation
from statecheck.model import State

TICK_MS = 1000.0  # the model's unit of time; a connection comes up, or does not, within one
WINDOW_MS = 1500.0  # so that a keyed class's window ends between two ticks
GONE, DRAINING, READY = 0, 1, 2
ATTEMPT_STAGES, CONNECTION_STAGES = tuple(attempts.Stage), tuple(connections.Stage)
NAMES = tuple(f"r{number}" for number in range(8))  # of requests
NOBODY = ("", -1)  # no call; states are compared, and None with nothing
LATE = ("r0", 0)  # stands for any call on a connection that is being closed
UNTAKEN: tuple[int, ...] = ()
DONE = (0,)
ENDED_WORLD: State = ((),)

CLASSES = {
    "sale": api.RequestClass("sale", 400.0, 1e9, late_worth=0.5, effect=Effect.UNSAFE),
    "listing": api.RequestClass(
        "listing", 400.0, 1e9, late_worth=0.5, effect=Effect.KEYED, group=api.Group.CELL
    ),
    "look": api.RequestClass("look", 400.0, 1e9, late_worth=0.5, effect=Effect.SAFE),
}


@dataclass(frozen=True)
class Scenario:
    """The size of a model: one class for each request, one cell for each server, and how often things
    happen."""

    name: str
    classes: tuple[str, ...]
    cells: tuple[int, ...]
    attempts: int
    changes: int  # of the list: drains, ends, returns, restarts
    ticks: int = 0  # instants that are told apart; only a keyed class's window needs any
    most: int = 99  # connections; 99: never reached
    second_copies: bool = False
    held: bool = True  # the kernel may keep back part of a request
    may_cancel: bool = True
    leaves: bool = True  # clients may leave
    window_ms: float = WINDOW_MS  # of the keyed class
    calls: int = 1  # at once on one connection
    long: bool = False  # answers may begin before they are whole


class Happens(NamedTuple):
    """An event of the model; what the numbers mean depends on ``what``."""

    what: str
    a: int = -1
    b: int = -1

    def __str__(self) -> str:
        return LABELS[self.what].format(a=self.a, b=self.b)


LABELS = {
    "take": "request r{a} comes",
    "leave": "the client of r{a} leaves",
    "overdue": "the time of r{a} is over",
    "finish": "the module gives r{a} up",
    "choose": "the module sends r{a} to s{b}",
    "choose-held": "the module sends r{a} to s{b}; if it is written, the kernel keeps part back",
    "expire": "attempt {b} of r{a} times out",
    "up": "connection {a} comes up",
    "up-held": "connection {a} comes up; the kernel keeps back part of what is written",
    "refused": "connection {a} is refused",
    "short": "connection {a} cannot be opened for want of a socket",
    "flush": "the kernel takes the rest on connection {a}",
    "begin": "connection {a} brings the first bytes of a long answer 200",
    "ok": "connection {a} brings a whole answer 200",
    "ok-behind": "connection {a} brings a whole answer 200 and something behind it",
    "error": "connection {a} brings a whole answer 500",
    "full": "connection {a} brings an answer 503 with X-Unprocessed",
    "call-ok": "connection {a} brings the answer to call {b} of those out on it",
    "call-error": "connection {a} brings an error for call {b} of those out on it",
    "call-full": "connection {a} brings word that call {b} of those out on it was turned away unseen",
    "late-ok": "connection {a}, which is being closed, brings a whole answer 200",
    "late-full": "connection {a}, which is being closed, brings an answer 503 with X-Unprocessed",
    "spoilt": "connection {a} brings what cannot be read",
    "stray": "connection {a} brings something unasked, which the loop has not read yet",
    "read-stray": "connection {a} brings something unasked",
    "lost": "connection {a} ends",
    "idle-over": "connection {a} has been idle for as long as one may",
    "drain": "the list says that s{a} drains",
    "ready": "the list says that s{a} is ready again",
    "gone": "the list names s{a} no more",
    "back": "the list names s{a} again",
    "restart": "the list says that s{a} has started again",
    "tick": "time passes",
    "end": "the program ends",
}


class Wire(NamedTuple):
    """What is true of a connection, beside what the machine holds of it."""

    held: int = 0  # of so many of the last calls something is on this side
    dirty: bool = False  # something came behind an answer, or could not be read, and the loop knows
    unread: bool = False  # something came unasked, and stands in the kernel
    current: bool = True  # it leads to its server's present life
    pipe: tuple[Call, ...] = ()  # calls that have left on it and whose answers may still come, in order
    label: Call = NOBODY  # what the driver takes the next answer to be to
    late: bool = False  # opened before the last tick


class Sent(NamedTuple):
    """What is true of an attempt."""

    told: int = 0  # by the machines to the module: 0 nothing yet, 1 may have run, 2 never ran
    left: bool = False  # all of it has left, and no upstream has turned it away
    server: int = -1
    chosen: float = -1  # ticks
    written: float = -1
    begun: int = 0  # its answer: 1 is being passed on, 2 has ended


class Play:
    """A state taken apart, in which one event happens."""

    def __init__(self, world: World, state: State) -> None:
        self.world, self.scenario = world, world.scenario
        self.broken: list[Violation] = []
        count = len(self.scenario.classes)
        self.requests = list(state[:count])
        self.servers: list[int] = list(state[count])
        rows = state[count + 1]
        self.tick: float
        self.tick, self.changes = state[count + 2]
        lives = self.lives = Lives(self.scenario.most, self.scenario.attempts)
        self.wires: dict[int, Wire] = {}
        carriers: dict[Call, int] = {}
        resting = []
        shared, lines = self.scenario.calls > 1, []
        for number, (rank, line, stage, server, incarnation, calls, unsent, wire) in enumerate(rows, 1):
            lives.connections[number] = Connection(
                CONNECTION_STAGES[stage], f"s{server}", incarnation, calls, unsent, shared
            )
            if line >= 0:
                lines.append((line, number, f"s{server}"))
            self.wires[number] = Wire(*wire)
            for call in calls:
                carriers[call] = number
            if rank >= 0:
                resting.append((rank, number, f"s{server}"))
        for _, number, name in sorted(resting):
            lives.idle[number] = None
            lives.idle_at[name] = (*lives.idle_at.get(name, ()), number)
        for _, number, name in sorted(lines):
            lives.lines[name] = (*lives.lines.get(name, ()), number)
        for server, told in enumerate(self.servers):
            if told != GONE:
                lives.endpoints[f"s{server}"] = Endpoint(told == READY, 1, 0, self.scenario.calls)
        lives.last, lives.incarnations = len(rows), 1
        self.sent: dict[str, list[Sent]] = {}
        self.over: set[str] = set()  # the final outcome is out
        for request, part in zip(NAMES, self.requests, strict=False):
            if len(part) < 2:
                continue
            owed, made = part
            machine = tuple(
                Attempt(ATTEMPT_STAGES[stage], carriers.get((request, number), 0), may)
                for number, (stage, may, _) in enumerate(made)
            )
            lives.exchanges[request] = Exchange(owed, machine)
            self.sent[request] = [Sent(*sent) for _, _, sent in made]
            if not owed:
                self.over.add(request)
        self.giving_up = ""  # the request that is, while it is
        self.held_next = False  # the kernel keeps back part of what is written next
        self.ended: set[Call] = set()
        self.all_came = False  # of the answer that is being read

    def breaks(self, violation: Violation) -> None:
        if violation not in self.broken:
            self.broken.append(violation)

    # The driver's part: events in, effects out

    def feed(self, event: ev.Event) -> None:
        try:
            effects = self.lives.handle(event)
        except Exception:  # a fault of the machines is a finding like any other
            self.breaks(props.NO_FAULT)
            return
        self.carry_out(effects)

    def carry_out(self, effects: list[ev.Effect]) -> None:
        for effect in effects:
            getattr(self, "on_" + type(effect).__name__.lower())(*effect)

    def on_reply(self, request: str, final: Final, number: int | None) -> None:
        if request in self.over:
            self.breaks(props.ONE_OUTCOME)
        self.over.add(request)
        klass, sent = self.world.klass[request], self.sent[request]
        if final is Final.REFUSED and klass.effect is not Effect.SAFE and any(item.left for item in sent):
            self.breaks(props.PROMISE)

    def on_ended(self, request: str, number: int, outcome: Outcome, closed: bool) -> None:
        sent = self.sent[request][number]
        if self.giving_up not in ("", request):
            self.breaks(props.ALONE)
        if sent.told or closed != (request in self.over):
            self.breaks(props.ENDED_ONCE)
        never = outcome in NEVER_RAN
        if never and sent.left:
            self.breaks(props.TRUE_WORD)
        self.sent[request][number] = sent._replace(told=2 if never else 1)
        if closed:
            self.cancel_rest(request)

    def on_passed(self, request: str, whole: bool) -> None:
        begun = [number for number, item in enumerate(self.sent[request]) if item.begun == 1]
        if len(begun) != 1:
            self.breaks(props.BEGUN_ENDS)
            return
        if whole and not self.all_came:
            self.breaks(props.CUT_TRUE)
        self.sent[request][begun[0]] = self.sent[request][begun[0]]._replace(begun=2)

    def on_left(self, request: str) -> None:
        self.cancel_rest(request)

    def cancel_rest(self, request: str) -> None:
        """The module closes a request for which nothing is owed any more."""
        if self.scenario.may_cancel:
            for number in range(len(self.sent[request])):
                if not self.sent[request][number].told:
                    self.feed(ev.GiveUp(request, number, Outcome.CANCELLED))

    def on_forget(self, request: str) -> None:
        sent = self.sent[request]
        if request not in self.over or not all(item.told and item.begun != 1 for item in sent):
            self.breaks(props.NOTHING_LEFT)

    def on_open(self, connection: int, server: str) -> None:
        self.wires[connection] = Wire()
        if self.servers[int(server[1:])] != READY:
            self.breaks(props.DRAIN_KEPT)

    def on_write(self, connection: int, call: Call, kept: bool) -> None:
        wire = self.wires[connection]
        if kept and wire.unread:
            self.feed(ev.Unusable(connection, call))  # the driver has asked the kernel
            return
        request, number = call
        sent, server = self.sent[request], int(self.lives.connections[connection].server[1:])
        if request in self.over:
            self.breaks(props.NOTHING_AFTER)
        shared = self.scenario.calls > 1
        if wire.dirty or wire.unread or not shared and (wire.held or wire.pipe):
            self.breaks(props.CLEAN_LINE)
        if len(self.lives.connections[connection].calls) > self.scenario.calls:
            self.breaks(props.CALLS_BOUND)
        if self.servers[server] != READY or not wire.current:
            self.breaks(props.DRAIN_KEPT)
        if sent[number].written >= 0:
            self.breaks(props.ONE_SENDING)
        klass = self.world.klass[request]
        ran = [item for place, item in enumerate(sent) if item.left and place != number]
        if ran and klass.effect is Effect.UNSAFE:
            self.breaks(props.NO_SECOND_RUN)
        if ran and klass.effect is Effect.KEYED:
            cells = self.scenario.cells
            if any(cells[item.server] != cells[server] for item in ran):
                self.breaks(props.ONE_GROUP)
            if (self.tick - min(item.written for item in ran)) * self.world.unit_ms > klass.window_ms:
                self.breaks(props.IN_WINDOW)
        held, self.held_next = self.held_next or wire.held > 0, False
        sent[number] = sent[number]._replace(left=not held, server=server, written=self.tick)
        label = NOBODY if shared else call
        self.wires[connection] = wire._replace(held=wire.held + held, pipe=(*wire.pipe, call), label=label)
        if held:
            self.feed(ev.Held(connection, self.unsent(connection)))

    def unsent(self, connection: int) -> int:
        """As the driver counts: of the calls that it has written and that are not given up."""
        wire, calls = self.wires[connection], self.lives.connections[connection].calls
        return sum(call in calls for call in wire.pipe[len(wire.pipe) - wire.held :])

    def on_rest(self, connection: int) -> None:
        self.wires[connection] = self.wires[connection]._replace(label=NOBODY)

    def on_close(self, connection: int) -> None:
        self.wires[connection] = self.wires[connection]._replace(held=0)  # thrown away: it never leaves

    # What happens

    def happen(self, event: Happens) -> None:
        what, a, b = event
        if what.endswith("-held"):
            self.held_next, what = True, what[: -len("-held")]
        if what in ("leave", "overdue", "finish", "expire"):
            self.giving_up = NAMES[a]
        getattr(self, "do_" + what.replace("-", "_"))(a, b)

    def do_take(self, a: int, b: int) -> None:
        self.sent[NAMES[a]] = []
        self.feed(ev.Take(NAMES[a]))

    def do_leave(self, a: int, b: int) -> None:
        self.over.add(NAMES[a])
        self.feed(ev.Settle(NAMES[a], Final.GONE))
        if any(item.begun == 1 for item in self.sent[NAMES[a]]):
            self.breaks(props.BEGUN_ENDS)

    def do_overdue(self, a: int, b: int) -> None:
        self.feed(ev.Settle(NAMES[a], Final.OVERDUE))

    def do_finish(self, a: int, b: int) -> None:
        refuses = self.world.permits.refuses(self.scenario.classes[a], views(self.sent[NAMES[a]]))
        self.feed(ev.Settle(NAMES[a], Final.REFUSED if refuses else Final.FAILED))
        self.cancel_rest(NAMES[a])

    def do_choose(self, a: int, b: int) -> None:
        self.sent[NAMES[a]].append(Sent(server=b, chosen=self.tick))
        self.feed(ev.Choose(NAMES[a], f"s{b}"))

    def do_expire(self, a: int, b: int) -> None:
        self.feed(ev.GiveUp(NAMES[a], b, Outcome.TIMEOUT))

    def do_up(self, a: int, b: int) -> None:
        self.feed(ev.Up(a))

    def do_refused(self, a: int, b: int) -> None:
        del self.wires[a]
        self.feed(ev.NotUp(a, False))

    def do_short(self, a: int, b: int) -> None:
        del self.wires[a]
        self.feed(ev.NotUp(a, True))

    def do_flush(self, a: int, b: int) -> None:
        wire = self.wires[a]
        self.wires[a] = wire._replace(held=0)
        for request, number in wire.pipe[len(wire.pipe) - wire.held :]:
            if request in self.sent:
                self.sent[request][number] = self.sent[request][number]._replace(left=True)
        self.feed(ev.Held(a, 0))

    def _answer(self, connection: int, outcome: Outcome, clean: bool, place: int = 0) -> None:
        """By the order of calls, or, where they are shared, by the id that it brings."""
        wire = self.wires[connection]
        made_for = wire.pipe[place]
        label = wire.label if self.scenario.calls == 1 else made_for
        if outcome is Outcome.FULL and made_for[0] in self.sent:
            sent = self.sent[made_for[0]]
            sent[made_for[1]] = sent[made_for[1]]._replace(left=False)  # turned away unseen
        pipe = (*wire.pipe[:place], *wire.pipe[place + 1 :])
        self.wires[connection] = wire._replace(pipe=pipe, dirty=wire.dirty or not clean, label=NOBODY)
        owed = label[0] in self.sent and label[0] not in self.over
        self.all_came = True
        self.feed(ev.Answered(connection, label, outcome, clean))
        self.all_came = False
        if owed and label[0] in self.over and made_for != label:
            self.breaks(props.RIGHT_ANSWER)

    def do_begin(self, a: int, b: int) -> None:
        wire = self.wires[a]
        request, number = wire.label
        owed = request in self.sent and request not in self.over
        if owed:
            self.sent[request][number] = self.sent[request][number]._replace(begun=1)
        self.feed(ev.Begun(a, wire.label))
        if owed and wire.pipe[0] != wire.label:
            self.breaks(props.RIGHT_ANSWER)

    def do_call_ok(self, a: int, b: int) -> None:
        self._answer(a, Outcome.OK, True, b)

    def do_call_error(self, a: int, b: int) -> None:
        self._answer(a, Outcome.ERROR, True, b)

    def do_call_full(self, a: int, b: int) -> None:
        self._answer(a, Outcome.FULL, True, b)

    def do_ok(self, a: int, b: int) -> None:
        self._answer(a, Outcome.OK, True)

    def do_ok_behind(self, a: int, b: int) -> None:
        self._answer(a, Outcome.OK, False)

    def do_error(self, a: int, b: int) -> None:
        self._answer(a, Outcome.ERROR, True)

    def do_full(self, a: int, b: int) -> None:
        self._answer(a, Outcome.FULL, True)

    def do_late_ok(self, a: int, b: int) -> None:
        self.feed(ev.Answered(a, self.wires[a].label, Outcome.OK, True))

    def do_late_full(self, a: int, b: int) -> None:
        self.feed(ev.Answered(a, self.wires[a].label, Outcome.FULL, True))

    def do_spoilt(self, a: int, b: int) -> None:
        self.wires[a] = self.wires[a]._replace(dirty=True)
        self.feed(ev.Spoilt(a))

    def do_stray(self, a: int, b: int) -> None:
        self.wires[a] = self.wires[a]._replace(unread=True)

    do_read_stray = do_spoilt

    def do_lost(self, a: int, b: int) -> None:
        del self.wires[a]
        self.feed(ev.Lost(a))

    def do_idle_over(self, a: int, b: int) -> None:
        self.feed(ev.Expire(a))

    def _told(self, server: int, state: int, life: int, old: bool) -> None:
        """The list says something of a server; ``old``: its connections lead to an earlier life of it."""
        self.servers[server] = state
        self.changes -= 1
        if old:
            for number, wire in self.wires.items():
                if self.lives.connections[number].server == f"s{server}":
                    self.wires[number] = wire._replace(current=False)
        self.feed(ev.Listed((ev.Listing(f"s{server}", state == READY, life, self.scenario.calls),), False))

    def do_drain(self, a: int, b: int) -> None:
        self._told(a, DRAINING, 0, False)

    def do_ready(self, a: int, b: int) -> None:
        self._told(a, READY, 0, False)

    def do_back(self, a: int, b: int) -> None:
        self._told(a, READY, 0, True)

    def do_restart(self, a: int, b: int) -> None:
        self._told(a, READY, 1, True)

    def do_gone(self, a: int, b: int) -> None:
        """By a whole list, which names all others."""
        self.servers[a] = GONE
        self.changes -= 1
        for number, wire in self.wires.items():
            if self.lives.connections[number].server == f"s{a}":
                self.wires[number] = wire._replace(current=False)
        left = [
            ev.Listing(f"s{server}", told == READY, 0, self.scenario.calls)
            for server, told in enumerate(self.servers)
            if told != GONE
        ]
        self.feed(ev.Listed(tuple(left), True))

    def do_tick(self, a: int, b: int) -> None:
        self.tick += 1
        for number, wire in self.wires.items():
            if self.lives.connections[number].stage is connections.Stage.CONNECTING:
                self.wires[number] = wire._replace(late=True)

    def do_end(self, a: int, b: int) -> None:
        self.feed(ev.End())
        begun = any(item.begun == 1 for sent in self.sent.values() for item in sent)
        if begun or any(request not in self.over for request in self.sent):
            self.breaks(props.ENDS_IN_ORDER)

    # Back into a state

    def consistent(self) -> bool:
        """What the tables say of each other."""
        lives = self.lives
        out: dict[Call, int] = {}
        for request, exchange in lives.exchanges.items():
            if forgettable(exchange) or (request not in self.over) != exchange.owed:
                return False
            for number, attempt in enumerate(exchange.attempts):
                if attempt.stage is not attempts.Stage.ENDED:
                    out[request, number] = attempt.connection
        carried = {call: number for number, item in lives.connections.items() for call in item.calls}
        rests = {
            number for number, item in lives.connections.items() if item.stage in connections.UNUSED_STAGES
        }
        at = [number for numbers in lives.idle_at.values() for number in numbers]
        spent = connections.Stage.SPENT
        live = {number for number, item in lives.connections.items() if item.shared and item.stage != spent}
        lines = [number for numbers in lives.lines.values() for number in numbers]
        return (
            out == carried
            and lives.connections.keys() == self.wires.keys()
            and rests == set(lives.idle) == set(at)
            and len(at) == len(rests)
            and (live, len(lines)) == (set(lines), len(live))
            and all(lives.lines.values())
            and all(lives.endpoints[server].ready and numbers for server, numbers in lives.idle_at.items())
            and lives.endpoints.keys()
            == {f"s{server}" for server, told in enumerate(self.servers) if told != GONE}
        )

    def state(self) -> State:
        lives = self.lives
        live = [item for item in lives.connections.values() if item.stage is not connections.Stage.SPENT]
        if len(live) > self.scenario.most:
            self.breaks(props.BOUND_KEPT)
        if not self.broken and not self.consistent():
            self.breaks(props.NOTHING_LEFT)
        parts: list[Hashable] = []
        for request, klass, part in zip(NAMES, self.scenario.classes, self.requests, strict=False):
            exchange = lives.exchanges.get(request)
            if request not in self.sent:
                parts.append(part if len(part) < 2 else DONE)
            elif exchange is None:
                parts.append(DONE)
            else:
                made = tuple(
                    (int(attempt.stage), attempt.may_have_run, self.world.fade(klass, attempt, sent))
                    for attempt, sent in zip(exchange.attempts, self.sent[request], strict=True)
                )
                parts.append((exchange.owed, made))
        parts.append(tuple(self.servers))
        rank = {number: place for place, number in enumerate(lives.idle)}
        line = {number: place for numbers in lives.lines.values() for place, number in enumerate(numbers)}
        rows: list[tuple[Any, ...]] = []
        for number, item in lives.connections.items():
            wire = self.wires.get(number, Wire())
            server, calls = int(item.server[1:]), item.calls
            endpoint = lives.endpoints.get(item.server)
            fresh = endpoint is not None and endpoint.incarnation == item.incarnation
            if item.stage is connections.Stage.SPENT:  # only its end is still to come, and a late answer
                rows.append((-1, -1, 4, 0, 0, (), 0, tuple(Wire(pipe=wire.pipe[:1] and (LATE,), label=LATE))))
                continue
            rows.append(
                (
                    rank.get(number, -1),
                    line.get(number, -1),
                    int(item.stage),
                    server,
                    int(fresh),
                    calls,
                    item.unsent,
                    tuple(wire),
                )
            )
        parts += [tuple(sorted(rows)), (self.tick, self.changes), tuple(self.broken)]
        return tuple(parts)


def _on_shared(number: int, carrying: bool, wire: tuple[Any, ...]) -> list[Happens]:
    """What a shared connection may bring: answers to any calls that have left, given up or not."""
    held, _, unread, _, pipe, _, _ = wire
    found = [Happens("flush", number)] if held else []
    for place in range(len(pipe) - held):
        found += [Happens(what, number, place) for what in ("call-ok", "call-error", "call-full")]
    found += [] if unread else [Happens("stray", number)]
    return [*found, Happens("spoilt", number)] if carrying else [*found, Happens("idle-over", number)]


def views(sent: list[Sent]) -> tuple[View, ...]:
    return tuple(View(not item.told, item.told != 2, item.server, item.chosen) for item in sent)


class World(Model):
    """The model of one scenario."""

    def __init__(
        self, scenario: Scenario, settings: api.Settings | None = None, unit_ms: float = TICK_MS
    ) -> None:
        self.scenario, self.name, self.unit_ms = scenario, scenario.name, unit_ms
        self.settings = settings or api.Settings(
            tuple(
                replace(CLASSES[name], window_ms=scenario.window_ms) for name in sorted(set(scenario.classes))
            ),
            limits=api.Limits(
                max_attempts=scenario.attempts,
                may_cancel=True,
                second_copies=scenario.second_copies,
                connect_timeout_ms=TICK_MS,
            ),
            tick_ms=1.0,
        )
        classes = {item.name: item for item in self.settings.classes}
        self.klass = {name: classes[klass] for name, klass in zip(NAMES, scenario.classes, strict=False)}
        self.permits = Permits(self.settings, scenario.cells, TICK_MS)
        count, cells = len(scenario.classes), scenario.cells
        # Servers are alike within a cell, and whole cells of one size are alike; requests within a class.
        self._renamings = [
            (servers, requests)
            for servers in permutations(range(len(cells)))
            if self._keeps_cells(servers)
            for requests in permutations(range(count))
            if all(scenario.classes[new] == scenario.classes[old] for old, new in enumerate(requests))
        ][1:]

    def _keeps_cells(self, servers: tuple[int, ...]) -> bool:
        cells = self.scenario.cells
        pairs = {(cells[old], cells[new]) for old, new in enumerate(servers)}
        return len(pairs) == len({old for old, _ in pairs}) == len({new for _, new in pairs})

    def initial(self) -> Iterable[State]:
        count = len(self.scenario.classes)
        servers = (READY,) * len(self.scenario.cells)
        yield (*(UNTAKEN,) * count, servers, (), (0, self.scenario.changes), ())

    def fade(self, klass: str, attempt: Attempt, sent: Sent) -> State:
        """Of an attempt that has ended, no more is kept than some rule can still ask for."""
        if attempt.stage is attempts.Stage.ENDED:
            if not sent.left and sent.told == 2 or CLASSES[klass].effect is not Effect.KEYED:
                return tuple(sent._replace(server=-1, chosen=-1, written=-1))
            cell = self.scenario.cells[sent.server]
            return tuple(sent._replace(server=self.scenario.cells.index(cell)))
        return tuple(sent)

    def events(self, state: State) -> Sequence[Happens]:
        if state == ENDED_WORLD:
            return ()
        scenario, count = self.scenario, len(self.scenario.classes)
        servers, rows = state[count], state[count + 1]
        tick, changes = state[count + 2]
        found = []
        for request in range(count):
            part = state[request]
            if part == UNTAKEN:
                found.append(Happens("take", request))
            if len(part) < 2:
                continue
            owed, made = part
            out = [number for number, (stage, _, _) in enumerate(made) if stage != attempts.Stage.ENDED]
            found += [Happens("expire", request, number) for number in out]
            if not owed:
                passing = any(stage == attempts.Stage.PASSING for stage, _, _ in made)
                found += [Happens("leave", request)] if passing else []
                continue
            found += [Happens("overdue", request), Happens("finish", request)]
            if scenario.leaves:
                found.append(Happens("leave", request))
            if out and not scenario.second_copies:
                continue
            seen = views([Sent(*sent) for _, _, sent in made])
            for server in range(len(scenario.cells)):
                if self.permits.send(scenario.classes[request], seen, server, tick):
                    found.append(Happens("choose", request, server))
                    if scenario.held:
                        found.append(Happens("choose-held", request, server))
        opening = False
        for number, (_, _, stage, _, _, calls, _, wire) in enumerate(rows, 1):
            held, _, unread, _, pipe, _, late = wire
            if stage == connections.Stage.CONNECTING:
                opening = opening or late
                found += [Happens("up", number), Happens("refused", number), Happens("short", number)]
                if calls and scenario.held:
                    found.append(Happens("up-held", number))
                continue
            found.append(Happens("lost", number))
            if stage == connections.Stage.SPENT:
                found += [Happens("late-ok", number), Happens("late-full", number)] if pipe else []
            elif scenario.calls > 1:
                found += _on_shared(number, bool(calls), wire)
            elif stage == connections.Stage.CARRYING:
                found += [Happens("flush", number)] if held else []
                answers: tuple[str, ...] = ("error", "full") if held else ("ok", "ok-behind", "error", "full")
                if scenario.long and self._begun(state, wire):
                    answers = ("ok", "ok-behind")
                elif scenario.long:
                    answers = (*answers, "begin")
                found += [Happens(what, number) for what in (*answers, "spoilt")]
            else:
                found += [Happens("idle-over", number), Happens("read-stray", number)]
                found += [] if unread else [Happens("stray", number)]
        if changes:
            for server, told in enumerate(servers):
                whats = {READY: ("drain", "gone", "restart"), DRAINING: ("ready", "gone"), GONE: ("back",)}[
                    told
                ]
                found += [Happens(what, server) for what in whats]
        if tick < scenario.ticks and not opening:
            found.append(Happens("tick"))
        found.append(Happens("end"))
        return found

    @staticmethod
    def _begun(state: State, wire: tuple[Any, ...]) -> bool:
        """Whether the answer that the driver reads on this connection is being passed on."""
        request, number = wire[5]
        part: tuple[Any, ...] = state[NAMES.index(request)] if request else DONE
        return len(part) == 2 and part[1][number][0] == attempts.Stage.PASSING

    def step(self, state: State, event: Happens) -> State:
        play = Play(self, state)
        play.happen(event)
        if event.what == "end" and not play.broken:
            return ENDED_WORLD
        return play.state()

    def violations(self, before: State | None, event: Happens | None, after: State) -> Iterable[Violation]:
        found: tuple[Violation, ...] = after[-1]
        return found

    def canonical(self, state: State) -> State:
        """The least of the states that renaming servers and requests can make of this one."""
        if state == ENDED_WORLD:
            return state
        best, count = state, len(self.scenario.classes)
        for servers, requests in self._renamings:
            head = self._head(state, servers, requests)
            if head > best[: count + 1]:
                continue
            renamed = (*head, self._rows(state[count + 1], servers, requests), *state[count + 2 :])
            if renamed < best:
                best = renamed
        return best

    def _head(self, state: State, servers: tuple[int, ...], requests: tuple[int, ...]) -> State:
        """The requests' parts and the servers', by their new names."""
        count = len(requests)
        parts: list[Any] = [None] * (count + 1)
        for request in range(count):
            part = state[request]
            if len(part) == 2:
                owed, made = part
                made = tuple(
                    (stage, may, (told, left, servers[server] if server >= 0 else -1, *rest))
                    for stage, may, (told, left, server, *rest) in made
                )
                part = (owed, made)
            parts[requests[request]] = part
        told: list[int] = [0] * len(servers)
        for server, item in enumerate(state[count]):
            told[servers[server]] = item
        parts[count] = tuple(told)
        return tuple(parts)

    def _rows(self, rows: State, servers: tuple[int, ...], requests: tuple[int, ...]) -> State:
        names = {"": ""} | {NAMES[old]: NAMES[new] for old, new in enumerate(requests)}

        def call(item: Call) -> Call:
            return (names[item[0]], item[1])

        found = []
        for row in rows:
            rank, line, stage, server, fresh, calls, unsent, wire = row
            if stage != connections.Stage.SPENT:
                held, dirty, unread, current, pipe, label, late = wire
                wire = (held, dirty, unread, current, tuple(map(call, pipe)), call(label), late)
                row = (rank, line, stage, servers[server], fresh, tuple(map(call, calls)), unsent, wire)
            found.append(row)
        return tuple(sorted(found))

    def ample(self, state: State, events: Sequence[Happens]) -> Sequence[Happens]:
        """The events of one connection that is being closed, where the bound on connections is out of reach:
        nothing else can touch it or be touched by it, no property speaks of it, and its end is the last of
        them (its late answers change nothing)."""
        if state == ENDED_WORLD or self.scenario.most < 99:
            return events
        rows = state[len(self.scenario.classes) + 1]
        for number, row in enumerate(rows, 1):
            if row[2] == connections.Stage.SPENT:
                return [
                    event
                    for event in events
                    if event.a == number and event.what in ("lost", "late-ok", "late-full")
                ]
        return events

    def obligations(self, state: State) -> Iterable[Hashable]:
        if state == ENDED_WORLD:
            return ()
        parts = state[: len(self.scenario.classes)]
        return [f"r{request}" for request, part in enumerate(parts) if len(part) == 2 and part[0]]

    def fairness_label(self, event: Happens) -> Hashable | None:
        """Only the guard on a request's time is promised: upstreams, clients and the module may stay
        silent."""
        return f"time of r{event.a}" if event.what == "overdue" else None

    def describe(self, state: State) -> str:
        if state == ENDED_WORLD:
            return "the program has ended"
        count = len(self.scenario.classes)
        said = []
        for request in range(count):
            part = state[request]
            if len(part) == 2:
                stages = [attempts.Stage(stage).name.lower() for stage, _, _ in part[1]]
                said.append(f"r{request} {'owed' if part[0] else 'over'} [{', '.join(stages)}]")
        for number, row in enumerate(state[count + 1], 1):
            said.append(f"c{number} {connections.Stage(row[2]).name.lower()}@s{row[3]}")
        words = ("gone", "draining", "ready")
        said += [f"s{server} {words[told]}" for server, told in enumerate(state[count])]
        return "; ".join(said)
