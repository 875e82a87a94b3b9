"""A shared connection to an upstream: calls get msgids of this connection and are answered in any order."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable

from anisestair.http.upstream import ConnectionPool, UpstreamConnection
from anisestair.lifecycle import events as ev
from anisestair.lifecycle.connection import Call
from anisestair.rpc import codec
from anisestair.rpc.codec import Kind
from anisestair.rpc.meaning import CallRules

# Calls without a response, including those that were given up. Beyond this the oldest are forgotten, and
# their responses are dropped like those to unknown msgids.
MAX_UNANSWERED = 4096
MAX_STRAYS = 16  # responses with an unknown msgid on one connection; beyond this it counts as out of step


class RpcConnection(UpstreamConnection, asyncio.Protocol):
    """``carried`` returns the calls that the state machine still holds on the connection of that number."""

    def __init__(
        self,
        pool: ConnectionPool,
        number: int,
        call_rules: CallRules,
        carried: Callable[[int], tuple[Call, ...]],
    ) -> None:
        super().__init__(pool, number)
        self._call_rules, self._carried = call_rules, carried
        self.reader = codec.Reader()
        self._next_msgid = 0
        self._unanswered: dict[int, Call] = {}
        self._paused = False
        # Calls are written one at a time, and none while part of the previous one is still buffered, so that
        # it is known of each call whether it was sent. Otherwise a call that the kernel accepted just before
        # the connection closed would count as never executed.
        self._queue: deque[tuple[Call, bytes]] = deque()
        self._last_written: Call = ("", -1)
        self._strays = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # A late response may be readable while no call is open; only the close of the peer makes it unusable.
        self.up(transport, select.POLLRDHUP)

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._write_queued()
        self._report_unsent()

    def _report_unsent(self) -> None:
        """Reports how many calls have unsent bytes: those queued, and the one that is partly buffered."""
        calls = self._carried(self.number)
        unsent = sum(call in calls for call, _ in self._queue)
        self.pool.feed(ev.Held(self.number, unsent + (self._paused and self._last_written in calls)))

    def _write_queued(self) -> None:
        assert self.transport is not None
        while self._queue and not self._paused:
            call, data = self._queue.popleft()
            if call in self._carried(self.number):  # a call that was given up here is not sent
                self._last_written = call
                self.transport.write(data)

    def write(self, call: Call, method: bytes, params: bytes) -> None:
        assert self.transport is not None
        while (
            msgid := self._next_msgid
        ) in self._unanswered:  # msgids have wrapped around, and this one is still in use
            self._next_msgid = (self._next_msgid + 1) % (codec.MAX_MSGID + 1)
        self._next_msgid = (msgid + 1) % (codec.MAX_MSGID + 1)
        self._unanswered[msgid] = call
        if len(self._unanswered) > MAX_UNANSWERED:
            del self._unanswered[next(iter(self._unanswered))]
        self._queue.append((call, codec.write_request(msgid, method, params)))
        self._write_queued()
        if self.transport.is_closing():  # the write itself failed: no byte of it was sent
            self._paused = True
        if self._paused or self._queue:
            self._report_unsent()

    def data_received(self, data: bytes) -> None:
        fault = False
        try:
            self.reader.feed(data)
        except codec.BadMessage:
            fault = True
        for message in self.reader.take():
            self._on_message(message)
        if fault or self._strays > MAX_STRAYS:
            self.pool.feed(ev.Spoilt(self.number))

    def _on_message(self, message: codec.Message) -> None:
        call = self._unanswered.pop(message.msgid, None) if message.kind is Kind.RESPONSE else None
        if call is None:
            # A duplicate response, one with an unknown msgid, or no response at all. Msgids are not reused
            # before the counter wraps, so it belongs to no other call.
            self._strays += 1
            return
        self.pool.answered(self.number, call, message, self._call_rules.outcome(message.error), True)
