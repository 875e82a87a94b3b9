"""Connections to upstreams: their bytes, and what the sockets say of them, told as events."""

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

# Idle connections are closed this long before the upstream would: what crosses its closing ends as a reset.
IDLE_MARGIN_MS = 500.0

# The idle time up to which connections are used again is learnt, by steps of this factor from the least;
# below that a connection counts as fresh.
LIFE_LEAST_S, LIFE_STEP = 0.05, 1.5
# A step is out when so much larger a share of its connections broke than of fresh ones: a new connection
# costs time and an upstream's work, but less than a tenth of a request.
LIFE_WORTH = 0.1
# A step's share is over its last uses, about so many, with this many sound ones added, or one reset by chance
# would decide. Old uses fade with this time constant: nothing new is learnt about a step that is out, and it
# is tried again after some minutes.
LIFE_USES, LIFE_DOUBT, LIFE_FADES_S = 50.0, 4.0, 60.0

# A connection could not be opened for want of something on this side.
OWN_SHORTAGE = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL})

# An answer of no known length is kept so long for its end, before it goes on as it comes: until then another
# attempt can take its place. It hurts by so much where first bytes are timed and the last ones come late.
HELD_BACK_S = 0.1
STILL_S = 10.0  # an answer that has begun and brings nothing for so long has broken off

Feed = Callable[[ev.Event], None]


def outcome_of(answer: http.Message) -> Outcome:
    if answer.status == HTTPStatus.OK:
        return Outcome.OK
    # Without its mark a 503 or 504 may come from something in between, after the request has run.
    if answer.status in (503, 504) and answer.get(b"x-unprocessed") == "1":
        return Outcome.FULL
    return Outcome.ERROR


class IdleLimit:
    """How long a connection may stand idle and be used again, learnt from how requests on kept ones ended.

    It covers peers that let go sooner than they announce, and what lies between them and this, where no end
    can be seen before the next request is lost by it. Fresh connections are the measure: resets with another
    cause (an upstream that dies, a bad network) change nothing. It is learnt over all upstreams, as one alone
    sees few uses. It hurts where only few let go early: the others' connections are given up with theirs, at
    worst all that have been idle for LIFE_LEAST_S, and new ones cost time and work. What drops requests
    without a reset is not learnt from, since an overload looks the same."""

    def __init__(self, longest: float) -> None:
        self._longest = self.bound = longest
        self._uses, self._broken = [0.0], [0.0]  # fresh ones first, then step by step
        edge = LIFE_LEAST_S
        while edge < longest:
            self._uses.append(0.0)
            self._broken.append(0.0)
            edge *= LIFE_STEP
        self._faded = 0.0

    def learn(self, idle: float, broke: bool, now: float) -> None:
        """A request went out on a connection that had been idle for so long (0: a new one)."""
        step = 0 if idle < LIFE_LEAST_S else 1 + int(math.log(idle / LIFE_LEAST_S) / math.log(LIFE_STEP))
        step = min(step, len(self._uses) - 1)
        kept = min(LIFE_USES / (self._uses[step] + 1.0), 1.0)
        self._uses[step] = (self._uses[step] + 1.0) * kept
        self._broken[step] = (self._broken[step] + broke) * kept
        if broke or now - self._faded > 1.0:
            self._settle(now)

    def _settle(self, now: float) -> None:
        fades = math.exp((self._faded - now) / LIFE_FADES_S)
        self._faded = now
        self._uses = [item * fades for item in self._uses]
        self._broken = [item * fades for item in self._broken]
        shares = [broken / (uses + LIFE_DOUBT) for uses, broken in zip(self._uses, self._broken, strict=True)]
        out = (step for step, share in enumerate(shares) if step and share > shares[0] + LIFE_WORTH)
        self.bound = min((LIFE_LEAST_S * LIFE_STEP ** (step - 1) for step in out), default=self._longest)


class UpstreamConnection(asyncio.BaseProtocol):
    """A connection of any protocol. Where it is in its life is the machine's to know."""

    def __init__(self, pool: ConnectionPool, number: int) -> None:
        self.pool, self.number = pool, number
        self.transport: asyncio.Transport | None = None
        self.deadline: asyncio.TimerHandle | None = None  # for coming up
        self.idle_since: float | None = None  # on the loop's clock; None before its first rest

    def up(self, transport: asyncio.BaseTransport, watched: int) -> None:
        """It is there; ``watched`` are the events by which the kernel says that it can't be used again."""
        self.wait(None)
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are none by their class
        # So that pause_writing tells of the first byte kept back.
        self.transport.set_write_buffer_limits(high=0)
        self.poll = select.poll()
        self.poll.register(transport.get_extra_info("socket").fileno(), watched)
        self.pool.up(self)

    def wait(self, deadline: asyncio.TimerHandle | None) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = deadline

    def usable(self) -> bool:
        """Nothing is known, by this loop or the kernel, that would lose what is written to it now."""
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
    """HTTP/1.1: one call at a time."""

    def __init__(self, pool: ConnectionPool, number: int) -> None:
        super().__init__(pool, number)
        self.call: Call | None = None  # what the next whole answer is to
        self.reader = http.response_reader(budget=pool.budget)
        self.sending: Body | None = None  # the rest of a request's body, as it comes
        self.passing: Body | None = None  # the rest of an answer, as it goes on
        self.choked = self.uploaded = False
        self.moved = 0.0  # when something last came, where an answer is being passed on
        self.timer: asyncio.TimerHandle | None = (
            None  # for an answer of no known length, and one that stands still
        )
        self.idled = 0.0  # how long it had been idle when the request in hand was written
        self.learnt = True  # what became of that is known

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.up(transport, select.POLLIN)

    def pause_writing(self) -> None:
        self.choked = True
        if self.sending is None:
            self.pool.feed(ev.Held(self.number, 1))

    def resume_writing(self) -> None:
        self.choked = False
        if self.sending is not None:
            self.sending.resume()
        else:
            self._left()

    def _left(self) -> None:
        """The last byte of the request has gone."""
        if self.call is not None and self.uploaded:
            self.uploaded = False
            self.pool.left(self.call)
        self.pool.feed(ev.Held(self.number, 0))

    def write(self, call: Call, payload: bytes, body: Body | None = None) -> None:
        assert self.transport is not None
        self.pool.mark_in_use(self)
        self.call = call
        self.idled = 0.0 if self.idle_since is None else self.pool.loop.time() - self.idle_since
        self.learnt = False
        if body is not None:
            self._send(payload, body)
            return
        self.transport.write(payload)
        if self.transport.is_closing():  # the write itself failed: nothing has left
            self.pool.feed(ev.Held(self.number, 1))

    # A request whose body goes on as it comes

    def _send(self, head: bytes, body: Body) -> None:
        """It counts as being written until its last byte has gone: an upstream does not begin before that."""
        assert self.transport is not None
        self.sending, self.uploaded = body, True
        self.transport.set_write_buffer_limits(high=self.pool.budget.high_water_mark())
        self.pool.feed(ev.Held(self.number, 1))
        self.transport.write(head)
        body.attach(self)

    def part(self, data: bytes) -> None:
        if self.sending is not None and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data if self.sending.length is not None else http.chunk(data))

    def body_ended(self) -> None:
        assert self.transport is not None
        body, self.sending = self.sending, None
        if self.transport.is_closing():
            return
        if body is not None and body.length is None:
            self.transport.write(http.LAST_CHUNK)
        self.transport.set_write_buffer_limits(high=0)  # tells at once where something is still here
        if not self.choked and not self.transport.get_write_buffer_size():
            self._left()

    def body_cut(self) -> None:
        self.sending = None  # its client has left, and so will this connection

    def usable(self) -> bool:
        """Nothing may have come in while it stood idle. The kernel is asked, since an end that this loop has
        not read yet would turn the next request into one that may have run."""
        if (
            self.idle_since is not None
            and self.pool.loop.time() - self.idle_since > self.pool.idle_limit.bound
        ):
            return False
        return super().usable()

    def learn(self, broke: bool) -> None:
        """Once for each request: whether the connection still carried it."""
        if not self.learnt:
            self.learnt = True
            self.pool.idle_limit.learn(self.idled, broke, self.pool.loop.time())

    def rest(self) -> None:
        self.call = None
        super().rest()

    def close(self) -> None:
        self.learnt = True  # our own end of it says nothing
        self._unbind()
        super().close()

    def _unbind(self) -> None:
        """No more is read for anybody, or written."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.sending is not None:
            self.sending.detach(self)
            self.sending = None
        if self.passing is not None:
            self.passing.cut()
            self.passing = None

    def data_received(self, data: bytes) -> None:
        if self.call is None:  # nothing was asked: it is nobody's answer
            self.pool.feed(ev.Spoilt(self.number))
            return
        self.learn(broke=False)
        self.moved = self.pool.loop.time()
        try:
            self.reader.feed(data)
        except http.BadMessage:
            if not self.answered():
                self.pool.feed(ev.Spoilt(self.number))
        else:
            self.answered()
        if self.passing is not None and self.passing.full and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> None:
        self.reader.end()
        self.answered()

    # An answer that goes on as it comes

    def _begin(self, answer: http.Message) -> None:
        """Its first bytes are here, and it is too long to be kept; or it comes slowly, and has no known
        length."""
        assert self.call is not None and self.transport is not None and answer.stream is not None
        if outcome_of(answer) is not Outcome.OK:  # its status has said all
            call, self.call = self.call, None
            answer.stream.drop()
            self.pool.answered(self.number, call, answer, outcome_of(answer), False)
            return
        self.passing = body = answer.stream
        body.resume = self._go_on
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.pool.loop.call_later(STILL_S, self._look)
        self.pool.begun(self.number, self.call, answer)

    def _go_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _look(self) -> None:
        """An answer that stands still, though its client would take more, has broken off."""
        self.timer, body = None, self.passing
        if body is None:
            return
        if body.full:
            self.moved = self.pool.loop.time()
        still = self.pool.loop.time() - self.moved
        if still >= STILL_S:
            self.pool.feed(ev.Spoilt(self.number))
        else:
            self.timer = self.pool.loop.call_later(STILL_S - still, self._look)

    def _hold_back_no_longer(self) -> None:
        self.timer = None
        if self.call is not None and self.passing is None:
            try:
                self.reader.begin()
            except http.BadMessage:
                self.pool.feed(ev.Spoilt(self.number))
            else:
                self.answered()

    def answered(self) -> bool:
        """The first whole answer is the request's, whatever comes behind it; but what does would be the start
        of the next request's, so the connection is of no use any more."""
        answers = self.reader.take()
        if self.passing is not None:
            return self._passed(answers)
        if not answers or self.call is None:
            if self.call is not None and self.timer is None and self.reader.open_ended:
                self.timer = self.pool.loop.call_later(HELD_BACK_S, self._hold_back_no_longer)
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
        """Whether the answer that is being passed on is whole now; what comes behind it spoils the
        connection."""
        body = self.passing
        if body is None or not body.ended:
            return False
        call, self.call, self.passing = self.call, None, None
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
    """The sockets of all connections to upstreams, by the numbers that the machine gives them.

    ``feed`` takes what happens on them; ``arrived`` an answer, just before the event that tells of it.
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
        self._resting: dict[int, UpstreamConnection] = {}
        self._sweeper: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def retune(self, limits: api.Limits) -> None:
        """For connections from now on; what was learnt of idle ones is learnt anew where they may stand
        longer or shorter."""
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
        # Ended with its first sign of being up, not with the task: a time-out between the two would cut off a
        # connection that already carries a request, or leave one behind that nobody holds.
        connection.wait(self.loop.call_later(self._connect_timeout, self._not_up, connection, False, task))

    async def _open(self, connection: UpstreamConnection, address: Address) -> None:
        short = False
        try:
            await self.loop.create_connection(lambda: connection, *address)
            return
        except (OSError, UnicodeError) as fault:  # UnicodeError: a host name that is none
            short = isinstance(fault, OSError) and fault.errno in OWN_SHORTAGE
        except asyncio.CancelledError:
            pass
        self._not_up(connection, short)

    def _not_up(
        self, connection: UpstreamConnection, short: bool, task: asyncio.Task[None] | None = None
    ) -> None:
        """It is given up here and now. The task hears of its end only in a later turn, after what may have
        come in this one: a connection that came up there would carry a request, and be closed under it
        without a word to anybody. A loop that had stood still for longer than the time-out met both at
        once."""
        if task is not None:
            task.cancel()
        if connection.transport is None and self._connections.pop(connection.number, None) is not None:
            connection.wait(None)
            self.feed(ev.NotUp(connection.number, short))

    def up(self, connection: UpstreamConnection) -> None:
        if connection.number in self._connections:
            self.feed(ev.Up(connection.number))
        else:  # given up in the very turn in which it came up
            connection.close()

    def mark_idle(self, connection: UpstreamConnection) -> None:
        """One timer for all that rest: they come and go with every request."""
        self._resting[connection.number] = connection
        if self._sweeper is None:
            self._sweeper = self.loop.call_later(self.idle_limit.bound, self._sweep)

    def mark_in_use(self, connection: UpstreamConnection) -> None:
        self._resting.pop(connection.number, None)

    def _sweep(self) -> None:
        """End those that have rested for as long as one may; they lie in the order in which they began to."""
        self._sweeper, now = None, self.loop.time()
        for connection in list(self._resting.values()):
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
        self._resting.pop(number, None)
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
