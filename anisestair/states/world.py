"""A model of the sidecar's lifecycle state machines and their environment, in which anything may happen.

The state machines are those of the sidecar (`Lives`), and the rules of the real `Balancer` decide which sends
are allowed (`BalancerRules`). The model acts as the sidecar's event loop, the application, the upstreams and
discovery. Beside the state machines it tracks the actual state, which they cannot see: which requests were
sent completely, which servers are draining, which call a response belongs to. Each effect is checked against
that.
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
from anisestair.states.permits import AttemptView, BalancerRules
from hareloom import interface as api
from hareloom.interface import NEVER_RAN, Effect, Outcome
from statecheck import Model, Violation
from statecheck.model import State

TICK_MS = 1000.0  # the model's unit of time; a connect succeeds or fails within one
WINDOW_MS = 1500.0  # the window of a keyed class, so that it ends between two ticks
GONE, DRAINING, READY = 0, 1, 2
ATTEMPT_STAGES, CONNECTION_STAGES = tuple(attempts.Stage), tuple(connections.Stage)
REQUEST_IDS = tuple(f"r{number}" for number in range(8))
NO_CALL = ("", -1)  # not None, since states are compared for order
ABANDONED_CALL = ("r0", 0)  # represents any call on a connection that is being closed
NOT_ARRIVED: tuple[int, ...] = ()  # state of a request before it arrives
FINISHED = (0,)  # state of a request that the state machines have forgotten
TERMINATED: State = ((),)  # state of the model after the program has ended

CLASSES = {
    "sale": api.RequestClass("sale", 400.0, 1e9, late_worth=0.5, effect=Effect.UNSAFE),
    "listing": api.RequestClass(
        "listing", 400.0, 1e9, late_worth=0.5, effect=Effect.KEYED, group=api.Group.CELL
    ),
    "look": api.RequestClass("look", 400.0, 1e9, late_worth=0.5, effect=Effect.SAFE),
}


@dataclass(frozen=True)
class Scenario:
    """The size of a model, and how often events happen."""

    name: str
    classes: tuple[str, ...]  # one for each request
    cells: tuple[int, ...]  # one for each server
    max_attempts: int
    list_changes: int  # of the endpoint list: drains, removals, returns, restarts
    ticks: int = 0  # instants that are distinguished; only the window of a keyed class requires any
    max_connections: int = 99  # 99: never reached
    second_copies: bool = False  # two attempts of a request may be in flight at once
    partial_writes: bool = True  # the kernel may accept only part of a request
    may_cancel: bool = True
    clients_leave: bool = True
    window_ms: float = WINDOW_MS  # of the keyed class
    calls_per_connection: int = 1  # maximum of concurrent calls
    streaming: bool = False  # a response may be passed on before it is complete


class ModelEvent(NamedTuple):
    """An event of the model. ``target`` is the number of a request, connection or server, by ``kind``;
    ``detail`` is the server chosen, the attempt, or the position of the call on the connection."""

    kind: str
    target: int = -1
    detail: int = -1

    def __str__(self) -> str:
        return LABELS[self.kind].format(target=self.target, detail=self.detail)


# Saved traces contain these texts and are replayed by them, so they must not change. "The module" is the
# balancer, "the loop" the event loop of the sidecar.
LABELS = {
    "take": "request r{target} comes",
    "leave": "the client of r{target} leaves",
    "overdue": "the time of r{target} is over",
    "finish": "the module gives r{target} up",
    "choose": "the module sends r{target} to s{detail}",
    "choose-held": "the module sends r{target} to s{detail}; if it is written, the kernel keeps part back",
    "expire": "attempt {detail} of r{target} times out",
    "up": "connection {target} comes up",
    "up-held": "connection {target} comes up; the kernel keeps back part of what is written",
    "refused": "connection {target} is refused",
    "short": "connection {target} cannot be opened for want of a socket",
    "flush": "the kernel takes the rest on connection {target}",
    "begin": "connection {target} brings the first bytes of a long answer 200",
    "ok": "connection {target} brings a whole answer 200",
    "ok-behind": "connection {target} brings a whole answer 200 and something behind it",
    "error": "connection {target} brings a whole answer 500",
    "full": "connection {target} brings an answer 503 with X-Unprocessed",
    "call-ok": "connection {target} brings the answer to call {detail} of those out on it",
    "call-error": "connection {target} brings an error for call {detail} of those out on it",
    "call-full": (
        "connection {target} brings word that call {detail} of those out on it was turned away unseen"
    ),
    "late-ok": "connection {target}, which is being closed, brings a whole answer 200",
    "late-full": "connection {target}, which is being closed, brings an answer 503 with X-Unprocessed",
    "spoilt": "connection {target} brings what cannot be read",
    "stray": "connection {target} brings something unasked, which the loop has not read yet",
    "read-stray": "connection {target} brings something unasked",
    "lost": "connection {target} ends",
    "idle-over": "connection {target} has been idle for as long as one may",
    "drain": "the list says that s{target} drains",
    "ready": "the list says that s{target} is ready again",
    "gone": "the list names s{target} no more",
    "back": "the list names s{target} again",
    "restart": "the list says that s{target} has started again",
    "tick": "time passes",
    "end": "the program ends",
}


class ActualConnection(NamedTuple):
    """The actual state of a connection, of which the state machines see only part."""

    held_back: int = 0  # number of most recent calls with bytes that the kernel has not accepted
    dirty: bool = False  # the sidecar has read bytes after a response, or that it cannot parse
    unread_bytes: bool = False  # unsolicited bytes are in the receive buffer of the kernel
    current_incarnation: bool = True  # it leads to the current incarnation of its server
    pending_calls: tuple[Call, ...] = ()  # calls written whose responses may still arrive, in order
    expected_call: Call = NO_CALL  # the call to which the sidecar will assign the next response
    opened_before_tick: bool = False


class ActualAttempt(NamedTuple):
    """The actual state of an attempt, of which the state machines see only part."""

    reported: int = 0  # its end to the balancer; 0: not yet, 1: as one that may have run, 2: that never ran
    fully_sent: bool = False  # and not rejected by the upstream
    server: int = -1
    chosen_at: float = -1  # ticks
    written_at: float = -1
    stream_state: int = 0  # of its response; 1: being streamed to the client, 2: ended


class Execution:
    """Performs one event: restores the state machines from a state, and builds the next state from them."""

    def __init__(self, model: LifecycleModel, state: State) -> None:
        self.model, self.scenario = model, model.scenario
        self.violations: list[Violation] = []
        count = len(self.scenario.classes)
        self.requests = list(state[:count])
        self.server_states: list[int] = list(state[count])
        rows = state[count + 1]
        self.tick: float
        self.tick, self.changes_left = state[count + 2]
        lives = self.lives = Lives(self.scenario.max_connections, self.scenario.max_attempts)
        self.actual_connections: dict[int, ActualConnection] = {}
        connection_by_call: dict[Call, int] = {}
        idle_order = []
        shared, joinable = self.scenario.calls_per_connection > 1, []
        for number, (
            idle_position,
            joinable_position,
            stage,
            server,
            incarnation,
            calls,
            unsent,
            actual,
        ) in enumerate(rows, 1):
            lives.connections[number] = Connection(
                CONNECTION_STAGES[stage], f"s{server}", incarnation, calls, unsent, shared
            )
            if joinable_position >= 0:
                joinable.append((joinable_position, number, f"s{server}"))
            self.actual_connections[number] = ActualConnection(*actual)
            for call in calls:
                connection_by_call[call] = number
            if idle_position >= 0:
                idle_order.append((idle_position, number, f"s{server}"))
        for _, number, name in sorted(idle_order):
            lives.idle[number] = None
            lives.idle_at[name] = (*lives.idle_at.get(name, ()), number)
        for _, number, name in sorted(joinable):
            lives.lines[name] = (*lives.lines.get(name, ()), number)
        for server, server_state in enumerate(self.server_states):
            if server_state != GONE:
                lives.endpoints[f"s{server}"] = Endpoint(
                    server_state == READY, 1, 0, self.scenario.calls_per_connection
                )
        lives.last, lives.incarnations = len(rows), 1
        self.actual_attempts: dict[str, list[ActualAttempt]] = {}
        self.settled: set[str] = set()  # requests with a final outcome
        for request, part in zip(REQUEST_IDS, self.requests, strict=False):
            if len(part) < 2:
                continue
            owed, attempts_made = part
            attempt_machines = tuple(
                Attempt(ATTEMPT_STAGES[stage], connection_by_call.get((request, number), 0), may)
                for number, (stage, may, _) in enumerate(attempts_made)
            )
            lives.exchanges[request] = Exchange(owed, attempt_machines)
            self.actual_attempts[request] = [ActualAttempt(*actual) for _, _, actual in attempts_made]
            if not owed:
                self.settled.add(request)
        self.abandoned_request = ""  # the request that this event ends or one of whose attempts it ends
        self.hold_back_next = False  # the kernel accepts only part of the next write
        self.ended: set[Call] = set()
        self.response_complete = False  # whether the response that is being handled is complete

    def add_violation(self, violation: Violation) -> None:
        """Record that a property was violated."""
        if violation not in self.violations:
            self.violations.append(violation)

    # The part of the sidecar: events in, effects out

    def feed(self, event: ev.Event) -> None:
        """Pass an event to the state machines and carry out its effects."""
        try:
            effects = self.lives.handle(event)
        except Exception:  # an error of the state machines is reported as a violation
            self.add_violation(props.NO_EXCEPTION)
            return
        self.carry_out(effects)

    def carry_out(self, effects: list[ev.Effect]) -> None:
        """Carry out effects, each by the method ``on_`` and the name of its type."""
        for effect in effects:
            getattr(self, "on_" + type(effect).__name__.lower())(*effect)

    def on_reply(self, request: str, final: Final, number: int | None) -> None:
        if request in self.settled:
            self.add_violation(props.ONE_OUTCOME)
        self.settled.add(request)
        klass, actual_attempts = self.model.klass[request], self.actual_attempts[request]
        if (
            final is Final.REFUSED
            and klass.effect is not Effect.SAFE
            and any(item.fully_sent for item in actual_attempts)
        ):
            self.add_violation(props.REFUSED_ONLY_IF_SAFE)

    def on_ended(self, request: str, number: int, outcome: Outcome, closed: bool) -> None:
        actual = self.actual_attempts[request][number]
        if self.abandoned_request not in ("", request):
            self.add_violation(props.ABANDONED_ALONE)
        if actual.reported or closed != (request in self.settled):
            self.add_violation(props.REPORTED_ONCE)
        never_ran = outcome in NEVER_RAN
        if never_ran and actual.fully_sent:
            self.add_violation(props.REPORTED_TRUTHFULLY)
        self.actual_attempts[request][number] = actual._replace(reported=2 if never_ran else 1)
        if closed:
            self.cancel_open_attempts(request)

    def on_passed(self, request: str, whole: bool) -> None:
        streaming = [
            number for number, item in enumerate(self.actual_attempts[request]) if item.stream_state == 1
        ]
        if len(streaming) != 1:
            self.add_violation(props.STREAM_ENDS_ONCE)
            return
        if whole and not self.response_complete:
            self.add_violation(props.TRUNCATION_SHOWN)
        self.actual_attempts[request][streaming[0]] = self.actual_attempts[request][streaming[0]]._replace(
            stream_state=2
        )

    def on_left(self, request: str) -> None:
        self.cancel_open_attempts(request)

    def cancel_open_attempts(self, request: str) -> None:
        """Cancel the remaining attempts of a request with a final outcome, as the balancer does."""
        if self.scenario.may_cancel:
            for number in range(len(self.actual_attempts[request])):
                if not self.actual_attempts[request][number].reported:
                    self.feed(ev.GiveUp(request, number, Outcome.CANCELLED))

    def on_forget(self, request: str) -> None:
        actual_attempts = self.actual_attempts[request]
        if request not in self.settled or not all(
            item.reported and item.stream_state != 1 for item in actual_attempts
        ):
            self.add_violation(props.NO_LEAK)

    def on_open(self, connection: int, server: str) -> None:
        self.actual_connections[connection] = ActualConnection()
        if self.server_states[int(server[1:])] != READY:
            self.add_violation(props.DRAIN_RESPECTED)

    def on_write(self, connection: int, call: Call, kept: bool) -> None:
        actual = self.actual_connections[connection]
        if kept and actual.unread_bytes:
            self.feed(ev.Unusable(connection, call))  # the sidecar has checked for unread bytes
            return
        request, number = call
        actual_attempts, server = (
            self.actual_attempts[request],
            int(self.lives.connections[connection].server[1:]),
        )
        if request in self.settled:
            self.add_violation(props.NOTHING_SENT_AFTER_OUTCOME)
        shared = self.scenario.calls_per_connection > 1
        if actual.dirty or actual.unread_bytes or not shared and (actual.held_back or actual.pending_calls):
            self.add_violation(props.CLEAN_CONNECTION)
        if len(self.lives.connections[connection].calls) > self.scenario.calls_per_connection:
            self.add_violation(props.CALL_LIMIT_KEPT)
        if self.server_states[server] != READY or not actual.current_incarnation:
            self.add_violation(props.DRAIN_RESPECTED)
        if actual_attempts[number].written_at >= 0:
            self.add_violation(props.WRITTEN_ONCE)
        klass = self.model.klass[request]
        executed = [
            item for position, item in enumerate(actual_attempts) if item.fully_sent and position != number
        ]
        if executed and klass.effect is Effect.UNSAFE:
            self.add_violation(props.NO_DUPLICATE_EXECUTION)
        if executed and klass.effect is Effect.KEYED:
            cells = self.scenario.cells
            if any(cells[item.server] != cells[server] for item in executed):
                self.add_violation(props.RETRY_WITHIN_GROUP)
            if (
                self.tick - min(item.written_at for item in executed)
            ) * self.model.ms_per_unit > klass.window_ms:
                self.add_violation(props.RETRY_WITHIN_WINDOW)
        partial, self.hold_back_next = self.hold_back_next or actual.held_back > 0, False
        actual_attempts[number] = actual_attempts[number]._replace(
            fully_sent=not partial, server=server, written_at=self.tick
        )
        expected_call = NO_CALL if shared else call
        self.actual_connections[connection] = actual._replace(
            held_back=actual.held_back + partial,
            pending_calls=(*actual.pending_calls, call),
            expected_call=expected_call,
        )
        if partial:
            self.feed(ev.Held(connection, self.unsent_calls(connection)))

    def unsent_calls(self, connection: int) -> int:
        """Count the calls that are not sent completely and not abandoned, as the sidecar does."""
        actual, calls = self.actual_connections[connection], self.lives.connections[connection].calls
        return sum(
            call in calls for call in actual.pending_calls[len(actual.pending_calls) - actual.held_back :]
        )

    def on_rest(self, connection: int) -> None:
        self.actual_connections[connection] = self.actual_connections[connection]._replace(
            expected_call=NO_CALL
        )

    def on_close(self, connection: int) -> None:
        self.actual_connections[connection] = self.actual_connections[connection]._replace(
            held_back=0  # discarded: these bytes are never sent
        )

    # Events

    def perform(self, event: ModelEvent) -> None:
        """Perform an event by the method ``do_`` and its kind."""
        kind, target, detail = event
        if kind.endswith("-held"):
            self.hold_back_next, kind = True, kind[: -len("-held")]
        if kind in ("leave", "overdue", "finish", "expire"):
            self.abandoned_request = REQUEST_IDS[target]
        getattr(self, "do_" + kind.replace("-", "_"))(target, detail)

    def do_take(self, request: int, detail: int) -> None:
        self.actual_attempts[REQUEST_IDS[request]] = []
        self.feed(ev.Take(REQUEST_IDS[request]))

    def do_leave(self, request: int, detail: int) -> None:
        self.settled.add(REQUEST_IDS[request])
        self.feed(ev.Settle(REQUEST_IDS[request], Final.GONE))
        if any(item.stream_state == 1 for item in self.actual_attempts[REQUEST_IDS[request]]):
            self.add_violation(props.STREAM_ENDS_ONCE)

    def do_overdue(self, request: int, detail: int) -> None:
        self.feed(ev.Settle(REQUEST_IDS[request], Final.OVERDUE))

    def do_finish(self, request: int, detail: int) -> None:
        is_refused = self.model.rules.is_refused(
            self.scenario.classes[request], attempt_views(self.actual_attempts[REQUEST_IDS[request]])
        )
        self.feed(ev.Settle(REQUEST_IDS[request], Final.REFUSED if is_refused else Final.FAILED))
        self.cancel_open_attempts(REQUEST_IDS[request])

    def do_choose(self, request: int, server: int) -> None:
        self.actual_attempts[REQUEST_IDS[request]].append(ActualAttempt(server=server, chosen_at=self.tick))
        self.feed(ev.Choose(REQUEST_IDS[request], f"s{server}"))

    def do_expire(self, request: int, attempt: int) -> None:
        self.feed(ev.GiveUp(REQUEST_IDS[request], attempt, Outcome.TIMEOUT))

    def do_up(self, connection: int, detail: int) -> None:
        self.feed(ev.Up(connection))

    def do_refused(self, connection: int, detail: int) -> None:
        del self.actual_connections[connection]
        self.feed(ev.NotUp(connection, False))

    def do_short(self, connection: int, detail: int) -> None:
        del self.actual_connections[connection]
        self.feed(ev.NotUp(connection, True))

    def do_flush(self, connection: int, detail: int) -> None:
        actual = self.actual_connections[connection]
        self.actual_connections[connection] = actual._replace(held_back=0)
        for request, number in actual.pending_calls[len(actual.pending_calls) - actual.held_back :]:
            if request in self.actual_attempts:
                self.actual_attempts[request][number] = self.actual_attempts[request][number]._replace(
                    fully_sent=True
                )
        self.feed(ev.Held(connection, 0))

    def _respond(self, connection: int, outcome: Outcome, clean: bool, position: int = 0) -> None:
        """Deliver a response. It is assigned by the order of calls or, on a shared connection, by its id."""
        actual = self.actual_connections[connection]
        answered_call = actual.pending_calls[position]
        expected_call = actual.expected_call if self.scenario.calls_per_connection == 1 else answered_call
        if outcome is Outcome.FULL and answered_call[0] in self.actual_attempts:
            actual_attempts = self.actual_attempts[answered_call[0]]
            actual_attempts[answered_call[1]] = actual_attempts[answered_call[1]]._replace(
                fully_sent=False
            )  # rejected without execution
        pending_calls = (*actual.pending_calls[:position], *actual.pending_calls[position + 1 :])
        self.actual_connections[connection] = actual._replace(
            pending_calls=pending_calls, dirty=actual.dirty or not clean, expected_call=NO_CALL
        )
        owed = expected_call[0] in self.actual_attempts and expected_call[0] not in self.settled
        self.response_complete = True
        self.feed(ev.Answered(connection, expected_call, outcome, clean))
        self.response_complete = False
        if owed and expected_call[0] in self.settled and answered_call != expected_call:
            self.add_violation(props.RESPONSE_MATCHES_REQUEST)

    def do_begin(self, connection: int, detail: int) -> None:
        actual = self.actual_connections[connection]
        request, number = actual.expected_call
        owed = request in self.actual_attempts and request not in self.settled
        if owed:
            self.actual_attempts[request][number] = self.actual_attempts[request][number]._replace(
                stream_state=1
            )
        self.feed(ev.Begun(connection, actual.expected_call))
        if owed and actual.pending_calls[0] != actual.expected_call:
            self.add_violation(props.RESPONSE_MATCHES_REQUEST)

    def do_call_ok(self, connection: int, position: int) -> None:
        self._respond(connection, Outcome.OK, True, position)

    def do_call_error(self, connection: int, position: int) -> None:
        self._respond(connection, Outcome.ERROR, True, position)

    def do_call_full(self, connection: int, position: int) -> None:
        self._respond(connection, Outcome.FULL, True, position)

    def do_ok(self, connection: int, detail: int) -> None:
        self._respond(connection, Outcome.OK, True)

    def do_ok_behind(self, connection: int, detail: int) -> None:
        self._respond(connection, Outcome.OK, False)

    def do_error(self, connection: int, detail: int) -> None:
        self._respond(connection, Outcome.ERROR, True)

    def do_full(self, connection: int, detail: int) -> None:
        self._respond(connection, Outcome.FULL, True)

    def do_late_ok(self, connection: int, detail: int) -> None:
        self.feed(
            ev.Answered(connection, self.actual_connections[connection].expected_call, Outcome.OK, True)
        )

    def do_late_full(self, connection: int, detail: int) -> None:
        self.feed(
            ev.Answered(connection, self.actual_connections[connection].expected_call, Outcome.FULL, True)
        )

    def do_spoilt(self, connection: int, detail: int) -> None:
        self.actual_connections[connection] = self.actual_connections[connection]._replace(dirty=True)
        self.feed(ev.Spoilt(connection))

    def do_stray(self, connection: int, detail: int) -> None:
        self.actual_connections[connection] = self.actual_connections[connection]._replace(unread_bytes=True)

    do_read_stray = do_spoilt

    def do_lost(self, connection: int, detail: int) -> None:
        del self.actual_connections[connection]
        self.feed(ev.Lost(connection))

    def do_idle_over(self, connection: int, detail: int) -> None:
        self.feed(ev.Expire(connection))

    def _change_list(self, server: int, state: int, life: int, outdated: bool) -> None:
        """Change the list entry of a server. ``outdated``: its connections lead to an earlier incarnation."""
        self.server_states[server] = state
        self.changes_left -= 1
        if outdated:
            for number, actual in self.actual_connections.items():
                if self.lives.connections[number].server == f"s{server}":
                    self.actual_connections[number] = actual._replace(current_incarnation=False)
        self.feed(
            ev.Listed(
                (ev.Listing(f"s{server}", state == READY, life, self.scenario.calls_per_connection),), False
            )
        )

    def do_drain(self, server: int, detail: int) -> None:
        self._change_list(server, DRAINING, 0, False)

    def do_ready(self, server: int, detail: int) -> None:
        self._change_list(server, READY, 0, False)

    def do_back(self, server: int, detail: int) -> None:
        self._change_list(server, READY, 0, True)

    def do_restart(self, server: int, detail: int) -> None:
        self._change_list(server, READY, 1, True)

    def do_gone(self, removed: int, detail: int) -> None:
        """Remove a server, by a complete list of the others."""
        self.server_states[removed] = GONE
        self.changes_left -= 1
        for number, actual in self.actual_connections.items():
            if self.lives.connections[number].server == f"s{removed}":
                self.actual_connections[number] = actual._replace(current_incarnation=False)
        listings = [
            ev.Listing(f"s{server}", server_state == READY, 0, self.scenario.calls_per_connection)
            for server, server_state in enumerate(self.server_states)
            if server_state != GONE
        ]
        self.feed(ev.Listed(tuple(listings), True))

    def do_tick(self, target: int, detail: int) -> None:
        self.tick += 1
        for number, actual in self.actual_connections.items():
            if self.lives.connections[number].stage is connections.Stage.CONNECTING:
                self.actual_connections[number] = actual._replace(opened_before_tick=True)

    def do_end(self, target: int, detail: int) -> None:
        self.feed(ev.End())
        streaming = any(
            item.stream_state == 1
            for actual_attempts in self.actual_attempts.values()
            for item in actual_attempts
        )
        if streaming or any(request not in self.settled for request in self.actual_attempts):
            self.add_violation(props.ANSWERED_AT_SHUTDOWN)

    # The next state

    def is_consistent(self) -> bool:
        """Return whether the tables of the state machines agree with each other and with the actual state."""
        lives = self.lives
        open_calls: dict[Call, int] = {}
        for request, exchange in lives.exchanges.items():
            if forgettable(exchange) or (request not in self.settled) != exchange.owed:
                return False
            for number, attempt in enumerate(exchange.attempts):
                if attempt.stage is not attempts.Stage.ENDED:
                    open_calls[request, number] = attempt.connection
        carried_calls = {call: number for number, item in lives.connections.items() for call in item.calls}
        unused = {
            number for number, item in lives.connections.items() if item.stage in connections.UNUSED_STAGES
        }
        listed_idle = [number for numbers in lives.idle_at.values() for number in numbers]
        spent = connections.Stage.SPENT
        shared_open = {
            number for number, item in lives.connections.items() if item.shared and item.stage != spent
        }
        joinable = [number for numbers in lives.lines.values() for number in numbers]
        return (
            open_calls == carried_calls
            and lives.connections.keys() == self.actual_connections.keys()
            and unused == set(lives.idle) == set(listed_idle)
            and len(listed_idle) == len(unused)
            and (shared_open, len(joinable)) == (set(joinable), len(shared_open))
            and all(lives.lines.values())
            and all(lives.endpoints[server].ready and numbers for server, numbers in lives.idle_at.items())
            and lives.endpoints.keys()
            == {
                f"s{server}" for server, server_state in enumerate(self.server_states) if server_state != GONE
            }
        )

    def state(self) -> State:
        """Return the state of the model after the event."""
        lives = self.lives
        live = [item for item in lives.connections.values() if item.stage is not connections.Stage.SPENT]
        if len(live) > self.scenario.max_connections:
            self.add_violation(props.CONNECTION_LIMIT_KEPT)
        if not self.violations and not self.is_consistent():
            self.add_violation(props.NO_LEAK)
        parts: list[Hashable] = []
        for request, klass, part in zip(REQUEST_IDS, self.scenario.classes, self.requests, strict=False):
            exchange = lives.exchanges.get(request)
            if request not in self.actual_attempts:
                parts.append(part if len(part) < 2 else FINISHED)
            elif exchange is None:
                parts.append(FINISHED)
            else:
                attempts_made = tuple(
                    (
                        int(attempt.stage),
                        attempt.may_have_run,
                        self.model.reduced_attempt(klass, attempt, actual),
                    )
                    for attempt, actual in zip(exchange.attempts, self.actual_attempts[request], strict=True)
                )
                parts.append((exchange.owed, attempts_made))
        parts.append(tuple(self.server_states))
        idle_positions = {number: position for position, number in enumerate(lives.idle)}
        joinable_positions = {
            number: position for numbers in lives.lines.values() for position, number in enumerate(numbers)
        }
        rows: list[tuple[Any, ...]] = []
        for number, item in lives.connections.items():
            actual = self.actual_connections.get(number, ActualConnection())
            server, calls = int(item.server[1:]), item.calls
            endpoint = lives.endpoints.get(item.server)
            fresh = endpoint is not None and endpoint.incarnation == item.incarnation
            if item.stage is connections.Stage.SPENT:  # only its end and late responses can follow
                rows.append(
                    (
                        -1,
                        -1,
                        4,
                        0,
                        0,
                        (),
                        0,
                        tuple(
                            ActualConnection(
                                pending_calls=actual.pending_calls[:1] and (ABANDONED_CALL,),
                                expected_call=ABANDONED_CALL,
                            )
                        ),
                    )
                )
                continue
            rows.append(
                (
                    idle_positions.get(number, -1),
                    joinable_positions.get(number, -1),
                    int(item.stage),
                    server,
                    int(fresh),
                    calls,
                    item.unsent,
                    tuple(actual),
                )
            )
        parts += [tuple(sorted(rows)), (self.tick, self.changes_left), tuple(self.violations)]
        return tuple(parts)


def _shared_connection_events(number: int, carrying: bool, actual: tuple[Any, ...]) -> list[ModelEvent]:
    """Return the events of a shared connection: responses to any calls sent, also abandoned ones."""
    held_back, _, unread_bytes, _, pending_calls, _, _ = actual
    events = [ModelEvent("flush", number)] if held_back else []
    for position in range(len(pending_calls) - held_back):
        events += [ModelEvent(kind, number, position) for kind in ("call-ok", "call-error", "call-full")]
    events += [] if unread_bytes else [ModelEvent("stray", number)]
    return [*events, ModelEvent("spoilt", number)] if carrying else [*events, ModelEvent("idle-over", number)]


def attempt_views(actual_attempts: list[ActualAttempt]) -> tuple[AttemptView, ...]:
    """Return the attempts as the balancer sees them."""
    return tuple(
        AttemptView(not item.reported, item.reported != 2, item.server, item.chosen_at)
        for item in actual_attempts
    )


class LifecycleModel(Model):
    """The model of one scenario.

    A state consists of one part for each request, the states of the servers, the connections, the tick with
    the number of list changes left, and the violations found. The row of a connection consists of its
    positions among the idle and among the joinable ones (-1: none), its stage, its server, whether it leads
    to the current incarnation as the state machines know it, its calls, how many of them are unsent, and its
    actual state. ``ms_per_unit`` is the length of the unit in which ticks are counted.
    """

    def __init__(
        self, scenario: Scenario, settings: api.Settings | None = None, ms_per_unit: float = TICK_MS
    ) -> None:
        self.scenario, self.name, self.ms_per_unit = scenario, scenario.name, ms_per_unit
        self.settings = settings or api.Settings(
            tuple(
                replace(CLASSES[name], window_ms=scenario.window_ms) for name in sorted(set(scenario.classes))
            ),
            limits=api.Limits(
                max_attempts=scenario.max_attempts,
                may_cancel=True,
                second_copies=scenario.second_copies,
                connect_timeout_ms=TICK_MS,
            ),
            tick_ms=1.0,
        )
        classes = {item.name: item for item in self.settings.classes}
        self.klass = {
            name: classes[klass] for name, klass in zip(REQUEST_IDS, scenario.classes, strict=False)
        }
        self.rules = BalancerRules(self.settings, scenario.cells, TICK_MS)
        count, cells = len(scenario.classes), scenario.cells
        # Symmetries: servers within a cell, whole cells of equal size, and requests of one class.
        self._renamings = [
            (servers, requests)
            for servers in permutations(range(len(cells)))
            if self._preserves_cells(servers)
            for requests in permutations(range(count))
            if all(scenario.classes[new] == scenario.classes[old] for old, new in enumerate(requests))
        ][1:]

    def _preserves_cells(self, servers: tuple[int, ...]) -> bool:
        cells = self.scenario.cells
        pairs = {(cells[old], cells[new]) for old, new in enumerate(servers)}
        return len(pairs) == len({old for old, _ in pairs}) == len({new for _, new in pairs})

    def initial(self) -> Iterable[State]:
        count = len(self.scenario.classes)
        servers = (READY,) * len(self.scenario.cells)
        yield (*(NOT_ARRIVED,) * count, servers, (), (0, self.scenario.list_changes), ())

    def reduced_attempt(self, klass: str, attempt: Attempt, actual: ActualAttempt) -> State:
        """Return the actual state of an attempt; of one that has ended, only what properties still use."""
        if attempt.stage is attempts.Stage.ENDED:
            if not actual.fully_sent and actual.reported == 2 or CLASSES[klass].effect is not Effect.KEYED:
                return tuple(actual._replace(server=-1, chosen_at=-1, written_at=-1))
            cell = self.scenario.cells[actual.server]
            return tuple(actual._replace(server=self.scenario.cells.index(cell)))
        return tuple(actual)

    def events(self, state: State) -> Sequence[ModelEvent]:
        if state == TERMINATED:
            return ()
        scenario, count = self.scenario, len(self.scenario.classes)
        servers, rows = state[count], state[count + 1]
        tick, changes_left = state[count + 2]
        enabled = []
        for request in range(count):
            part = state[request]
            if part == NOT_ARRIVED:
                enabled.append(ModelEvent("take", request))
            if len(part) < 2:
                continue
            owed, attempts_made = part
            open_attempts = [
                number for number, (stage, _, _) in enumerate(attempts_made) if stage != attempts.Stage.ENDED
            ]
            enabled += [ModelEvent("expire", request, number) for number in open_attempts]
            if not owed:
                streaming = any(stage == attempts.Stage.PASSING for stage, _, _ in attempts_made)
                enabled += [ModelEvent("leave", request)] if streaming else []
                continue
            enabled += [ModelEvent("overdue", request), ModelEvent("finish", request)]
            if scenario.clients_leave:
                enabled.append(ModelEvent("leave", request))
            if open_attempts and not scenario.second_copies:
                continue
            known_attempts = attempt_views([ActualAttempt(*actual) for _, _, actual in attempts_made])
            for server in range(len(scenario.cells)):
                if self.rules.may_send(scenario.classes[request], known_attempts, server, tick):
                    enabled.append(ModelEvent("choose", request, server))
                    if scenario.partial_writes:
                        enabled.append(ModelEvent("choose-held", request, server))
        connect_overdue = False  # a connect that has to succeed or fail before the next tick
        for number, (_, _, stage, _, _, calls, _, actual) in enumerate(rows, 1):
            held_back, _, unread_bytes, _, pending_calls, _, opened_before_tick = actual
            if stage == connections.Stage.CONNECTING:
                connect_overdue = connect_overdue or opened_before_tick
                enabled += [
                    ModelEvent("up", number),
                    ModelEvent("refused", number),
                    ModelEvent("short", number),
                ]
                if calls and scenario.partial_writes:
                    enabled.append(ModelEvent("up-held", number))
                continue
            enabled.append(ModelEvent("lost", number))
            if stage == connections.Stage.SPENT:
                enabled += (
                    [ModelEvent("late-ok", number), ModelEvent("late-full", number)] if pending_calls else []
                )
            elif scenario.calls_per_connection > 1:
                enabled += _shared_connection_events(number, bool(calls), actual)
            elif stage == connections.Stage.CARRYING:
                enabled += [ModelEvent("flush", number)] if held_back else []
                responses: tuple[str, ...] = (
                    ("error", "full") if held_back else ("ok", "ok-behind", "error", "full")
                )
                if scenario.streaming and self._is_streaming(state, actual):
                    responses = ("ok", "ok-behind")
                elif scenario.streaming:
                    responses = (*responses, "begin")
                enabled += [ModelEvent(kind, number) for kind in (*responses, "spoilt")]
            else:
                enabled += [ModelEvent("idle-over", number), ModelEvent("read-stray", number)]
                enabled += [] if unread_bytes else [ModelEvent("stray", number)]
        if changes_left:
            for server, server_state in enumerate(servers):
                kinds = {READY: ("drain", "gone", "restart"), DRAINING: ("ready", "gone"), GONE: ("back",)}[
                    server_state
                ]
                enabled += [ModelEvent(kind, server) for kind in kinds]
        if tick < scenario.ticks and not connect_overdue:
            enabled.append(ModelEvent("tick"))
        enabled.append(ModelEvent("end"))
        return enabled

    @staticmethod
    def _is_streaming(state: State, actual: tuple[Any, ...]) -> bool:
        """Return whether the response that arrives on this connection is being streamed to the client."""
        request, number = actual[5]
        part: tuple[Any, ...] = state[REQUEST_IDS.index(request)] if request else FINISHED
        return len(part) == 2 and part[1][number][0] == attempts.Stage.PASSING

    def step(self, state: State, event: ModelEvent) -> State:
        execution = Execution(self, state)
        execution.perform(event)
        if event.kind == "end" and not execution.violations:
            return TERMINATED
        return execution.state()

    def violations(self, before: State | None, event: ModelEvent | None, after: State) -> Iterable[Violation]:
        violations: tuple[Violation, ...] = after[-1]
        return violations

    def canonical(self, state: State) -> State:
        """Return the least of the states that result from renaming symmetric servers and requests."""
        if state == TERMINATED:
            return state
        least, count = state, len(self.scenario.classes)
        for servers, requests in self._renamings:
            head = self._renamed_head(state, servers, requests)
            if head > least[: count + 1]:
                continue
            renamed = (*head, self._renamed_rows(state[count + 1], servers, requests), *state[count + 2 :])
            if renamed < least:
                least = renamed
        return least

    def _renamed_head(self, state: State, servers: tuple[int, ...], requests: tuple[int, ...]) -> State:
        """Return the renamed parts of the requests and servers."""
        count = len(requests)
        parts: list[Any] = [None] * (count + 1)
        for request in range(count):
            part = state[request]
            if len(part) == 2:
                owed, attempts_made = part
                attempts_made = tuple(
                    (stage, may, (reported, fully_sent, servers[server] if server >= 0 else -1, *rest))
                    for stage, may, (reported, fully_sent, server, *rest) in attempts_made
                )
                part = (owed, attempts_made)
            parts[requests[request]] = part
        server_states: list[int] = [0] * len(servers)
        for server, server_state in enumerate(state[count]):
            server_states[servers[server]] = server_state
        parts[count] = tuple(server_states)
        return tuple(parts)

    def _renamed_rows(self, rows: State, servers: tuple[int, ...], requests: tuple[int, ...]) -> State:
        """Return the renamed connections."""
        names = {"": ""} | {REQUEST_IDS[old]: REQUEST_IDS[new] for old, new in enumerate(requests)}

        def renamed(call: Call) -> Call:
            return (names[call[0]], call[1])

        renamed_rows = []
        for row in rows:
            idle_position, joinable_position, stage, server, fresh, calls, unsent, actual = row
            if stage != connections.Stage.SPENT:
                (
                    held_back,
                    dirty,
                    unread_bytes,
                    current_incarnation,
                    pending_calls,
                    expected_call,
                    opened_before_tick,
                ) = actual
                actual = (
                    held_back,
                    dirty,
                    unread_bytes,
                    current_incarnation,
                    tuple(map(renamed, pending_calls)),
                    renamed(expected_call),
                    opened_before_tick,
                )
                row = (
                    idle_position,
                    joinable_position,
                    stage,
                    servers[server],
                    fresh,
                    tuple(map(renamed, calls)),
                    unsent,
                    actual,
                )
            renamed_rows.append(row)
        return tuple(sorted(renamed_rows))

    def ample(self, state: State, events: Sequence[ModelEvent]) -> Sequence[ModelEvent]:
        """Return only the events of one connection that is being closed, unless the connection limit can be
        reached. They are independent of all others and invisible to the properties: late responses change
        nothing, and the last of its events is its end."""
        if state == TERMINATED or self.scenario.max_connections < 99:
            return events
        rows = state[len(self.scenario.classes) + 1]
        for number, row in enumerate(rows, 1):
            if row[2] == connections.Stage.SPENT:
                return [
                    event
                    for event in events
                    if event.target == number and event.kind in ("lost", "late-ok", "late-full")
                ]
        return events

    def obligations(self, state: State) -> Iterable[Hashable]:
        if state == TERMINATED:
            return ()
        parts = state[: len(self.scenario.classes)]
        return [f"r{request}" for request, part in enumerate(parts) if len(part) == 2 and part[0]]

    def fairness_label(self, event: ModelEvent) -> Hashable | None:
        """Return a label only for the timer of a request's deadline: upstreams, clients and the balancer may
        stay silent forever."""
        return f"time of r{event.target}" if event.kind == "overdue" else None

    def describe(self, state: State) -> str:
        if state == TERMINATED:
            return "the program has ended"
        count = len(self.scenario.classes)
        parts = []
        for request in range(count):
            part = state[request]
            if len(part) == 2:
                stages = [attempts.Stage(stage).name.lower() for stage, _, _ in part[1]]
                parts.append(f"r{request} {'pending' if part[0] else 'settled'} [{', '.join(stages)}]")
        for number, row in enumerate(state[count + 1], 1):
            parts.append(f"c{number} {connections.Stage(row[2]).name.lower()}@s{row[3]}")
        state_names = ("gone", "draining", "ready")
        parts += [
            f"s{server} {state_names[server_state]}" for server, server_state in enumerate(state[count])
        ]
        return "; ".join(parts)
