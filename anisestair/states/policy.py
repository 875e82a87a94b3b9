"""The machines under the real `Balancer`, in virtual time: every order of what falls on the same instant, and
every way in which each connection and each sending may end, played again from the start for each.

A decision cannot be stored and compared as a state, so this is a bounded, stateless exploration. What bounds
it is the script: the requests, when the list changes, and the instants at which things end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from anisestair.lifecycle import connection as connections
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.connection import Call
from anisestair.lifecycle.exchange import Final
from anisestair.states import properties as props
from anisestair.states.world import DRAINING, READY, Play, Scenario, Sent, World
from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import Outcome, ServerState
from statecheck import Choices
from statecheck.orders import ViolationError

SEED = 7  # the module's own random numbers are the same in every run
# All on one grid, so that answers, drains and leaving clients fall on one instant. The connect time-out is
# off it: what never comes up ends alone.
UP_MS, ANSWER_MS, CONNECT_TIMEOUT_MS = 10.0, 40.0, 35.0

CLASSES = (
    api.RequestClass("sale", 100.0, 200.0, late_worth=0.5, effect=api.Effect.UNSAFE),
    api.RequestClass(
        "listing",
        100.0,
        300.0,
        late_worth=0.5,
        effect=api.Effect.KEYED,
        group=api.Group.CELL,
        window_ms=150.0,
    ),
)


@dataclass(frozen=True)
class Script:
    name: str
    classes: tuple[str, ...]  # one request each, all at the first instant
    cells: tuple[int, ...]
    attempts: int = 3
    drain_at: float = -1.0  # the list says that s0 drains; negative: never
    restart_at: float = -1.0  # and that s1 has started again
    leave_at: float = -1.0  # the client of r0 leaves
    # The settings change: every class becomes safe, with more attempts; and another, its class is dropped.
    retune_at: float = -1.0
    drop_at: float = -1.0
    ends: tuple[str, ...] = ("ok", "lost", "full", "error", "silent")  # of a sending


@dataclass(eq=False)
class Due:
    at: float
    label: str
    happens: Callable[[], None]


class PolicyRun(Play):
    """One run of a script; `Play`'s monitors watch it."""

    def __init__(self, world: World, script: Script, choices: Choices) -> None:
        super().__init__(world, next(iter(world.initial())))
        self.script, self.choices, self.now = script, choices, 0.0
        self.due: list[Due] = []
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.balancer = Balancer(world.settings, SEED)
        entries = tuple(self.entry(server) for server in range(len(script.cells)))
        self.give(api.ServerList(api.ListKind.CACHED, 1, entries))
        for number in range(len(script.classes)):
            self.at(0.0, f"request r{number} comes", partial(self.take, f"r{number}"))
        if script.drain_at >= 0:
            self.at(script.drain_at, "the list says that s0 drains", lambda: self.listed(0, DRAINING, 0))
        if script.restart_at >= 0:
            self.at(
                script.restart_at, "the list says that s1 has started again", lambda: self.listed(1, READY, 1)
            )
        if script.leave_at >= 0:
            self.at(script.leave_at, "the client of r0 leaves", lambda: self.leave("r0"))

        if script.retune_at >= 0:
            looser = tuple(replace(item, effect=api.Effect.SAFE, worth=2.0) for item in CLASSES)
            limits = replace(world.settings.limits, max_attempts=script.attempts + 2)
            loose = replace(world.settings, classes=looser, limits=limits)
            self.at(script.retune_at, "classes become safe", lambda: self.give(api.Retune(loose)))
        if script.drop_at >= 0:
            other = replace(world.settings, classes=(replace(CLASSES[0], name="other"),))
            self.at(script.drop_at, "classes are dropped", lambda: self.give(api.Retune(other)))

    def at(self, instant: float, label: str, happens: Callable[[], None]) -> None:
        self.due.append(Due(instant, label, happens))

    def play(self) -> None:
        while self.due:
            self.now = min(item.at for item in self.due)
            self.tick = self.now
            ready = [item for item in self.due if item.at == self.now]
            chosen = ready[self.choices.pick([item.label for item in ready])]
            self.due.remove(chosen)
            chosen.happens()
            self.fails()
        if (
            self.lives.exchanges
            or self.balancer.requests
            or self.balancer.limits.inflight
            or self.balancer.queue.waiting
        ):
            raise ViolationError(props.NOTHING_LEFT)
        if len(self.over) != len(self.script.classes):
            raise ViolationError(props.ONE_OUTCOME)

    def fails(self) -> None:
        if not self.broken and not self.consistent():
            self.breaks(props.NOTHING_LEFT)
        for violation in self.broken:
            raise ViolationError(violation)

    # The module

    def entry(self, server: int, state: ServerState = ServerState.READY, life: int = 0) -> api.ServerEntry:
        started = self.now if life else None
        return api.ServerEntry(f"s{server}", state, cell=self.script.cells[server], started_at=started)

    def give(self, event: api.Event) -> None:
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.balancer.handle(self.now, self.events.popleft()):
                self.act(action)
        self.handling = False

    def act(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.choices.note(f"  the module sends {action.request} to {action.server}")
            number = len(self.sent[action.request])
            self.sent[action.request].append(Sent(server=int(action.server[1:]), chosen=self.now))
            late = ev.GiveUp(action.request, number, Outcome.TIMEOUT)
            label = f"attempt {number} of {action.request} times out"
            self.at(self.now + action.timeout_ms, label, lambda: self.feed(late))
            self.feed(ev.Choose(action.request, action.server))
        elif isinstance(action, api.SetTimer):
            timer = api.Timer(action.token)
            self.at(
                self.now + action.delay_ms, f"the module's timer {action.token}", lambda: self.give(timer)
            )
        elif isinstance(action, api.Cancel):
            self.feed(ev.GiveUp(action.request, action.attempt, Outcome.CANCELLED))
        elif isinstance(action, api.Refuse | api.Fail):
            final = Final.REFUSED if isinstance(action, api.Refuse) else Final.FAILED
            self.choices.note(f"  the module gives {action.request} up: {final.name.lower()}")
            self.feed(ev.Settle(action.request, final))

    def cancel_rest(self, request: str) -> None:
        """Left to the real module."""

    def on_ended(self, request: str, number: int, outcome: Outcome, closed: bool) -> None:
        super().on_ended(request, number, outcome, closed)
        latency = self.now - self.sent[request][number].chosen
        self.give(api.AttemptEnded(request, number, outcome, latency, closed))

    def on_left(self, request: str) -> None:
        self.give(api.ClientGone(request))

    # What is around it

    def take(self, request: str) -> None:
        klass = self.world.klass[request]
        self.sent[request] = []
        self.feed(ev.Take(request))
        deadline = self.now + klass.deadline_ms
        self.at(
            deadline, f"the time of {request} is over", lambda: self.feed(ev.Settle(request, Final.OVERDUE))
        )
        self.give(api.Request(request, klass.name, deadline))

    def leave(self, request: str) -> None:
        if request not in self.over:
            self.over.add(request)
            self.feed(ev.Settle(request, Final.GONE))

    def listed(self, server: int, state: int, life: int) -> None:
        """As the driver does it: the machines first, then the module, then what the list has ended."""
        self.servers[server] = state
        if life:
            for number, wire in self.wires.items():
                if self.lives.connections[number].server == f"s{server}":
                    self.wires[number] = wire._replace(current=False)
        effects = self.lives.handle(ev.Listed((ev.Listing(f"s{server}", state == READY, life),), False))
        told = self.entry(server, ServerState.READY if state == READY else ServerState.DRAINING, life)
        self.give(api.ServerList(api.ListKind.DELTA, 2, (told,)))
        self.carry_out(effects)

    def on_open(self, connection: int, server: str) -> None:
        super().on_open(connection, server)
        way = ("up", "refused", "silent")[
            self.choices.pick([f"  {server} accepts", "  refuses", "  is silent"])
        ]
        if way == "up":
            self.at(
                self.now + UP_MS,
                f"connection {connection} comes up",
                lambda: self.happens_on(connection, way),
            )
        else:
            after = UP_MS if way == "refused" else CONNECT_TIMEOUT_MS
            self.at(
                self.now + after,
                f"connection {connection} is refused",
                lambda: self.happens_on(connection, "refused"),
            )

    def on_write(self, connection: int, call: Call, kept: bool) -> None:
        super().on_write(connection, call, kept)
        if self.sent[call[0]][call[1]].written < 0:
            return
        way = self.script.ends[self.choices.pick([f"  {call[0]}: {item}" for item in self.script.ends])]
        if way != "silent":
            label = f"connection {connection}: {way}"
            self.at(self.now + ANSWER_MS, label, lambda: self.happens_on(connection, way))

    def on_rest(self, connection: int) -> None:
        super().on_rest(connection)
        if len(self.over) == len(self.script.classes):  # nothing more will use it
            self.wires.pop(connection)
            self.feed(ev.Lost(connection))

    def on_close(self, connection: int) -> None:
        super().on_close(connection)
        self.wires.pop(connection)
        self.feed(ev.Lost(connection))

    def happens_on(self, connection: int, way: str) -> None:
        """An event on a connection, unless that has ended before."""
        if connection in self.wires:
            opening = self.lives.connections[connection].stage is connections.Stage.CONNECTING
            if opening == (way in ("up", "refused")):
                getattr(self, f"do_{way}")(connection, -1)


def run_of(script: Script) -> Callable[[Choices], None]:
    """What `explore_choices` plays."""
    scenario = Scenario(script.name, script.classes, script.cells, script.attempts, 9)
    settings = api.Settings(
        CLASSES,
        limits=api.Limits(
            max_attempts=script.attempts,
            may_cancel=True,
            second_copies=True,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        ),
        tick_ms=1.0,
    )
    world = World(scenario, settings, unit_ms=1.0)

    def run(choices: Choices) -> None:
        PolicyRun(world, script, choices).play()

    return run


SCRIPTS = (
    Script("policy-sale-drain", ("sale",), (0, 0), drain_at=50.0),
    Script("policy-sale-restart-leave", ("sale",), (0, 0), restart_at=50.0, leave_at=50.0),
    Script("policy-listing-drain", ("listing",), (0, 0), drain_at=50.0),
    Script("policy-sale-retune", ("sale",), (0, 0), attempts=2, retune_at=50.0, ends=("ok", "lost")),
    Script("policy-sale-drop", ("sale",), (0,), attempts=2, drop_at=50.0, ends=("ok", "lost")),
    Script("policy-pair", ("sale", "listing"), (0, 0), attempts=2, ends=("ok", "lost", "full")),
)
