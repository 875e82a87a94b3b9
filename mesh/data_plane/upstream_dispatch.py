"""The second hop: calls from other sidecars, and from this one, to the upstream beside it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from anisestair.http import codec as http
from mesh.admission.buffer_budget import SHORT, BufferBudget, Reservation
from mesh.admission.call_sessions import Kept
from mesh.admission.fair_share import Shares
from mesh.admission.final_check import Passed, Turned, Why, judge, places
from mesh.admission.repeat_runs import RepeatRuns
from mesh.admission.wait_queue import Line, Lowest
from mesh.data_plane.call_messages import Call, End, NotExecuted, Unclear, UpstreamResponse
from mesh.data_plane.call_state import SECOND_HOP_TABLE, Event, State, event_of
from mesh.data_plane.traces import SecondHop
from mesh.data_plane.upstream_connections import Answered, NotSent, Outcome, Tap, TapConnection
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.instance_lifecycle import InstanceUpdate, Upstream

# Written anew here, whatever was sent; the first hop leaves them out, earlier ones did not.
OURS = frozenset({b"time-remaining", b"target-instance", b"calling-service", b"attempt-id"})
TELLING = frozenset({b"plant-load", b"not-executed"})  # for this hop, not for the client
OVER = frozenset({State.ANSWERED, State.WITHDRAWN, State.ENDED})
# Members of an enumeration are found slowly, and these are asked for with every call.
READ, WITHDRAWN, PLACE = State.READ, State.WITHDRAWN, Event.PLACE
UNSHARED_BYTES = 64 * 1024 * 1024  # of messages, until `share` says
LATE_S = 0.25  # an upstream that says nothing this long after its deadline is not waited for


class Running:
    """A call that waits for a place, or has been passed on."""

    __slots__ = ("began", "call", "came", "connection", "ended", "expiry", "hold", "kept", "state", "task")

    def __init__(self, call: Call, ended: Callable[[End], None], came: float) -> None:
        self.call, self.ended, self.came = call, ended, came
        self.began = 0.0  # when it was passed on
        self.state = READ
        self.kept: Kept[End] | None = None  # what outlasts its link
        self.hold: Reservation | None = None  # its body's memory, where it came over a link
        self.connection: TapConnection | None = None
        self.expiry: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def on(self, event: Event) -> bool:
        """Takes the event; False where it has no effect in this state."""
        state = SECOND_HOP_TABLE.get((self.state, event))
        if state is None:
            return False
        self.state = state
        return True

    @property
    def done(self) -> bool:
        return self.state in OVER


class UpstreamDispatch:
    def __init__(
        self,
        upstream: Upstream,
        tap: Tap,
        event_log: EventLog,
        publish: Callable[[list[InstanceUpdate]], None],
    ) -> None:
        self.upstream, self.tap, self._event_log, self._publish = upstream, tap, event_log, publish
        self._loop = asyncio.get_running_loop()
        self.running: set[Running] = set()  # at the upstream
        self.line, self.lowest, self.shares = Line(), Lowest(), Shares()
        self.repeats = RepeatRuns()  # at the upstream
        self.traces = SecondHop()
        self._alarm: asyncio.TimerHandle | None = None
        self._rings = 0.0  # when it does
        self._tasks: set[asyncio.Task[None]] = set()
        self.load: tuple[int, int, int] | None = None  # running, waiting, slots, as last told
        self.share(BufferBudget(UNSHARED_BYTES))
        self.newer: Callable[[Call], list[Any] | None] = (
            lambda call: None
        )  # what its route should be, if not so
        self.holds: Callable[[Call], bool] = lambda call: True  # whether its upstream holds the call's key

    def share(self, buffers: BufferBudget) -> None:
        """The memory for bodies, answers and frames, which the clients' side uses as well."""
        self.bodies, self.answers, self.frames = buffers.bodies, buffers.answers, buffers.frames
        self.tap.answers = buffers.answers

    def now(self) -> float:
        return self._loop.time() * 1000.0

    def take(self, call: Call, ended: Callable[[End], None]) -> Running | None:
        """``ended`` is called once, at once where the call is turned away, unless it is dropped."""
        now = self.now()
        if call.route and not call.accept_stale_route and (newer := self.newer(call)) is not None:
            end = NotExecuted(Why.OLD, newer_item=newer)
            self.traces.ended(now, call, now, 0.0, end)
            ended(end)
            return None
        verdict = judge(now, self.upstream, call.instance, call.remaining_ms)
        if isinstance(verdict, Passed) and not self.holds(call):
            verdict = Turned(Why.OTHER)
        if isinstance(verdict, Turned):
            self.traces.ended(now, call, now, 0.0, NotExecuted(verdict.why))
            ended(NotExecuted(verdict.why))
            return None
        running = Running(call, ended, now)
        self.shares.came(now, call.rank)
        at_once, waiting = places(self.upstream)
        patience = call.extended_wait_ms if self.lowest.over(now, call.rank) else call.max_wait_ms
        if len(self.running) < at_once:
            self._start(running)
        elif patience <= 0.0:
            self.traces.ended(now, call, now, 0.0, NotExecuted(Why.FULL))
            ended(NotExecuted(Why.FULL))
            return None
        else:
            running.on(Event.NO_PLACE)
            over = self.line.add(running, call.rank, now + patience, waiting, self.shares.behind())
            if isinstance(over, Running):
                self._turn_away(over, Why.FULL)
            self._wake(now)
        return running

    def _start(self, running: Running) -> None:
        running.state = SECOND_HOP_TABLE[running.state, PLACE]
        if running.kept is not None:
            running.kept.waits = False
        call, running.began = running.call, self.now()
        call.remaining_ms -= running.began - running.came
        self.running.add(running)
        if call.repeat:
            self.repeats.began(running, running.began + call.remaining_ms)
        self.shares.passed(call.rank)
        running.expiry = self._loop.call_later(call.remaining_ms / 1000.0 + LATE_S, self._expire, running)
        running.task = task = self._loop.create_task(self._pass(running))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _turn_away(self, running: Running, why: Why) -> None:
        if running.on(Event.TURNED_AWAY):
            self.traces.ended(self.now(), running.call, running.came, 0.0, NotExecuted(why))
            running.ended(NotExecuted(why))

    def _next(self) -> None:
        """Places that are free go to those that wait."""
        at_once, _ = places(self.upstream)
        while len(self.running) < at_once and (running := self.line.next(self.shares.behind())) is not None:
            assert isinstance(running, Running)
            call = running.call
            verdict = judge(
                self.now(), self.upstream, call.instance, call.remaining_ms - self.now() + running.came
            )
            if isinstance(verdict, Turned):
                self._turn_away(running, verdict.why)
            else:
                self._start(running)

    def _wake(self, now: float) -> None:
        """The alarm for the next whose patience ends."""
        end = self.line.end()
        if end is None or self._alarm is not None and self._rings <= end:
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._rings = end
        self._alarm = self._loop.call_later(max(end - now, 0.0) / 1000.0, self._out_of_patience)

    def _out_of_patience(self) -> None:
        self._alarm = None
        now = self.now()
        for running in self.line.over(now + 0.5):
            assert isinstance(running, Running)
            self._turn_away(running, Why.FULL)
        self._wake(now)

    def leave(self) -> None:
        """This process ends: what still waits for a place never runs."""
        for running in self.line.over(math.inf):
            assert isinstance(running, Running)
            self._turn_away(running, Why.LEAVING)

    def drop(self, running: Running, event: Event = Event.GIVEN_UP) -> None:
        """The first hop waits no more, or asks back after a call that waits here."""
        if not running.on(event) or self.line.drop(running):
            return
        self._forget(running)
        if running.connection is not None:
            running.connection.drop()

    async def _pass(self, running: Running) -> None:
        call = running.call
        headers = [item for item in call.headers if item[0] not in OURS]
        headers += [
            (b"attempt-id", call.attempt.encode("latin-1")),
            (b"time-remaining", b"%d" % max(int(call.remaining_ms), 1)),
            (b"target-instance", call.instance.encode("latin-1")),
            (b"calling-service", call.caller.encode("latin-1")),
        ]
        attempt, ended = call.attempt.encode("latin-1"), lambda outcome: self._end(running, outcome)
        if len(call.body) <= SHORT:
            payload = http.write_request(call.method, call.target, headers, call.body)
            connection = await self.tap.ask(attempt, payload, ended)
        else:  # a long body is not copied behind its head
            head = http.request_head(call.method, call.target, headers, len(call.body))
            connection = await self.tap.ask(attempt, head, ended, call.body)
        if connection is None:
            return
        if running.state is WITHDRAWN:
            connection.drop()
        elif running.state not in OVER:
            running.connection = connection

    def _expire(self, running: Running) -> None:
        if not running.done:
            if running.connection is not None:
                running.connection.drop()
            self._tell(running, Unclear("no answer in its time"), Event.TIME_OVER)

    def _forget(self, running: Running) -> None:
        self.running.discard(running)
        self.repeats.ended(running)
        if running.expiry is not None:
            running.expiry.cancel()
        if len(self.line):
            self._next()

    def _tell(self, running: Running, end: End, event: Event | None = None) -> None:
        state = SECOND_HOP_TABLE.get((running.state, event_of(end) if event is None else event))
        if state is not None:
            running.state = state
            self._forget(running)
            self.traces.ended(self.now(), running.call, running.came, running.began, end)
            running.ended(end)

    def _end(self, running: Running, outcome: Outcome) -> None:
        if running.state in OVER:
            return
        if isinstance(outcome, NotSent):
            if outcome.refused:
                self._publish(self.upstream.on_connection_refused(self.now()))
            self._tell(running, NotExecuted(Why.DOWN if outcome.refused else Why.FULL))
            return
        if not isinstance(outcome, Answered):
            self._event_log.tell(events.UNCLEAR, attempt=running.call.attempt, why=outcome.why)
            self._tell(running, Unclear(outcome.why))
            return
        message = outcome.message
        self._note_load(message.get(b"plant-load"))
        if message.status == 421:
            self._tell(running, NotExecuted(Why.OTHER, reached_upstream=True))
        elif message.get(b"not-executed") is not None:
            self._tell(running, NotExecuted(Why.FULL, reached_upstream=True))
        elif 200 <= message.status < 300 and not self._sealed(running, message):
            # Bytes that look like a success and are not the upstream's.
            self._tell(running, Unclear("a success without its seal or id"))
        else:
            headers = [item for item in message.end_to_end() if item[0] not in TELLING]
            self._tell(running, UpstreamResponse(message.status, headers, message.body, True, outcome.hold))

    def _sealed(self, running: Running, message: http.Message) -> bool:
        return bool(message.get(b"response-seal")) and message.get(b"attempt-id") == running.call.attempt

    def _note_load(self, told: str | None) -> None:
        parts = (told or "").split(",")
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            self.load = (int(parts[0]), int(parts[1]), int(parts[2]))
