"""The second hop: dispatches calls from other sidecars, and from this one, to the upstream beside it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from anisestair.http import codec as http
from mesh.admission.buffer_budget import SHORT_BODY_BYTES, BufferBudget, Reservation
from mesh.admission.call_sessions import SessionCall
from mesh.admission.fair_share import FairShare
from mesh.admission.final_check import Admitted, Rejected, RejectReason, call_limits, check_admission
from mesh.admission.repeat_runs import RepeatRuns
from mesh.admission.wait_queue import LowestRank, WaitQueue
from mesh.data_plane.call_messages import Call, End, NotExecuted, Unclear, UpstreamResponse
from mesh.data_plane.call_state import SECOND_HOP_TABLE, Event, State, event_of
from mesh.data_plane.traces import SecondHopTraces
from mesh.data_plane.upstream_connections import (
    ExchangeOutcome,
    NotSent,
    ResponseReceived,
    UpstreamConnection,
    UpstreamConnectionPool,
)
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.instance_lifecycle import InstanceUpdate, Upstream

# Always rewritten here. The first hop leaves them out, but older releases did not.
REWRITTEN_HEADERS = frozenset({b"time-remaining", b"target-instance", b"calling-service", b"attempt-id"})
PROXY_ONLY_HEADERS = frozenset({b"plant-load", b"not-executed"})  # read here and not passed on to the client
FINAL_STATES = frozenset({State.ANSWERED, State.WITHDRAWN, State.ENDED})
# Module constants, because an enum member lookup is slow and these are used for every call.
READ, WITHDRAWN, PLACE = State.READ, State.WITHDRAWN, Event.PLACE
DEFAULT_BUFFER_BYTES = 64 * 1024 * 1024  # for messages, until `use_buffers` is called
RESPONSE_GRACE_S = 0.25  # wait for a response after the call's deadline


class DispatchedCall:
    """A call that is queued or has been passed on to the upstream."""

    __slots__ = (
        "started_ms",
        "call",
        "received_ms",
        "connection",
        "on_end",
        "expiry_timer",
        "reservation",
        "entry",
        "state",
        "task",
    )

    def __init__(self, call: Call, on_end: Callable[[End], None], received_ms: float) -> None:
        self.call, self.on_end, self.received_ms = call, on_end, received_ms
        self.started_ms = 0.0  # when it was passed on; 0: not yet
        self.state = READ
        self.entry: SessionCall[End] | None = None  # kept by the session after its link is lost
        self.reservation: Reservation | None = None  # memory for a body that came over a link
        self.connection: UpstreamConnection | None = None
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def apply(self, event: Event) -> bool:
        """Applies the event. Returns False if it has no effect in this state."""
        state = SECOND_HOP_TABLE.get((self.state, event))
        if state is None:
            return False
        self.state = state
        return True

    @property
    def done(self) -> bool:
        return self.state in FINAL_STATES


class UpstreamDispatch:
    """The running and queued calls of the upstream beside this sidecar."""

    def __init__(
        self,
        upstream: Upstream,
        connections: UpstreamConnectionPool,
        event_log: EventLog,
        publish: Callable[[list[InstanceUpdate]], None],
    ) -> None:
        self.upstream, self.connections, self._event_log, self._publish = (
            upstream,
            connections,
            event_log,
            publish,
        )
        self._loop = asyncio.get_running_loop()
        self.running: set[DispatchedCall] = set()  # at the upstream
        self.queue, self.lowest, self.shares = WaitQueue(), LowestRank(), FairShare()
        self.repeats = RepeatRuns()  # repeats running at the upstream
        self.traces = SecondHopTraces()
        self._wait_timer: asyncio.TimerHandle | None = None
        self._wait_timer_ms = 0.0  # when the timer fires
        self._tasks: set[asyncio.Task[None]] = set()
        self.load: tuple[int, int, int] | None = None  # running, waiting, slots; last report
        self.use_buffers(BufferBudget(DEFAULT_BUFFER_BYTES))
        # The current item of a call's route, if the call used an older version.
        self.find_newer_item: Callable[[Call], list[Any] | None] = lambda call: None
        # Whether the upstream holds the call's key.
        self.holds_key: Callable[[Call], bool] = lambda call: True

    def use_buffers(self, buffers: BufferBudget) -> None:
        """Shares the memory for bodies, responses and frames with the client side."""
        self.bodies, self.answers, self.frames = buffers.bodies, buffers.answers, buffers.frames
        self.connections.response_memory = buffers.answers

    def now(self) -> float:
        return self._loop.time() * 1000.0

    def accept(self, call: Call, on_end: Callable[[End], None]) -> DispatchedCall | None:
        """Starts, queues or rejects a call. ``on_end`` is called once, possibly before this returns, unless
        the call is dropped."""
        now = self.now()
        if (
            call.route
            and not call.accept_stale_route
            and (newer_item := self.find_newer_item(call)) is not None
        ):
            end = NotExecuted(RejectReason.OLD, newer_item=newer_item)
            self.traces.record(now, call, now, 0.0, end)
            on_end(end)
            return None
        verdict = check_admission(now, self.upstream, call.instance, call.remaining_ms)
        if isinstance(verdict, Admitted) and not self.holds_key(call):
            verdict = Rejected(RejectReason.OTHER)
        if isinstance(verdict, Rejected):
            self.traces.record(now, call, now, 0.0, NotExecuted(verdict.reason))
            on_end(NotExecuted(verdict.reason))
            return None
        dispatched = DispatchedCall(call, on_end, now)
        self.shares.record_arrival(now, call.rank)
        max_running, max_queued = call_limits(self.upstream)
        wait_ms = call.extended_wait_ms if self.lowest.is_above(now, call.rank) else call.max_wait_ms
        if len(self.running) < max_running:
            self._start(dispatched)
        elif wait_ms <= 0.0:
            self.traces.record(now, call, now, 0.0, NotExecuted(RejectReason.FULL))
            on_end(NotExecuted(RejectReason.FULL))
            return None
        else:
            dispatched.apply(Event.NO_PLACE)
            displaced = self.queue.add(
                dispatched, call.rank, now + wait_ms, max_queued, self.shares.starved_ranks()
            )
            if isinstance(displaced, DispatchedCall):
                self._reject(displaced, RejectReason.FULL)
            self._set_wait_timer(now)
        return dispatched

    def _start(self, dispatched: DispatchedCall) -> None:
        dispatched.state = SECOND_HOP_TABLE[dispatched.state, PLACE]
        if dispatched.entry is not None:
            dispatched.entry.waiting = False
        call, dispatched.started_ms = dispatched.call, self.now()
        call.remaining_ms -= dispatched.started_ms - dispatched.received_ms
        self.running.add(dispatched)
        if call.repeat:
            self.repeats.begin(dispatched, dispatched.started_ms + call.remaining_ms)
        self.shares.record_dispatch(call.rank)
        dispatched.expiry_timer = self._loop.call_later(
            call.remaining_ms / 1000.0 + RESPONSE_GRACE_S, self._expire, dispatched
        )
        dispatched.task = task = self._loop.create_task(self._forward(dispatched))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reject(self, dispatched: DispatchedCall, reason: RejectReason) -> None:
        if dispatched.apply(Event.TURNED_AWAY):
            self.traces.record(self.now(), dispatched.call, dispatched.received_ms, 0.0, NotExecuted(reason))
            dispatched.on_end(NotExecuted(reason))

    def _start_queued(self) -> None:
        """Starts queued calls while there are free slots."""
        max_running, _ = call_limits(self.upstream)
        while (
            len(self.running) < max_running
            and (dispatched := self.queue.pop_next(self.shares.starved_ranks())) is not None
        ):
            assert isinstance(dispatched, DispatchedCall)
            call = dispatched.call
            verdict = check_admission(
                self.now(),
                self.upstream,
                call.instance,
                call.remaining_ms - self.now() + dispatched.received_ms,
            )
            if isinstance(verdict, Rejected):
                self._reject(dispatched, verdict.reason)
            else:
                self._start(dispatched)

    def _set_wait_timer(self, now: float) -> None:
        """Sets the timer for the next queued call whose wait ends."""
        next_expiry = self.queue.next_expiry()
        if next_expiry is None or self._wait_timer is not None and self._wait_timer_ms <= next_expiry:
            return
        if self._wait_timer is not None:
            self._wait_timer.cancel()
        self._wait_timer_ms = next_expiry
        self._wait_timer = self._loop.call_later(max(next_expiry - now, 0.0) / 1000.0, self._reject_expired)

    def _reject_expired(self) -> None:
        self._wait_timer = None
        now = self.now()
        for dispatched in self.queue.pop_expired(now + 0.5):
            assert isinstance(dispatched, DispatchedCall)
            self._reject(dispatched, RejectReason.FULL)
        self._set_wait_timer(now)

    def reject_queued(self) -> None:
        """Rejects all queued calls because this process is shutting down."""
        for dispatched in self.queue.pop_expired(math.inf):
            assert isinstance(dispatched, DispatchedCall)
            self._reject(dispatched, RejectReason.LEAVING)

    def drop(self, dispatched: DispatchedCall, event: Event = Event.GIVEN_UP) -> None:
        """Cancels a call that the first hop no longer waits for, or a queued call whose result is queried."""
        if not dispatched.apply(event) or self.queue.remove(dispatched):
            return
        self._free_slot(dispatched)
        if dispatched.connection is not None:
            dispatched.connection.drop()

    async def _forward(self, dispatched: DispatchedCall) -> None:
        call = dispatched.call
        headers = [item for item in call.headers if item[0] not in REWRITTEN_HEADERS]
        headers += [
            (b"attempt-id", call.attempt.encode("latin-1")),
            (b"time-remaining", b"%d" % max(int(call.remaining_ms), 1)),
            (b"target-instance", call.instance.encode("latin-1")),
            (b"calling-service", call.caller.encode("latin-1")),
        ]
        attempt, on_end = (
            call.attempt.encode("latin-1"),
            lambda outcome: self._on_exchange_end(dispatched, outcome),
        )
        if len(call.body) <= SHORT_BODY_BYTES:
            payload = http.write_request(call.method, call.target, headers, call.body)
            connection = await self.connections.send(attempt, payload, on_end)
        else:  # a long body is not copied behind its head
            head = http.request_head(call.method, call.target, headers, len(call.body))
            connection = await self.connections.send(attempt, head, on_end, call.body)
        if connection is None:
            return
        if dispatched.state is WITHDRAWN:
            connection.drop()
        elif dispatched.state not in FINAL_STATES:
            dispatched.connection = connection

    def _expire(self, dispatched: DispatchedCall) -> None:
        if not dispatched.done:
            if dispatched.connection is not None:
                dispatched.connection.drop()
            self._finish(dispatched, Unclear("no response before the deadline"), Event.TIME_OVER)

    def _free_slot(self, dispatched: DispatchedCall) -> None:
        self.running.discard(dispatched)
        self.repeats.end(dispatched)
        if dispatched.expiry_timer is not None:
            dispatched.expiry_timer.cancel()
        if len(self.queue):
            self._start_queued()

    def _finish(self, dispatched: DispatchedCall, end: End, event: Event | None = None) -> None:
        state = SECOND_HOP_TABLE.get((dispatched.state, event_of(end) if event is None else event))
        if state is not None:
            dispatched.state = state
            self._free_slot(dispatched)
            self.traces.record(
                self.now(), dispatched.call, dispatched.received_ms, dispatched.started_ms, end
            )
            dispatched.on_end(end)

    def _on_exchange_end(self, dispatched: DispatchedCall, outcome: ExchangeOutcome) -> None:
        if dispatched.state in FINAL_STATES:
            return
        if isinstance(outcome, NotSent):
            if outcome.refused:
                self._publish(self.upstream.on_connection_refused(self.now()))
            self._finish(dispatched, NotExecuted(RejectReason.DOWN if outcome.refused else RejectReason.FULL))
            return
        if not isinstance(outcome, ResponseReceived):
            self._event_log.emit(
                events.CALL_OUTCOME_UNKNOWN, attempt=dispatched.call.attempt, why=outcome.reason
            )
            self._finish(dispatched, Unclear(outcome.reason))
            return
        message = outcome.message
        self._record_load(message.get(b"plant-load"))
        if message.status == 421:
            self._finish(dispatched, NotExecuted(RejectReason.OTHER, reached_upstream=True))
        elif message.get(b"not-executed") is not None:
            self._finish(dispatched, NotExecuted(RejectReason.FULL, reached_upstream=True))
        elif 200 <= message.status < 300 and not self._has_seal(dispatched, message):
            # Bytes that look like a success but do not come from the upstream.
            self._finish(dispatched, Unclear("success without its seal or id"))
        else:
            headers = [item for item in message.end_to_end() if item[0] not in PROXY_ONLY_HEADERS]
            self._finish(
                dispatched, UpstreamResponse(message.status, headers, message.body, True, outcome.reservation)
            )

    def _has_seal(self, dispatched: DispatchedCall, message: http.Message) -> bool:
        return bool(message.get(b"response-seal")) and message.get(b"attempt-id") == dispatched.call.attempt

    def _record_load(self, header: str | None) -> None:
        parts = (header or "").split(",")
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            self.load = (int(parts[0]), int(parts[1]), int(parts[2]))
