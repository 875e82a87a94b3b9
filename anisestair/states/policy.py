"""Stateless exploration of the lifecycle state machines with the real `Balancer`, in virtual time.

The state of the balancer cannot be stored and compared, so each run starts anew. All orders of simultaneous
events are explored, and all results of each connect and each call. The script limits the exploration: it sets
the requests, the changes of the list, and when connects and calls end.
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
from anisestair.states.world import DRAINING, READY, ActualAttempt, Execution, LifecycleModel, Scenario
from hareloom import Balancer
from hareloom import interface as api
from hareloom.interface import Outcome, ServerState
from statecheck import Choices
from statecheck.orders import ViolationError

SEED = 7  # of the balancer, so that runs are reproducible
# Multiples of 10 ms, so that responses, drains and disconnecting clients coincide. The connect timeout is not
# one: it never coincides with other events.
CONNECT_MS, RESPONSE_MS, CONNECT_TIMEOUT_MS = 10.0, 40.0, 35.0

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
class PolicyScript:
    """The requests and the environment of one exploration."""

    name: str
    classes: tuple[str, ...]  # one request of each, all at time 0
    cells: tuple[int, ...]
    max_attempts: int = 3
    drain_at_ms: float = -1.0  # when the list reports that s0 drains; negative: never
    restart_at_ms: float = -1.0  # when the list reports that s1 has restarted
    leave_at_ms: float = -1.0  # when the client of r0 disconnects
    retune_at_ms: float = -1.0  # when new settings make all classes safe and allow more attempts
    drop_at_ms: float = -1.0  # when new settings drop all classes
    call_results: tuple[str, ...] = ("ok", "lost", "full", "error", "silent")  # possible results of a call


@dataclass(eq=False)
class ScheduledEvent:
    """An event of the environment at an instant of virtual time."""

    at: float
    label: str
    action: Callable[[], None]


class PolicyRun(Execution):
    """One run of a script, checked against the same properties as `Execution`."""

    def __init__(self, model: LifecycleModel, script: PolicyScript, choices: Choices) -> None:
        super().__init__(model, next(iter(model.initial())))
        self.script, self.choices, self.now = script, choices, 0.0
        self.scheduled: list[ScheduledEvent] = []
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.balancer = Balancer(model.settings, SEED)
        entries = tuple(self.entry(server) for server in range(len(script.cells)))
        self.handle(api.ServerList(api.ListKind.CACHED, 1, entries))
        for number in range(len(script.classes)):
            self.schedule(0.0, f"request r{number} comes", partial(self.accept, f"r{number}"))
        if script.drain_at_ms >= 0:
            self.schedule(
                script.drain_at_ms, "the list says that s0 drains", lambda: self.listed(0, DRAINING, 0)
            )
        if script.restart_at_ms >= 0:
            self.schedule(
                script.restart_at_ms,
                "the list says that s1 has started again",
                lambda: self.listed(1, READY, 1),
            )
        if script.leave_at_ms >= 0:
            self.schedule(script.leave_at_ms, "the client of r0 leaves", lambda: self.leave("r0"))

        if script.retune_at_ms >= 0:
            safe_classes = tuple(replace(item, effect=api.Effect.SAFE, worth=2.0) for item in CLASSES)
            limits = replace(model.settings.limits, max_attempts=script.max_attempts + 2)
            safe_settings = replace(model.settings, classes=safe_classes, limits=limits)
            self.schedule(
                script.retune_at_ms, "classes become safe", lambda: self.handle(api.Retune(safe_settings))
            )
        if script.drop_at_ms >= 0:
            other_settings = replace(model.settings, classes=(replace(CLASSES[0], name="other"),))
            self.schedule(
                script.drop_at_ms, "classes are dropped", lambda: self.handle(api.Retune(other_settings))
            )

    def schedule(self, instant: float, label: str, action: Callable[[], None]) -> None:
        """Schedule an event of the environment."""
        self.scheduled.append(ScheduledEvent(instant, label, action))

    def run(self) -> None:
        """Run until no event is left. Raises ViolationError for the first violation."""
        while self.scheduled:
            self.now = min(item.at for item in self.scheduled)
            self.tick = self.now
            ready = [item for item in self.scheduled if item.at == self.now]
            chosen = ready[self.choices.pick([item.label for item in ready])]
            self.scheduled.remove(chosen)
            chosen.action()
            self.raise_violation()
        if (
            self.lives.exchanges
            or self.balancer.requests
            or self.balancer.limits.inflight
            or self.balancer.queue.waiting
        ):
            raise ViolationError(props.NO_LEAK)
        if len(self.settled) != len(self.script.classes):
            raise ViolationError(props.ONE_OUTCOME)

    def raise_violation(self) -> None:
        """Raise the first violation, if any."""
        if not self.violations and not self.is_consistent():
            self.add_violation(props.NO_LEAK)
        for violation in self.violations:
            raise ViolationError(violation)

    # The balancer

    def entry(self, server: int, state: ServerState = ServerState.READY, life: int = 0) -> api.ServerEntry:
        """Return the list entry of a server; a non-zero ``life`` means that it has just started."""
        started = self.now if life else None
        return api.ServerEntry(f"s{server}", state, cell=self.script.cells[server], started_at=started)

    def handle(self, event: api.Event) -> None:
        """Pass an event to the balancer. Events raised while one is handled are queued."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        while self.events:
            for action in self.balancer.handle(self.now, self.events.popleft()):
                self.act(action)
        self.handling = False

    def act(self, action: api.Action) -> None:
        """Perform an action of the balancer."""
        if isinstance(action, api.Send):
            self.choices.note(f"  the module sends {action.request} to {action.server}")
            number = len(self.actual_attempts[action.request])
            self.actual_attempts[action.request].append(
                ActualAttempt(server=int(action.server[1:]), chosen_at=self.now)
            )
            timeout = ev.GiveUp(action.request, number, Outcome.TIMEOUT)
            label = f"attempt {number} of {action.request} times out"
            self.schedule(self.now + action.timeout_ms, label, lambda: self.feed(timeout))
            self.feed(ev.Choose(action.request, action.server))
        elif isinstance(action, api.SetTimer):
            timer = api.Timer(action.token)
            self.schedule(
                self.now + action.delay_ms, f"the module's timer {action.token}", lambda: self.handle(timer)
            )
        elif isinstance(action, api.Cancel):
            self.feed(ev.GiveUp(action.request, action.attempt, Outcome.CANCELLED))
        elif isinstance(action, api.Refuse | api.Fail):
            final = Final.REFUSED if isinstance(action, api.Refuse) else Final.FAILED
            self.choices.note(f"  the module gives {action.request} up: {final.name.lower()}")
            self.feed(ev.Settle(action.request, final))

    def cancel_open_attempts(self, request: str) -> None:
        """Do nothing: the real balancer cancels attempts itself."""

    def on_ended(self, request: str, number: int, outcome: Outcome, closed: bool) -> None:
        super().on_ended(request, number, outcome, closed)
        latency = self.now - self.actual_attempts[request][number].chosen_at
        self.handle(api.AttemptEnded(request, number, outcome, latency, closed))

    def on_left(self, request: str) -> None:
        self.handle(api.ClientGone(request))

    # The environment

    def accept(self, request: str) -> None:
        """Accept a new request."""
        klass = self.model.klass[request]
        self.actual_attempts[request] = []
        self.feed(ev.Take(request))
        deadline = self.now + klass.deadline_ms
        self.schedule(
            deadline, f"the time of {request} is over", lambda: self.feed(ev.Settle(request, Final.OVERDUE))
        )
        self.handle(api.Request(request, klass.name, deadline))

    def leave(self, request: str) -> None:
        """Disconnect the client of a request."""
        if request not in self.settled:
            self.settled.add(request)
            self.feed(ev.Settle(request, Final.GONE))

    def listed(self, server: int, state: int, life: int) -> None:
        """Change the list, in the sidecar's order: the state machines, the balancer, and then the effects."""
        self.server_states[server] = state
        if life:
            for number, actual in self.actual_connections.items():
                if self.lives.connections[number].server == f"s{server}":
                    self.actual_connections[number] = actual._replace(current_incarnation=False)
        effects = self.lives.handle(ev.Listed((ev.Listing(f"s{server}", state == READY, life),), False))
        entry = self.entry(server, ServerState.READY if state == READY else ServerState.DRAINING, life)
        self.handle(api.ServerList(api.ListKind.DELTA, 2, (entry,)))
        self.carry_out(effects)

    def on_open(self, connection: int, server: str) -> None:
        super().on_open(connection, server)
        outcome = ("up", "refused", "silent")[
            self.choices.pick([f"  {server} accepts", "  refuses", "  is silent"])
        ]
        if outcome == "up":
            self.schedule(
                self.now + CONNECT_MS,
                f"connection {connection} comes up",
                lambda: self.connection_event(connection, outcome),
            )
        else:
            after = CONNECT_MS if outcome == "refused" else CONNECT_TIMEOUT_MS
            self.schedule(
                self.now + after,
                f"connection {connection} is refused",
                lambda: self.connection_event(connection, "refused"),
            )

    def on_write(self, connection: int, call: Call, kept: bool) -> None:
        super().on_write(connection, call, kept)
        if self.actual_attempts[call[0]][call[1]].written_at < 0:
            return
        outcome = self.script.call_results[
            self.choices.pick([f"  {call[0]}: {item}" for item in self.script.call_results])
        ]
        if outcome != "silent":
            label = f"connection {connection}: {outcome}"
            self.schedule(self.now + RESPONSE_MS, label, lambda: self.connection_event(connection, outcome))

    def on_rest(self, connection: int) -> None:
        super().on_rest(connection)
        if len(self.settled) == len(self.script.classes):  # it will not be used again
            self.actual_connections.pop(connection)
            self.feed(ev.Lost(connection))

    def on_close(self, connection: int) -> None:
        super().on_close(connection)
        self.actual_connections.pop(connection)
        self.feed(ev.Lost(connection))

    def connection_event(self, connection: int, outcome: str) -> None:
        """Perform an event of a connection, unless that has ended or has passed that stage."""
        if connection in self.actual_connections:
            connecting = self.lives.connections[connection].stage is connections.Stage.CONNECTING
            if connecting == (outcome in ("up", "refused")):
                getattr(self, f"do_{outcome}")(connection, -1)


def runner(script: PolicyScript) -> Callable[[Choices], None]:
    """Return the program that `explore_choices` runs for a script."""
    scenario = Scenario(script.name, script.classes, script.cells, script.max_attempts, 9)
    settings = api.Settings(
        CLASSES,
        limits=api.Limits(
            max_attempts=script.max_attempts,
            may_cancel=True,
            second_copies=True,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        ),
        tick_ms=1.0,
    )
    model = LifecycleModel(scenario, settings, ms_per_unit=1.0)

    def run(choices: Choices) -> None:
        PolicyRun(model, script, choices).run()

    return run


POLICY_SCRIPTS = (
    PolicyScript("policy-sale-drain", ("sale",), (0, 0), drain_at_ms=50.0),
    PolicyScript("policy-sale-restart-leave", ("sale",), (0, 0), restart_at_ms=50.0, leave_at_ms=50.0),
    PolicyScript("policy-listing-drain", ("listing",), (0, 0), drain_at_ms=50.0),
    PolicyScript(
        "policy-sale-retune",
        ("sale",),
        (0, 0),
        max_attempts=2,
        retune_at_ms=50.0,
        call_results=("ok", "lost"),
    ),
    PolicyScript(
        "policy-sale-drop", ("sale",), (0,), max_attempts=2, drop_at_ms=50.0, call_results=("ok", "lost")
    ),
    PolicyScript(
        "policy-pair", ("sale", "listing"), (0, 0), max_attempts=2, call_results=("ok", "lost", "full")
    ),
)
