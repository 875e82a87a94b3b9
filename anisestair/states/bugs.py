"""Seeded bugs: small named changes of the state machines or of the balancer's rules (mutation testing).

The models must detect each of them, or their clean results would prove little. Some are bugs that this
program once had.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any

from anisestair.lifecycle import attempt as attempts
from anisestair.lifecycle import connection as connections
from anisestair.lifecycle import endpoint as endpoints
from anisestair.lifecycle import events as ev
from anisestair.lifecycle import exchange as exchanges
from anisestair.lifecycle import lives as lives_module
from anisestair.lifecycle.attempt import Attempt
from anisestair.lifecycle.connection import Call, Connection
from anisestair.lifecycle.endpoint import Endpoint
from anisestair.lifecycle.exchange import Exchange, Final
from anisestair.lifecycle.lives import Lives
from anisestair.recovery import shares
from anisestair.states import takeover
from hareloom import interface as api
from hareloom import requests
from hareloom.interface import Effect, Group, Outcome
from hareloom.records import OpenRequest, Server
from hareloom.rules import Balancer


@dataclass(frozen=True)
class Bug:
    """A function that replaces the original one while the bug is seeded."""

    name: str
    description: str
    model: str  # name of the model that detects it
    target: Any  # the module, the class or the table of handlers that contains the original function
    key: Any  # its name there, or its key in the table
    replacement: Callable[..., Any]
    violates_liveness: bool = False  # it shows as an obligation that is never fulfilled

    @contextmanager
    def seeded(self) -> Iterator[None]:
        """Replace the function while the context lasts."""
        table = isinstance(self.target, dict)
        original = self.target[self.key] if table else getattr(self.target, self.key)

        def put(value: Any) -> None:
            if table:
                self.target[self.key] = value
            else:
                setattr(self.target, self.key, value)

        put(self.replacement)
        try:
            yield
        finally:
            put(original)


def _stream_without_settling(self: Lives, effects: Effects, number: int, call: Call) -> None:
    before = self.exchanges[call[0]]
    Lives._begun(self, effects, number, call)
    exchange = self.exchanges.get(call[0])
    if exchange is not None and not exchange.owed:
        self.exchanges[call[0]] = exchange._replace(owed=before.owed)


def _end_truncated_stream_as_complete(
    self: Lives, effects: Effects, connection: Connection, how: Callable[[Attempt], Outcome]
) -> None:
    for call in connection.calls:
        if self._is_passing(call):
            self._passed(effects, call, True)
        else:
            self._ended(effects, call, how(self.exchanges[call[0]].attempts[call[1]]))


def _cut_off_nothing(self: Lives, effects: Effects, request: str, exchange: Exchange) -> None:
    return


def _stream_after_outcome(self: Lives, effects: Effects, number: int, call: Call) -> None:
    if call[0] in self.exchanges and not self.exchanges[call[0]].owed:
        effects.append(ev.Reply(call[0], Final.SERVED, call[1]))
    Lives._begun(self, effects, number, call)


_original_on_retune = Balancer.on_retune


def _retune_open_requests(self: Balancer, settings: api.Settings) -> None:
    _original_on_retune(self, settings)
    for pending in self.requests.values():
        record = self.classes.get(pending.klass.name)
        if record is not None:
            pending.klass = record.klass


def _forget_requests_of_dropped_classes(self: Balancer, settings: api.Settings) -> None:
    for name, pending in list(self.requests.items()):
        if all(item.name != pending.klass.name for item in settings.classes) and not pending.queued:
            del self.requests[name]
    _original_on_retune(self, settings)


_original_accepts, _original_share, _original_held_by = shares.accepts, shares.share, shares._held_by


def _accepts_only_with_room(me: int, members: list[shares.Member], ready: bool) -> bool:
    return _original_accepts(me, members, ready) and shares.has_room(me, members, 0.0)


def _accepts_beside_younger(me: int, members: list[shares.Member], ready: bool) -> bool:
    return _original_accepts(me, [item for item in members if item.born < me], ready)


def _accepts_never_again(me: int, members: list[shares.Member], ready: bool) -> bool:
    ended = any(item.born > me and item.stage == shares.ENDING for item in members)
    return _original_accepts(me, members, ready) and not ended


def _share_ignoring_others(
    me: int, total: int, members: list[shares.Member], used: int, accepting: bool
) -> int:
    return _original_share(me, total, [], used, accepting)


def _share_ignoring_own_use(
    me: int, total: int, members: list[shares.Member], used: int, accepting: bool
) -> int:
    return _original_share(me, total, members, 0, accepting)


def _held_as_reported(member: shares.Member, me: int, total: int) -> int:
    return member.keeps


def _held_after_yielding_to_any(member: shares.Member, me: int, total: int) -> int:
    return _original_held_by(member._replace(seen=me) if member.seen >= me else member, me, total)


HANDLERS = lives_module._ON
Effects = list[ev.Effect]


def _never_executed(attempt: Attempt) -> Outcome:
    return Outcome.CONNECT_FAILED


def _timeout_as_connect_failure(attempt: Attempt, why: Outcome) -> Outcome:
    return Outcome.CONNECT_FAILED if why is Outcome.TIMEOUT else why


def _closing_with_calls(connection: Connection) -> Connection:
    return connection._replace(stage=connections.Stage.SPENT)


def _give_up_and_reuse_connection(
    self: Lives, effects: Effects, request: str, number: int, why: Outcome
) -> None:
    exchange = self.exchanges.get(request)
    if exchange is None or exchange.attempts[number].stage is attempts.Stage.ENDED:
        return
    attempt = exchange.attempts[number]
    connection = connections.without_call(self.connections[attempt.connection], (request, number))
    self.connections[attempt.connection] = connection
    if connection.stage is not connections.Stage.CONNECTING:
        self._release(effects, attempt.connection, connection)
    self._ended(effects, (request, number), attempts.outcome_of_abandonment(attempt, why))


def _end_no_waiting_attempts(self: Lives, effects: Effects, changed: set[str]) -> None:
    pass


def _end_waiting_attempts_of_drains_only(self: Lives, effects: Effects, changed: set[str]) -> None:
    for number, connection in list(self.connections.items()):
        if connection.server in changed and connection.stage is connections.Stage.CONNECTING:
            if not endpoints.accepts_new_calls(self.endpoints.get(connection.server)):
                for call in connection.calls:
                    self.connections[number] = connections.without_call(self.connections[number], call)
                    self._ended(effects, call, Outcome.CONNECT_FAILED)


def _accepts_while_draining(endpoint: Endpoint | None) -> bool:
    return endpoint is not None


def _keeps_any_incarnation(endpoint: Endpoint | None, connection: Connection) -> bool:
    return endpoint is not None and endpoint.ready


def _keeps_while_draining(endpoint: Endpoint | None, connection: Connection) -> bool:
    return endpoint is not None and endpoint.incarnation == connection.incarnation


def _close_no_idle(self: Lives, effects: Effects, server: str) -> None:
    pass


_original_answered = Lives._answered


def _answered_always_clean(
    self: Lives, effects: Effects, number: int, call: Call, outcome: Outcome, clean: bool
) -> None:
    _original_answered(self, effects, number, call, outcome, True)


def _count_late_response(
    self: Lives, effects: Effects, number: int, call: Call, outcome: Outcome, clean: bool
) -> None:
    if call[0] in self.exchanges and number in self.connections and not self.connections[number].calls:
        self._ended(effects, call, outcome)
    else:
        _original_answered(self, effects, number, call, outcome, clean)


def _ignore_unsolicited_bytes(self: Lives, effects: Effects, number: int) -> None:
    connection = self.connections.get(number)
    if connection is not None and connection.calls:
        Lives._spoilt(self, effects, number)


def _settle_again(self: Lives, effects: Effects, request: str, final: Final) -> None:
    exchange = self.exchanges.get(request)
    if exchange is not None:
        self.exchanges[request] = exchange = exchanges.settled(exchange)
        effects.append(ev.Reply(request, final, None))
        self._forget(effects, request, exchange)


def _reply_again(self: Lives, effects: Effects, call: Call, outcome: Outcome) -> None:
    request, number = call
    exchange = exchanges.with_attempt(self.exchanges[request], number, attempts.ended(outcome))
    if outcome is Outcome.OK:
        exchange = exchanges.settled(exchange)
        effects.append(ev.Reply(request, Final.SERVED, number))
    self.exchanges[request] = exchange
    effects.append(ev.Ended(request, number, outcome, not exchange.owed))
    self._forget(effects, request, exchange)


def _forgettable_early(exchange: Exchange) -> bool:
    return not exchange.owed


def _never_forgettable(exchange: Exchange) -> bool:
    return False


def _keep_failed_connection(self: Lives, effects: Effects, number: int, short: bool) -> None:
    connection = self.connections[number]
    self.connections[number] = connections.closing(connection)
    for call in connection.calls:
        self._ended(effects, call, Outcome.CONNECT_FAILED)


def _remove_no_idle(self: Lives, number: int, connection: Connection) -> None:
    pass


def _evict_nothing(self: Lives, effects: Effects) -> bool:
    return True


def _end_without_replies(self: Lives, effects: Effects) -> None:
    pass


def _ignore_flush(self: Lives, effects: Effects, number: int, unsent: int) -> None:
    if unsent:
        Lives._held(self, effects, number, unsent)


def _write_unusable(self: Lives, effects: Effects, number: int, call: Call) -> None:
    effects.append(ev.Write(number, call, False))


def _write_all_when_established(self: Lives, effects: Effects, number: int) -> None:
    connection = self.connections.get(number)
    if connection is None or connection.stage is not connections.Stage.CONNECTING:
        return
    self.connections[number] = connection = connections.established(connection)
    for call in connection.calls:
        self._set_attempt(call, Attempt(attempts.Stage.OUT, number, True))
        effects.append(ev.Write(number, call, False))
    if not connection.calls:
        self._release(effects, number, connection)


def _wait_for_attempts_when_overdue(self: Lives, effects: Effects, request: str, final: Final) -> None:
    exchange = self.exchanges.get(request)
    if (
        final is Final.OVERDUE
        and exchange is not None
        and not all(item.stage is attempts.Stage.ENDED for item in exchange.attempts)
    ):
        return
    Lives._settle(self, effects, request, final)


def _always_refuse(settings: api.Settings, now: float, pending: OpenRequest) -> api.Refuse:
    return api.Refuse(pending.id, 0.0)


def _retry_unsafe(settings: api.Settings, now: float, pending: OpenRequest, server: Server) -> bool:
    return pending.open and len(pending.attempts) < settings.limits.max_attempts


def _may_send_variant(
    reference_attempt: int,
    connect_margin: bool,
    check_group: bool,
    settings: api.Settings,
    now: float,
    pending: OpenRequest,
    server: Server,
) -> bool:
    """A copy of the balancer's rule, parts of which the arguments change or switch off."""
    limits, klass = settings.limits, pending.klass
    if not pending.open or len(pending.attempts) >= limits.max_attempts:
        return False
    ran = [item for item in pending.attempts if item.may_have_run]
    if not ran or klass.effect is Effect.SAFE:
        return True
    if klass.effect is Effect.UNSAFE:
        return False
    margin = limits.connect_timeout_ms if connect_margin else 0.0
    if now > ran[reference_attempt].sent_at + klass.window_ms - margin - 2.0 * settings.tick_ms:
        return False
    if klass.group is not Group.CELL or not check_group:
        return True
    return all(server.entry.cell == item.server.entry.cell for item in ran)


def _answer_first_call(
    self: Lives, effects: Effects, number: int, call: Call, outcome: Outcome, clean: bool
) -> None:
    connection = self.connections.get(number)
    calls = connection.calls if connection is not None else ()
    _original_answered(self, effects, number, calls[0] if calls else call, outcome, clean)


def _first_calls_unsent(connection: Connection, call: Call) -> bool:
    return call in connection.calls[: connection.unsent]


def _give_up_all_calls(self: Lives, effects: Effects, number: int, call: Call, why: Outcome) -> None:
    connection = connections.without_call(self.connections[number], call)
    self._close(effects, number, connection)
    self._end_calls(effects, connection, attempts.outcome_of_lost_connection)


def _join_full_connection(self: Lives, server: str, endpoint: Endpoint) -> int:
    return next(iter(self.lines.get(server, ())), 0)


def _join_old_incarnation(self: Lives, server: str, endpoint: Endpoint) -> int:
    for number in self.lines.get(server, ()):
        if len(self.connections[number].calls) < endpoint.calls:
            return number
    return 0


def _resend_all_calls(self: Lives, effects: Effects, number: int, call: Call) -> None:
    connection = self.connections[number]
    self._close(effects, number, connection)
    for item in connection.calls:
        self._assign_connection(effects, item, connection.server, self.endpoints[connection.server])


def _remove_no_joinable(self: Lives, number: int, connection: Connection) -> None:
    pass


def _end_first_call(
    self: Lives, effects: Effects, connection: Connection, how: Callable[[Attempt], Outcome]
) -> None:
    for call in connection.calls[:1]:
        self._ended(effects, call, how(self.exchanges[call[0]].attempts[call[1]]))


BUGS = (
    Bug(
        "reset-never-ran",
        "a lost connection counts as never executed",
        "sale-small",
        attempts,
        "outcome_of_lost_connection",
        _never_executed,
    ),
    Bug(
        "spoilt-never-ran",
        "an unreadable response counts as never executed",
        "sale-small",
        attempts,
        "outcome_of_unreadable_response",
        _never_executed,
    ),
    Bug(
        *("timeout-never-left", "every timeout counts as a failure to connect", "sale-small"),
        *(attempts, "outcome_of_abandonment", _timeout_as_connect_failure),
    ),
    Bug(
        *("ended-with-its-line", "an attempt that has ended ends again with its connection", "sale-small"),
        *(connections, "closing", _closing_with_calls),
    ),
    Bug(
        *("given-up-line-kept", "the connection of an abandoned attempt is reused", "pair-small"),
        *(HANDLERS, ev.GiveUp, _give_up_and_reuse_connection),
    ),
    Bug(
        *("nothing-stranded", "a drain between choosing a server and writing is ignored", "sale-small"),
        *(Lives, "_end_waiting_attempts", _end_no_waiting_attempts),
    ),
    Bug(
        *(
            "stranded-by-drain-only",
            "an attempt keeps waiting for an incarnation that has ended (a past bug)",
            "sale-small",
        ),
        *(Lives, "_end_waiting_attempts", _end_waiting_attempts_of_drains_only),
    ),
    Bug(
        *("drain-waits", "a draining server gets new requests during its grace period", "sale-small"),
        *(endpoints, "accepts_new_calls", _accepts_while_draining),
    ),
    Bug(
        *("old-life-kept", "a connection to an earlier incarnation is kept (a past bug)", "sale-small"),
        *(endpoints, "may_keep", _keeps_any_incarnation),
    ),
    Bug(
        *("kept-while-draining", "a connection to a draining server is kept", "sale-small"),
        *(endpoints, "may_keep", _keeps_while_draining),
    ),
    Bug(
        *("idle-left-open", "idle connections are not closed at a drain or restart", "sale-small"),
        *(Lives, "_close_idle", _close_no_idle),
    ),
    Bug(
        *("behind-ignored", "a connection is kept although bytes followed a response", "pair-small"),
        *(HANDLERS, ev.Answered, _answered_always_clean),
    ),
    Bug(
        *(
            "late-answer-counts",
            "a response that arrives after the end of its attempt is accepted",
            "sale-uncancelled",
        ),
        *(HANDLERS, ev.Answered, _count_late_response),
    ),
    Bug(
        *("stray-ignored", "unsolicited bytes on an idle connection are ignored", "pair-small"),
        *(HANDLERS, ev.Spoilt, _ignore_unsolicited_bytes),
    ),
    Bug(
        *("settled-twice", "a request with a final outcome gets another one", "sale-uncancelled"),
        *(HANDLERS, ev.Settle, _settle_again),
    ),
    Bug(
        *("served-after-the-end", "a response is delivered after the final outcome", "sale-uncancelled"),
        *(Lives, "_ended", _reply_again),
    ),
    Bug(
        *("forgotten-early", "a request is forgotten while an attempt is in progress", "sale-uncancelled"),
        *(exchanges, "forgettable", _forgettable_early),
    ),
    Bug(
        *("never-forgotten", "a completed request stays in the table", "sale-small"),
        *(exchanges, "forgettable", _never_forgettable),
    ),
    Bug(
        *("refused-line-kept", "a connection that was never established stays in the table", "sale-small"),
        *(HANDLERS, ev.NotUp, _keep_failed_connection),
    ),
    Bug(
        *("rests-for-ever", "a closed connection stays among the idle ones", "sale-small"),
        *(Lives, "_remove_idle", _remove_no_idle),
    ),
    Bug(
        *("room-for-nothing", "no idle connection is closed at the connection limit", "pair-at-the-bound"),
        *(Lives, "_evict_idle", _evict_nothing),
    ),
    Bug(
        *("end-forgets", "requests are left unanswered at shutdown (a past bug)", "sale-small"),
        *(HANDLERS, ev.End, _end_without_replies),
    ),
    Bug(
        *("held-for-ever", "the event that all bytes are sent is ignored", "sale-small"),
        *(HANDLERS, ev.Held, _ignore_flush),
    ),
    Bug(
        *("unusable-used", "a connection that was found closed is written to", "pair-small"),
        *(HANDLERS, ev.Unusable, _write_unusable),
    ),
    Bug(
        *(
            "written-after-the-end",
            "an attempt is written once connected, although its request is completed",
            "sale-uncancelled",
        ),
        *(HANDLERS, ev.Up, _write_all_when_established),
    ),
    Bug(
        *("overdue-waits", "the timer of a request's deadline waits for its attempts", "sale-uncancelled"),
        *(HANDLERS, ev.Settle, _wait_for_attempts_when_overdue),
        violates_liveness=True,
    ),
    Bug(
        "refuses-always",
        "a request that may have been executed is refused",
        "sale-small",
        requests,
        "final",
        _always_refuse,
    ),
    Bug(
        *("sale-sent-again", "an unsafe request that may have been executed is retried", "sale-small"),
        *(requests, "may_send", _retry_unsafe),
    ),
    Bug(
        *("window-from-last", "the window counts from the last attempt", "listing-window"),
        *(requests, "may_send", partial(_may_send_variant, -1, True, True)),
    ),
    Bug(
        *("window-for-choosing", "the window leaves no time to connect (a past bug)", "listing-small"),
        *(requests, "may_send", partial(_may_send_variant, 0, False, True)),
    ),
    Bug(
        *("first-is-answered", "responses are assigned in the order of the calls", "calls-two"),
        *(HANDLERS, ev.Answered, _answer_first_call),
    ),
    Bug(
        *("unsent-from-the-front", "the first calls count as unsent, not the last ones", "calls-two"),
        *(connections, "is_unsent", _first_calls_unsent),
    ),
    Bug(
        *("given-up-with-others", "abandoning one call ends the others on its connection", "calls-two"),
        *(Lives, "_give_up_shared", _give_up_all_calls),
    ),
    Bug(
        *("joins-without-bound", "a connection accepts any number of calls", "calls-three"),
        *(Lives, "_joinable", _join_full_connection),
    ),
    Bug(
        *("joins-old-lives", "a call joins a connection to an earlier incarnation", "calls-drain"),
        *(Lives, "_joinable", _join_old_incarnation),
    ),
    Bug(
        *("unusable-takes-all", "all calls on a connection found closed are sent again", "calls-two"),
        *(HANDLERS, ev.Unusable, _resend_all_calls),
    ),
    Bug(
        *("stays-in-line", "a closed connection can still be joined", "calls-two"),
        *(Lives, "_remove_joinable", _remove_no_joinable),
    ),
    Bug(
        *("breaks-the-first-only", "the end of a connection ends only one of its calls", "calls-two"),
        *(Lives, "_end_calls", _end_first_call),
    ),
    Bug(
        *("group-ignored", "a keyed request is retried in another cell", "listing-cells"),
        *(requests, "may_send", partial(_may_send_variant, 0, True, False)),
    ),
    Bug(
        *("begun-and-sent-again", "a request whose response is being streamed is retried", "long-small"),
        *(HANDLERS, ev.Begun, _stream_without_settling),
    ),
    Bug(
        *("cut-as-whole", "a truncated response is marked as complete", "long-small"),
        *(Lives, "_end_calls", _end_truncated_stream_as_complete),
    ),
    Bug(
        *(
            "left-and-passed-on",
            "a response is streamed on although its client has disconnected",
            "long-small",
        ),
        *(Lives, "_cut_off_response", _cut_off_nothing),
    ),
    Bug(
        *(
            "begun-for-nobody",
            "a response is streamed for a request with a final outcome",
            "long-uncancelled",
        ),
        *(HANDLERS, ev.Begun, _stream_after_outcome),
    ),
    Bug(
        *("open-sale-loosened", "a new effect applies to an open request", "policy-sale-retune"),
        *(Balancer, "on_retune", _retune_open_requests),
    ),
    Bug(
        *("dropped-and-orphaned", "an open request of a dropped class is forgotten", "policy-sale-drop"),
        *(Balancer, "on_retune", _forget_requests_of_dropped_classes),
    ),
    Bug(
        *("new-one-waits", "the old process stops accepting before the new one starts", takeover.NAME),
        *(shares, "accepts", _accepts_only_with_room),
    ),
    Bug(
        *(
            "old-word-believed",
            "an outdated record of an older process is taken as current",
            takeover.SLOW_NAME,
        ),
        *(shares, "_held_by", _held_as_reported),
    ),
    Bug(
        *(
            "left-to-the-dead",
            "descriptors that were left to a dead process are taken as free",
            takeover.SLOW_NAME,
        ),
        *(shares, "_held_by", _held_after_yielding_to_any),
    ),
    Bug(
        *("both-accept", "the old process keeps accepting beside the new one", takeover.NAME),
        *(shares, "accepts", _accepts_beside_younger),
    ),
    Bug(
        *("never-again", "the first process does not accept again when the new one dies", takeover.NAME),
        *(shares, "accepts", _accepts_never_again),
        violates_liveness=True,
    ),
    Bug(
        *("two-budgets", "each process uses all descriptors", takeover.NAME),
        *(shares, "share", _share_ignoring_others),
    ),
    Bug(
        *("kept-not-told", "the old process reports less than it holds", takeover.NAME),
        *(shares, "share", _share_ignoring_own_use),
    ),
)
BY_NAME = {item.name: item for item in BUGS}
