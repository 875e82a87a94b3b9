"""Connections to upstreams: reads and writes their bytes and reports socket changes as lifecycle events."""

from __future__ import annotations

import asyncio
import errno
import math
import select
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, cast

from anisestair.endpoints import Address
from anisestair.flow.budget import Body, Budget
from anisestair.http import codec as http
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.connection import Call
from hareloom import interface as api
from hareloom.interface import Outcome

# Idle connections are closed this long before the upstream closes them: a request that crosses its close is
# reset.
IDLE_MARGIN_MS = 500.0

# The idle time up to which connections are reused is learned. Its candidates grow by this factor from the
# minimum; a connection idle for less than the minimum counts as fresh.
MIN_IDLE_LIMIT_S, IDLE_STEP_FACTOR = 0.05, 1.5
# A step is ruled out when the share of its connections that broke exceeds that of fresh ones by this much: a
# new connection costs time and work at the upstream, but less than a tenth of a request.
MAX_EXCESS_RESET_SHARE = 0.1
# A step's share is taken over about this many recent uses, plus this many assumed successes, so that a single
# random reset does not rule it out. Uses decay with this time constant: a step that is ruled out gets no new
# samples, and is tried again after some minutes.
SAMPLE_WINDOW, ASSUMED_SUCCESSES, SAMPLE_DECAY_S = 50.0, 4.0, 60.0

# Connect errors caused by a shortage of local resources.
LOCAL_SHORTAGE_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)

# A response of unknown length is buffered for this long before it is streamed; until then, another
# attempt can replace it. This delays the first byte of slow responses by as much.
STREAM_DELAY_S = 0.1
STALL_TIMEOUT_S = 10.0  # a started response without data for this long is treated as broken off

Feed = Callable[[ev.Event], None]


def outcome_of(answer: http.Message) -> Outcome:
    if answer.status == HTTPStatus.OK:
        return Outcome.OK
    # Without this header, a 503 or 504 may come from an intermediary after the request has run.
    if answer.status in (503, 504) and answer.get(b"x-unprocessed") == "1":
        return Outcome.FULL
    return Outcome.ERROR


class IdleLimit:
    """The idle time up to which a connection is reused, learned from the resets of requests on reused ones.

    Covers peers that close earlier than they announce, and intermediaries that drop connections without
    notice until the next request fails. Fresh connections are the baseline: resets with another cause (a
    failed upstream, a bad network) change nothing. One limit is learned for all upstreams, since a single one
    gives few samples. The drawback: if only a few close early, the connections of all are closed early, at
    worst after MIN_IDLE_LIMIT_S, and new ones cost time and work. Losses without a reset are not counted,
    since an overload looks the same."""

    def __init__(self, longest: float) -> None:
        self._longest = self.bound = longest
        self._uses, self._resets = [0.0], [0.0]  # index 0: fresh connections, then one entry per step
        edge = MIN_IDLE_LIMIT_S
        while edge < longest:
            self._uses.append(0.0)
            self._resets.append(0.0)
            edge *= IDLE_STEP_FACTOR
        self._decayed_at = 0.0

    def learn(self, idle: float, broke: bool, now: float) -> None:
        """Record a request on a connection that had been idle for ``idle`` seconds (0: a new one)."""
        step = (
            0
            if idle < MIN_IDLE_LIMIT_S
            else 1 + int(math.log(idle / MIN_IDLE_LIMIT_S) / math.log(IDLE_STEP_FACTOR))
        )
        step = min(step, len(self._uses) - 1)
        kept = min(SAMPLE_WINDOW / (self._uses[step] + 1.0), 1.0)
        self._uses[step] = (self._uses[step] + 1.0) * kept
        self._resets[step] = (self._resets[step] + broke) * kept
        if broke or now - self._decayed_at > 1.0:
            self._update_bound(now)

    def _update_bound(self, now: float) -> None:
        decay = math.exp((self._decayed_at - now) / SAMPLE_DECAY_S)
        self._decayed_at = now
        self._uses = [item * decay for item in self._uses]
        self._resets = [item * decay for item in self._resets]
        shares = [
            broken / (uses + ASSUMED_SUCCESSES) for uses, broken in zip(self._uses, self._resets, strict=True)
        ]
        out = (
            step for step, share in enumerate(shares) if step and share > shares[0] + MAX_EXCESS_RESET_SHARE
        )
        self.bound = min(
            (MIN_IDLE_LIMIT_S * IDLE_STEP_FACTOR ** (step - 1) for step in out), default=self._longest
        )


class UpstreamConnection(asyncio.BaseProtocol):
    """A connection of any protocol. The lifecycle machine tracks its state."""

    def __init__(self, pool: ConnectionPool, number: int) -> None:
        self.pool, self.number = pool, number
        self.transport: asyncio.Transport | None = None
        self.deadline: asyncio.TimerHandle | None = None  # for the connect
        self.idle_since: float | None = None  # seconds of the loop's clock; None before it is first idle

    def up(self, transport: asyncio.BaseTransport, watched: int) -> None:
        """Handle the established connection; poll events ``watched`` show that it cannot be reused."""
        self.wait(None)
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not derive from it
        # So that pause_writing is called as soon as one byte is buffered.
        self.transport.set_write_buffer_limits(high=0)
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), watched)
        self.pool.up(self)

    def wait(self, deadline: asyncio.TimerHandle | None) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = deadline

    def usable(self) -> bool:
        """Whether neither the event loop nor the kernel reports that the connection is closed."""
        assert self.transport is not None
        return not self.transport.is_closing() and not self.poll.poll(0)

    def rest(self) -> None:
        self.idle_since = self.pool.loop.time()
        self.pool.mark_idle(self)

    def close(self) -> None:
        self.wait(None)
        self.pool.mark_in_use(self)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.wait(None)
        self.pool.lost(self.number)


class HttpConnection(UpstreamConnection, http.Buffered):
    """An HTTP/1.1 connection, which carries one call at a time."""

    def __init__(self, pool: ConnectionPool, number: int) -> None:
        super().__init__(pool, number)
        self.call: Call | None = None  # the call that the next complete response belongs to
        self.reader = http.response_reader(budget=pool.budget)
        self.request_stream: Body | None = None  # the request body being streamed
        self.response_stream: Body | None = None  # the response body being streamed
        self.choked = self.streams_request = False
        self.last_data_at = 0.0  # when data last arrived, while a response is streamed
        self.timer: asyncio.TimerHandle | None = None  # for a response of unknown length, and a stalled one
        self.idle_before_request = 0.0  # seconds it had been idle when the current request was written
        self.reuse_recorded = True  # whether the result of that reuse has been recorded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.up(transport, select.POLLIN)

    def pause_writing(self) -> None:
        self.choked = True
        if self.request_stream is None:
            self.pool.feed(ev.Held(self.number, 1))

    def resume_writing(self) -> None:
        self.choked = False
        if self.request_stream is not None:
            self.request_stream.resume()
        else:
            self._left()

    def _left(self) -> None:
        """Report that the last byte of the request has been sent."""
        if self.call is not None and self.streams_request:
            self.streams_request = False
            self.pool.left(self.call)
        self.pool.feed(ev.Held(self.number, 0))

    def write(self, call: Call, payload: bytes, body: Body | None = None) -> None:
        assert self.transport is not None
        self.pool.mark_in_use(self)
        self.call = call
        self.idle_before_request = 0.0 if self.idle_since is None else self.pool.loop.time() - self.idle_since
        self.reuse_recorded = False
        if body is not None:
            self._send(payload, body)
            return
        self.transport.write(payload)
        if self.transport.is_closing():  # the write itself failed: nothing has been sent
            self.pool.feed(ev.Held(self.number, 1))

    # Streaming of a request body

    def _send(self, head: bytes, body: Body) -> None:
        """Start to stream a request. It counts as unsent until its last byte has gone, since an upstream does
        not run it before."""
        assert self.transport is not None
        self.request_stream, self.streams_request = body, True
        self.transport.set_write_buffer_limits(high=self.pool.budget.high_water_mark())
        self.pool.feed(ev.Held(self.number, 1))
        self.transport.write(head)
        body.attach(self)

    def part(self, data: bytes) -> None:
        if self.request_stream is not None and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data if self.request_stream.length is not None else http.chunk(data))

    def body_ended(self) -> None:
        assert self.transport is not None
        body, self.request_stream = self.request_stream, None
        if self.transport.is_closing():
            return
        if body is not None and body.length is None:
            self.transport.write(http.LAST_CHUNK)
        self.transport.set_write_buffer_limits(high=0)  # pauses at once if bytes are still buffered
        if not self.choked and not self.transport.get_write_buffer_size():
            self._left()

    def body_cut(self) -> None:
        self.request_stream = None  # the client has disconnected; this connection will be closed

    def usable(self) -> bool:
        """Whether it may be reused: not idle for too long, and nothing received meanwhile. The kernel is
        polled, since a close not yet read by this loop would leave unknown whether the next request ran."""
        if (
            self.idle_since is not None
            and self.pool.loop.time() - self.idle_since > self.pool.idle_limit.bound
        ):
            return False
        return super().usable()

    def learn(self, broke: bool) -> None:
        """Record, once for each request, whether the connection broke under it."""
        if not self.reuse_recorded:
            self.reuse_recorded = True
            self.pool.idle_limit.learn(self.idle_before_request, broke, self.pool.loop.time())

    def rest(self) -> None:
        self.call = None
        super().rest()

    def close(self) -> None:
        self.reuse_recorded = True  # a close by this side is no sample
        self._unbind()
        super().close()

    def _unbind(self) -> None:
        """Stop the streams and the timer of the current call."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.request_stream is not None:
            self.request_stream.detach(self)
            self.request_stream = None
        if self.response_stream is not None:
            self.response_stream.cut()
            self.response_stream = None

    def data_received(self, data: bytes) -> None:
        if self.call is None:  # no request is outstanding, so this is no valid response
            self.pool.feed(ev.Spoilt(self.number))
            return
        self.learn(broke=False)
        self.last_data_at = self.pool.loop.time()
        try:
            self.reader.feed(data)
        except http.BadMessage:
            if not self.answered():
                self.pool.feed(ev.Spoilt(self.number))
        else:
            self.answered()
        if self.response_stream is not None and self.response_stream.full and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> None:
        self.reader.end()
        self.answered()

    # Streaming of a response body

    def _begin(self, answer: http.Message) -> None:
        """Start to stream a response that is too long to be buffered, or slow and of unknown length."""
        assert self.call is not None and self.transport is not None and answer.stream is not None
        if outcome_of(answer) is not Outcome.OK:  # the status is all that is needed
            call, self.call = self.call, None
            answer.stream.drop()
            self.pool.answered(self.number, call, answer, outcome_of(answer), False)
            return
        self.response_stream = body = answer.stream
        body.resume = self._resume_reading
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.pool.loop.call_later(STALL_TIMEOUT_S, self._check_stall)
        self.pool.begun(self.number, self.call, answer)

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _check_stall(self) -> None:
        """Treat a response as broken off if it stalls while its client could receive more."""
        self.timer, body = None, self.response_stream
        if body is None:
            return
        if body.full:
            self.last_data_at = self.pool.loop.time()
        stalled = self.pool.loop.time() - self.last_data_at
        if stalled >= STALL_TIMEOUT_S:
            self.pool.feed(ev.Spoilt(self.number))
        else:
            self.timer = self.pool.loop.call_later(STALL_TIMEOUT_S - stalled, self._check_stall)

    def _start_streaming(self) -> None:
        self.timer = None
        if self.call is not None and self.response_stream is None:
            try:
                self.reader.begin()
            except http.BadMessage:
                self.pool.feed(ev.Spoilt(self.number))
            else:
                self.answered()

    def answered(self) -> bool:
        """Match the first complete response to the call. Further bytes would be taken for the next request's
        response, so the connection is not reused after them."""
        answers = self.reader.take()
        if self.response_stream is not None:
            return self._passed(answers)
        if not answers or self.call is None:
            if self.call is not None and self.timer is None and self.reader.open_ended:
                self.timer = self.pool.loop.call_later(STREAM_DELAY_S, self._start_streaming)
            return bool(answers)
        if answers[0].stream is not None:
            self._begin(answers[0])
            return self._passed(answers[1:])
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        call, self.call = self.call, None
        clean = len(answers) == 1 and not self.reader.partial and answers[0].keep_alive
        self.pool.answered(self.number, call, answers[0], outcome_of(answers[0]), clean)
        return True

    def _passed(self, behind: list[http.Message]) -> bool:
        """Whether the streamed response is complete; the connection is not reused if more follows it."""
        body = self.response_stream
        if body is None or not body.ended:
            return False
        call, self.call, self.response_stream = self.call, None, None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if call is not None:
            clean = not (behind or self.reader.partial) and self.reader.keep_alive
            self.pool.feed(ev.Answered(self.number, call, Outcome.OK, clean))
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.learn(broke=True)
        self._unbind()
        self.reader.close()
        super().connection_lost(exc)


class ConnectionPool:
    """All connections to upstreams, by the numbers that the lifecycle machine assigns.

    ``feed`` receives their events; ``arrived`` receives a response just before its event.
    """

    _idle_ms = 0.0

    def __init__(
        self,
        limits: api.Limits,
        feed: Feed,
        arrived: Callable[[Call, Any], None],
        left: Callable[[Call], None],
        budget: Budget,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.feed, self._arrived, self.left, self.budget = feed, arrived, left, budget
        self.retune(limits)
        self._connections: dict[int, UpstreamConnection] = {}
        self._idle: dict[int, UpstreamConnection] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def retune(self, limits: api.Limits) -> None:
        """Apply new limits to new connections; a changed idle time resets the learned idle limit."""
        self._connect_timeout = limits.connect_timeout_ms / 1000.0
        if limits.idle_ms != self._idle_ms:
            self._idle_ms = limits.idle_ms
            self.idle_limit = IdleLimit(max(limits.idle_ms - IDLE_MARGIN_MS, limits.idle_ms / 2.0) / 1000.0)

    def __getitem__(self, number: int) -> UpstreamConnection:
        return self._connections[number]

    def open(self, line: UpstreamConnection, address: Address) -> None:
        self._connections[line.number] = connection = line
        task = self.loop.create_task(self._open(connection, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Cancelled by connection_made, not by the end of the task: a timeout between the two would close a
        # connection that already carries a request, or leak one.
        connection.wait(self.loop.call_later(self._connect_timeout, self._not_up, connection, False, task))

    async def _open(self, connection: UpstreamConnection, address: Address) -> None:
        short = False
        try:
            await self.loop.create_connection(lambda: connection, *address)
            return
        except (OSError, UnicodeError) as fault:  # UnicodeError: an invalid host name
            short = isinstance(fault, OSError) and fault.errno in LOCAL_SHORTAGE_ERRNOS
        except asyncio.CancelledError:
            pass
        self._not_up(connection, short)

    def _not_up(
        self, connection: UpstreamConnection, short: bool, task: asyncio.Task[None] | None = None
    ) -> None:
        """Abandon a connect attempt at once. The task is cancelled only in a later iteration of the loop: a
        connection established in this one would get a request and then be closed without an event. Both
        happen together when the loop has been blocked for longer than the timeout."""
        if task is not None:
            task.cancel()
        if connection.transport is None and self._connections.pop(connection.number, None) is not None:
            connection.wait(None)
            self.feed(ev.NotUp(connection.number, short))

    def up(self, connection: UpstreamConnection) -> None:
        if connection.number in self._connections:
            self.feed(ev.Up(connection.number))
        else:  # abandoned in the same iteration in which it was established
            connection.close()

    def mark_idle(self, connection: UpstreamConnection) -> None:
        """Add an idle connection. One timer serves all, since they change with every request."""
        self._idle[connection.number] = connection
        if self._sweeper is None:
            self._sweeper = self.loop.call_later(self.idle_limit.bound, self._sweep)

    def mark_in_use(self, connection: UpstreamConnection) -> None:
        self._idle.pop(connection.number, None)

    def _sweep(self) -> None:
        """Expire the connections idle for too long; they are ordered by the start of their idle time."""
        self._sweeper, now = None, self.loop.time()
        for connection in list(self._idle.values()):
            due = (connection.idle_since or 0.0) + self.idle_limit.bound
            if due > now:
                self._sweeper = self.loop.call_at(due, self._sweep)
                return
            self.feed(ev.Expire(connection.number))

    def answered(self, number: int, call: Call, answer: Any, outcome: Outcome, clean: bool) -> None:
        self._arrived(call, answer)
        self.feed(ev.Answered(number, call, outcome, clean))

    def begun(self, number: int, call: Call, answer: Any) -> None:
        self._arrived(call, answer)
        self.feed(ev.Begun(number, call))

    def lost(self, number: int) -> None:
        self._idle.pop(number, None)
        if self._connections.pop(number, None) is not None:
            self.feed(ev.Lost(number))

    def close(self) -> None:
        self.feed = lambda event: None
        if self._sweeper is not None:
            self._sweeper.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in self._connections.values():
            connection.close()
