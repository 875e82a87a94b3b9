"""Seeded bugs: small named changes of the machines or of the module's rules; a model must find each.

A checker that finds nothing is believed only while it finds these. Some are bugs that this program has had.
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
    name: str
    words: str
    model: str  # the scenario in which it shows
    place: Any  # a module, a class, or the table of handlers
    key: Any
    changed: Callable[..., Any]
    lasts: bool = False  # it shows as an obligation that is never met

    @contextmanager
    def seeded(self) -> Iterator[None]:
        """The change, for as long as the context lasts."""
        table = isinstance(self.place, dict)
        sound = self.place[self.key] if table else getattr(self.place, self.key)

        def put(value: Any) -> None:
            if table:
                self.place[self.key] = value
            else:
                setattr(self.place, self.key, value)

        put(self.changed)
        try:
            yield
        finally:
            put(sound)


def _begun_still_owed(self: Lives, effects: Effects, number: int, call: Call) -> None:
    before = self.exchanges[call[0]]
    Lives._begun(self, effects, number, call)
    exchange = self.exchanges.get(call[0])
    if exchange is not None and not exchange.owed:
        self.exchanges[call[0]] = exchange._replace(owed=before.owed)


def _break_as_whole(
    self: Lives, effects: Effects, connection: Connection, how: Callable[[Attempt], Outcome]
) -> None:
    for call in connection.calls:
        if self._is_passing(call):
            self._passed(effects, call, True)
        else:
            self._ended(effects, call, how(self.exchanges[call[0]].attempts[call[1]]))


def _cut_nothing(self: Lives, effects: Effects, request: str, exchange: Exchange) -> None:
    return


def _begun_for_nobody(self: Lives, effects: Effects, number: int, call: Call) -> None:
    if call[0] in self.exchanges and not self.exchanges[call[0]].owed:
        effects.append(ev.Reply(call[0], Final.SERVED, call[1]))
    Lives._begun(self, effects, number, call)


_sound_retune = Balancer.on_retune


def _retune_open_ones(self: Balancer, settings: api.Settings) -> None:
    _sound_retune(self, settings)
    for held in self.requests.values():
        of = self.classes.get(held.klass.name)
        if of is not None:
            held.klass = of.klass


def _retune_orphans(self: Balancer, settings: api.Settings) -> None:
    for name, held in list(self.requests.items()):
        if all(item.name != held.klass.name for item in settings.classes) and not held.queued:
            del self.requests[name]
    _sound_retune(self, settings)


_sound_accepts, _sound_share, _sound_keeps = shares.accepts, shares.share, shares._held_by


def _accepts_late(me: int, members: list[shares.Member], ready: bool) -> bool:
    return _sound_accepts(me, members, ready) and shares.has_room(me, members, 0.0)


def _accepts_beside(me: int, members: list[shares.Member], ready: bool) -> bool:
    return _sound_accepts(me, [item for item in members if item.born < me], ready)


def _accepts_after_none(me: int, members: list[shares.Member], ready: bool) -> bool:
    ended = any(item.born > me and item.stage == shares.ENDING for item in members)
    return _sound_accepts(me, members, ready) and not ended


def _share_of_all(me: int, total: int, members: list[shares.Member], used: int, accepting: bool) -> int:
    return _sound_share(me, total, [], used, accepting)


def _share_unheld(me: int, total: int, members: list[shares.Member], used: int, accepting: bool) -> int:
    return _sound_share(me, total, members, 0, accepting)


def _keeps_as_told(one: shares.Member, me: int, total: int) -> int:
    return one.keeps


def _keeps_for_any(one: shares.Member, me: int, total: int) -> int:
    return _sound_keeps(one._replace(seen=me) if one.seen >= me else one, me, total)


ON = lives_module._ON
Effects = list[ev.Effect]


def _never_ran(attempt: Attempt) -> Outcome:
    return Outcome.CONNECT_FAILED


def _timeout_never_left(attempt: Attempt, why: Outcome) -> Outcome:
    return Outcome.CONNECT_FAILED if why is Outcome.TIMEOUT else why


def _spent_with_calls(connection: Connection) -> Connection:
    return connection._replace(stage=connections.Stage.SPENT)


def _give_up_keeping(self: Lives, effects: Effects, request: str, number: int, why: Outcome) -> None:
    exchange = self.exchanges.get(request)
    if exchange is None or exchange.attempts[number].stage is attempts.Stage.ENDED:
        return
    attempt = exchange.attempts[number]
    connection = connections.without_call(self.connections[attempt.connection], (request, number))
    self.connections[attempt.connection] = connection
    if connection.stage is not connections.Stage.CONNECTING:
        self._release(effects, attempt.connection, connection)
    self._ended(effects, (request, number), attempts.outcome_of_abandonment(attempt, why))


def _strand_nothing(self: Lives, effects: Effects, changed: set[str]) -> None:
    pass


def _strand_drained_only(self: Lives, effects: Effects, changed: set[str]) -> None:
    for number, connection in list(self.connections.items()):
        if connection.server in changed and connection.stage is connections.Stage.CONNECTING:
            if not endpoints.accepts_new_calls(self.endpoints.get(connection.server)):
                for call in connection.calls:
                    self.connections[number] = connections.without_call(self.connections[number], call)
                    self._ended(effects, call, Outcome.CONNECT_FAILED)


def _draining_takes_new(endpoint: Endpoint | None) -> bool:
    return endpoint is not None


def _keeps_any_life(endpoint: Endpoint | None, connection: Connection) -> bool:
    return endpoint is not None and endpoint.ready


def _keeps_while_draining(endpoint: Endpoint | None, connection: Connection) -> bool:
    return endpoint is not None and endpoint.incarnation == connection.incarnation


def _close_no_idle(self: Lives, effects: Effects, server: str) -> None:
    pass


_sound_answered = Lives._answered


def _keeps_after_behind(
    self: Lives, effects: Effects, number: int, call: Call, outcome: Outcome, clean: bool
) -> None:
    _sound_answered(self, effects, number, call, outcome, True)


def _late_answer_counts(
    self: Lives, effects: Effects, number: int, call: Call, outcome: Outcome, clean: bool
) -> None:
    if call[0] in self.exchanges and number in self.connections and not self.connections[number].calls:
        self._ended(effects, call, outcome)
    else:
        _sound_answered(self, effects, number, call, outcome, clean)


def _stray_ignored(self: Lives, effects: Effects, number: int) -> None:
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


def _forgotten_early(exchange: Exchange) -> bool:
    return not exchange.owed


def _never_forgotten(exchange: Exchange) -> bool:
    return False


def _not_up_kept(self: Lives, effects: Effects, number: int, short: bool) -> None:
    connection = self.connections[number]
    self.connections[number] = connections.closing(connection)
    for call in connection.calls:
        self._ended(effects, call, Outcome.CONNECT_FAILED)


def _rests_for_ever(self: Lives, number: int, connection: Connection) -> None:
    pass


def _room_without_closing(self: Lives, effects: Effects) -> bool:
    return True


def _end_forgets(self: Lives, effects: Effects) -> None:
    pass


def _held_for_ever(self: Lives, effects: Effects, number: int, unsent: int) -> None:
    if unsent:
        Lives._held(self, effects, number, unsent)


def _unusable_used(self: Lives, effects: Effects, number: int, call: Call) -> None:
    effects.append(ev.Write(number, call, False))


def _up_writes_all(self: Lives, effects: Effects, number: int) -> None:
    connection = self.connections.get(number)
    if connection is None or connection.stage is not connections.Stage.CONNECTING:
        return
    self.connections[number] = connection = connections.established(connection)
    for call in connection.calls:
        self._set_attempt(call, Attempt(attempts.Stage.OUT, number, True))
        effects.append(ev.Write(number, call, False))
    if not connection.calls:
        self._release(effects, number, connection)


def _overdue_waits(self: Lives, effects: Effects, request: str, final: Final) -> None:
    exchange = self.exchanges.get(request)
    if (
        final is Final.OVERDUE
        and exchange is not None
        and not all(item.stage is attempts.Stage.ENDED for item in exchange.attempts)
    ):
        return
    Lives._settle(self, effects, request, final)


def _refuses_always(settings: api.Settings, now: float, held: OpenRequest) -> api.Refuse:
    return api.Refuse(held.id, 0.0)


def _sends_sales_again(settings: api.Settings, now: float, held: OpenRequest, server: Server) -> bool:
    return held.open and len(held.attempts) < settings.limits.max_attempts


def _may_send(
    since: int,
    connecting: bool,
    grouped: bool,
    settings: api.Settings,
    now: float,
    held: OpenRequest,
    server: Server,
) -> bool:
    """The module's rule, with its parts to be left out."""
    limits, klass = settings.limits, held.klass
    if not held.open or len(held.attempts) >= limits.max_attempts:
        return False
    ran = [item for item in held.attempts if item.may_have_run]
    if not ran or klass.effect is Effect.SAFE:
        return True
    if klass.effect is Effect.UNSAFE:
        return False
    margin = limits.connect_timeout_ms if connecting else 0.0
    if now > ran[since].sent_at + klass.window_ms - margin - 2.0 * settings.tick_ms:
        return False
    if klass.group is not Group.CELL or not grouped:
        return True
    return all(server.entry.cell == item.server.entry.cell for item in ran)


def _first_is_answered(
    self: Lives, effects: Effects, number: int, call: Call, outcome: Outcome, clean: bool
) -> None:
    connection = self.connections.get(number)
    calls = connection.calls if connection is not None else ()
    _sound_answered(self, effects, number, calls[0] if calls else call, outcome, clean)


def _unsent_from_the_front(connection: Connection, call: Call) -> bool:
    return call in connection.calls[: connection.unsent]


def _given_up_with_the_others(self: Lives, effects: Effects, number: int, call: Call, why: Outcome) -> None:
    connection = connections.without_call(self.connections[number], call)
    self._close(effects, number, connection)
    self._end_calls(effects, connection, attempts.outcome_of_lost_connection)


def _joins_any(self: Lives, server: str, endpoint: Endpoint) -> int:
    return next(iter(self.lines.get(server, ())), 0)


def _joins_old_lives(self: Lives, server: str, endpoint: Endpoint) -> int:
    for number in self.lines.get(server, ()):
        if len(self.connections[number].calls) < endpoint.calls:
            return number
    return 0


def _unusable_takes_all(self: Lives, effects: Effects, number: int, call: Call) -> None:
    connection = self.connections[number]
    self._close(effects, number, connection)
    for item in connection.calls:
        self._assign_connection(effects, item, connection.server, self.endpoints[connection.server])


def _stays_in_line(self: Lives, number: int, connection: Connection) -> None:
    pass


def _break_the_first(
    self: Lives, effects: Effects, connection: Connection, how: Callable[[Attempt], Outcome]
) -> None:
    for call in connection.calls[:1]:
        self._ended(effects, call, how(self.exchanges[call[0]].attempts[call[1]]))


BUGS = (
    Bug(
        "reset-never-ran",
        "a reset counts as never run",
        "sale-small",
        attempts,
        "outcome_of_lost_connection",
        _never_ran,
    ),
    Bug(
        "spoilt-never-ran",
        "a spoilt answer counts as never run",
        "sale-small",
        attempts,
        "outcome_of_unreadable_response",
        _never_ran,
    ),
    Bug(
        *("timeout-never-left", "every time-out counts as never sent", "sale-small"),
        *(attempts, "outcome_of_abandonment", _timeout_never_left),
    ),
    Bug(
        *("ended-with-its-line", "an attempt that has ended ends again with its connection", "sale-small"),
        *(connections, "closing", _spent_with_calls),
    ),
    Bug(
        *("given-up-line-kept", "the connection of an attempt given up is used again", "pair-small"),
        *(ON, ev.GiveUp, _give_up_keeping),
    ),
    Bug(
        *("nothing-stranded", "a drain between choosing and writing is missed", "sale-small"),
        *(Lives, "_end_waiting_attempts", _strand_nothing),
    ),
    Bug(
        *(
            "stranded-by-drain-only",
            "an attempt waits on for a life that has ended (this program's)",
            "sale-small",
        ),
        *(Lives, "_end_waiting_attempts", _strand_drained_only),
    ),
    Bug(
        *("drain-waits", "a draining server takes new requests for its grace", "sale-small"),
        *(endpoints, "accepts_new_calls", _draining_takes_new),
    ),
    Bug(
        *("old-life-kept", "a line to an earlier life is kept (this program's)", "sale-small"),
        *(endpoints, "may_keep", _keeps_any_life),
    ),
    Bug(
        *("kept-while-draining", "a line to a draining server is kept", "sale-small"),
        *(endpoints, "may_keep", _keeps_while_draining),
    ),
    Bug(
        *("idle-left-open", "idle lines are not closed at a drain or restart", "sale-small"),
        *(Lives, "_close_idle", _close_no_idle),
    ),
    Bug(
        *("behind-ignored", "a line is kept though something came behind an answer", "pair-small"),
        *(ON, ev.Answered, _keeps_after_behind),
    ),
    Bug(
        *("late-answer-counts", "an answer that comes after its attempt ended is taken", "sale-uncancelled"),
        *(ON, ev.Answered, _late_answer_counts),
    ),
    Bug(
        *("stray-ignored", "what comes unasked on an idle line is ignored", "pair-small"),
        *(ON, ev.Spoilt, _stray_ignored),
    ),
    Bug(
        *("settled-twice", "a request that has its outcome gets another", "sale-uncancelled"),
        *(ON, ev.Settle, _settle_again),
    ),
    Bug(
        *("served-after-the-end", "an answer is passed on after the outcome", "sale-uncancelled"),
        *(Lives, "_ended", _reply_again),
    ),
    Bug(
        *("forgotten-early", "a request is forgotten while an attempt is out", "sale-uncancelled"),
        *(exchanges, "forgettable", _forgotten_early),
    ),
    Bug(
        *("never-forgotten", "a request that is over stays in the table", "sale-small"),
        *(exchanges, "forgettable", _never_forgotten),
    ),
    Bug(
        *("refused-line-kept", "a connection that never came up stays in the table", "sale-small"),
        *(ON, ev.NotUp, _not_up_kept),
    ),
    Bug(
        *("rests-for-ever", "a line that has ended stays among the idle", "sale-small"),
        *(Lives, "_remove_idle", _rests_for_ever),
    ),
    Bug(
        *("room-for-nothing", "the bound on connections makes no room", "pair-at-the-bound"),
        *(Lives, "_evict_idle", _room_without_closing),
    ),
    Bug(
        *("end-forgets", "the end of the program leaves requests unanswered (this program's)", "sale-small"),
        *(ON, ev.End, _end_forgets),
    ),
    Bug(
        *("held-for-ever", "the kernel's word that all has left is missed", "sale-small"),
        *(ON, ev.Held, _held_for_ever),
    ),
    Bug(
        *("unusable-used", "a line that was found ended is written to", "pair-small"),
        *(ON, ev.Unusable, _unusable_used),
    ),
    Bug(
        *(
            "written-after-the-end",
            "an attempt is written once its line is up, though its request is over",
            "sale-uncancelled",
        ),
        *(ON, ev.Up, _up_writes_all),
    ),
    Bug(
        *("overdue-waits", "the guard on a request's time waits for its attempts", "sale-uncancelled"),
        *(ON, ev.Settle, _overdue_waits),
        lasts=True,
    ),
    Bug(
        "refuses-always",
        "a request that may have run is refused",
        "sale-small",
        requests,
        "final",
        _refuses_always,
    ),
    Bug(
        *("sale-sent-again", "a sale that may have run is sent again", "sale-small"),
        *(requests, "may_send", _sends_sales_again),
    ),
    Bug(
        *("window-from-last", "the window counts from the last attempt", "listing-window"),
        *(requests, "may_send", partial(_may_send, -1, True, True)),
    ),
    Bug(
        *("window-for-choosing", "the window leaves no time to connect (this program's)", "listing-small"),
        *(requests, "may_send", partial(_may_send, 0, False, True)),
    ),
    Bug(
        *("first-is-answered", "answers are taken in the order of calls", "calls-two"),
        *(ON, ev.Answered, _first_is_answered),
    ),
    Bug(
        *("unsent-from-the-front", "the first calls count as held back, not the last", "calls-two"),
        *(connections, "is_unsent", _unsent_from_the_front),
    ),
    Bug(
        *("given-up-with-others", "giving one call up ends the others on its connection", "calls-two"),
        *(Lives, "_give_up_shared", _given_up_with_the_others),
    ),
    Bug(
        *("joins-without-bound", "a connection takes any number of calls", "calls-three"),
        *(Lives, "_joinable", _joins_any),
    ),
    Bug(
        *("joins-old-lives", "a call joins a connection to an earlier life", "calls-drain"),
        *(Lives, "_joinable", _joins_old_lives),
    ),
    Bug(
        *("unusable-takes-all", "the calls on a line found ended are all sent again", "calls-two"),
        *(ON, ev.Unusable, _unusable_takes_all),
    ),
    Bug(
        *("stays-in-line", "a connection that has ended can still be joined", "calls-two"),
        *(Lives, "_remove_joinable", _stays_in_line),
    ),
    Bug(
        *("breaks-the-first-only", "the end of a connection ends one of its calls", "calls-two"),
        *(Lives, "_end_calls", _break_the_first),
    ),
    Bug(
        *("group-ignored", "a listing goes to another cell", "listing-cells"),
        *(requests, "may_send", partial(_may_send, 0, True, False)),
    ),
    Bug(
        *("begun-and-sent-again", "a request whose answer has begun is sent again", "long-small"),
        *(ON, ev.Begun, _begun_still_owed),
    ),
    Bug(
        *("cut-as-whole", "an answer that breaks off is passed on as whole", "long-small"),
        *(Lives, "_end_calls", _break_as_whole),
    ),
    Bug(
        *("left-and-passed-on", "an answer goes on although its client has left", "long-small"),
        *(Lives, "_cut_off_response", _cut_nothing),
    ),
    Bug(
        *("begun-for-nobody", "an answer begins for a request that has its outcome", "long-uncancelled"),
        *(ON, ev.Begun, _begun_for_nobody),
    ),
    Bug(
        *("open-sale-loosened", "a new effect binds an open sale", "policy-sale-retune"),
        *(Balancer, "on_retune", _retune_open_ones),
    ),
    Bug(
        *("dropped-and-orphaned", "an open request of a dropped class is forgotten", "policy-sale-drop"),
        *(Balancer, "on_retune", _retune_orphans),
    ),
    Bug(
        *("new-one-waits", "the old process stops accepting before the new one begins", takeover.NAME),
        *(shares, "accepts", _accepts_late),
    ),
    Bug(
        *("old-word-believed", "an older process is taken to hold what it told long ago", takeover.SLOW_NAME),
        *(shares, "_held_by", _keeps_as_told),
    ),
    Bug(
        *("left-to-the-dead", "room left to one that died is taken for one's own", takeover.SLOW_NAME),
        *(shares, "_held_by", _keeps_for_any),
    ),
    Bug(
        *("both-accept", "the old process goes on accepting beside a new one", takeover.NAME),
        *(shares, "accepts", _accepts_beside),
    ),
    Bug(
        *("never-again", "the first process does not accept again when the new one dies", takeover.NAME),
        *(shares, "accepts", _accepts_after_none),
        lasts=True,
    ),
    Bug(
        *("two-budgets", "each process has all descriptors for itself", takeover.NAME),
        *(shares, "share", _share_of_all),
    ),
    Bug(
        *("kept-not-told", "the old process tells less than it holds", takeover.NAME),
        *(shares, "share", _share_unheld),
    ),
)
BY_NAME = {item.name: item for item in BUGS}
