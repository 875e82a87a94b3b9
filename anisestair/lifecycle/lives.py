"""The combined state machine of one sidecar: it assigns attempts to connections, and propagates the end of
a connection, an endpoint or a request to the others.

The rules themselves are functions in the other modules of this package.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisestair.lifecycle import attempt as attempts
from anisestair.lifecycle import connection as connections
from anisestair.lifecycle import endpoint as endpoints
from anisestair.lifecycle import events as ev
from anisestair.lifecycle import exchange as exchanges
from anisestair.lifecycle.attempt import Attempt
from anisestair.lifecycle.connection import Call, Connection
from anisestair.lifecycle.endpoint import Endpoint
from anisestair.lifecycle.exchange import Exchange, Final
from hareloom.interface import Outcome

# Outcomes of attempts that were not sent whole. A request that the upstream rejected was sent whole.
NOT_FULLY_SENT = frozenset({Outcome.CONNECT_FAILED, Outcome.MOOT})


class Lives:
    """The tables of exchanges, connections, endpoints and idle connections. Every entry is an immutable
    value, so that copying the tables copies the whole state.

    ``most`` bounds the connections; one that is closed to make room no longer counts, and is gone within an
    iteration of the event loop. ``max_attempts`` bounds the attempts of one request. An exchange is removed
    with its last attempt, a connection when it is closed, an endpoint when the list no longer has it.
    """

    __slots__ = (
        *("connections", "endpoints", "exchanges", "idle", "idle_at", "incarnations", "last", "lines"),
        *("max_attempts", "most", "owed", "passing", "tries"),
    )

    def __init__(self, most: int, max_attempts: int) -> None:
        self.most, self.max_attempts = most, max_attempts
        self.exchanges: dict[str, Exchange] = {}
        self.connections: dict[int, Connection] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.idle: dict[int, None] = {}  # unused connections of all endpoints, the longest idle first
        self.idle_at: dict[str, tuple[int, ...]] = {}  # the same by endpoint, the most recently used one last
        self.lines: dict[str, tuple[int, ...]] = {}  # connections that calls may join, by endpoint
        self.last = 0  # the number of the newest connection
        self.incarnations = 0
        self.passing = 0  # responses that are being streamed
        self.owed = 0  # requests that have no final outcome yet
        self.tries = 0  # attempts that were sent whole, since the start

    def handle(self, event: ev.Event) -> list[ev.Effect]:
        """Return the effects of one event, to be carried out in order. Effects of a further event may be
        carried out in between: the tables already reflect all effects returned.

        Raises ValueError for a `Take` whose id is already in use, and KeyError for a `Choose` of an unknown
        request: either would deliver the response of one exchange to another.
        """
        effects: list[ev.Effect] = []
        _ON[type(event)](self, effects, *event)
        return effects

    # Exchanges

    def _take(self, effects: list[ev.Effect], request: str) -> None:
        if request in self.exchanges:
            raise ValueError(f"request {request}: already in hand")
        self.exchanges[request] = exchanges.ACCEPTED
        self.owed += 1

    def _settle(self, effects: list[ev.Effect], request: str, final: Final) -> None:
        exchange = self.exchanges.get(request)
        if exchange is None:
            return
        if not exchange.owed:
            if final is Final.GONE:
                self._cut_off_response(effects, request, exchange)
            return
        self.exchanges[request] = exchange = self._mark_settled(exchange)
        if final is not Final.GONE:
            effects.append(ev.Reply(request, final, None))
        if final in exchanges.UNKNOWN_TO_BALANCER:
            effects.append(ev.Left(request))
        self._forget(effects, request, exchange)

    def _mark_settled(self, exchange: Exchange) -> Exchange:
        """Mark a request as having its final outcome; the only place that does so."""
        self.owed -= 1
        return exchanges.settled(exchange)

    def _forget(self, effects: list[ev.Effect], request: str, exchange: Exchange) -> None:
        if exchanges.forgettable(exchange):
            del self.exchanges[request]
            effects.append(ev.Forget(request))

    def _end(self, effects: list[ev.Effect]) -> None:
        for request, exchange in list(self.exchanges.items()):
            self._settle(effects, request, Final.OVERDUE)
            self._cut_off_response(effects, request, exchange)

    def _cut_off_response(self, effects: list[ev.Effect], request: str, exchange: Exchange) -> None:
        """Stop streaming the response of a request whose client has disconnected."""
        for number, attempt in enumerate(exchange.attempts):
            if attempt.stage is attempts.Stage.PASSING:
                self._close(effects, attempt.connection, self.connections[attempt.connection])
                self._passed(effects, (request, number), False)

    # Attempts

    def _choose(self, effects: list[ev.Effect], request: str, server: str, in_time: bool) -> None:
        exchange = self.exchanges[request]
        call = (request, len(exchange.attempts))
        if not exchange.owed or not in_time or call[1] >= self.max_attempts:
            self._ended(effects, call, Outcome.MOOT)
        elif not endpoints.accepts_new_calls(endpoint := self.endpoints.get(server)):
            self._ended(effects, call, Outcome.CONNECT_FAILED)
        else:
            assert endpoint is not None
            self._assign_connection(effects, call, server, endpoint)

    def _assign_connection(
        self, effects: list[ev.Effect], call: Call, server: str, endpoint: Endpoint
    ) -> None:
        """Assign a call to the most recently used idle connection, else to a new one. Where connections are
        shared, the call joins the one with the fewest calls; a new one is opened only when all are full, so
        that connections stay few and the queue on each stays bounded."""
        if endpoint.calls > 1 and (number := self._joinable(server, endpoint)):
            self._join(effects, call, number)
        elif endpoint.calls == 1 and (idle := self.idle_at.get(server)):
            number = idle[-1]
            self._take_idle(number, server, idle[:-1])
            self.connections[number] = connections.with_call(self.connections[number], call)
            # Counts as sent before it is written: if the write fails, the request may have been executed.
            self._set_attempt(call, Attempt(attempts.Stage.OUT, number, True))
            effects.append(ev.Write(number, call, True))
        elif len(self.connections) >= self.most and not self._evict_idle(effects):
            self._ended(effects, call, Outcome.MOOT)  # a local limit, no failure of the upstream
        else:
            self.last = number = self.last + 1
            shared = endpoint.calls > 1
            self.connections[number] = Connection(
                connections.Stage.CONNECTING, server, endpoint.incarnation, (call,), 0, shared
            )
            if shared:
                self.lines[server] = (*self.lines.get(server, ()), number)
            self._set_attempt(call, Attempt(attempts.Stage.CONNECTING, number, False))
            effects.append(ev.Open(number, server))

    def _joinable(self, server: str, endpoint: Endpoint) -> int:
        """Return the connection that a further call joins: established ones first, then the one with the
        fewest calls; 0 if there is none."""
        best, rank = 0, (True, endpoint.calls)
        for number in self.lines.get(server, ()):
            connection = self.connections[number]
            if endpoints.may_keep(endpoint, connection) and len(connection.calls) < endpoint.calls:
                own = (connection.stage is connections.Stage.CONNECTING, len(connection.calls))
                if own < rank:
                    best, rank = number, own
        return best

    def _join(self, effects: list[ev.Effect], call: Call, number: int) -> None:
        connection = self.connections[number]
        if connection.stage is connections.Stage.CONNECTING:
            self.connections[number] = connection._replace(calls=(*connection.calls, call))
            self._set_attempt(call, Attempt(attempts.Stage.CONNECTING, number, False))
            return
        self._remove_idle(number, connection)
        self.connections[number] = connections.with_call(connection, call)
        self._set_attempt(call, Attempt(attempts.Stage.OUT, number, True))
        effects.append(ev.Write(number, call, True))

    def _set_attempt(self, call: Call, attempt: Attempt) -> None:
        """Set the state of an attempt and count it as sent while its stage is OUT."""
        request, number = call
        exchange = self.exchanges[request]
        if number < len(exchange.attempts) and exchange.attempts[number].stage is attempts.Stage.OUT:
            self.tries -= 1
        if attempt.stage is attempts.Stage.OUT:
            self.tries += 1
        self.exchanges[request] = exchanges.with_attempt(exchange, number, attempt)

    def _ended(self, effects: list[ev.Effect], call: Call, outcome: Outcome) -> None:
        """End an attempt. A successful response is the final outcome of a request that has none yet."""
        request, number = call
        exchange = self.exchanges[request]
        if outcome in NOT_FULLY_SENT and number < len(exchange.attempts):
            self.tries -= exchange.attempts[number].stage is attempts.Stage.OUT
        exchange = exchanges.with_attempt(exchange, number, attempts.ended(outcome))
        if outcome is Outcome.OK and exchange.owed:
            exchange = self._mark_settled(exchange)
            effects.append(ev.Reply(request, Final.SERVED, number))
        self.exchanges[request] = exchange
        effects.append(ev.Ended(request, number, outcome, not exchange.owed))
        self._forget(effects, request, exchange)

    def _passed(self, effects: list[ev.Effect], call: Call, whole: bool) -> None:
        """End a streamed response. The balancer has already been informed of the end of the attempt."""
        request, number = call
        exchange = exchanges.with_attempt(self.exchanges[request], number, attempts.ENDED_MAY_HAVE_RUN)
        self.exchanges[request] = exchange
        self.passing -= 1
        effects.append(ev.Passed(request, whole))
        self._forget(effects, request, exchange)

    def _give_up(self, effects: list[ev.Effect], request: str, number: int, why: Outcome) -> None:
        exchange = self.exchanges.get(request)
        if exchange is None or number >= len(exchange.attempts):
            return
        attempt = exchange.attempts[number]
        if attempt.stage in attempts.FINISHED_STAGES:
            return
        connection = self.connections[attempt.connection]
        if connection.stage is connections.Stage.CONNECTING:  # it keeps connecting, for use by the next call
            self.connections[attempt.connection] = connections.without_call(connection, (request, number))
        elif connection.shared:
            self._give_up_shared(effects, attempt.connection, (request, number), why)
        else:
            # While the connection is open the attempt is still in progress, and keeping it until the response
            # arrives saves no handshakes.
            self._close(effects, attempt.connection, connection)
        self._ended(effects, (request, number), attempts.outcome_of_abandonment(attempt, why))

    def _give_up_shared(self, effects: list[ev.Effect], number: int, call: Call, why: Outcome) -> None:
        """Remove one call from a shared connection; the other calls go on, and its late response is dropped
        by the reader. After a timeout no more calls join, or an unresponsive server would get every call on
        a connection that never fails."""
        connection = connections.without_call(self.connections[number], call)
        if why is Outcome.TIMEOUT:
            connection = connections.retired(connection)
        if connection.calls:
            self.connections[number] = connection
        else:
            self._release(effects, number, connection)

    # Connections

    def _up(self, effects: list[ev.Effect], number: int) -> None:
        connection = self.connections.get(number)
        if connection is None or connection.stage is not connections.Stage.CONNECTING:
            return
        for call in connection.calls:
            if not self.exchanges[call[0]].owed:  # a request with a final outcome is not sent
                connection = connections.without_call(connection, call)
                self._ended(effects, call, Outcome.MOOT)
        self.connections[number] = connection = connections.established(connection)
        for call in connection.calls:
            self._set_attempt(call, Attempt(attempts.Stage.OUT, number, True))
            effects.append(ev.Write(number, call, False))
        if not connection.calls:
            self._release(effects, number, connection)

    def _not_up(self, effects: list[ev.Effect], number: int, short: bool) -> None:
        connection = self.connections.get(number)
        if connection is None or connection.stage is not connections.Stage.CONNECTING:
            return
        del self.connections[number]
        self._remove_joinable(number, connection)
        for call in connection.calls:
            self._ended(effects, call, Outcome.MOOT if short else Outcome.CONNECT_FAILED)

    def _unusable(self, effects: list[ev.Effect], number: int, call: Call) -> None:
        connection = self.connections.get(number)
        if connection is None or call not in connection.calls:
            return
        self._close(effects, number, connection)
        endpoint = self.endpoints.get(connection.server)
        if endpoints.accepts_new_calls(endpoint):
            assert endpoint is not None
            self._assign_connection(effects, call, connection.server, endpoint)
        else:
            self._ended(effects, call, Outcome.CONNECT_FAILED)
        self._end_calls(
            effects, connections.without_call(connection, call), attempts.outcome_of_lost_connection
        )

    def _held(self, effects: list[ev.Effect], number: int, unsent: int) -> None:
        connection = self.connections.get(number)
        if connection is None or connection.stage is not connections.Stage.CARRYING:
            return
        self.connections[number] = connection = connections.with_unsent(connection, unsent)
        for call in connection.calls:
            if self._is_passing(call):  # its response has already begun
                continue
            partly = connections.is_unsent(connection, call)
            self._set_attempt(
                call, Attempt(attempts.Stage.WRITING if partly else attempts.Stage.OUT, number, not partly)
            )

    def _answered(
        self, effects: list[ev.Effect], number: int, call: Call, outcome: Outcome, clean: bool
    ) -> None:
        connection = self.connections.get(number)
        if connection is None or connection.stage is connections.Stage.SPENT:
            return
        if call not in connection.calls:  # unsolicited; without multiplexing, later responses are wrong too
            if not connection.shared:
                self._spoilt(effects, number)
            return
        # A response before its request was sent whole: the unsent rest would precede the next request.
        clean = clean and not connections.is_unsent(connection, call)
        passing = self._is_passing(call)
        connection = connections.without_call(connection, call)
        if not clean:
            self._close(effects, number, connection)
        elif connection.calls:
            self.connections[number] = connection
        else:
            self._release(effects, number, connection)
        if passing:
            self._passed(effects, call, True)
        else:
            self._ended(effects, call, outcome)
        if not clean:
            self._end_calls(effects, connection, attempts.outcome_of_lost_connection)

    def _is_passing(self, call: Call) -> bool:
        return self.exchanges[call[0]].attempts[call[1]].stage is attempts.Stage.PASSING

    def _begun(self, effects: list[ev.Effect], number: int, call: Call) -> None:
        """Start streaming a response; no other attempt follows. The end of the attempt is reported to the
        balancer now, since the rest is paced by the client and is no measure of the server."""
        connection = self.connections.get(number)
        if connection is None or call not in connection.calls or self._is_passing(call):
            return
        request, at = call
        exchange = self.exchanges[request]
        if not exchange.owed:  # the request already has its final outcome
            self._close(effects, number, connection)
            self._ended(effects, call, Outcome.OK)
            return
        passing = Attempt(attempts.Stage.PASSING, number, True)
        self.exchanges[request] = exchanges.with_attempt(self._mark_settled(exchange), at, passing)
        self.passing += 1
        effects.append(ev.Reply(request, Final.SERVED, at))
        effects.append(ev.Ended(request, at, Outcome.OK, True))

    def _spoilt(self, effects: list[ev.Effect], number: int) -> None:
        connection = self.connections.get(number)
        if connection is None or connection.stage is connections.Stage.SPENT:
            return
        self._close(effects, number, connection)
        self._end_calls(effects, connection, attempts.outcome_of_unreadable_response)

    def _lost(self, effects: list[ev.Effect], number: int) -> None:
        connection = self.connections.get(number)
        if connection is None:
            return
        self._remove_idle(number, connection)
        self._remove_joinable(number, connection)
        del self.connections[number]
        self._end_calls(effects, connection, attempts.outcome_of_lost_connection)

    def _end_calls(
        self, effects: list[ev.Effect], connection: Connection, how: Callable[[Attempt], Outcome]
    ) -> None:
        for call in connection.calls:
            if self._is_passing(call):
                self._passed(effects, call, False)
            else:
                self._ended(effects, call, how(self.exchanges[call[0]].attempts[call[1]]))

    def _expire(self, effects: list[ev.Effect], number: int) -> None:
        connection = self.connections.get(number)
        if connection is not None and connection.stage in connections.UNUSED_STAGES:
            self._close(effects, number, connection)

    def _release(self, effects: list[ev.Effect], number: int, connection: Connection) -> None:
        """Keep a connection without calls idle for its next call if it may be kept, else close it."""
        if endpoints.may_keep(self.endpoints.get(connection.server), connection):
            self.connections[number] = connection
            self.idle_at[connection.server] = (*self.idle_at.get(connection.server, ()), number)
            self.idle[number] = None
            effects.append(ev.Rest(number))
        else:
            self._close(effects, number, connection)

    def _close(self, effects: list[ev.Effect], number: int, connection: Connection) -> None:
        self._remove_idle(number, connection)
        self._remove_joinable(number, connection)
        self.connections[number] = connections.closing(connection)
        effects.append(ev.Close(number))

    def _remove_idle(self, number: int, connection: Connection) -> None:
        """Remove a connection from the tables of idle connections."""
        if number in self.idle:
            idle = self.idle_at[connection.server]
            self._take_idle(number, connection.server, tuple(item for item in idle if item != number))

    def _remove_joinable(self, number: int, connection: Connection) -> None:
        """Remove a connection from the table of those that calls may join."""
        if connection.shared and number in (lines := self.lines.get(connection.server, ())):
            if len(lines) == 1:
                del self.lines[connection.server]
            else:
                self.lines[connection.server] = tuple([item for item in lines if item != number])

    def _take_idle(self, number: int, server: str, others: tuple[int, ...]) -> None:
        del self.idle[number]
        if others:
            self.idle_at[server] = others
        else:
            del self.idle_at[server]

    def _room(self, effects: list[ev.Effect], most: int) -> None:
        """Set the connection limit and close as many idle connections as exceed it."""
        self.most = most
        over = len(self.connections) - most
        for number in list(self.idle)[: max(over, 0)]:
            self._close(effects, number, self.connections[number])

    def _evict_idle(self, effects: list[ev.Effect]) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        for number in self.idle:
            self._close(effects, number, self.connections[number])
            return True
        return False

    # Endpoints

    def _listed(self, effects: list[ev.Effect], entries: tuple[ev.Listing, ...], whole: bool) -> None:
        """Apply an endpoint list. Upstreams are replaced continually, so removed endpoints leave the table at
        once; only their connections remain until they are closed."""
        named = {entry.server for entry in entries if entry.life is not None}
        gone = {entry.server for entry in entries if entry.life is None}
        if whole:
            gone |= self.endpoints.keys() - named
        changed = gone & self.endpoints.keys()
        for server in changed:
            self._close_idle(effects, server)
            del self.endpoints[server]
        for entry in entries:
            if entry.life is None:
                continue
            old = self.endpoints.get(entry.server)
            if old is not None and (old.life, old.ready, old.calls) == (entry.life, entry.ready, entry.calls):
                continue
            if old is not None:
                changed.add(entry.server)
                if old.life != entry.life or not entry.ready:
                    self._close_idle(effects, entry.server)
            if old is None or old.life != entry.life:
                self.incarnations += 1
                self.endpoints[entry.server] = Endpoint(
                    entry.ready, self.incarnations, entry.life, entry.calls
                )
            else:
                self.endpoints[entry.server] = Endpoint(entry.ready, old.incarnation, entry.life, entry.calls)
        if changed:
            self._end_waiting_attempts(effects, changed)

    def _close_idle(self, effects: list[ev.Effect], server: str) -> None:
        for number in self.idle_at.get(server, ()):
            self._close(effects, number, self.connections[number])

    def _end_waiting_attempts(self, effects: list[ev.Effect], changed: set[str]) -> None:
        """End attempts that wait for a connection to an endpoint that accepts no new calls. Sent once it is
        established, they would follow the notice of the drain, or reach another server at that address."""
        for number, connection in list(self.connections.items()):
            if connection.server not in changed or connection.stage is not connections.Stage.CONNECTING:
                continue
            if not endpoints.may_keep(self.endpoints.get(connection.server), connection):
                for call in connection.calls:
                    self.connections[number] = connections.without_call(self.connections[number], call)
                    self._ended(effects, call, Outcome.CONNECT_FAILED)


_ON: dict[type, Callable[..., Any]] = {
    ev.Take: Lives._take,
    ev.Choose: Lives._choose,
    ev.Settle: Lives._settle,
    ev.GiveUp: Lives._give_up,
    ev.Up: Lives._up,
    ev.NotUp: Lives._not_up,
    ev.Unusable: Lives._unusable,
    ev.Held: Lives._held,
    ev.Answered: Lives._answered,
    ev.Begun: Lives._begun,
    ev.Spoilt: Lives._spoilt,
    ev.Expire: Lives._expire,
    ev.Lost: Lives._lost,
    ev.Listed: Lives._listed,
    ev.Room: Lives._room,
    ev.End: Lives._end,
}
