"""A client's connection: requests sent one behind another run at once, and are answered in their order.

An effectful one waits until it is the first: behind an answer that closes the connection it counts as not
read and is sent again, so it must not have run.
"""

from __future__ import annotations

from collections import deque

import httptools

from anisestair.flow.budget import Body
from anisestair.http import codec as http
from anisestair.http.frontend import READ_AHEAD, ClientConnection, Frontend
from waterworks.sluice.intake import Intake

AT_ONCE = 8  # requests of one connection that are in hand


class Slot:
    """One request, in its place among those of its connection."""

    __slots__ = ("closes", "id", "message", "payload", "taken")

    def __init__(self, taken: float, message: http.Message) -> None:
        self.taken, self.message = taken, message
        self.id: str | None = None  # while it is in hand
        self.payload: bytes | None = None  # its answer, until those before it have theirs
        self.closes = not message.keep_alive


class Outlet(ClientConnection):
    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        assert isinstance(frontend, Outlets)
        self._intake = frontend.intake
        self.reader = http.Reader(httptools.HttpRequestParser, self._intake.most_body)
        self._slots: deque[Slot] = deque()
        self._advancing = False

    def advance(self) -> None:
        if self._advancing:  # an answer was given while a request was being taken
            return
        self._advancing = True
        try:
            self._advance()
        finally:
            self._advancing = False

    def _advance(self) -> None:
        if self.transport is None or self.transport.is_closing() or self.refused:
            return
        self.parse()
        self.pace()
        while self.waiting and len(self._slots) < AT_ONCE and not self.choked and self._may_begin():
            taken, message = self.waiting.popleft()
            slot = Slot(taken, message)
            self._slots.append(slot)
            self.current = self._slots[0].message
            try:
                slot.id = self._intake.begin(taken, message, lambda *said, slot=slot: self._say(slot, *said))
            except http.BadMessage as fault:
                self._slots.pop()
                self.current = self._slots[0].message if self._slots else None
                self.fault = fault
                self.waiting.clear()
                break
            self._flush()
            if self.transport.is_closing():
                return
        if self.fault is not None and not self._slots and not self.waiting:
            self.refuse(self.fault)
        elif len(self.waiting) > READ_AHEAD or self.unread:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _may_begin(self) -> bool:
        if not self._slots:
            return True
        route = self._intake.route_of(self.waiting[0][1])
        last = self._slots[-1]
        return not last.closes and (route is None or not route.effectful)

    def _say(self, slot: Slot, status: int, headers: http.Headers, body: bytes) -> None:
        if self.transport is None or slot.payload is not None:
            return
        slot.id = None
        # At an end, what was read together with this request is answered first.
        behind = len(self._slots) > 1 or bool(self.waiting) or bool(self.unread)
        slot.closes = slot.closes or (self.frontend.closing and not behind)
        slot.payload = http.write_response(status, headers, body, slot.closes)
        if not self._advancing:
            self._flush()
            self.advance()

    def _flush(self) -> None:
        """The answers whose turn it is."""
        if self.transport is None or self.transport.is_closing():
            return
        while self._slots and self._slots[0].payload is not None:
            slot = self._slots.popleft()
            assert slot.payload is not None
            self.transport.write(slot.payload)
            self.since = self.frontend.loop.time()
            if slot.closes:
                self._leave_all()
                self.transport.close()
                return
        self.current = self._slots[0].message if self._slots else None
        if self.current is None:
            self.frontend.resting[self] = None

    def _leave_all(self) -> None:
        slots, self._slots = self._slots, deque()
        self.current = None
        for slot in slots:
            if slot.id is not None:
                self._intake.client_gone(slot.id)

    def refuse(self, fault: http.BadMessage) -> None:
        self._leave_all()
        super().refuse(fault)

    def answer(self, status: int, headers: http.Headers, body: bytes | Body) -> None:
        raise AssertionError("answers go by their slot")

    def connection_lost(self, exc: Exception | None) -> None:
        self._leave_all()
        super().connection_lost(exc)

    def idle(self) -> bool:
        return not self._slots and super().idle()


class Outlets(Frontend):
    connection = Outlet

    def __init__(self, intake: Intake, most: int) -> None:
        self.intake = intake
        super().__init__(intake, most)
